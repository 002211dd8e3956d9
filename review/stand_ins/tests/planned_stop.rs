//! LOST: a stop with SIGTERM cuts a request that waits in the queue of a busy backend.

use crate::{
    fleet::{Client, Fleet, GRACE, Route, configure},
    record::{Outcome, Record},
    store::Store,
    target::{SLOTS, Target},
};
use std::{
    io,
    sync::Arc,
    thread::{self, sleep},
    time::{Duration, Instant},
};

/// Deadline and work of requests as those of `ledger-sync`, whose route has a timeout of 6 s.
const DEADLINE: Duration = Duration::from_secs(12);
/// Deadline and size of requests as those of `survey-upload`, which has no timeout and may not be repeated.
const UPLOAD_DEADLINE: Duration = Duration::from_secs(4);
const UPLOAD_BYTES: usize = 60_000;
/// Clients that keep a connection to the router that stops.
const READS: usize = 4;
const UPLOADS: usize = 2;
const STRAGGLER_MS: u32 = 9_000;
const USUAL_MS: u32 = 400;

pub fn run(trouble: bool, record: &Arc<Record>) -> io::Result<Vec<String>> {
    let store = Store::start()?;
    let service = "arhiva";
    let routes = [
        Route { attempts: 2, kind: "safe", name: "sync", service, timeout: Some(6.0) },
        Route { attempts: 2, kind: "upload", name: "survey", service, timeout: None },
    ];
    configure(&store, 3, &routes);
    let targets: Vec<Arc<Target>> = ["osijek-a", "vukovar-a"]
        .iter()
        .enumerate()
        .map(|(n, zone)| Target::start(&format!("i-{n}"), "arhiva", zone, &store, record))
        .collect::<io::Result<_>>()?;
    let fleet = &Fleet::start(&store, record)?;
    let (stopped, other) = (0, 1);
    // Usual traffic, over connections that the clients keep. It also ends the first cold seconds.
    let mut clients: Vec<Client> =
        (0..READS + UPLOADS).map(|n| Client::new(fleet, format!("kept{n}"), stopped)).collect();
    for _ in 0..6 {
        thread::scope(|scope| {
            for client in &mut clients {
                scope.spawn(|| client.send("GET", &format!("/sync/a/{USUAL_MS}"), DEADLINE, ""));
            }
        });
    }
    record.note("clients: all slots of the service get long requests, through router 1");
    let stop_at = Instant::now() + Duration::from_millis(100);
    let mut stop_sent = stop_at;
    thread::scope(|scope| {
        for number in 0..targets.len() * SLOTS {
            scope.spawn(move || {
                sleep(Duration::from_millis(150 + 10 * number as u64));
                let mut client = Client::new(fleet, format!("long{number}"), other);
                client.send("GET", &format!("/sync/b/{STRAGGLER_MS}"), DEADLINE, "")
            });
        }
        sleep(stop_at.saturating_duration_since(Instant::now()));
        if trouble {
            fleet.signal(stopped, "TERM");
        }
        stop_sent = Instant::now();
        sleep(Duration::from_millis(600));
        // Clients keep using open connections.
        let (reads, uploads) = clients.split_at_mut(READS);
        for client in reads {
            scope.spawn(|| client.send("GET", &format!("/sync/a/{USUAL_MS}"), DEADLINE, ""));
        }
        sleep(Duration::from_millis(1_400));
        for client in uploads {
            let (path, body) = (format!("/survey/a/{USUAL_MS}"), "7".repeat(UPLOAD_BYTES));
            scope.spawn(move || client.send("POST", &path, UPLOAD_DEADLINE, &body));
        }
    });
    let arrivals = record.arrivals();
    let mut broken = Vec::new();
    for request in record.requests() {
        let in_stop = request.router == stopped && request.ended > stop_sent;
        if !in_stop || request.outcome != Outcome::Closed {
            continue;
        }
        let id = &request.id;
        let passed: Vec<_> = arrivals.iter().filter(|arrival| arrival.id == *id).collect();
        // Excused: a backend was at work on it in the last sixth of the time for the stop.
        let last = stop_sent + GRACE.mul_f64(5.0 / 6.0);
        let at_work = passed.iter().any(|arrival| {
            arrival.begun.is_some() && arrival.ended.is_none_or(|ended| ended >= last)
        });
        let cut = request.ended - stop_sent;
        let limit = match request.path.starts_with("/survey") {
            true => UPLOAD_DEADLINE,
            false => Duration::from_secs(6),
        };
        if !passed.is_empty() && !at_work && request.ended - request.at < limit {
            broken.push(format!(
                "{id} ({}) reached backend {}, which had not begun it; its connection ended without an \
                 answer {:.1} s after the SIGTERM and {:.1} s after it was sent",
                request.path,
                passed[0].target,
                cut.as_secs_f64(),
                (request.ended - request.at).as_secs_f64()
            ));
        }
    }
    Ok(broken)
}
