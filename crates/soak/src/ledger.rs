//! What callers and targets saw, and what was done to the system.

use std::{collections::BTreeMap, sync::Mutex, time::Duration};
use tokio::time::Instant;

/// What may be done with a request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// It may run more than once, and its service changes with each configuration.
    Moved,
    /// It may run once.
    Once,
    /// It may run more than once.
    Read,
    /// It may run once, and has a large body.
    Upload,
}

/// How a caller's request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Ending {
    /// A whole answer of a target, with its body.
    Answer(String),
    /// The connection broke before the answer was whole.
    Broken,
    /// No answer long after the deadline.
    None,
    /// The VM was not reached.
    Unreached,
    /// An answer of the system itself, or a target's failure.
    Status(u16),
}

/// The end of a request.
#[derive(Clone, Debug)]
pub struct End {
    /// When it ended.
    pub at: Instant,
    /// How it ended.
    pub ending: Ending,
    /// What may be done with it.
    pub kind: Kind,
    /// When it was sent.
    pub sent: Instant,
    /// Number of the VM that took it.
    pub vm: usize,
}

/// A run of a request at a target.
#[derive(Clone, Debug)]
pub struct Run {
    /// When it began.
    pub at: Instant,
    /// Service of the target.
    pub service: &'static str,
    /// Number of the target.
    pub target: usize,
    /// The target was asked for by another name, or not at all.
    pub unnamed: bool,
}

/// What a trouble strikes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Subject {
    /// The store, for all VMs.
    Store,
    /// A target.
    Target(usize),
    /// A VM, or its path to the store.
    Vm(usize),
}

/// Something that was wrong for a time.
#[derive(Clone, Copy, Debug)]
pub struct Trouble {
    /// When it began.
    pub from: Instant,
    /// What it struck.
    pub subject: Subject,
    /// When it ended; `None` while it lasts.
    pub to: Option<Instant>,
}

/// A planned change that the store has acknowledged.
#[derive(Clone, Debug)]
pub enum Plan {
    /// A configuration sends moved requests to a service.
    Configured(&'static str),
    /// A target drains until it is gone for good, or back.
    Drained(usize),
    /// A zone is emptied.
    Evacuated(usize),
    /// A zone is taken back.
    Returned(usize),
    /// A target is registered again.
    Undrained(usize),
}

#[derive(Debug, Default)]
struct Entries {
    ends: BTreeMap<String, End>,
    plans: Vec<(Instant, Plan)>,
    runs: BTreeMap<String, Vec<Run>>,
    stops: Vec<String>,
    troubles: Vec<Trouble>,
}

/// All that was seen in a run.
#[derive(Debug, Default)]
pub struct Ledger {
    entries: Mutex<Entries>,
}

impl Ledger {
    fn with<T>(&self, change: impl FnOnce(&mut Entries) -> T) -> T {
        change(&mut self.entries.lock().expect("no holder of the ledger's lock panics"))
    }

    /// Notes the end of a request.
    pub fn note_end(&self, id: String, end: End) {
        self.with(|e| drop(e.ends.insert(id, end)));
    }

    /// Notes that a target began to run a request.
    pub fn note_run(&self, id: &str, run: Run) {
        self.with(|e| e.runs.entry(id.to_owned()).or_default().push(run));
    }

    /// Notes a planned change.
    pub fn note_plan(&self, plan: Plan) {
        self.with(|e| e.plans.push((Instant::now(), plan)));
    }

    /// Notes a process that did not stop as it should.
    pub fn note_bad_stop(&self, text: String) {
        self.with(|e| e.stops.push(text));
    }

    /// Notes that something is wrong from now on, and gives its number.
    pub fn begin(&self, subject: Subject) -> usize {
        self.with(|e| {
            e.troubles.push(Trouble { from: Instant::now(), subject, to: None });
            e.troubles.len() - 1
        })
    }

    /// Notes that something is right again.
    pub fn end(&self, trouble: usize) {
        self.with(|e| e.troubles[trouble].to = Some(Instant::now()));
    }

    /// The ends by request id.
    pub fn ends(&self) -> BTreeMap<String, End> {
        self.with(|e| e.ends.clone())
    }

    /// The runs by request id.
    pub fn runs(&self) -> BTreeMap<String, Vec<Run>> {
        self.with(|e| e.runs.clone())
    }

    /// The planned changes in their order.
    pub fn plans(&self) -> Vec<(Instant, Plan)> {
        self.with(|e| e.plans.clone())
    }

    /// Processes that did not stop as they should.
    pub fn bad_stops(&self) -> Vec<String> {
        self.with(|e| e.stops.clone())
    }

    /// Whether something was calm for all of a span.
    pub fn is_calm(&self, subject: Subject, from: Instant, to: Instant) -> bool {
        self.with(|e| {
            let overlaps = |t: &Trouble| t.from <= to && t.to.is_none_or(|end| end >= from);
            !e.troubles.iter().any(|t| t.subject == subject && overlaps(t))
        })
    }

    /// Whether a VM ran and reached the store for all of a span, and a time before it.
    pub fn in_touch(&self, vm: usize, from: Instant, to: Instant) -> bool {
        let from = from.checked_sub(Self::STABLE).unwrap_or(from);
        self.is_calm(Subject::Vm(vm), from, to) && self.is_calm(Subject::Store, from, to)
    }

    /// Time after a trouble in which the promises with a time limit don't hold yet; the operators'
    /// stable window.
    pub const STABLE: Duration = Duration::from_secs(4);
}
