//! CONFIG: connections to the store that go silent hide a configuration.

use crate::{
    fleet::{CONFIG_APPLY, Client, Fleet, Route, STABLE_WINDOW, ZONES, configure},
    record::{Outcome, Record},
    store::Store,
    target::Target,
};
use std::{
    io,
    sync::{Arc, atomic::Ordering},
    thread::{self, sleep},
    time::{Duration, Instant},
};

const DEADLINE: Duration = Duration::from_secs(3);
/// Margin for the clocks of this program.
const MARGIN: Duration = Duration::from_millis(50);

fn routes(service: &'static str) -> [Route; 1] {
    [Route { attempts: 2, kind: "safe", name: "view", service, timeout: Some(1.5) }]
}

pub fn run(trouble: bool, record: &Arc<Record>) -> io::Result<Vec<String>> {
    let store = Store::start()?;
    configure(&store, 3, &routes("kalendar"));
    for (number, service) in ["kalendar", "arhiva"].repeat(3).into_iter().enumerate() {
        let zone = ZONES[number / 2].0;
        Target::start(&format!("i-{number}"), service, zone, &store, record)?;
    }
    let fleet = &Fleet::start(&store, record)?;
    sleep(Duration::from_secs(6));
    // The connections on which the watches of the configuration wait: nothing passes on them for seconds.
    let silenced = loop {
        let connections = store.connections.lock().unwrap();
        let waits_for = |kind: &str, since: Duration| {
            connections.iter().any(|connection| {
                let watch = connection.watch.lock().unwrap();
                watch.as_ref().is_some_and(|(k, at)| k == kind && at.elapsed() < since)
            })
        };
        if !waits_for("config", Duration::from_millis(300)) {
            drop(connections);
            sleep(Duration::from_millis(20));
            continue;
        }
        let quiet: Vec<_> = connections
            .iter()
            .filter(|connection| {
                let watch = connection.watch.lock().unwrap();
                watch.as_ref().is_some_and(|(kind, _)| kind == "config")
            })
            .cloned()
            .collect();
        if trouble {
            quiet.iter().for_each(|quiet| quiet.silent.store(true, Ordering::Relaxed));
        }
        break quiet.len();
    };
    let silent_at = Instant::now();
    record.note(format!("network: {silenced} open connections to the store go silent: {trouble}"));
    sleep(STABLE_WINDOW + MARGIN);
    configure(&store, 9, &routes("arhiva"));
    let acked = Instant::now();
    record.note("operator: version 9, which moves the route to arhiva, is acknowledged");
    sleep(CONFIG_APPLY + MARGIN);
    thread::scope(|scope| {
        for router in 0..ZONES.len() {
            scope.spawn(move || {
                let mut client = Client::new(fleet, format!("c{router}"), router);
                while silent_at.elapsed() < Duration::from_secs(10) {
                    client.send("GET", "/view/7/20", DEADLINE, "");
                    sleep(Duration::from_millis(50));
                }
            });
        }
    });
    let late = record.requests().into_iter().filter(|request| {
        matches!(&request.outcome, Outcome::Answer { status: 200, text, .. }
            if text.starts_with("kalendar"))
            && request.at > acked + CONFIG_APPLY
    });
    let late: Vec<_> = late.collect();
    let Some(last) = late.last() else { return Ok(Vec::new()) };
    Ok(vec![format!(
        "{} requests sent later than 2 s after version 9 was acknowledged ran at the service of \
         version 3; the last was sent {:.2} s after the acknowledgement, through router {}",
        late.len(),
        (last.at - acked).as_secs_f64(),
        last.router
    )])
}
