//! Guards against a request that crashes its targets reaching more than two of them, whichever
//! entry VMs it is sent to.

use crate::{
    run,
    support::{Faults, GuaranteeViolation, PromiseSimulation},
};
use std::{collections::BTreeSet, fmt::Write, sync::Arc, time::Duration};
use steer::{ErrorKind, Origin, Outcome, serve_request};
use tokio::time::sleep;

const VMS: usize = 4;
/// Time within which all VMs must know a suspect.
const SPREAD_TIME: Duration = Duration::from_secs(2);

/// Results for one poison request and for the innocent requests sent with it.
#[derive(Default)]
struct Tally {
    /// Innocent requests that were refused as poisonous.
    false_refusals: u64,
    /// Histories in which the poison request reached at least two targets.
    hit: u64,
    /// VMs that don't refuse the poison request after it has reached two targets.
    not_refusing: u64,
    /// Histories in which the poison request reached a third target.
    third_hit: u64,
}

/// Sends a poison request to one entry VM after another, along with innocent requests.
async fn repeat_poison(simulation: Arc<PromiseSimulation>, tally: &mut Tally) {
    let mut innocent = Vec::new();
    for repetition in 0..6 {
        for n in 0..simulation.random_below(9) {
            let (simulation, key) = (Arc::clone(&simulation), format!("read-{n}"));
            innocent.push(tokio::spawn(async move {
                let vm = simulation.random_below(VMS as u64) as usize;
                simulation.send(vm, &key, &format!("{key}-{repetition}")).await
            }));
        }
        simulation.send(repetition % VMS, "poison-1", &format!("poison-{repetition}")).await;
        sleep(SPREAD_TIME).await;
    }
    for request in innocent {
        request.await.unwrap();
    }
    let ran = simulation.history().ran.clone();
    let hit = ran.iter().filter(|r| r.key == "poison-1").map(|r| &r.target);
    let is_hit = hit.collect::<BTreeSet<_>>().len() > 1;
    tally.hit += u64::from(is_hit);
    for node in simulation.nodes() {
        let serve = |key: String| {
            serve_request(&node, PromiseSimulation::request(&key, "last"), Origin::Caller)
        };
        let is_poison = |kind| kind == ErrorKind::Poisoned;
        let refused = serve("poison-1".into()).await.is_err_and(|r| is_poison(r.kind));
        tally.not_refusing += u64::from(is_hit && !refused);
        for n in 0..9 {
            let key = format!("read-{n}");
            tally.false_refusals += u64::from(serve(key).await.is_err_and(|r| is_poison(r.kind)));
        }
    }
    tally.third_hit +=
        u64::from(simulation.history().violations().contains(&GuaranteeViolation::ThirdTarget));
}

#[test]
fn refuses_poison_before_a_third_target_and_spares_bystanders() {
    let zones = Faults { zones: true, ..Faults::default() };
    let rows = [
        ("two zones", zones),
        ("two zones, lost answers", Faults { lost: 20, ..zones }),
        ("no other faults", Faults::default()),
        ("lost answers between peers", Faults { lost: 20, ..Faults::default() }),
        ("targets refuse", Faults { refused: 20, ..Faults::default() }),
    ];
    let mut table = String::new();
    for (name, faults) in rows {
        let mut tally = Tally::default();
        for seed in 0..200 {
            run(async {
                let simulation = PromiseSimulation::new(seed, VMS, faults);
                let _vms = simulation.start(VMS);
                sleep(Duration::from_secs(1)).await;
                repeat_poison(simulation, &mut tally).await;
            });
        }
        let Tally { false_refusals, hit, not_refusing, third_hit } = tally;
        println!("{name}: two targets hit in {hit} of 200 histories");
        writeln!(
            table,
            "{name:<27} two targets hit {}, third hit {third_hit}, \
             VMs that don't refuse {not_refusing}, bystanders refused {false_refusals}",
            hit > 0
        )
        .unwrap();
    }
    insta::assert_snapshot!(table);
}

#[test]
fn catches_a_fleet_that_does_not_share_its_suspects() {
    let faults = Faults { silent: true, zones: true, ..Faults::default() };
    let mut tally = Tally::default();
    for seed in 0..200 {
        run(async {
            let simulation = PromiseSimulation::new(seed, VMS, faults);
            let _vms = simulation.start(VMS);
            sleep(Duration::from_secs(1)).await;
            repeat_poison(simulation, &mut tally).await;
        });
    }
    assert!(tally.third_hit > 0, "the check for a third target detected nothing");
}

#[test]
fn a_poison_request_is_never_told_not_run() {
    run(async {
        let simulation = PromiseSimulation::new(1, VMS, Faults::default());
        let _vms = simulation.start(VMS);
        sleep(Duration::from_secs(1)).await;
        for repetition in 0..4 {
            let outcome =
                simulation.send(repetition, "poison-1", &format!("poison-{repetition}")).await;
            assert_eq!(outcome, Outcome::Unknown);
            sleep(SPREAD_TIME).await;
        }
    });
}
