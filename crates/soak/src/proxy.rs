//! A loopback proxy that spoils connections.

use crate::LinkFault;
use std::{io, net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    time::sleep,
};

/// Bytes read at a time.
const CHUNK: usize = 16 << 10;

/// Passes connections on to an address, and spoils them on demand.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    fault: watch::Sender<LinkFault>,
}

impl Proxy {
    /// Listens on a free port and passes connections on.
    ///
    /// # Errors
    ///
    /// Where no port can be bound.
    pub async fn start(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let fault = watch::Sender::new(LinkFault::None);
        tokio::spawn(accept(listener, to, fault.subscribe()));
        Ok(Self { address, fault })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what is wrong.
    pub fn set(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }
}

async fn accept(listener: TcpListener, to: SocketAddr, fault: watch::Receiver<LinkFault>) {
    loop {
        // Out of descriptors: connections that end free some.
        let Ok((near, _)) = listener.accept().await else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let fault = fault.clone();
        tokio::spawn(async move {
            if *fault.borrow() == LinkFault::Reset {
                reset(&near);
                return;
            }
            // A target that is not there ends the connection, as it would without a proxy.
            let Ok(far) = TcpStream::connect(to).await else { return };
            join(near, far, fault).await;
        });
    }
}

/// Makes the close of a connection a reset.
fn reset(stream: &TcpStream) {
    // Where this fails the connection is closed in the usual way, which is a fault as well.
    let _ = stream.set_zero_linger();
}

async fn join(near: TcpStream, far: TcpStream, mut fault: watch::Receiver<LinkFault>) {
    // Small messages must not wait for each other; a failure only makes them slower.
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let there = copy(near_read, far_write, fault.clone(), false);
    let back = copy(far_read, near_write, fault.clone(), true);
    let broken = fault.wait_for(|fault| *fault == LinkFault::Reset);
    let both = async { tokio::join!(there, back) };
    tokio::select! {
        _ = both => {}
        _ = broken => {}
    }
}

/// Copies one direction. Bytes that come while the link is silent are lost, so that the connection
/// stays silent for good.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    fault: watch::Receiver<LinkFault>,
    backward: bool,
) {
    let mut lost = false;
    let mut bytes = vec![0; CHUNK];
    // Either side's end is passed on as an end.
    while let Ok(length @ 1..) = from.read(&mut bytes).await {
        let now = *fault.borrow();
        match now {
            LinkFault::Delay(time) => sleep(time).await,
            LinkFault::Mute => lost |= backward,
            LinkFault::Silent => lost = true,
            LinkFault::None | LinkFault::Reset => {}
        }
        if !lost && to.write_all(&bytes[..length]).await.is_err() {
            break;
        }
    }
    // The other side may have closed first.
    let _ = to.shutdown().await;
}
