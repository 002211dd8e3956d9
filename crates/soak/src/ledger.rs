//! Records requests as seen by callers and targets, injected faults and planned changes.

use std::{collections::BTreeMap, sync::Mutex, time::Duration};
use tokio::time::Instant;

/// Kind of a request, which decides whether it may be repeated.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// May run more than once; each configuration routes it to another service.
    Moved,
    /// May run only once.
    Once,
    /// May run more than once.
    Read,
    /// May run only once, and has a large body.
    Upload,
}

/// Outcome of a request as the caller sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Ending {
    /// Complete response of a target, with its body.
    Answer(String),
    /// The connection failed before the response was complete.
    Broken,
    /// No response by one second after the deadline.
    None,
    /// The VM could not be reached.
    Unreached,
    /// Error status from the VM or from the target.
    Status(u16),
}

/// Completion of a request, recorded by its caller.
#[derive(Clone, Debug)]
pub struct End {
    /// When the request ended.
    pub at: Instant,
    /// Outcome of the request.
    pub ending: Ending,
    /// Kind of the request.
    pub kind: Kind,
    /// When the request was sent.
    pub sent: Instant,
    /// Number of the VM that it was sent to.
    pub vm: usize,
}

/// Execution of a request at a target.
#[derive(Clone, Debug)]
pub struct Run {
    /// When execution began.
    pub at: Instant,
    /// Service of the target.
    pub service: &'static str,
    /// Number of the target.
    pub target: usize,
    /// Whether the request lacked the name of the target's instance.
    pub unnamed: bool,
}

/// Part of the system that a disruption affects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Subject {
    /// The store, for all VMs.
    Store,
    /// A target.
    Target(usize),
    /// A VM, or its connection to the store.
    Vm(usize),
}

/// Interval in which a part of the system was disrupted.
#[derive(Clone, Copy, Debug)]
pub struct Trouble {
    /// When it began.
    pub from: Instant,
    /// Affected part.
    pub subject: Subject,
    /// When it ended; `None` while it is ongoing.
    pub to: Option<Instant>,
}

/// A planned change that the store has acknowledged.
#[derive(Clone, Debug)]
pub enum Plan {
    /// A configuration routes moved requests to this service.
    Configured(&'static str),
    /// A target is registered as draining.
    Drained(usize),
    /// A zone is evacuated.
    Evacuated(usize),
    /// The evacuation of a zone is cancelled.
    Returned(usize),
    /// A target is registered as ready again.
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

/// Thread-safe record of all events of a soak.
#[derive(Debug, Default)]
pub struct Ledger {
    entries: Mutex<Entries>,
}

impl Ledger {
    fn with<T>(&self, change: impl FnOnce(&mut Entries) -> T) -> T {
        change(&mut self.entries.lock().expect("no thread panics while it holds the lock"))
    }

    /// Records the completion of a request.
    pub fn note_end(&self, id: String, end: End) {
        self.with(|e| drop(e.ends.insert(id, end)));
    }

    /// Records that a target began to execute a request.
    pub fn note_run(&self, id: &str, run: Run) {
        self.with(|e| e.runs.entry(id.to_owned()).or_default().push(run));
    }

    /// Records a planned change.
    pub fn note_plan(&self, plan: Plan) {
        self.with(|e| e.plans.push((Instant::now(), plan)));
    }

    /// Records a process that failed to stop or restart as planned.
    pub fn note_bad_stop(&self, text: String) {
        self.with(|e| e.stops.push(text));
    }

    /// Records the start of a disruption, and returns its index.
    pub fn begin(&self, subject: Subject) -> usize {
        self.with(|e| {
            e.troubles.push(Trouble { from: Instant::now(), subject, to: None });
            e.troubles.len() - 1
        })
    }

    /// Records the end of a disruption.
    pub fn end(&self, trouble: usize) {
        self.with(|e| e.troubles[trouble].to = Some(Instant::now()));
    }

    /// Returns the completions by request id.
    pub fn ends(&self) -> BTreeMap<String, End> {
        self.with(|e| e.ends.clone())
    }

    /// Returns the executions by request id.
    pub fn runs(&self) -> BTreeMap<String, Vec<Run>> {
        self.with(|e| e.runs.clone())
    }

    /// Returns the planned changes in order.
    pub fn plans(&self) -> Vec<(Instant, Plan)> {
        self.with(|e| e.plans.clone())
    }

    /// Returns descriptions of processes that failed to stop or restart as planned.
    pub fn bad_stops(&self) -> Vec<String> {
        self.with(|e| e.stops.clone())
    }

    /// Whether a part of the system was free of disruptions for a whole interval.
    pub fn is_calm(&self, subject: Subject, from: Instant, to: Instant) -> bool {
        self.with(|e| {
            let overlaps = |t: &Trouble| t.from <= to && t.to.is_none_or(|end| end >= from);
            !e.troubles.iter().any(|t| t.subject == subject && overlaps(t))
        })
    }

    /// Whether a VM ran and could reach the store for a whole interval and for [`Self::STABLE`]
    /// before it.
    pub fn in_touch(&self, vm: usize, from: Instant, to: Instant) -> bool {
        let from = from.checked_sub(Self::STABLE).unwrap_or(from);
        self.is_calm(Subject::Vm(vm), from, to) && self.is_calm(Subject::Store, from, to)
    }

    /// Time after a disruption before promises with a time limit hold again; the operators' stable
    /// window.
    pub const STABLE: Duration = Duration::from_secs(4);
}
