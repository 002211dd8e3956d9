//! Guards against running a request with an idempotency key twice, and against refusals that
//! misreport whether it ran, under network, platform and VM faults.

use crate::{
    run,
    support::{Faults, GuaranteeViolation, LossyPlatform, ObservedReply, PromiseSimulation},
};
use std::{collections::BTreeMap, fmt::Write, sync::Arc, time::Duration};
use steer::{Expected, Outcome, Platform, PlatformError, SendError};
use tokio::time::{Instant, sleep};

const VMS: usize = 3;

/// Rows of the table: a name, the faults, and whether an entry VM crashes during the run.
fn rows() -> Vec<(&'static str, Faults, bool)> {
    let faults = Faults::default();
    vec![
        ("no faults", faults, false),
        ("lost answers", Faults { lost: 25, ..faults }, false),
        ("split zone", Faults { split: true, ..faults }, false),
        ("split zone, lost answers", Faults { lost: 25, split: true, ..faults }, false),
        ("connections reset", Faults { reset: 20, refused: 20, ..faults }, false),
        ("pauses", Faults { paused: 30, split: true, ..faults }, false),
        ("an entry VM dies", Faults { lost: 5, ..faults }, true),
        (
            "all at once",
            Faults { lost: 15, paused: 10, refused: 10, reset: 10, split: true, ..faults },
            true,
        ),
    ]
}

/// Number of histories per row, unless the environment variable `SEEDS` sets it.
fn seeds() -> u64 {
    std::env::var("SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(400)
}

/// Two callers send the same key to random entry VMs at the same time, and repeat it up to four
/// times until they are told that it ran.
async fn repeat_key(simulation: Arc<PromiseSimulation>, key: String, crashes: bool) {
    let mut callers = Vec::new();
    for caller in 0..2 {
        let (simulation, key) = (Arc::clone(&simulation), key.clone());
        callers.push(tokio::spawn(async move {
            for repetition in 0..4 {
                let vm = simulation.random_below(VMS as u64) as usize;
                let id = format!("{key}-{caller}-{repetition}");
                if !simulation.is_crashed(vm)
                    && simulation.send(vm, &key, &id).await == Outcome::Ran
                {
                    return;
                }
                sleep(Duration::from_millis(simulation.random_below(8000))).await;
            }
        }));
    }
    if crashes {
        sleep(Duration::from_millis(simulation.random_below(200))).await;
        simulation.crashed.lock().unwrap().insert(0);
    }
    for caller in callers {
        caller.await.unwrap();
    }
}

/// Totals of the histories in one row of the table.
#[derive(Default)]
struct HistoryTotals {
    violations: BTreeMap<GuaranteeViolation, u64>,
    outcomes: BTreeMap<Outcome, u64>,
    runs: u64,
}

impl HistoryTotals {
    fn add(&mut self, simulation: &PromiseSimulation) {
        let history = simulation.history();
        self.runs += history.ran.len() as u64;
        for reply in &history.replies {
            *self.outcomes.entry(reply.outcome).or_default() += 1;
        }
        for violation in history.violations() {
            *self.violations.entry(violation).or_default() += 1;
        }
    }
}

#[test]
fn runs_a_key_at_most_once_and_refuses_truthfully() {
    let mut table = String::new();
    for (name, faults, crashes) in rows() {
        let mut totals = HistoryTotals::default();
        for seed in 0..seeds() {
            run(async {
                let simulation = PromiseSimulation::new(seed, VMS, faults);
                let _vms = simulation.start(VMS);
                repeat_key(Arc::clone(&simulation), "pay-1".into(), crashes).await;
                sleep(Duration::from_secs(5)).await;
                if !simulation.history().violations().is_empty() {
                    println!("{name}, seed {seed}: {:?}", simulation.history());
                }
                totals.add(&simulation);
            });
        }
        println!("{name:<26} ran {:>4}, outcomes {:?}", totals.runs, totals.outcomes);
        let ran = totals.outcomes.contains_key(&Outcome::Ran);
        writeln!(table, "{name:<26} broken {:?}, some ran {ran}", totals.violations).unwrap();
    }
    insta::assert_snapshot!(table);
}

/// A deliberate fault in a simplified flow, which the check of the history must detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mutation {
    /// Sends without confirming a claim whose write succeeded.
    NoRecheck,
    /// Takes a write without a reply for a claim.
    NoReadBack,
    /// Reports "not run" although the request may have been sent.
    NotRunAfterSend,
    /// Sends to a second target a request that may have run on the first.
    RetryAfterSend,
}

/// Sends a request by a simplified flow that has one fault, through the same fake ports.
async fn send_with_mutation(
    simulation: Arc<PromiseSimulation>,
    vm: usize,
    key: &str,
    id: &str,
    mutation: Mutation,
) {
    let sent = Instant::now();
    let node = Arc::clone(&simulation.nodes()[vm]);
    let platform = LossyPlatform { vm, simulation: Arc::clone(&simulation) };
    let path = format!("naive/{key}");
    let created = platform.write(&path, id, Expected::Absent).await;
    let read_back = || async {
        let found = platform.read(&path).await.ok().flatten().and_then(|object| object.value);
        found.is_some_and(|token| *token == *id)
    };
    let claimed = match created {
        Ok(_) => mutation == Mutation::NoRecheck || read_back().await,
        Err(PlatformError::Lost(_)) => mutation == Mutation::NoReadBack || read_back().await,
        Err(_) => false,
    };
    let mut outcome = Outcome::Unknown;
    if claimed {
        let targets = &node.ports().targets;
        let send = |n| {
            targets
                .send(format!("10.0.0.{n}:1").parse().unwrap(), PromiseSimulation::request(key, id))
        };
        let mut answer = send(1).await;
        if mutation == Mutation::RetryAfterSend && matches!(answer, Err(SendError::Sent { .. })) {
            answer = send(2).await;
        }
        outcome = match answer {
            Ok(_) => Outcome::Ran,
            Err(_) if mutation == Mutation::NotRunAfterSend => Outcome::NotRun,
            Err(_) => Outcome::Unknown,
        };
    }
    let (id, key) = (id.to_owned(), key.to_owned());
    simulation.history().replies.push(ObservedReply { body: None, id, key, outcome, sent });
}

#[test]
fn catches_each_mutation() {
    let faults = Faults { lost: 20, reset: 20, split: true, ..Faults::default() };
    let paused = Faults { paused: 30, split: true, ..Faults::default() };
    let mutations = [
        (Mutation::NoReadBack, faults, GuaranteeViolation::DoubleRun),
        (Mutation::NoRecheck, paused, GuaranteeViolation::DoubleRun),
        (Mutation::NotRunAfterSend, faults, GuaranteeViolation::FalseNotRun),
        (Mutation::RetryAfterSend, faults, GuaranteeViolation::DoubleRun),
    ];
    let mut table = String::new();
    for (mutation, faults, violation) in mutations {
        let mut totals = HistoryTotals::default();
        for seed in 0..400 {
            run(async {
                let simulation = PromiseSimulation::new(seed, VMS, faults);
                let _vms = simulation.start(VMS);
                let send = |vm| {
                    send_with_mutation(
                        Arc::clone(&simulation),
                        vm,
                        "pay-1",
                        ["a", "b"][vm],
                        mutation,
                    )
                };
                tokio::join!(send(0), async {
                    sleep(Duration::from_millis(simulation.random_below(1000))).await;
                    send(1).await;
                });
                totals.add(&simulation);
            });
        }
        println!("{mutation:?} {:?}", totals.violations);
        let caught = totals.violations.contains_key(&violation);
        assert!(caught, "{mutation:?} was not caught");
        writeln!(table, "{:<16} caught as {violation:?}", format!("{mutation:?}")).unwrap();
    }
    insta::assert_snapshot!(table);
}
