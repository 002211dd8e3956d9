//! Guards against a planned stop of an entry VM that aborts requests, or that fails to report those
//! it has to abort.

use crate::{
    run,
    support::{Faults, PromiseSimulation},
};
use std::{fmt::Write, sync::Arc, time::Duration};
use steer::{ClassName, Outcome, PoolOwner, Serving, StopLimits, Vm, VmState, drain_and_stop};
use tokio::{
    sync::mpsc::{self, Sender},
    task::JoinHandle,
    time::{Instant, sleep},
};

/// Stops an entry VM as its process does. Returns a sender for further signals, and the task.
fn stop(
    simulation: &Arc<PromiseSimulation>,
    vm: Vm<Serving>,
    index: usize,
    rules: StopLimits,
) -> (Sender<()>, JoinHandle<Duration>) {
    let (signal, mut signals) = mpsc::channel(2);
    let node = Arc::clone(&simulation.nodes()[index]);
    let stopping = tokio::spawn(async move {
        let start = Instant::now();
        drain_and_stop(&node, vm, &mut signals, rules).await;
        start.elapsed()
    });
    (signal, stopping)
}

/// Returns the index of the VM that owns the tests' pool.
fn owner(simulation: &PromiseSimulation) -> usize {
    let nodes = simulation.nodes();
    let owns = |node: &Arc<steer::EntryNode>| {
        node.pool_owner(&PromiseSimulation::pool_key()) == PoolOwner::ThisVm
    };
    nodes.iter().position(owns).unwrap()
}

#[test]
fn moves_its_queue_and_finishes_each_request() {
    let mut table = String::new();
    for (name, requests) in [("few requests", 4), ("more than there are slots", 60)] {
        let (mut ran, mut other) = (0, 0);
        for seed in 0..50 {
            run(async {
                let simulation = PromiseSimulation::new(seed, 2, Faults::default());
                let mut vms = simulation.start(2);
                sleep(Duration::from_secs(1)).await;
                let index = owner(&simulation);
                let send = |n: u64| {
                    let (simulation, key) = (Arc::clone(&simulation), format!("pay-{n}"));
                    tokio::spawn(async move { simulation.send((n % 2) as usize, &key, &key).await })
                };
                let sent: Vec<_> = (0..requests).map(send).collect();
                sleep(Duration::from_millis(simulation.random_below(60))).await;
                let (_signal, stopping) =
                    stop(&simulation, vms.remove(index), index, StopLimits::default());
                sleep(Duration::from_millis(200)).await;
                assert!(
                    !simulation.nodes()[index]
                        .look_up(&"10.0.0.0/8".parse().unwrap())
                        .vms
                        .iter()
                        .any(|vm| vm.name == simulation.nodes()[index].vm().name)
                );
                let cached = send(requests + index as u64 % 2);
                for request in sent.into_iter().chain([cached]) {
                    let outcome = request.await.unwrap();
                    ran += u32::from(outcome == Outcome::Ran);
                    other += u32::from(outcome != Outcome::Ran);
                }
                let took = stopping.await.unwrap();
                assert!(took >= StopLimits::default().linger);
                assert_eq!(simulation.nodes()[index].state(), VmState::Stopped);
                assert!(simulation.history().violations().is_empty());
            });
        }
        writeln!(table, "{name:<26} ran {ran}, cut or refused {other}").unwrap();
    }
    insta::assert_snapshot!(table);
}

#[test]
fn a_second_signal_or_the_limit_ends_the_wait_for_work() {
    let rules = StopLimits::default().limit(Duration::from_secs(60));
    let mut table = String::new();
    for (name, second) in [("second signal", true), ("limit", false)] {
        run(async {
            let simulation = PromiseSimulation::new(1, 1, Faults::default());
            let vm = simulation.start(1).remove(0);
            let node = Arc::clone(&simulation.nodes()[0]);
            let upload = (node.work().token(), node.in_flight().enter(&ClassName::from("upload")));
            let (signal, stopping) = stop(&simulation, vm, 0, rules);
            sleep(Duration::from_secs(10)).await;
            assert!(!stopping.is_finished(), "a request is still in progress");
            if second {
                signal.send(()).await.unwrap();
            }
            let took = stopping.await.unwrap().as_secs();
            let cut = node.in_flight().counts();
            writeln!(table, "{name:<14} stopped after {took} s with {cut:?}").unwrap();
            drop(upload);
        });
    }
    insta::assert_snapshot!(table);
}
