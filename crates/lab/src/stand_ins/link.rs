//! A network link with delay, cap and cuts, as a TCP relay.

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

/// A link between two places, the same each way.
#[derive(Debug)]
pub struct LinkStandIn {
    backward: Direction,
    cap: u64,
    delay: Duration,
    forward: Direction,
}

/// Cuts and heals one relay over a link. While it is cut, nothing passes on its connections and
/// new ones are refused.
#[derive(Clone, Debug)]
pub struct RelaySwitch(Arc<watch::Sender<bool>>);

impl RelaySwitch {
    /// Cuts the relay, or heals it.
    pub fn set_cut(&self, cut: bool) {
        self.0.send_replace(cut);
    }
}

impl LinkStandIn {
    /// Makes a link from one-way delay and cap in bytes a second.
    pub fn new(delay: Duration, cap: u64) -> Arc<Self> {
        Arc::new(Self { backward: Direction::new(), cap, delay, forward: Direction::new() })
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
        let mut own_cut = cut.clone();
        let Ok(from) = listener.local_addr() else { return };
        let mut listener = Some(listener);
        loop {
            let Some(open) = &listener else {
                if own_cut.wait_for(|cut| !cut).await.is_err() {
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
                        // A connection that fails ends here; both sides see it close.
                        let _ended = link.join(near, to, forward, cut).await;
                    });
                }
                changed = own_cut.wait_for(|cut| *cut) => {
                    if changed.is_err() {
                        return;
                    }
                    listener = None;
                }
            }
        }
    }

    async fn join(
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
            self.carry(near_read, far_write, forward, cut.clone()),
            self.carry(far_read, near_write, !forward, cut),
        );
        Ok(())
    }

    /// Carries bytes one way until either side closes.
    async fn carry(
        self: &Arc<Self>,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
        forward: bool,
        mut cut: watch::Receiver<bool>,
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
