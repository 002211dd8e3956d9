//! A network link with delay, cap and cuts, as a TCP relay.

use bytes::Bytes;
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::mpsc,
    time::{Instant, sleep, sleep_until},
};

/// Bytes read at a time.
const CHUNK: usize = 16 << 10;
/// Chunks under way on one connection.
const WINDOW: usize = 256;

/// One direction of a link: all connections share its cap.
#[derive(Debug)]
struct Direction {
    bytes: AtomicU64,
    free_at: Mutex<Instant>,
}

impl Direction {
    fn new() -> Self {
        Self { bytes: AtomicU64::new(0), free_at: Mutex::new(Instant::now()) }
    }

    /// Books the line for some bytes and gives the time at which they have left.
    fn book(&self, bytes: usize, cap: u64) -> Instant {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        let mut free_at = self.free_at.lock().expect("no holder of a link's lock panics");
        let start = (*free_at).max(Instant::now());
        *free_at = start + Duration::from_secs_f64(bytes as f64 / cap as f64);
        *free_at
    }
}

/// A link between two places, the same each way; may be cut.
#[derive(Debug)]
pub struct LinkStandIn {
    backward: Direction,
    cap: u64,
    cut: AtomicBool,
    delay: Duration,
    forward: Direction,
}

impl LinkStandIn {
    /// Makes a link from one-way delay and cap in bytes a second.
    pub fn new(delay: Duration, cap: u64) -> Arc<Self> {
        let cut = AtomicBool::new(false);
        Arc::new(Self { backward: Direction::new(), cap, cut, delay, forward: Direction::new() })
    }

    /// Cuts the link, or heals it: nothing passes while it is cut.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }

    /// Bytes that went forward and backward so far.
    pub fn bytes(&self) -> (u64, u64) {
        let read = |d: &Direction| d.bytes.load(Ordering::Relaxed);
        (read(&self.forward), read(&self.backward))
    }

    /// Relays connections from one address to another for ever. `forward` tells the direction
    /// of what the connecting side sends.
    ///
    /// # Errors
    ///
    /// Where the address can't be bound.
    pub async fn relay(
        self: &Arc<Self>,
        from: SocketAddr,
        to: SocketAddr,
        forward: bool,
    ) -> io::Result<()> {
        let listener = TcpListener::bind(from).await?;
        let link = Arc::clone(self);
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let link = Arc::clone(&link);
                tokio::spawn(async move {
                    // A connection that fails ends here; both sides see it close.
                    let _ended = link.join(near, to, forward).await;
                });
            }
        });
        Ok(())
    }

    async fn join(
        self: Arc<Self>,
        near: TcpStream,
        to: SocketAddr,
        forward: bool,
    ) -> io::Result<()> {
        self.wait_while_cut().await;
        sleep(self.delay * 2).await;
        let far = TcpStream::connect(to).await?;
        near.set_nodelay(true)?;
        far.set_nodelay(true)?;
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        tokio::join!(
            self.carry(near_read, far_write, forward),
            self.carry(far_read, near_write, !forward),
        );
        Ok(())
    }

    /// Carries bytes one way until either side closes.
    async fn carry(
        self: &Arc<Self>,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
        forward: bool,
    ) {
        let (sender, mut receiver) = mpsc::channel::<(Instant, Bytes)>(WINDOW);
        let direction = if forward { &self.forward } else { &self.backward };
        let read = async move {
            let mut buffer = vec![0; CHUNK];
            while let Ok(n) = from.read(&mut buffer).await
                && n > 0
            {
                let left = direction.book(n, self.cap);
                let bytes = Bytes::copy_from_slice(&buffer[..n]);
                if sender.send((left + self.delay, bytes)).await.is_err() {
                    return;
                }
                sleep_until(left).await;
            }
        };
        let write = async move {
            while let Some((due, bytes)) = receiver.recv().await {
                sleep_until(due).await;
                self.wait_while_cut().await;
                if to.write_all(&bytes).await.is_err() {
                    return;
                }
            }
        };
        tokio::join!(read, write);
    }

    async fn wait_while_cut(&self) {
        while self.cut.load(Ordering::Relaxed) {
            sleep(Duration::from_millis(20)).await;
        }
    }
}
