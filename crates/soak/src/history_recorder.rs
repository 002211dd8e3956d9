//! Records requests as seen by callers and targets, injected faults and planned changes.

use crate::AnswerStyle;
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
pub enum CallOutcome {
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
pub struct Completion {
    /// When the request ended.
    pub at: Instant,
    /// Outcome of the request.
    pub outcome: CallOutcome,
    /// Kind of the request.
    pub kind: Kind,
    /// Whether it was sent with other requests at once.
    pub pipelined: bool,
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
    /// When the response had been written; `None` if it was not.
    pub ended: Option<Instant>,
    /// Service of the target.
    pub service: &'static str,
    /// How the target writes its response.
    pub style: AnswerStyle,
    /// Number of the target.
    pub target: usize,
    /// Whether the request lacked the name of the target's instance.
    pub unnamed: bool,
}

/// What a target says of itself in a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Notice {
    /// It leaves.
    Leaving,
    /// It refused the request and is to be spared for this long.
    Pause(Duration),
}

/// Arrival of a request at a target that it names, whether it runs or is refused.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When it arrived or, if it was refused, when the refusal was written.
    pub at: Instant,
    /// Incarnation of the target.
    pub incarnation: u64,
    /// Whether the response names a limit that can be used.
    pub limited: bool,
    /// What the response says of the target.
    pub notice: Option<Notice>,
    /// Number of the target.
    pub target: usize,
}

/// Part of the system that a disruption affects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Subject {
    /// The connection between a VM and the store.
    Link(usize),
    /// The store, for all VMs.
    Store,
    /// A target.
    Target(usize),
    /// The process of a VM.
    Vm(usize),
}

/// Interval in which a part of the system was disrupted.
#[derive(Clone, Copy, Debug)]
pub struct Disruption {
    /// When it began.
    pub from: Instant,
    /// Affected part.
    pub subject: Subject,
    /// When it ended; `None` while it is ongoing.
    pub to: Option<Instant>,
}

/// A planned change that the store has acknowledged.
#[derive(Clone, Debug)]
pub enum PlannedChange {
    /// The route `moved` of a new configuration leads to this service.
    Configured(&'static str),
    /// A target is registered as draining.
    Drained(usize),
    /// A zone is evacuated.
    Evacuated(usize),
    /// The evacuation of a zone is cancelled.
    EvacuationCancelled(usize),
    /// A target is registered as ready again.
    Undrained(usize),
}

#[derive(Debug, Default)]
struct Entries {
    arrivals: BTreeMap<String, Vec<Arrival>>,
    /// When a target began or ceased to name a limit, which is in requests a second.
    limits: Vec<(Instant, usize, Option<f64>)>,
    completions: BTreeMap<String, Completion>,
    changes: Vec<(Instant, PlannedChange)>,
    runs: BTreeMap<String, Vec<Run>>,
    process_failures: Vec<String>,
    disruptions: Vec<Disruption>,
}

/// Thread-safe record of all events of a soak.
#[derive(Debug, Default)]
pub struct HistoryRecorder {
    entries: Mutex<Entries>,
}

impl HistoryRecorder {
    fn with<T>(&self, change: impl FnOnce(&mut Entries) -> T) -> T {
        change(&mut self.entries.lock().expect("no thread panics while it holds the lock"))
    }

    /// Records the completion of a request.
    pub fn record_completion(&self, id: String, completion: Completion) {
        self.with(|e| drop(e.completions.insert(id, completion)));
    }

    /// Records the arrival of a request at a target.
    pub fn record_arrival(&self, id: &str, arrival: Arrival) {
        self.with(|e| e.arrivals.entry(id.to_owned()).or_default().push(arrival));
    }

    /// Records that a target has written its response.
    pub fn record_end(&self, id: &str, target: usize) {
        self.with(|e| {
            let runs = e.runs.get_mut(id).into_iter().flatten();
            if let Some(run) = runs.rev().find(|run| run.target == target) {
                run.ended = Some(Instant::now());
            }
        });
    }

    /// Records that a target began to execute a request.
    pub fn record_run(&self, id: &str, run: Run) {
        self.with(|e| e.runs.entry(id.to_owned()).or_default().push(run));
    }

    /// Records a planned change.
    pub fn record_change(&self, change: PlannedChange) {
        self.with(|e| e.changes.push((Instant::now(), change)));
    }

    /// Records a process that failed to stop or restart as planned.
    pub fn record_process_failure(&self, text: String) {
        self.with(|e| e.process_failures.push(text));
    }

    /// Records the start of a disruption, and returns its index.
    pub fn begin_disruption(&self, subject: Subject) -> usize {
        self.with(|e| {
            e.disruptions.push(Disruption { from: Instant::now(), subject, to: None });
            e.disruptions.len() - 1
        })
    }

    /// Records the end of a disruption.
    pub fn end_disruption(&self, disruption: usize) {
        self.with(|e| e.disruptions[disruption].to = Some(Instant::now()));
    }

    /// Returns the completions by request id.
    pub fn completions(&self) -> BTreeMap<String, Completion> {
        self.with(|e| e.completions.clone())
    }

    /// Records the limit that a target names from now on.
    pub fn record_limit(&self, target: usize, rate: Option<f64>) {
        self.with(|e| e.limits.push((Instant::now(), target, rate)));
    }

    /// Returns when each target began or ceased to name a limit.
    pub fn limits(&self) -> Vec<(Instant, usize, Option<f64>)> {
        self.with(|e| e.limits.clone())
    }

    /// Returns the arrivals at targets by request id.
    pub fn arrivals(&self) -> BTreeMap<String, Vec<Arrival>> {
        self.with(|e| e.arrivals.clone())
    }

    /// Returns the executions by request id.
    pub fn runs(&self) -> BTreeMap<String, Vec<Run>> {
        self.with(|e| e.runs.clone())
    }

    /// Returns the planned changes in order.
    pub fn changes(&self) -> Vec<(Instant, PlannedChange)> {
        self.with(|e| e.changes.clone())
    }

    /// Returns descriptions of processes that failed to stop or restart as planned.
    pub fn process_failures(&self) -> Vec<String> {
        self.with(|e| e.process_failures.clone())
    }

    /// Whether a part of the system was free of disruptions for a whole interval.
    pub fn is_undisrupted(&self, subject: Subject, from: Instant, to: Instant) -> bool {
        self.with(|e| {
            let overlaps = |d: &Disruption| d.from <= to && d.to.is_none_or(|end| end >= from);
            !e.disruptions.iter().any(|d| d.subject == subject && overlaps(d))
        })
    }

    /// Whether a VM ran and could reach the store for a whole interval, and for
    /// [`Self::STABLE_WINDOW`] before it.
    pub fn was_connected(&self, vm: usize, from: Instant, to: Instant) -> bool {
        let from = from.checked_sub(Self::STABLE_WINDOW).unwrap_or(from);
        let subjects = [Subject::Link(vm), Subject::Store, Subject::Vm(vm)];
        subjects.into_iter().all(|subject| self.is_undisrupted(subject, from, to))
    }

    /// Time after a disruption before promises with a time limit hold again. Operators call it the
    /// stable window.
    pub const STABLE_WINDOW: Duration = Duration::from_secs(4);
}
