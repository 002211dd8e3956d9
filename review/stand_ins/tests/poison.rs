//! BUDGET: a request that crashes its backends goes on to reach backends.

use crate::{
    fleet::{Client, Fleet, Route, STABLE_WINDOW, ZONES, configure},
    record::{Outcome, Record},
    store::Store,
    target::Target,
};
use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

/// Times as those of `turn-view` and `turn-claim`.
const VIEW_DEADLINE: Duration = Duration::from_secs(3);
const CLAIM_DEADLINE: Duration = Duration::from_secs(4);
const LENGTH: Duration = Duration::from_secs(30);
/// Time between two requests of the caller whose request crashes backends.
const POISON_PERIOD: Duration = Duration::from_millis(1_500);
/// Retries that the rule allows once it is known that the request crashes backends.
const ALLOWED: usize = 3;

pub fn run(trouble: bool, record: &Arc<Record>) -> io::Result<Vec<String>> {
    let store = Store::start()?;
    let routes = [
        Route {
            attempts: 2,
            kind: "safe",
            name: "view",
            service: "redoslijed",
            timeout: Some(1.5),
        },
        Route {
            attempts: 2,
            kind: "unsafe",
            name: "claim",
            service: "redoslijed",
            timeout: Some(2.0),
        },
    ];
    configure(&store, 3, &routes);
    for number in 0..12 {
        let zone = ZONES[number % ZONES.len()].0;
        Target::start(&format!("i-{number}"), "redoslijed", zone, &store, record)?;
    }
    let fleet = &Fleet::start(&store, record)?;
    let stop = &AtomicBool::new(false);
    thread::scope(|scope| {
        for number in 0..6 {
            scope.spawn(move || {
                let router = fleet.find_router(number % ZONES.len()).unwrap_or(0);
                let mut client = Client::new(fleet, format!("claim{number}"), router);
                while !stop.load(Ordering::Relaxed) {
                    client.send("POST", "/claim/7/500", CLAIM_DEADLINE, "turn 7");
                    sleep(Duration::from_millis(100));
                }
            });
        }
        let start = Instant::now();
        let mut turn = 0;
        let path = if trouble { "/view/poison/200" } else { "/view/sound/200" };
        sleep(Duration::from_secs(2));
        while start.elapsed() < LENGTH {
            let sent = Instant::now();
            turn += 1;
            Client::new(fleet, format!("caller{turn}"), turn % ZONES.len()).send(
                "GET",
                path,
                VIEW_DEADLINE,
                "",
            );
            sleep(POISON_PERIOD.saturating_sub(sent.elapsed()));
        }
        stop.store(true, Ordering::Relaxed);
    });
    let arrivals = record.arrivals();
    let crashes: Vec<Instant> = arrivals.iter().filter(|a| a.crashed).map(|a| a.at).collect();
    let claims = record.requests();
    let claims = claims.iter().filter(|request| request.path.starts_with("/claim"));
    let (mut lost, mut all) = (0, 0);
    for claim in claims {
        all += 1;
        // A claim that a crash cut: it had begun to run, and its client got no answer of a backend.
        let ran = arrivals.iter().any(|a| a.id == claim.id && a.begun.is_some());
        let served = matches!(claim.outcome, Outcome::Answer { status: 200, .. });
        lost += usize::from(ran && !served);
    }
    let (crashed, arrived) = (crashes.len(), arrivals.len());
    record.note(format!("{crashed} crashes, {arrived} arrivals; {lost} of {all} claims lost"));
    println!(
        "{crashed} crashes; {lost} of {all} claims of other callers began to run and were lost"
    );
    let Some(third) = crashes.get(2) else { return Ok(Vec::new()) };
    let late = arrivals
        .iter()
        .filter(|arrival| arrival.path.contains("/poison") && arrival.at > *third + STABLE_WINDOW);
    let late = late.count();
    if !fleet.all_run() {
        return Err(io::Error::other("a router has ended by itself"));
    }
    if late <= ALLOWED {
        return Ok(Vec::new());
    }
    Ok(vec![format!(
        "the request reached backends {late} times later than 3 s after it had crashed the third; \
         {ALLOWED} are allowed"
    )])
}
