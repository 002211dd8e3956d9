//! Stand-in for a network link: a TCP relay with a delay, a bandwidth cap and partitions.

use bytes::Bytes;
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{mpsc, watch},
    time::{Instant, sleep, sleep_until},
};

/// Maximum size of one read.
const CHUNK_BYTES: usize = 16 << 10;
/// Maximum number of chunks in flight in one direction of a connection.
const MAX_CHUNKS_IN_FLIGHT: usize = 256;

/// One direction of a link. All connections share its cap.
#[derive(Debug)]
struct Direction {
    bytes: AtomicU64,
    free_at: Mutex<Instant>,
}

impl Direction {
    fn new() -> Self {
        Self { bytes: AtomicU64::new(0), free_at: Mutex::new(Instant::now()) }
    }

    /// Reserves the link for some bytes and returns the time at which the last of them is sent.
    fn reserve(&self, bytes: usize, cap: u64) -> Instant {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        let mut free_at = self.free_at.lock().expect("no holder of a link's lock panics");
        let start = (*free_at).max(Instant::now());
        *free_at = start + Duration::from_secs_f64(bytes as f64 / cap as f64);
        *free_at
    }
}

/// Stand-in for a link, with the same delay and cap in both directions.
#[derive(Debug)]
pub struct LinkStandIn {
    backward: Direction,
    cap: u64,
    delay: Duration,
    forward: Direction,
}

/// Cuts and restores one relay over a link. While the relay is cut, open connections stall and new
/// ones are refused.
#[derive(Clone, Debug)]
pub struct RelaySwitch(Arc<watch::Sender<bool>>);

impl RelaySwitch {
    /// Cuts or restores the relay.
    pub fn set_cut(&self, cut: bool) {
        self.0.send_replace(cut);
    }
}

impl LinkStandIn {
    /// Creates a link with a one-way delay and a cap in bytes per second.
    pub fn new(delay: Duration, cap: u64) -> Arc<Self> {
        Arc::new(Self { backward: Direction::new(), cap, delay, forward: Direction::new() })
    }

    /// Returns the number of bytes sent forward and backward so far.
    pub fn bytes(&self) -> (u64, u64) {
        let read = |d: &Direction| d.bytes.load(Ordering::Relaxed);
        (read(&self.forward), read(&self.backward))
    }

    /// Relays connections from one address to another until the process ends. `forward` is the
    /// direction of the bytes that the connecting side sends.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn relay(
        self: &Arc<Self>,
        from: SocketAddr,
        to: SocketAddr,
        forward: bool,
    ) -> io::Result<RelaySwitch> {
        let listener = TcpListener::bind(from).await?;
        let switch = RelaySwitch(Arc::new(watch::Sender::new(false)));
        let (link, cut) = (Arc::clone(self), switch.0.subscribe());
        tokio::spawn(async move { link.accept(listener, to, forward, cut).await });
        Ok(switch)
    }

    async fn accept(
        self: Arc<Self>,
        listener: TcpListener,
        to: SocketAddr,
        forward: bool,
        cut: watch::Receiver<bool>,
    ) {
        let mut listener_cut = cut.clone();
        let Ok(from) = listener.local_addr() else { return };
        let mut listener = Some(listener);
        loop {
            let Some(open) = &listener else {
                if listener_cut.wait_for(|cut| !cut).await.is_err() {
                    return;
                }
                listener = TcpListener::bind(from).await.ok();
                continue;
            };
            tokio::select! {
                accepted = open.accept() => {
                    let Ok((near, _)) = accepted else { return };
                    let (link, cut) = (Arc::clone(&self), cut.clone());
                    tokio::spawn(async move {
                        // A failed connection ends here and is closed on both sides.
                        let _ended = link.connect(near, to, forward, cut).await;
                    });
                }
                changed = listener_cut.wait_for(|cut| *cut) => {
                    if changed.is_err() {
                        return;
                    }
                    listener = None;
                }
            }
        }
    }

    async fn connect(
        self: Arc<Self>,
        near: TcpStream,
        to: SocketAddr,
        forward: bool,
        cut: watch::Receiver<bool>,
    ) -> io::Result<()> {
        sleep(self.delay * 2).await;
        let far = TcpStream::connect(to).await?;
        near.set_nodelay(true)?;
        far.set_nodelay(true)?;
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        tokio::join!(
            self.copy_one_way(near_read, far_write, forward, cut.clone()),
            self.copy_one_way(far_read, near_write, !forward, cut),
        );
        Ok(())
    }

    /// Copies bytes in one direction until either side closes the connection.
    async fn copy_one_way(
        self: &Arc<Self>,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
        forward: bool,
        mut cut: watch::Receiver<bool>,
    ) {
        let (sender, mut receiver) = mpsc::channel::<(Instant, Bytes)>(MAX_CHUNKS_IN_FLIGHT);
        let direction = if forward { &self.forward } else { &self.backward };
        let read = async move {
            let mut buffer = vec![0; CHUNK_BYTES];
            while let Ok(n) = from.read(&mut buffer).await
                && n > 0
            {
                let sent_at = direction.reserve(n, self.cap);
                let bytes = Bytes::copy_from_slice(&buffer[..n]);
                if sender.send((sent_at + self.delay, bytes)).await.is_err() {
                    return;
                }
                sleep_until(sent_at).await;
            }
        };
        let write = async move {
            while let Some((due, bytes)) = receiver.recv().await {
                sleep_until(due).await;
                if cut.wait_for(|cut| !cut).await.is_err() {
                    return;
                }
                if to.write_all(&bytes).await.is_err() {
                    return;
                }
            }
        };
        tokio::join!(read, write);
    }
}
