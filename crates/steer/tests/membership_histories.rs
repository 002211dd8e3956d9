//! Checks seeded random histories: the version in force on a VM never decreases, and all VMs
//! that reach each other end with the same version.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use fleet::{TestFleet, fleet_settings, fleet_version};
use quickcheck::{Arbitrary, Gen};
use slog::{Discard, Logger, o};
use std::{collections::BTreeMap, env, fmt::Write, sync::Arc, time::Duration};
use steer::{EntryNode, PeerMessage, PeerReply, SettingsDocument, SettingsPath, SettingsQuery, Vm};
use tokio::time::sleep;

const SHORT_HISTORIES: u64 = 3000;
const FLEET_HISTORIES: u64 = 150;
const ZONES_AND_VMS: (usize, usize) = (2, 1);

/// Holds settings: the real node, or a faulty model whose violations the test must detect.
trait SettingsHolder {
    fn offer(&mut self, document: &SettingsDocument);
    fn held(&self) -> Option<SettingsDocument>;
}

struct NodeHolder(EntryNode);

impl SettingsHolder for NodeHolder {
    fn offer(&mut self, document: &SettingsDocument) {
        self.0.offer_settings(document);
    }

    fn held(&self) -> Option<SettingsDocument> {
        let query = PeerMessage::Settings(SettingsQuery::default());
        let Ok(PeerReply::Settings(batch)) = self.0.answer_peer(query) else { return None };
        batch.documents.into_iter().next()
    }
}

/// Keeps the last document that it received, whatever its version.
#[derive(Default)]
struct UnversionedHolder(Option<SettingsDocument>);

impl SettingsHolder for UnversionedHolder {
    fn offer(&mut self, document: &SettingsDocument) {
        self.0 = Some(document.clone());
    }

    fn held(&self) -> Option<SettingsDocument> {
        self.0.clone()
    }
}

/// Runs one history with documents that arrive late, twice and out of order. Returns the number
/// of version decreases, and 1 if the holders end with different versions.
fn run_short<H: SettingsHolder>(seed: u64, make: impl Fn() -> H) -> (usize, usize) {
    let mut g = Gen::from_size_and_seed(40, seed);
    let mut holders: Vec<H> = (0..4).map(|_| make()).collect();
    let mut written: Vec<SettingsDocument> = Vec::new();
    let mut in_transit: Vec<SettingsDocument> = Vec::new();
    let mut highest = BTreeMap::new();
    let mut reverts = 0;
    for _ in 0..40 {
        let (at, from) = (usize::arbitrary(&mut g) % 4, usize::arbitrary(&mut g) % 4);
        match u8::arbitrary(&mut g) % 6 {
            0 => {
                let version = written.len() as u64 + 1;
                let text = fleet_settings(version).into();
                written.push(SettingsDocument { path: SettingsPath::Fleet, text, version });
            }
            1 if !written.is_empty() => {
                let any = usize::arbitrary(&mut g) % written.len();
                holders[at].offer(&written[any]);
            }
            2 => in_transit.extend(holders[from].held()),
            3 if !in_transit.is_empty() => {
                let any = usize::arbitrary(&mut g) % in_transit.len();
                holders[at].offer(&in_transit[any]);
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
    let final_versions: Vec<u64> =
        holders.iter().map(|h| h.held().map_or(0, |d| d.version)).collect();
    (reverts, usize::from(final_versions.iter().any(|end| *end != final_versions[0])))
}

#[tokio::test(start_paused = true)]
async fn versions_never_decrease_and_a_naive_model_is_detected() {
    let fleet = TestFleet::start(1, 1, 1).await;
    let ports = fleet.node(0).ports().clone();
    let make = || {
        let (_, state) = Vm::join();
        let vm = TestFleet::entry_vm(0, (1, 1), 1);
        NodeHolder(EntryNode::new(vm, ports.clone(), state, Logger::root(Discard, o!())))
    };
    let mut real = (0, 0);
    let mut naive = 0;
    for seed in 0..SHORT_HISTORIES {
        let found = run_short(seed, make);
        real = (real.0 + found.0, real.1 + found.1);
        let (reverts, diverged) = run_short(seed, UnversionedHolder::default);
        naive += usize::from(reverts + diverged > 0);
    }
    assert_eq!(real, (0, 0), "version decreases, histories with different final versions");
    assert!(naive > SHORT_HISTORIES as usize / 2, "only {naive} naive histories were detected");
    insta::assert_snapshot!(format!("naive histories detected: {naive} of {SHORT_HISTORIES}"));
}

/// Runs a fleet through settings changes, partitions, VM restarts and platform outages; returns
/// the violations.
async fn run_fleet(seed: u64) -> Vec<String> {
    let mut g = Gen::from_size_and_seed(40, seed);
    let mut fleet = TestFleet::start(2, ZONES_AND_VMS.0, ZONES_AND_VMS.1).await;
    let network = Arc::clone(&fleet.network);
    let mut highest: BTreeMap<(usize, u64), u64> = BTreeMap::new();
    let mut violations = Vec::new();
    let mut newest = 1;
    for step in 0..12 {
        let n = usize::arbitrary(&mut g) % 4;
        match u8::arbitrary(&mut g) % 7 {
            0 | 1 if !*network.platform.down.lock().unwrap() => {
                newest = fleet.change_settings(step);
            }
            2 => network.partition(&format!("zone-{n}"), &format!("zone-{}", (n + 1) % 4)),
            3 => network.partition(&format!("zone-{n}"), "platform"),
            4 => {
                fleet.kill(n);
                fleet.run(n, ZONES_AND_VMS, &[]);
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
                let now = fleet_version(&vm.node);
                let before = highest.insert(key, now).unwrap_or(0);
                if now < before {
                    violations.push(format!(
                        "seed {seed}: vm {number}: version decreased from {before} to {now}"
                    ));
                }
            }
        }
    }
    network.heal();
    *network.platform.down.lock().unwrap() = false;
    if fleet.wait_until(|n| fleet_version(n) == newest).await.is_none() {
        let held: Vec<u64> = fleet.vms.values().map(|vm| fleet_version(&vm.node)).collect();
        violations.push(format!("seed {seed}: final versions {held:?}, expected {newest}"));
    }
    if fleet.wait_until_joined().await.is_none() {
        violations.push(format!("seed {seed}: some VMs do not know all peers in the end"));
    }
    for number in 0..4 {
        fleet.kill(number);
    }
    violations
}

#[tokio::test(start_paused = true)]
async fn fleets_under_faults_never_revert_and_converge() {
    let more = env::var("MORE_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(0);
    let mut violations = Vec::new();
    for seed in 0..FLEET_HISTORIES + more {
        violations.extend(run_fleet(seed).await);
    }
    let mut report = String::new();
    violations.iter().for_each(|line| writeln!(report, "{line}").unwrap());
    assert!(violations.is_empty(), "{report}");
}
