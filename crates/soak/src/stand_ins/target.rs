//! Simulated target that records the requests it receives and executes.

use super::{
    answer_style::{AnswerStyle, generator},
    message::MessageHead,
};
use crate::{Arrival, HistoryRecorder, LinkFault, Notice, Proxy, Run};
use rand::{RngExt, rngs::SmallRng};
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    time::{Instant, sleep},
};

/// Number of slots that a target reports.
const SLOTS: u32 = 8;
/// Maximum number of requests in progress; further requests are refused.
const MAX_REQUESTS: u32 = 24;
/// Processing time of a request.
const PROCESSING_TIME: Duration = Duration::from_millis(40);
/// Pause before a refusal is repeated; some repetitions come after the next request.
const REPETITION_PAUSE: Duration = Duration::from_millis(30);

/// A target behind a proxy.
#[derive(Debug)]
pub struct SoakTarget {
    number: usize,
    proxy: Proxy,
    recorder: Arc<HistoryRecorder>,
    service: &'static str,
    state: Arc<Mutex<TargetState>>,
    zone: &'static str,
}

/// Limit on its requests that a target names.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum NamedLimit {
    /// None.
    #[default]
    None,
    /// Requests a second from all VMs together.
    PerSecond(f64),
    /// Values that can't be used.
    Unusable,
}

impl NamedLimit {
    fn header(self, rng: &mut SmallRng) -> String {
        const UNUSABLE: [&str; 5] = ["", "-3", "NaN", "inf", "soon"];
        match self {
            Self::None => String::new(),
            Self::PerSecond(rate) => format!("server-limit: {rate}\r\n"),
            Self::Unusable => {
                format!("server-limit: {}\r\n", UNUSABLE[rng.random_range(0..UNUSABLE.len())])
            }
        }
    }

    fn rate(self) -> Option<f64> {
        match self {
            Self::PerSecond(rate) => Some(rate),
            Self::None | Self::Unusable => None,
        }
    }
}

/// What a target tells those that send it requests.
#[derive(Clone, Copy, Debug, Default)]
struct TargetState {
    /// Whether it refuses requests and writes faulty responses only when told to.
    calm: bool,
    /// Number of the current incarnation.
    incarnation: u64,
    /// Whether its responses say that it leaves.
    leaving: bool,
    limit: NamedLimit,
    /// Until when it refuses all requests, and for how long it then asks to be spared.
    refusal: Option<(Instant, Duration)>,
}

/// Request handler of a target.
#[derive(Clone, Debug)]
struct RequestHandler {
    busy: Arc<AtomicU32>,
    number: usize,
    recorder: Arc<HistoryRecorder>,
    service: &'static str,
    state: Arc<Mutex<TargetState>>,
}

/// Returns the name of a target's incarnation.
fn name(number: usize, incarnation: u64) -> String {
    format!("i-{number}-{incarnation}")
}

fn with<T>(state: &Mutex<TargetState>, change: impl FnOnce(&mut TargetState) -> T) -> T {
    change(&mut state.lock().expect("no thread panics while it holds the lock"))
}

impl SoakTarget {
    /// Starts a target and its proxy.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(
        number: usize,
        service: &'static str,
        zone: &'static str,
        recorder: Arc<HistoryRecorder>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let proxy = Proxy::start(listener.local_addr()?).await?;
        let state: Arc<Mutex<TargetState>> = Arc::default();
        let busy = Arc::default();
        let handler = RequestHandler {
            busy,
            number,
            recorder: Arc::clone(&recorder),
            service,
            state: Arc::clone(&state),
        };
        tokio::spawn(async move {
            loop {
                // Accept fails when descriptors run out; retry once other connections have closed.
                let Ok((stream, _)) = listener.accept().await else {
                    sleep(Duration::from_millis(50)).await;
                    continue;
                };
                let handler = handler.clone();
                tokio::spawn(async move { handler.serve(stream).await });
            }
        });
        Ok(Self { number, proxy, recorder, service, state, zone })
    }

    /// Returns the address of the proxy, at which VMs reach the target.
    pub fn address(&self) -> SocketAddr {
        self.proxy.address()
    }

    /// Returns the name of the current incarnation.
    pub fn name(&self) -> String {
        name(self.number, with(&self.state, |state| state.incarnation))
    }

    /// Replaces the current incarnation by the next.
    pub fn restart(&self) {
        with(&self.state, |state| {
            let incarnation = state.incarnation + 1;
            let calm = state.calm;
            *state = TargetState { calm, incarnation, ..TargetState::default() };
        });
        self.recorder.record_limit(self.number, None);
    }

    /// Ends random refusals and faulty responses.
    pub fn calm_down(&self) {
        with(&self.state, |state| (state.calm, state.limit) = (true, NamedLimit::None));
        self.recorder.record_limit(self.number, None);
    }

    /// Sets whether responses say that the target leaves.
    pub fn set_leaving(&self, leaving: bool) {
        with(&self.state, |state| state.leaving = leaving);
    }

    /// Sets the limit that responses name.
    pub fn set_limit(&self, limit: NamedLimit) {
        with(&self.state, |state| state.limit = limit);
        self.recorder.record_limit(self.number, limit.rate());
    }

    /// Refuses all requests for some time, and asks to be spared for up to `pause` after each.
    pub fn refuse_for(&self, time: Duration, pause: Duration) {
        with(&self.state, |state| state.refusal = Some((Instant::now() + time, pause)));
    }

    /// Returns the target's service.
    pub fn service(&self) -> &'static str {
        self.service
    }

    /// Injects a fault into the connections to the target.
    pub fn set_fault(&self, fault: LinkFault) {
        self.proxy.set_fault(fault);
    }

    /// Returns the target's availability zone.
    pub fn zone(&self) -> &'static str {
        self.zone
    }
}

impl RequestHandler {
    /// Serves a connection until either side closes it. An error ends the connection only.
    async fn serve(self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut stream = BufReader::new(stream);
        while let Some(head) = MessageHead::read(&mut stream).await? {
            if !self.answer(&head, &mut stream).await? {
                break;
            }
        }
        Ok(())
    }

    /// Answers a request. Returns whether the connection stays open.
    async fn answer(
        &self,
        head: &MessageHead,
        stream: &mut BufReader<TcpStream>,
    ) -> io::Result<bool> {
        let state = with(&self.state, |state| *state);
        let (id, expected) = (head.header("request-id"), head.header("expect-instance"));
        let mut rng = generator(id, self.number);
        let leaving = if state.leaving { "server-leaving: 1\r\n" } else { "" };
        let state_headers =
            format!("{leaving}{}", state.limit.header(&mut generator(id, !self.number)));
        if !expected.is_empty() && expected != name(self.number, state.incarnation) {
            head.read_body(stream).await?;
            return self.refuse(stream, id, "421 Misdirected Request", "").await.map(|()| true);
        }
        let (at, incarnation, target) = (Instant::now(), state.incarnation, self.number);
        let limited = state.limit.rate().is_some();
        let arrival = Arrival { at, incarnation, limited, notice: None, target };
        let refusal = state.refusal.filter(|(until, _)| at < *until);
        if refusal.is_some()
            || self.busy.load(Ordering::Relaxed) >= MAX_REQUESTS
            || !state.calm && rng.random_bool(0.02)
        {
            head.read_body(stream).await?;
            let (header, notice) = match refusal {
                Some(_) if rng.random_bool(0.1) => ("retry-after: soon\r\n".to_owned(), None),
                Some((_, pause)) => {
                    let pause = pause.mul_f64(rng.random_range(0.3..1.0));
                    let header = format!("retry-after: {:.3}\r\n", pause.as_secs_f64());
                    (header, Some(Notice::Pause(pause)))
                }
                None => (String::new(), None),
            };
            self.recorder.record_arrival(id, Arrival { at: Instant::now(), notice, ..arrival });
            let header = header + &state_headers;
            self.refuse(stream, id, "503 Service Unavailable", &header).await?;
            if rng.random_bool(0.3) {
                sleep(REPETITION_PAUSE.mul_f64(rng.random_range(0.0..2.0))).await;
                self.refuse(stream, id, "503 Service Unavailable", &header).await?;
            }
            return Ok(true);
        }
        let notice = state.leaving.then_some(Notice::Leaving);
        self.recorder.record_arrival(id, Arrival { notice, ..arrival });
        let _busy = BusyGuard::new(&self.busy);
        let style = AnswerStyle::draw(&mut rng, !state.calm);
        let run = Run {
            at,
            ended: None,
            service: self.service,
            style,
            target,
            unnamed: expected.is_empty(),
        };
        self.recorder.record_run(id, run);
        let length = head.read_body(stream).await?.len();
        sleep(PROCESSING_TIME).await;
        let load = self.busy.load(Ordering::Relaxed);
        let head = format!(
            "HTTP/1.1 200 OK\r\nresponse-stamp: 3e1b.07\r\nrequest-id: {id}\r\n\
             server-load: {load},0,{SLOTS},100\r\n{state_headers}"
        );
        let open = style.write(stream, &head, &format!("{id} {length}")).await?;
        self.recorder.record_end(id, target);
        Ok(open)
    }

    /// Writes a refusal, which states that the request did not run.
    async fn refuse(
        &self,
        stream: &mut BufReader<TcpStream>,
        id: &str,
        status: &str,
        headers: &str,
    ) -> io::Result<()> {
        let text = format!(
            "HTTP/1.1 {status}\r\nnot-run: 1\r\nrequest-id: {id}\r\n{headers}content-length: 0\r\n\r\n"
        );
        stream.write_all(text.as_bytes()).await
    }
}

/// Counts a request as in progress until dropped.
struct BusyGuard(Arc<AtomicU32>);

impl BusyGuard {
    fn new(busy: &Arc<AtomicU32>) -> Self {
        busy.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(busy))
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
