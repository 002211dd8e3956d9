//! Stand-in for a backend: slots, a queue, work of a given time, and crashes.

use crate::{
    message::{Message, write_message},
    record::Record,
    store::Store,
};
use std::{
    io::{self, BufReader},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Requests that a backend runs at once.
pub const SLOTS: usize = 3;
/// Requests that a backend queues.
const QUEUE: usize = 9;
/// Time between two looks at a slot, at the connection and at the process.
const TICK: Duration = Duration::from_millis(5);
/// Time after a crash until the backend is back.
const DOWN_TIME: Duration = Duration::from_secs(3);

/// What a target has noted of a request.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub crashed: bool,
    /// When the work began, and when it ended.
    pub begun: Option<Instant>,
    pub ended: Option<Instant>,
    pub id: String,
    pub path: String,
    pub service: &'static str,
    pub target: String,
}

#[derive(Default)]
struct Load {
    running: usize,
    /// Numbers of the waiting requests, first come first served.
    waiting: Vec<u64>,
    next: u64,
}

/// A backend process that starts again after each crash.
pub struct Target {
    address: SocketAddr,
    /// Counts the starts; a connection of an earlier start is dead.
    generation: AtomicU64,
    load: Mutex<Load>,
    name: String,
    pub record: Arc<Record>,
    service: &'static str,
    store: Store,
    zone: &'static str,
}

impl Target {
    pub fn start(
        name: &str,
        service: &'static str,
        zone: &'static str,
        store: &Store,
        record: &Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let target = Arc::new(Self {
            address: listener.local_addr()?,
            generation: AtomicU64::new(0),
            load: Mutex::default(),
            name: name.to_owned(),
            record: Arc::clone(record),
            service,
            store: store.clone(),
            zone,
        });
        target.register(1);
        let accepting = Arc::clone(&target);
        thread::spawn(move || accepting.accept(listener));
        let beating = Arc::clone(&target);
        thread::spawn(move || {
            for number in 2.. {
                sleep(Duration::from_millis(1_500));
                // A crashed backend sends nothing; it registers when it is back.
                if beating.generation.load(Ordering::Relaxed) % 2 == 0 {
                    beating.register(number);
                }
            }
        });
        Ok(target)
    }

    /// Writes the entry of this backend. `born` changes with each start.
    fn register(&self, number: u64) {
        static BASE: AtomicU64 = AtomicU64::new(0);
        if BASE.load(Ordering::Relaxed) == 0 {
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            BASE.store(now.as_millis() as u64, Ordering::Relaxed);
        }
        let born = BASE.load(Ordering::Relaxed) + self.generation.load(Ordering::Relaxed) * 1_000;
        let (address, service, zone) = (self.address, self.service, self.zone);
        let spec = format!(
            "{{\"address\":\"{address}\",\"born\":{born},\"info\":{{\"service\":\"{service}\",\
             \"version\":\"v1\",\"zone\":\"{zone}\",\"slots\":{SLOTS}}}}}"
        );
        let status = format!("{{\"state\":\"ready\",\"seq_no\":{number},\"cold_remaining_s\":0}}");
        self.store.put("servers", &self.name, &spec, &status);
    }

    /// Accepts connections while the process is up. An odd generation is a crashed process.
    fn accept(self: Arc<Self>, mut listener: TcpListener) {
        loop {
            let generation = self.generation.load(Ordering::Relaxed);
            if generation % 2 == 1 {
                drop(listener);
                sleep(DOWN_TIME);
                self.generation.fetch_add(1, Ordering::Relaxed);
                listener = loop {
                    match TcpListener::bind(self.address) {
                        Ok(listener) => break listener,
                        Err(_) => sleep(TICK),
                    }
                };
                self.register(1);
                continue;
            }
            listener.set_nonblocking(true).unwrap();
            match listener.accept() {
                Ok((stream, _)) => {
                    let target = Arc::clone(&self);
                    thread::spawn(move || drop(target.serve(stream, generation)));
                }
                Err(_) => sleep(TICK),
            }
        }
    }

    /// Ends the process: its connections close, and what it ran is lost.
    fn crash(&self) {
        if self.generation.load(Ordering::Relaxed) % 2 == 0 {
            self.generation.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn serve(&self, stream: TcpStream, generation: u64) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        loop {
            // Waits for the next request, or for the end of the process.
            loop {
                if self.generation.load(Ordering::Relaxed) != generation {
                    return Ok(());
                }
                stream.set_read_timeout(Some(TICK * 2))?;
                match stream.peek(&mut [0]) {
                    Ok(_) => break,
                    Err(e) if is_timeout(&e) && reader.buffer().is_empty() => {}
                    Err(e) if is_timeout(&e) => break,
                    Err(e) => return Err(e),
                }
            }
            stream.set_read_timeout(Some(Duration::from_secs(5)))?;
            let Some(request) = Message::read(&mut reader)? else { return Ok(()) };
            if !self.answer(&request, &stream, generation)? {
                return Ok(());
            }
        }
    }

    /// Answers a request; returns whether the connection stays open.
    fn answer(&self, request: &Message, stream: &TcpStream, generation: u64) -> io::Result<bool> {
        let (id, path) = (request.header("request-id"), request.target().1.to_owned());
        let name = &self.name;
        if path == "/health" {
            let headers = format!("Instance-Id: {name}\r\n{}", self.load_header());
            return write_message(stream, "HTTP/1.1 200 OK", &headers, "").map(|()| true);
        }
        let echo = format!("Request-Id: {id}\r\n{}", self.load_header());
        let expected = request.header("expect-instance");
        if !expected.is_empty() && expected != name {
            let headers = format!("{echo}Instance-Id: {name}\r\n");
            let first = "HTTP/1.1 421 Misdirected Request";
            return write_message(stream, first, &headers, "").map(|()| true);
        }
        let index = self.record.arrive(Arrival {
            at: Instant::now(),
            begun: None,
            crashed: false,
            ended: None,
            id: id.to_owned(),
            path: path.clone(),
            service: self.service,
            target: name.clone(),
        });
        let left = request.header("deadline-ms").parse().unwrap_or(30_000);
        let deadline = Instant::now() + Duration::from_millis(left);
        let refuse = |why: &str| {
            let headers = format!("Not-Run: 1\r\n{echo}");
            write_message(stream, "HTTP/1.1 503 Service Unavailable", &headers, why)
        };
        let Some(number) = self.enqueue() else { return refuse("full").map(|()| true) };
        let alive = || self.generation.load(Ordering::Relaxed) == generation && is_open(stream);
        while !self.try_begin(number) {
            if !alive() {
                self.leave(number, false);
                return Ok(false);
            }
            if Instant::now() >= deadline {
                self.leave(number, false);
                return refuse("deadline").map(|()| true);
            }
            sleep(TICK);
        }
        self.record.change(index, |arrival| arrival.begun = Some(Instant::now()));
        if path.contains("/poison") {
            self.record.change(index, |arrival| arrival.crashed = true);
            self.crash();
        }
        let work = path.rsplit('/').next().and_then(|ms| ms.parse().ok()).unwrap_or(100);
        let end = Instant::now() + Duration::from_millis(work);
        let mut open = true;
        while open && Instant::now() < end.min(deadline) {
            sleep(TICK);
            open = alive();
        }
        self.leave(number, true);
        self.record.change(index, |arrival| arrival.ended = Some(Instant::now()));
        if !open {
            return Ok(false);
        }
        let headers =
            format!("Response-Stamp: {name}.{id}\r\nRequest-Id: {id}\r\n{}", self.load_header());
        let first =
            if Instant::now() < end { "HTTP/1.1 504 Gateway Timeout" } else { "HTTP/1.1 200 OK" };
        write_message(stream, first, &headers, &format!("{} {id}", self.service)).map(|()| true)
    }

    fn load_header(&self) -> String {
        let load = self.load.lock().unwrap();
        format!("Server-Load: {},{},{SLOTS}\r\n", load.running, load.waiting.len())
    }

    fn enqueue(&self) -> Option<u64> {
        let mut load = self.load.lock().unwrap();
        if load.running + load.waiting.len() >= SLOTS + QUEUE {
            return None;
        }
        load.next += 1;
        let number = load.next;
        load.waiting.push(number);
        Some(number)
    }

    fn try_begin(&self, number: u64) -> bool {
        let mut load = self.load.lock().unwrap();
        if load.running >= SLOTS || load.waiting.first() != Some(&number) {
            return false;
        }
        load.waiting.remove(0);
        load.running += 1;
        true
    }

    fn leave(&self, number: u64, begun: bool) {
        let mut load = self.load.lock().unwrap();
        if begun {
            load.running -= 1;
        } else {
            load.waiting.retain(|waiting| *waiting != number);
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}

/// Returns whether the other side still holds its connection.
fn is_open(stream: &TcpStream) -> bool {
    let waits = stream.set_read_timeout(Some(Duration::from_millis(1)));
    match stream.peek(&mut [0]) {
        Ok(0) => false,
        Ok(_) => waits.is_ok(),
        Err(error) => is_timeout(&error),
    }
}
