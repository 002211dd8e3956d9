//! Seeded histories with a checker: a version in force never goes down, and all VMs that reach
//! each other end with the same one.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use fleet::{Fleet, fleet_text, version};
use quickcheck::{Arbitrary, Gen};
use slog::{Discard, Logger, o};
use std::{collections::BTreeMap, env, fmt::Write, sync::Arc, time::Duration};
use steer::{EntryNode, PeerMessage, PeerReply, SettingsDocument, SettingsPath, SettingsQuery, Vm};
use tokio::time::sleep;

const SHORT_HISTORIES: u64 = 3000;
const FLEET_HISTORIES: u64 = 150;
const SHAPE: (usize, usize) = (2, 1);

/// What takes settings: the real node or the naive twin.
trait Holder {
    fn offer(&mut self, document: &SettingsDocument);
    fn held(&self) -> Option<SettingsDocument>;
}

struct Real(EntryNode);

impl Holder for Real {
    fn offer(&mut self, document: &SettingsDocument) {
        self.0.offer_settings(document);
    }

    fn held(&self) -> Option<SettingsDocument> {
        let query = PeerMessage::Settings(SettingsQuery::default());
        let Ok(PeerReply::Settings(batch)) = self.0.answer_peer(query) else { return None };
        batch.documents.into_iter().next()
    }
}

/// Takes whatever came last.
#[derive(Default)]
struct Naive(Option<SettingsDocument>);

impl Holder for Naive {
    fn offer(&mut self, document: &SettingsDocument) {
        self.0 = Some(document.clone());
    }

    fn held(&self) -> Option<SettingsDocument> {
        self.0.clone()
    }
}

/// Runs one history of answers that come late, twice and out of order; counts what the checker
/// finds.
fn run_short<H: Holder>(seed: u64, make: impl Fn() -> H) -> (usize, usize) {
    let mut g = Gen::from_size_and_seed(40, seed);
    let mut holders: Vec<H> = (0..4).map(|_| make()).collect();
    let mut written: Vec<SettingsDocument> = Vec::new();
    let mut flying: Vec<SettingsDocument> = Vec::new();
    let mut highest = BTreeMap::new();
    let mut reverts = 0;
    for _ in 0..40 {
        let (at, from) = (usize::arbitrary(&mut g) % 4, usize::arbitrary(&mut g) % 4);
        match u8::arbitrary(&mut g) % 6 {
            0 => {
                let version = written.len() as u64 + 1;
                let text = fleet_text(version).into();
                written.push(SettingsDocument { path: SettingsPath::Fleet, text, version });
            }
            1 if !written.is_empty() => {
                let any = usize::arbitrary(&mut g) % written.len();
                holders[at].offer(&written[any]);
            }
            2 => flying.extend(holders[from].held()),
            3 if !flying.is_empty() => {
                let any = usize::arbitrary(&mut g) % flying.len();
                holders[at].offer(&flying[any]);
            }
            4 if u8::arbitrary(&mut g) % 4 == 0 => {
                holders[at] = make();
                highest.remove(&at);
            }
            _ => {}
        }
        for (n, holder) in holders.iter().enumerate() {
            let now = holder.held().map_or(0, |d| d.version);
            let before = highest.insert(n, now).unwrap_or(0);
            reverts += usize::from(now < before);
        }
    }
    for _ in 0..2 {
        for at in 0..4 {
            for from in 0..4 {
                if let Some(document) = holders[from].held() {
                    holders[at].offer(&document);
                }
            }
        }
    }
    let ends: Vec<u64> = holders.iter().map(|h| h.held().map_or(0, |d| d.version)).collect();
    (reverts, usize::from(ends.iter().any(|end| *end != ends[0])))
}

#[tokio::test(start_paused = true)]
async fn versions_in_force_only_rise_and_a_naive_twin_is_caught() {
    let fleet = Fleet::start(1, 1, 1).await;
    let ports = fleet.node(0).ports().clone();
    let make = || {
        let (_, state) = Vm::join();
        let vm = Fleet::entry_vm(0, (1, 1), 1);
        Real(EntryNode::new(vm, ports.clone(), state, Logger::root(Discard, o!())))
    };
    let mut real = (0, 0);
    let mut naive = 0;
    for seed in 0..SHORT_HISTORIES {
        let found = run_short(seed, make);
        real = (real.0 + found.0, real.1 + found.1);
        let (reverts, apart) = run_short(seed, Naive::default);
        naive += usize::from(reverts + apart > 0);
    }
    assert_eq!(real, (0, 0), "versions that went down, histories that ended apart");
    assert!(naive > SHORT_HISTORIES as usize / 2, "the checker caught {naive} naive histories");
    insta::assert_snapshot!(format!("naive histories caught: {naive} of {SHORT_HISTORIES}"));
}

/// Runs a fleet through cuts, losses, outages and an older store; tells what went wrong.
async fn run_fleet(seed: u64) -> Vec<String> {
    let mut g = Gen::from_size_and_seed(40, seed);
    let mut fleet = Fleet::start(2, SHAPE.0, SHAPE.1).await;
    let network = Arc::clone(&fleet.network);
    let mut highest: BTreeMap<(usize, u64), u64> = BTreeMap::new();
    let mut wrong = Vec::new();
    let mut newest = 1;
    for step in 0..12 {
        let n = usize::arbitrary(&mut g) % 4;
        match u8::arbitrary(&mut g) % 7 {
            0 | 1 if !*network.platform.down.lock().unwrap() => newest = fleet.change(step),
            2 => network.cut(&format!("zone-{n}"), &format!("zone-{}", (n + 1) % 4)),
            3 => network.cut(&format!("zone-{n}"), "platform"),
            4 => {
                fleet.kill(n);
                fleet.run(n, SHAPE, &[]);
            }
            5 => {
                let mut down = network.platform.down.lock().unwrap();
                *down = !*down;
            }
            _ => network.heal(),
        }
        for _ in 0..10 {
            sleep(Duration::from_millis(100)).await;
            for (number, vm) in &fleet.vms {
                let key = (*number, vm.node.vm().incarnation);
                let now = version(&vm.node);
                let before = highest.insert(key, now).unwrap_or(0);
                if now < before {
                    wrong.push(format!("seed {seed}: vm {number} went from {before} to {now}"));
                }
            }
        }
    }
    network.heal();
    *network.platform.down.lock().unwrap() = false;
    if fleet.until(|n| version(n) == newest).await.is_none() {
        let held: Vec<u64> = fleet.vms.values().map(|vm| version(&vm.node)).collect();
        wrong.push(format!("seed {seed}: {held:?} in force in the end, not {newest}"));
    }
    if fleet.until_joined().await.is_none() {
        wrong.push(format!("seed {seed}: not all know all in the end"));
    }
    for number in 0..4 {
        fleet.kill(number);
    }
    wrong
}

#[tokio::test(start_paused = true)]
async fn fleets_under_faults_never_revert_and_converge() {
    let more = env::var("MORE_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(0);
    let mut wrong = Vec::new();
    for seed in 0..FLEET_HISTORIES + more {
        wrong.extend(run_fleet(seed).await);
    }
    let mut report = String::new();
    wrong.iter().for_each(|line| writeln!(report, "{line}").unwrap());
    assert!(wrong.is_empty(), "{report}");
}
