//! A request that ends its targets reaches two of them and no third, on any entry VM.

use crate::{
    run,
    support::{Breach, Faults, World},
};
use std::{collections::BTreeSet, fmt::Write, sync::Arc, time::Duration};
use steer::{ErrorKind, Origin, Outcome, serve_request};
use tokio::time::sleep;

const VMS: usize = 4;
/// Time after which all of the fleet has to know.
const TOLD_WITHIN: Duration = Duration::from_secs(2);

/// What happened to one poison request and to the others of its time.
#[derive(Default)]
struct Tally {
    condemned: u64,
    hit: u64,
    late: u64,
    third: u64,
}

/// Repeats a poison request at one entry VM after the other, with innocent ones beside it.
async fn repeat_poison(world: Arc<World>, tally: &mut Tally) {
    let mut innocent = Vec::new();
    for sending in 0..6 {
        for n in 0..world.below(9) {
            let (world, key) = (Arc::clone(&world), format!("read-{n}"));
            innocent.push(tokio::spawn(async move {
                let vm = world.below(VMS as u64) as usize;
                world.ask(vm, &key, &format!("{key}-{sending}")).await
            }));
        }
        world.ask(sending % VMS, "poison-1", &format!("poison-{sending}")).await;
        sleep(TOLD_WITHIN).await;
    }
    for request in innocent {
        request.await.unwrap();
    }
    let ran = world.history().ran.clone();
    let hit = ran.iter().filter(|r| r.key == "poison-1").map(|r| &r.target);
    let is_hit = hit.collect::<BTreeSet<_>>().len() > 1;
    tally.hit += u64::from(is_hit);
    for node in world.nodes() {
        let ask = |key: String| serve_request(&node, World::request(&key, "last"), Origin::Caller);
        let is_poison = |kind| kind == ErrorKind::Poisoned;
        let refused = ask("poison-1".into()).await.is_err_and(|r| is_poison(r.kind));
        tally.late += u64::from(is_hit && !refused);
        for n in 0..9 {
            let key = format!("read-{n}");
            tally.condemned += u64::from(ask(key).await.is_err_and(|r| is_poison(r.kind)));
        }
    }
    tally.third += u64::from(world.history().breaches().contains(&Breach::ThirdTarget));
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
                let world = World::new(seed, VMS, faults);
                let _vms = world.start(VMS);
                sleep(Duration::from_secs(1)).await;
                repeat_poison(world, &mut tally).await;
            });
        }
        let Tally { condemned, hit, late, third } = tally;
        println!("{name}: two targets hit in {hit} of 200 histories");
        writeln!(
            table,
            "{name:<27} two targets hit {}, third hit {third}, VMs that don't refuse {late}, \
             bystanders refused {condemned}",
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
            let world = World::new(seed, VMS, faults);
            let _vms = world.start(VMS);
            sleep(Duration::from_secs(1)).await;
            repeat_poison(world, &mut tally).await;
        });
    }
    assert!(tally.third > 0, "the check of a third target was blind");
}

#[test]
fn a_poison_request_is_never_told_not_run() {
    run(async {
        let world = World::new(1, VMS, Faults::default());
        let _vms = world.start(VMS);
        sleep(Duration::from_secs(1)).await;
        for sending in 0..4 {
            let told = world.ask(sending, "poison-1", &format!("poison-{sending}")).await;
            assert_eq!(told, Outcome::Unknown);
            sleep(TOLD_WITHIN).await;
        }
    });
}
