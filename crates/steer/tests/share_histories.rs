//! Random histories of several entry VMs that share one cap.
//!
//! Guards against exceeding the cap in any one-second window while VMs are partitioned, paused and
//! restarted and messages are lost or late. To show that the histories provoke such faults,
//! variants without one of the safety rules, and a naive split by visible VMs, have to exceed the
//! cap.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use quickcheck::Gen;
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write,
    time::Duration,
};
use steer::{
    Candidacy, Held, Lease, LeaseGrant, LeaseGrantor, LeaseHolder, ShareAllocator, ShareKey,
    VmName, Voter, WindowLimiter,
};
use tokio::time::Instant;

const CAP: u64 = 20;
const HISTORIES: u64 = 2_000;
const STEP: Duration = Duration::from_millis(50);
const STEPS: u32 = 600;
const RENEW_EVERY: u32 = 5;
const VMS: usize = 4;

/// The implementation under test. In a variant, each field says whether a safety rule is applied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Rules {
    Production,
    Variant { expiry: bool, usage_window: bool, votes: bool, wait: bool },
    VisibleSplit,
}

fn key() -> ShareKey {
    ShareKey::Shift { from: "porto".into(), service: "briefs".into(), to: "faro".into() }
}

trait Allocator {
    fn take(&mut self, now: Instant) -> bool;
    fn hold(&mut self, grant: LeaseGrant, requested_at: Instant);
    fn vote(&mut self, who: LeaseHolder, now: Instant) -> LeaseGrant;
    fn voted(&self, now: Instant) -> Option<VmName>;
    fn record(&mut self, v: VmName, g: LeaseGrant, all: &BTreeSet<VmName>, at: [Instant; 2]);
    fn is_coordinator(&mut self, all: &BTreeSet<VmName>, now: Instant) -> bool;
    fn grant(&mut self, who: &LeaseHolder, all: &BTreeSet<VmName>, now: Instant) -> LeaseGrant;
}

impl Allocator for ShareAllocator {
    fn take(&mut self, now: Instant) -> bool {
        ShareAllocator::try_acquire(self, &key(), 1, now).is_ok()
    }
    fn hold(&mut self, grant: LeaseGrant, requested_at: Instant) {
        ShareAllocator::store_lease(self, &key(), grant, requested_at);
    }
    fn vote(&mut self, who: LeaseHolder, now: Instant) -> LeaseGrant {
        ShareAllocator::vote(self, who, now)
    }
    fn voted(&self, now: Instant) -> Option<VmName> {
        self.voted_for(now).map(|h| h.vm.clone())
    }
    fn record(&mut self, v: VmName, g: LeaseGrant, all: &BTreeSet<VmName>, at: [Instant; 2]) {
        self.record_vote(v, g, all, at[0], at[1]);
    }
    fn is_coordinator(&mut self, all: &BTreeSet<VmName>, now: Instant) -> bool {
        ShareAllocator::is_coordinator(self, all, now)
    }
    fn grant(&mut self, who: &LeaseHolder, all: &BTreeSet<VmName>, now: Instant) -> LeaseGrant {
        ShareAllocator::grant(self, &key(), who, CAP, CAP, all, now)
    }
}

/// Built from the same parts as `ShareAllocator`, but each safety rule can be disabled.
struct Variant {
    grantor: Option<(Instant, LeaseGrantor)>,
    candidacy: Candidacy,
    lease: Option<(u64, Lease<Held>)>,
    rules: [bool; 4],
    used: WindowLimiter,
    voter: Voter,
}

impl Allocator for Variant {
    fn take(&mut self, now: Instant) -> bool {
        let [expiry, ..] = self.rules;
        let held = self.lease.as_ref();
        let limit = held.map_or(0, |(all, lease)| if expiry { lease.amount(now) } else { *all });
        self.used.try_acquire(1, limit, now).is_ok()
    }
    fn hold(&mut self, grant: LeaseGrant, requested_at: Instant) {
        if grant.amount > 0 {
            self.lease = Some((grant.amount, Lease::from_grant(grant, requested_at)));
        }
    }
    fn vote(&mut self, who: LeaseHolder, now: Instant) -> LeaseGrant {
        if self.rules[2] {
            return self.voter.vote(who, now);
        }
        LeaseGrant { amount: 1, id: 0, term_ms: 2_000 }
    }
    fn voted(&self, now: Instant) -> Option<VmName> {
        self.voter.holder(now).map(|h| h.vm.clone())
    }
    fn record(&mut self, v: VmName, g: LeaseGrant, all: &BTreeSet<VmName>, at: [Instant; 2]) {
        if g.amount > 0 {
            self.candidacy.record_vote(v, Lease::from_grant(g, at[0]).until(), all, at[1]);
        }
    }
    fn is_coordinator(&mut self, all: &BTreeSet<VmName>, now: Instant) -> bool {
        self.candidacy.is_elected(all, now)
    }
    fn grant(&mut self, who: &LeaseHolder, all: &BTreeSet<VmName>, now: Instant) -> LeaseGrant {
        let [_, usage_window, _, wait] = self.rules;
        let usage_window = if usage_window { WindowLimiter::WINDOW } else { Duration::ZERO };
        if !self.candidacy.is_elected(all, now) {
            return LeaseGrant::default();
        }
        let safe_from = self.candidacy.grants_from(WindowLimiter::WINDOW).unwrap();
        let grants_from = if wait { safe_from } else { now };
        if self.grantor.as_ref().is_none_or(|(from, _)| *from != safe_from) {
            self.grantor = Some((safe_from, LeaseGrantor::new(grants_from, usage_window)));
        }
        self.grantor.as_mut().unwrap().1.grant(who, CAP, CAP, now)
    }
}

/// Divides the cap by the number of reachable VMs, without coordination.
#[derive(Default)]
struct VisibleSplit {
    reachable: u64,
    used: WindowLimiter,
}

struct SimulatedVm {
    allocator: Box<dyn Allocator>,
    incarnation: u64,
    split: VisibleSplit,
    paused: u32,
}

#[derive(Clone)]
enum Payload {
    Ask,
    Grant(LeaseGrant),
    Vote,
    Voted(LeaseGrant),
}

#[derive(Clone)]
struct Message {
    requested_at: Instant,
    payload: Payload,
    due: u32,
    from: usize,
    /// Incarnation that a reply is addressed to; a later incarnation doesn't receive it.
    recipient: Option<u64>,
    sender: u64,
    to: usize,
}

fn name(i: usize) -> VmName {
    VmName::from(format!("entry-{i}"))
}

fn new_allocator(rules: Rules, now: Instant) -> Box<dyn Allocator> {
    let Rules::Variant { expiry, usage_window, votes, wait } = rules else {
        return Box::new(ShareAllocator::new(now));
    };
    Box::new(Variant {
        grantor: None,
        candidacy: Candidacy::new(),
        lease: None,
        rules: [expiry, usage_window, votes, wait],
        used: WindowLimiter::new(),
        voter: Voter::new(now + LeaseGrantor::LEASE_DURATION),
    })
}

struct Simulation {
    all: BTreeSet<VmName>,
    partitions: BTreeSet<(usize, usize)>,
    g: Gen,
    in_flight: Vec<Message>,
    now: Instant,
    rules: Rules,
    step: u32,
    uses: Vec<Instant>,
    vms: Vec<SimulatedVm>,
}

impl Simulation {
    fn new(rules: Rules, seed: u64) -> Self {
        let now = Instant::now();
        let new_vm = |_| SimulatedVm {
            allocator: new_allocator(rules, now),
            incarnation: 1,
            split: VisibleSplit::default(),
            paused: 0,
        };
        Self {
            all: (0..VMS).map(name).collect(),
            partitions: BTreeSet::new(),
            g: Gen::from_size_and_seed(10, seed),
            in_flight: Vec::new(),
            now,
            rules,
            step: 0,
            uses: Vec::new(),
            vms: (0..VMS).map(new_vm).collect(),
        }
    }

    /// Draws a nearly uniform number; quickcheck's arbitrary integers favour 0 and the extremes.
    fn below(&mut self, n: u32) -> u32 {
        const DIGITS: [u32; 10] = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9];
        let number = (0..5).fold(0, |sum, _| sum * 10 + self.g.choose(&DIGITS).unwrap());
        number % n
    }

    fn inject_fault(&mut self) {
        let i = self.below(VMS as u32) as usize;
        match self.below(600) {
            0 => {
                let j = self.below(VMS as u32) as usize;
                self.partitions.extend([(i, j), (j, i)]);
            }
            1 => self.partitions.extend((0..VMS).flat_map(|j| [(i, j), (j, i)])),
            2 | 3 => self.partitions.clear(),
            4 => self.vms[i].paused = self.step + 10 + self.below(100),
            5 => {
                let incarnation = self.vms[i].incarnation + 1;
                let allocator = new_allocator(self.rules, self.now);
                self.vms[i] = SimulatedVm {
                    allocator,
                    incarnation,
                    split: VisibleSplit::default(),
                    paused: 0,
                };
            }
            _ => {}
        }
    }

    fn send(
        &mut self,
        from: usize,
        to: usize,
        requested_at: Instant,
        payload: Payload,
        recipient: Option<u64>,
    ) {
        let due = self.step + 1 + self.below(6);
        let sender = self.vms[from].incarnation;
        if self.below(20) > 0 {
            self.in_flight.push(Message {
                requested_at,
                payload,
                due,
                from,
                recipient,
                sender,
                to,
            });
        }
    }

    fn holder(&self, i: usize) -> LeaseHolder {
        LeaseHolder { incarnation: self.vms[i].incarnation, vm: name(i) }
    }

    fn deliver(&mut self) {
        let step = self.step;
        let due = self.in_flight.extract_if(.., |m| m.due <= step).collect::<Vec<_>>();
        for m in due {
            let is_stale =
                m.recipient.is_some_and(|recipient| recipient != self.vms[m.to].incarnation);
            if is_stale || self.partitions.contains(&(m.from, m.to)) {
                continue;
            }
            if self.vms[m.to].paused > step {
                self.in_flight.push(Message { due: self.vms[m.to].paused, ..m });
                continue;
            }
            let holder = LeaseHolder { incarnation: m.sender, vm: name(m.from) };
            let (now, all) = (self.now, self.all.clone());
            let allocator = &mut self.vms[m.to].allocator;
            let reply = match m.payload {
                Payload::Ask => Payload::Grant(allocator.grant(&holder, &all, now)),
                Payload::Vote => Payload::Voted(allocator.vote(holder, now)),
                Payload::Grant(grant) => {
                    allocator.hold(grant, m.requested_at);
                    continue;
                }
                Payload::Voted(grant) => {
                    allocator.record(name(m.from), grant, &all, [m.requested_at, now]);
                    continue;
                }
            };
            self.send(m.to, m.from, m.requested_at, reply, Some(m.sender));
        }
    }

    fn renew(&mut self, i: usize) {
        let (now, all) = (self.now, self.all.clone());
        let reaches =
            |j: usize| !self.partitions.contains(&(i, j)) && self.vms[j].paused <= self.step;
        let reachable: Vec<usize> = (0..VMS).filter(|j| *j == i || reaches(*j)).collect();
        self.vms[i].split.reachable = reachable.len() as u64;
        let allocator = &mut self.vms[i].allocator;
        let voted =
            allocator.voted(now).and_then(|v| reachable.iter().copied().find(|j| name(*j) == v));
        let coordinator =
            if allocator.is_coordinator(&all, now) { i } else { voted.unwrap_or(reachable[0]) };
        let own = self.holder(i);
        let allocator = &mut self.vms[i].allocator;
        if coordinator != i {
            self.send(i, coordinator, now, Payload::Ask, None);
            return;
        }
        let vote = allocator.vote(own.clone(), now);
        allocator.record(name(i), vote, &all, [now, now]);
        let grant = allocator.grant(&own, &all, now);
        allocator.hold(grant, now);
        for j in (0..VMS).filter(|j| *j != i) {
            self.send(i, j, now, Payload::Vote, None);
        }
    }

    fn use_share(&mut self, i: usize) {
        let vm = &mut self.vms[i];
        let taken = match self.rules {
            Rules::VisibleSplit => {
                let limit = CAP / vm.split.reachable.max(1);
                vm.split.used.try_acquire(1, limit, self.now).is_ok()
            }
            _ => vm.allocator.take(self.now),
        };
        if taken {
            self.uses.push(self.now);
        }
    }

    fn run(mut self) -> (u64, usize) {
        while self.step < STEPS {
            self.inject_fault();
            for i in 0..VMS {
                if self.vms[i].paused > self.step {
                    continue;
                }
                // A VM that resumes from a pause uses its share before it receives any message.
                self.use_share(i);
            }
            self.deliver();
            for i in 0..VMS {
                let is_due = (self.step + i as u32).is_multiple_of(RENEW_EVERY);
                if is_due && self.vms[i].paused <= self.step {
                    self.renew(i);
                }
            }
            self.step += 1;
            self.now += STEP;
        }
        (most_in_window(&self.uses), self.uses.len())
    }
}

/// Returns the maximum number of uses in any one-second window, including both ends.
fn most_in_window(uses: &[Instant]) -> u64 {
    let mut first = 0;
    let mut most = 0;
    for (last, at) in uses.iter().enumerate() {
        while at.duration_since(uses[first]) > Duration::from_secs(1) {
            first += 1;
        }
        most = most.max(last + 1 - first);
    }
    most as u64
}

#[test]
fn never_exceeds_the_cap_and_detects_each_faulty_variant() {
    let variant = |disabled: usize| {
        let [expiry, usage_window, votes, wait] = [0, 1, 2, 3].map(|i| i != disabled);
        Rules::Variant { expiry, usage_window, votes, wait }
    };
    let cases: BTreeMap<&str, Rules> = [
        ("1 production code", Rules::Production),
        ("2 variant with all rules", variant(9)),
        ("3 variant that ignores lease expiry", variant(0)),
        ("4 variant that ignores usage after expiry", variant(1)),
        ("5 variant that votes for every candidate", variant(2)),
        ("6 variant whose new coordinator doesn't wait", variant(3)),
        ("7 naive: cap divided by the reachable VMs", Rules::VisibleSplit),
    ]
    .into();
    let mut table = String::new();
    for (title, rules) in cases {
        let mut violations = 0;
        let mut uses = 0;
        // Faulty variants exceed the cap in a fraction of the histories, so fewer are enough.
        let histories = if rules == Rules::Production { HISTORIES } else { HISTORIES / 10 };
        for seed in 0..histories {
            let (most, used) = Simulation::new(rules, seed).run();
            violations += u64::from(most > CAP);
            uses += used;
        }
        let verdict = if violations == 0 { "never exceeds the cap" } else { "exceeds the cap" };
        assert!(
            uses as u64 > histories * CAP,
            "{title}: too little was used to test the cap: {uses}"
        );
        writeln!(table, "{title:<45} {verdict}").unwrap();
        println!("{title:<45} {violations} of {histories}, {uses} uses");
    }
    insta::assert_snapshot!(table);
}
