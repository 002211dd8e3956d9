//! Random histories of several entry VMs that divide one cap, against naive twins.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use quickcheck::Gen;
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write,
    time::Duration,
};
use steer::{
    Candidacy, Held, Lease, LeaseBook, LeaseGrant, LeaseHolder, ShareDesk, ShareKey, VmName,
    VoteBook, WindowLimiter,
};
use tokio::time::Instant;

const CAP: u64 = 20;
const HISTORIES: u64 = 2_000;
const STEP: Duration = Duration::from_millis(50);
const STEPS: u32 = 600;
const RENEW_EVERY: u32 = 5;
const VMS: usize = 4;

/// What a history does to a twin: each is one promise left out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Rules {
    Real,
    Twin { lapse: bool, linger: bool, votes: bool, wait: bool },
    LiveView,
}

fn key() -> ShareKey {
    ShareKey::Shift { from: "porto".into(), service: "briefs".into(), to: "faro".into() }
}

trait Desk {
    fn take(&mut self, now: Instant) -> bool;
    fn hold(&mut self, grant: LeaseGrant, asked: Instant);
    fn vote(&mut self, who: LeaseHolder, now: Instant) -> LeaseGrant;
    fn voted(&self, now: Instant) -> Option<VmName>;
    fn note(&mut self, v: VmName, g: LeaseGrant, all: &BTreeSet<VmName>, at: [Instant; 2]);
    fn leads(&mut self, all: &BTreeSet<VmName>, now: Instant) -> bool;
    fn grant(&mut self, who: &LeaseHolder, all: &BTreeSet<VmName>, now: Instant) -> LeaseGrant;
}

impl Desk for ShareDesk {
    fn take(&mut self, now: Instant) -> bool {
        ShareDesk::take(self, &key(), 1, now).is_ok()
    }
    fn hold(&mut self, grant: LeaseGrant, asked: Instant) {
        ShareDesk::hold(self, &key(), grant, asked);
    }
    fn vote(&mut self, who: LeaseHolder, now: Instant) -> LeaseGrant {
        ShareDesk::vote(self, who, now)
    }
    fn voted(&self, now: Instant) -> Option<VmName> {
        self.voted_for(now).map(|h| h.vm.clone())
    }
    fn note(&mut self, v: VmName, g: LeaseGrant, all: &BTreeSet<VmName>, at: [Instant; 2]) {
        self.note_vote(v, g, all, at[0], at[1]);
    }
    fn leads(&mut self, all: &BTreeSet<VmName>, now: Instant) -> bool {
        self.is_coordinator(all, now)
    }
    fn grant(&mut self, who: &LeaseHolder, all: &BTreeSet<VmName>, now: Instant) -> LeaseGrant {
        ShareDesk::grant(self, &key(), who, CAP, CAP, all, now)
    }
}

/// The same parts as `ShareDesk`, each promise of which can be left out.
struct Twin {
    book: Option<(Instant, LeaseBook)>,
    candidacy: Candidacy,
    lease: Option<(u64, Lease<Held>)>,
    rules: [bool; 4],
    used: WindowLimiter,
    votes: VoteBook,
}

impl Desk for Twin {
    fn take(&mut self, now: Instant) -> bool {
        let [lapse, ..] = self.rules;
        let held = self.lease.as_ref();
        let limit = held.map_or(0, |(all, lease)| if lapse { lease.amount(now) } else { *all });
        self.used.take(1, limit, now).is_ok()
    }
    fn hold(&mut self, grant: LeaseGrant, asked: Instant) {
        if grant.amount > 0 {
            self.lease = Some((grant.amount, Lease::hold(grant, asked)));
        }
    }
    fn vote(&mut self, who: LeaseHolder, now: Instant) -> LeaseGrant {
        if self.rules[2] {
            return self.votes.vote(who, now);
        }
        LeaseGrant { amount: 1, id: 0, term_ms: 2_000 }
    }
    fn voted(&self, now: Instant) -> Option<VmName> {
        self.votes.holder(now).map(|h| h.vm.clone())
    }
    fn note(&mut self, v: VmName, g: LeaseGrant, all: &BTreeSet<VmName>, at: [Instant; 2]) {
        if g.amount > 0 {
            self.candidacy.note_vote(v, Lease::hold(g, at[0]).until(), all, at[1]);
        }
    }
    fn leads(&mut self, all: &BTreeSet<VmName>, now: Instant) -> bool {
        self.candidacy.is_elected(all, now)
    }
    fn grant(&mut self, who: &LeaseHolder, all: &BTreeSet<VmName>, now: Instant) -> LeaseGrant {
        let [_, linger, _, wait] = self.rules;
        let linger = if linger { WindowLimiter::WINDOW } else { Duration::ZERO };
        if !self.candidacy.is_elected(all, now) {
            return LeaseGrant::default();
        }
        let term = self.candidacy.opens(WindowLimiter::WINDOW).unwrap();
        let opens = if wait { term } else { now };
        if self.book.as_ref().is_none_or(|(held, _)| *held != term) {
            self.book = Some((term, LeaseBook::new(opens, linger)));
        }
        self.book.as_mut().unwrap().1.grant(who, CAP, CAP, now)
    }
}

/// Divides the cap by the VMs that it sees, without asking anyone.
#[derive(Default)]
struct LiveView {
    seen: u64,
    used: WindowLimiter,
}

struct Vm {
    desk: Box<dyn Desk>,
    incarnation: u64,
    live: LiveView,
    paused: u32,
}

#[derive(Clone)]
enum Body {
    Ask,
    Grant(LeaseGrant),
    Vote,
    Voted(LeaseGrant),
}

#[derive(Clone)]
struct Message {
    asked: Instant,
    body: Body,
    due: u32,
    from: usize,
    /// Incarnation that a reply is for; a reply doesn't reach a later one.
    reader: Option<u64>,
    sender: u64,
    to: usize,
}

fn name(i: usize) -> VmName {
    VmName::from(format!("entry-{i}"))
}

fn new_desk(rules: Rules, now: Instant) -> Box<dyn Desk> {
    let Rules::Twin { lapse, linger, votes, wait } = rules else {
        return Box::new(ShareDesk::new(now));
    };
    Box::new(Twin {
        book: None,
        candidacy: Candidacy::new(),
        lease: None,
        rules: [lapse, linger, votes, wait],
        used: WindowLimiter::new(),
        votes: VoteBook::new(now + LeaseBook::TERM),
    })
}

struct History {
    all: BTreeSet<VmName>,
    cut: BTreeSet<(usize, usize)>,
    g: Gen,
    mail: Vec<Message>,
    now: Instant,
    rules: Rules,
    step: u32,
    uses: Vec<Instant>,
    vms: Vec<Vm>,
}

impl History {
    fn new(rules: Rules, seed: u64) -> Self {
        let now = Instant::now();
        let fresh = |_| Vm {
            desk: new_desk(rules, now),
            incarnation: 1,
            live: LiveView::default(),
            paused: 0,
        };
        Self {
            all: (0..VMS).map(name).collect(),
            cut: BTreeSet::new(),
            g: Gen::from_size_and_seed(10, seed),
            mail: Vec::new(),
            now,
            rules,
            step: 0,
            uses: Vec::new(),
            vms: (0..VMS).map(fresh).collect(),
        }
    }

    /// Draws evenly; arbitrary numbers of quickcheck would prefer 0 and the largest.
    fn below(&mut self, n: u32) -> u32 {
        const DIGITS: [u32; 10] = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9];
        let number = (0..5).fold(0, |sum, _| sum * 10 + self.g.choose(&DIGITS).unwrap());
        number % n
    }

    fn faults(&mut self) {
        let i = self.below(VMS as u32) as usize;
        match self.below(600) {
            0 => {
                let j = self.below(VMS as u32) as usize;
                self.cut.extend([(i, j), (j, i)]);
            }
            1 => self.cut.extend((0..VMS).flat_map(|j| [(i, j), (j, i)])),
            2 | 3 => self.cut.clear(),
            4 => self.vms[i].paused = self.step + 10 + self.below(100),
            5 => {
                let incarnation = self.vms[i].incarnation + 1;
                let desk = new_desk(self.rules, self.now);
                self.vms[i] = Vm { desk, incarnation, live: LiveView::default(), paused: 0 };
            }
            _ => {}
        }
    }

    fn send(&mut self, from: usize, to: usize, asked: Instant, body: Body, reader: Option<u64>) {
        let due = self.step + 1 + self.below(6);
        let sender = self.vms[from].incarnation;
        if self.below(20) > 0 {
            self.mail.push(Message { asked, body, due, from, reader, sender, to });
        }
    }

    fn holder(&self, i: usize) -> LeaseHolder {
        LeaseHolder { incarnation: self.vms[i].incarnation, vm: name(i) }
    }

    fn deliver(&mut self) {
        let step = self.step;
        let due = self.mail.extract_if(.., |m| m.due <= step).collect::<Vec<_>>();
        for m in due {
            let gone = m.reader.is_some_and(|reader| reader != self.vms[m.to].incarnation);
            if gone || self.cut.contains(&(m.from, m.to)) {
                continue;
            }
            if self.vms[m.to].paused > step {
                self.mail.push(Message { due: self.vms[m.to].paused, ..m });
                continue;
            }
            let holder = LeaseHolder { incarnation: m.sender, vm: name(m.from) };
            let (now, all) = (self.now, self.all.clone());
            let desk = &mut self.vms[m.to].desk;
            let reply = match m.body {
                Body::Ask => Body::Grant(desk.grant(&holder, &all, now)),
                Body::Vote => Body::Voted(desk.vote(holder, now)),
                Body::Grant(grant) => {
                    desk.hold(grant, m.asked);
                    continue;
                }
                Body::Voted(grant) => {
                    desk.note(name(m.from), grant, &all, [m.asked, now]);
                    continue;
                }
            };
            self.send(m.to, m.from, m.asked, reply, Some(m.sender));
        }
    }

    fn renew(&mut self, i: usize) {
        let (now, all) = (self.now, self.all.clone());
        let sees = |j: usize| !self.cut.contains(&(i, j)) && self.vms[j].paused <= self.step;
        let seen: Vec<usize> = (0..VMS).filter(|j| *j == i || sees(*j)).collect();
        self.vms[i].live.seen = seen.len() as u64;
        let desk = &mut self.vms[i].desk;
        let voted = desk.voted(now).and_then(|v| seen.iter().copied().find(|j| name(*j) == v));
        let leader = if desk.leads(&all, now) { i } else { voted.unwrap_or(seen[0]) };
        let own = self.holder(i);
        let desk = &mut self.vms[i].desk;
        if leader != i {
            self.send(i, leader, now, Body::Ask, None);
            return;
        }
        let vote = desk.vote(own.clone(), now);
        desk.note(name(i), vote, &all, [now, now]);
        let grant = desk.grant(&own, &all, now);
        desk.hold(grant, now);
        for j in (0..VMS).filter(|j| *j != i) {
            self.send(i, j, now, Body::Vote, None);
        }
    }

    fn use_share(&mut self, i: usize) {
        let vm = &mut self.vms[i];
        let taken = match self.rules {
            Rules::LiveView => {
                let limit = CAP / vm.live.seen.max(1);
                vm.live.used.take(1, limit, self.now).is_ok()
            }
            _ => vm.desk.take(self.now),
        };
        if taken {
            self.uses.push(self.now);
        }
    }

    fn run(mut self) -> (u64, usize) {
        while self.step < STEPS {
            self.faults();
            for i in 0..VMS {
                if self.vms[i].paused > self.step {
                    continue;
                }
                // A VM that wakes up acts before it hears of anything.
                self.use_share(i);
            }
            self.deliver();
            for i in 0..VMS {
                let turn = (self.step + i as u32).is_multiple_of(RENEW_EVERY);
                if turn && self.vms[i].paused <= self.step {
                    self.renew(i);
                }
            }
            self.step += 1;
            self.now += STEP;
        }
        (most_in_window(&self.uses), self.uses.len())
    }
}

/// The most uses in any window of one second, both ends included.
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
fn holds_the_cap_in_every_window_and_catches_each_naive_twin() {
    let twin = |off: usize| {
        let [lapse, linger, votes, wait] = [0, 1, 2, 3].map(|i| i != off);
        Rules::Twin { lapse, linger, votes, wait }
    };
    let cases: BTreeMap<&str, Rules> = [
        ("1 share desk", Rules::Real),
        ("2 twin with all promises", twin(9)),
        ("3 twin that skips the lapse check", twin(0)),
        ("4 twin that lends on at once after a lapse", twin(1)),
        ("5 twin that votes for anyone who asks", twin(2)),
        ("6 twin whose new coordinator doesn't wait", twin(3)),
        ("7 naive: cap divided by the VMs in view", Rules::LiveView),
    ]
    .into();
    let mut table = String::new();
    for (title, rules) in cases {
        let mut broken = 0;
        let mut uses = 0;
        // A twin shows its fault in a part of them.
        let histories = if rules == Rules::Real { HISTORIES } else { HISTORIES / 10 };
        for seed in 0..histories {
            let (most, used) = History::new(rules, seed).run();
            broken += u64::from(most > CAP);
            uses += used;
        }
        let verdict = if broken == 0 { "never above the cap" } else { "above the cap" };
        assert!(uses as u64 > histories * CAP, "{title}: hardly anything moved: {uses}");
        writeln!(table, "{title:<45} {verdict}").unwrap();
        println!("{title:<45} {broken} of {histories}, {uses} uses");
    }
    insta::assert_snapshot!(table);
}
