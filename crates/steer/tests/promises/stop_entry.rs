//! A planned stop of an entry VM cuts no request, and says what it cuts where it must.

use crate::{
    run,
    support::{Faults, World},
};
use std::{fmt::Write, sync::Arc, time::Duration};
use steer::{ClassName, Outcome, PoolOwner, Serving, StopRules, Vm, VmState, drain_and_stop};
use tokio::{
    sync::mpsc::{self, Sender},
    task::JoinHandle,
    time::{Instant, sleep},
};

/// Stops an entry VM as its process would; the sender gives further signals.
fn stop(
    world: &Arc<World>,
    vm: Vm<Serving>,
    index: usize,
    rules: StopRules,
) -> (Sender<()>, JoinHandle<Duration>) {
    let (signal, mut signals) = mpsc::channel(2);
    let node = Arc::clone(&world.nodes()[index]);
    let stopping = tokio::spawn(async move {
        let start = Instant::now();
        drain_and_stop(&node, vm, &mut signals, rules).await;
        start.elapsed()
    });
    (signal, stopping)
}

/// The VM that owns the pool of the tests.
fn owner(world: &World) -> usize {
    let nodes = world.nodes();
    let owns =
        |node: &Arc<steer::EntryNode>| node.pool_owner(&World::pool_key()) == PoolOwner::Here;
    nodes.iter().position(owns).unwrap()
}

#[test]
fn moves_its_queue_and_finishes_each_request() {
    let mut table = String::new();
    for (name, requests) in [("few requests", 4), ("more than there are slots", 60)] {
        let (mut ran, mut other) = (0, 0);
        for seed in 0..50 {
            run(async {
                let world = World::new(seed, 2, Faults::default());
                let mut vms = world.start(2);
                sleep(Duration::from_secs(1)).await;
                let index = owner(&world);
                let ask = |n: u64| {
                    let (world, key) = (Arc::clone(&world), format!("pay-{n}"));
                    tokio::spawn(async move { world.ask((n % 2) as usize, &key, &key).await })
                };
                let asked: Vec<_> = (0..requests).map(ask).collect();
                sleep(Duration::from_millis(world.below(60))).await;
                let (_signal, stopping) =
                    stop(&world, vms.remove(index), index, StopRules::default());
                sleep(Duration::from_millis(200)).await;
                assert!(
                    !world.nodes()[index]
                        .look_up(&"10.0.0.0/8".parse().unwrap())
                        .vms
                        .iter()
                        .any(|vm| vm.name == world.nodes()[index].vm().name)
                );
                let cached = ask(requests + index as u64 % 2);
                for request in asked.into_iter().chain([cached]) {
                    let told = request.await.unwrap();
                    ran += u32::from(told == Outcome::Ran);
                    other += u32::from(told != Outcome::Ran);
                }
                let took = stopping.await.unwrap();
                assert!(took >= StopRules::default().linger);
                assert_eq!(world.nodes()[index].state(), VmState::Stopped);
                assert!(world.history().breaches().is_empty());
            });
        }
        writeln!(table, "{name:<26} ran {ran}, cut or refused {other}").unwrap();
    }
    insta::assert_snapshot!(table);
}

#[test]
fn a_second_signal_or_the_limit_ends_the_wait_for_work() {
    let rules = StopRules::default().limit(Duration::from_secs(60));
    let mut table = String::new();
    for (name, second) in [("second signal", true), ("limit", false)] {
        run(async {
            let world = World::new(1, 1, Faults::default());
            let vm = world.start(1).remove(0);
            let node = Arc::clone(&world.nodes()[0]);
            let upload = (node.work().token(), node.under_way().enter(&ClassName::from("upload")));
            let (signal, stopping) = stop(&world, vm, 0, rules);
            sleep(Duration::from_secs(10)).await;
            assert!(!stopping.is_finished(), "work is under way");
            if second {
                signal.send(()).await.unwrap();
            }
            let took = stopping.await.unwrap().as_secs();
            let cut = node.under_way().counts();
            writeln!(table, "{name:<14} stopped after {took} s with {cut:?}").unwrap();
            drop(upload);
        });
    }
    insta::assert_snapshot!(table);
}
