//! Callers that keep one connection and send several reads at once.

use super::{
    callers::{Caller, DEADLINE, REQUEST_PAUSE, RESPONSE_MARGIN},
    message::MessageHead,
};
use crate::{CallOutcome, Completion, Kind, SoakFleet};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{io, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncWriteExt, BufReader},
    net::TcpStream,
    time::{Instant, sleep, timeout, timeout_at},
};

/// Deadlines of reads, at most [`DEADLINE`].
const DEADLINES: [Duration; 3] =
    [Duration::from_millis(800), Duration::from_millis(1_500), DEADLINE];
/// Share of groups after which a caller picks another VM.
const LEAVE_SHARE: f64 = 0.02;
/// Mean pause between two groups of reads of a caller.
const GROUP_PAUSE: Duration = REQUEST_PAUSE.saturating_mul(2);

/// A read that was sent.
struct PendingRead {
    id: String,
    kind: Kind,
}

/// Connection to a VM that a caller keeps until it ends.
struct Connection {
    stream: BufReader<TcpStream>,
    vm: usize,
}

/// Sends groups of two to four reads until the task is aborted. The connection is kept until it
/// ends, also when the directory no longer lists its VM.
pub async fn run_pipelining_caller(fleet: Arc<SoakFleet>, number: u64, seed: u64) {
    let caller = Caller::new(&fleet);
    let mut rng = SmallRng::seed_from_u64(seed ^ number.wrapping_mul(0x9e37_79b9));
    let mut kept = None;
    for group in 0_u64.. {
        sleep(GROUP_PAUSE.mul_f64(rng.random_range(0.1..1.9))).await;
        let connection = match kept.take() {
            Some(connection) => connection,
            None => match connect(&caller, &mut rng).await {
                Some(connection) => connection,
                None => continue,
            },
        };
        kept = caller.pipeline(connection, &format!("p{number}-{group}"), &mut rng).await;
        if rng.random_bool(LEAVE_SHARE) {
            kept = None;
        }
    }
}

/// Connects to a VM of the directory. Returns `None` if none is listed or it can't be reached.
async fn connect(caller: &Caller, rng: &mut SmallRng) -> Option<Connection> {
    let addresses = caller.resolve(rng).await.filter(|addresses| !addresses.is_empty())?;
    let address = addresses[rng.random_range(0..addresses.len())];
    let vm = caller.vms.iter().position(|vm| vm.callers == address)?;
    let stream = timeout(Duration::from_secs(1), TcpStream::connect(address)).await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    Some(Connection { stream: BufReader::new(stream), vm })
}

impl Caller {
    /// Sends a group of reads at once, and records the response to each in order. Returns the
    /// connection if it stays open.
    async fn pipeline(
        &self,
        mut connection: Connection,
        group: &str,
        rng: &mut SmallRng,
    ) -> Option<Connection> {
        let (mut reads, mut text) = (Vec::new(), String::new());
        for i in 0..rng.random_range(2..5) {
            let id = format!("{group}-{i}");
            let (kind, name) =
                if rng.random_bool(0.3) { (Kind::Moved, "moved") } else { (Kind::Read, "read") };
            let object = rng.random_range(0..20);
            let deadline = DEADLINES[rng.random_range(0..DEADLINES.len())].as_millis();
            text += &format!(
                "GET /{name}/{object} HTTP/1.1\r\nhost: soak.example\r\nrequest-id: {id}\r\n\
                 affinity-key: {object}\r\ndeadline-ms: {deadline}\r\n\r\n"
            );
            reads.push(PendingRead { id, kind });
        }
        let sent = Instant::now();
        // A failed write is seen as a failed read, too.
        let _ = connection.stream.write_all(text.as_bytes()).await;
        let mut open = true;
        for PendingRead { id, kind } in reads {
            let response = read_response(&mut connection.stream, &id, &mut open);
            let outcome = match timeout_at(sent + DEADLINE + RESPONSE_MARGIN, response).await {
                Ok(Ok(outcome)) => outcome,
                Ok(Err(_)) => CallOutcome::Broken,
                Err(_) => CallOutcome::None,
            };
            open &= !matches!(outcome, CallOutcome::Broken | CallOutcome::None);
            let completion = Completion {
                at: Instant::now(),
                outcome,
                kind,
                pipelined: true,
                sent,
                vm: connection.vm,
            };
            self.recorder.record_completion(id, completion);
        }
        open.then_some(connection)
    }
}

/// Reads the response to a request. Clears `open` if it announces the end of its connection.
async fn read_response(
    stream: &mut BufReader<TcpStream>,
    id: &str,
    open: &mut bool,
) -> io::Result<CallOutcome> {
    let Some(head) = MessageHead::read(stream).await? else {
        return Ok(CallOutcome::Broken);
    };
    let body = head.read_body(stream).await?;
    *open &= head.header("connection") != "close";
    let echoed = head.header("request-id");
    let text = String::from_utf8_lossy(&body);
    Ok(match head.status() {
        Some(status) if !echoed.is_empty() && echoed != id => {
            CallOutcome::Answer(format!("{status} of {echoed}"))
        }
        Some(200) if head.header("response-stamp").is_empty() => {
            CallOutcome::Answer(format!("unsigned: {text}"))
        }
        Some(200) if text == format!("{id} 0") => CallOutcome::Answer("whole".to_owned()),
        Some(200) => CallOutcome::Answer(text.into_owned()),
        Some(status) => CallOutcome::Status(status),
        None => CallOutcome::Answer(format!("no status in {}", head.first_line)),
    })
}
