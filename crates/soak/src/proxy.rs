//! Loopback TCP proxy that injects connection faults.

use crate::LinkFault;
use std::{io, net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    sync::watch,
    time::sleep,
};

/// Size of the read buffer.
const BUFFER_BYTES: usize = 16 << 10;

/// Forwards connections to an address, and injects faults on demand.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    fault: watch::Sender<LinkFault>,
}

impl Proxy {
    /// Listens on a free loopback port and forwards connections to `to`.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let fault = watch::Sender::new(LinkFault::None);
        tokio::spawn(accept(listener, to, fault.subscribe()));
        Ok(Self { address, fault })
    }

    /// Returns the address that the proxy listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault for new and open connections.
    pub fn set_fault(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }
}

async fn accept(listener: TcpListener, to: SocketAddr, fault: watch::Receiver<LinkFault>) {
    loop {
        // Accept fails when descriptors run out; retry once other connections have closed.
        let Ok((client, _)) = listener.accept().await else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let fault = fault.clone();
        tokio::spawn(async move {
            if *fault.borrow() == LinkFault::Reset {
                reset_on_close(&client);
                return;
            }
            // If the server is unreachable, the client's connection is closed.
            let Ok(server) = TcpStream::connect(to).await else { return };
            forward(client, server, fault).await;
        });
    }
}

/// Configures the socket to send a TCP reset when it is closed.
fn reset_on_close(stream: &TcpStream) {
    // On failure the connection closes normally, which the client sees as a fault too.
    let _ = stream.set_zero_linger();
}

async fn forward(
    mut client: TcpStream,
    mut server: TcpStream,
    mut fault: watch::Receiver<LinkFault>,
) {
    // Avoids Nagle delays for small messages; a failure only adds latency.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_read, client_write) = client.split();
    let (server_read, server_write) = server.split();
    let upstream = copy(client_read, server_write, fault.clone(), false);
    let downstream = copy(server_read, client_write, fault.clone(), true);
    let reset = fault.wait_for(|fault| *fault == LinkFault::Reset);
    let copies = async { tokio::try_join!(upstream, downstream) };
    let ended = tokio::select! {
        ended = copies => ended.is_ok(),
        _ = reset => false,
    };
    if !ended {
        // A close instead would complete a body that ends with its connection.
        reset_on_close(&client);
        reset_on_close(&server);
    }
}

/// Copies one direction. Once data has been discarded, nothing more is forwarded in this direction,
/// since the byte stream would have a gap. Its end is lost with the data: the connection stays open
/// for the rest of the fault, and is then reset.
async fn copy(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut fault: watch::Receiver<LinkFault>,
    is_downstream: bool,
) -> io::Result<()> {
    let discards = |fault: LinkFault| match fault {
        LinkFault::Deaf => !is_downstream,
        LinkFault::Mute => is_downstream,
        LinkFault::Silent => true,
        LinkFault::Delay(_) | LinkFault::None | LinkFault::Reset => false,
    };
    let mut discarding = false;
    let mut bytes = vec![0; BUFFER_BYTES];
    loop {
        let length = from.read(&mut bytes).await?;
        let current = *fault.borrow();
        discarding |= discards(current);
        if length == 0 {
            break;
        }
        if let LinkFault::Delay(time) = current {
            sleep(time).await;
        }
        if !discarding {
            to.write_all(&bytes[..length]).await?;
        }
    }
    if discarding {
        // An error means that the proxy has been dropped, which ends the fault.
        let _ = fault.wait_for(|fault| !discards(*fault)).await;
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    to.shutdown().await
}
