//! Withholds requests that crash the targets that run them.

use super::{
    CrashNews, CrashTable,
    suspect_runs::{RunGuard, SuspectRuns},
};
use crate::{Fingerprint, TargetIncarnation, TargetName, TargetRecord};
use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::{sync::watch, time::Instant};

/// Requests whose connections to a target ended before a response.
#[derive(Debug)]
struct Loss {
    /// Whether it isn't known yet if the target's process has ended.
    is_open: bool,
    /// When each request was lost.
    requests: BTreeMap<Fingerprint, Instant>,
    target: TargetIncarnation,
}

impl Loss {
    fn new(target: TargetIncarnation) -> Self {
        Self { is_open: false, requests: BTreeMap::new(), target }
    }

    /// Forgets requests that were lost long ago; returns whether there are others.
    fn retain_recent(&mut self, now: Instant) -> bool {
        self.requests.retain(|_, at| now.duration_since(*at) < Quarantine::LOSS_TIME);
        !self.requests.is_empty()
    }
}

/// The requests that were running when a target crashed, with the number of their crashes so far.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashReport {
    /// The requests that are held responsible.
    pub requests: BTreeMap<Fingerprint, usize>,
    /// The target that crashed.
    pub target: TargetIncarnation,
}

#[derive(Debug, Default)]
struct QuarantineState {
    crashes: CrashTable,
    /// Losses by the address of the target.
    losses: BTreeMap<SocketAddr, Loss>,
}

impl QuarantineState {
    /// Returns the number of targets that crashed, or may have crashed, while they ran a request.
    fn count(&self, fingerprint: Fingerprint) -> usize {
        let open = self.losses.values().filter(|loss| loss.is_open);
        let open = open.filter(|loss| loss.requests.contains_key(&fingerprint)).count();
        self.crashes.count(fingerprint) + open
    }
}

/// Withholds requests that crash the targets that run them.
///
/// A lost connection alone accuses no request: the target's process must have ended, which a refused
/// connection or another incarnation at its address shows. Then every request that was running there
/// becomes a suspect, unless one with more crashes was. Suspects avoid each other's targets, a
/// suspect that is served is acquitted, and one that reaches [`CrashTable::LIMIT`] is refused.
///
/// ```
/// use steer::{Fingerprint, Quarantine, TargetIncarnation};
/// let quarantine = Quarantine::new();
/// let (fingerprint, address) = (Fingerprint::parse("7").unwrap(), "10.0.0.1:80".parse().unwrap());
/// for born in 1..=3 {
///     assert!(quarantine.check(fingerprint).is_ok());
///     quarantine.record_lost(fingerprint, TargetIncarnation { born, name: "t-1".into() }, address);
///     quarantine.record_ended(address);
/// }
/// assert!(quarantine.check(fingerprint).is_err());
/// ```
#[derive(Debug, Default)]
pub struct Quarantine {
    /// Changes when a request begins to be refused.
    refusals: watch::Sender<()>,
    runs: Arc<SuspectRuns>,
    state: Mutex<QuarantineState>,
}

impl Quarantine {
    /// Time for which a request may be refused because it isn't known yet whether a target crashed.
    const OPEN_TIME: Duration = Duration::from_secs(1);
    /// Time within which a crash accuses the requests that were lost there before.
    const LOSS_TIME: Duration = Duration::from_secs(10);

    /// Maximum number of requests lost at a target that a crash accuses.
    pub const MAX_LOST: usize = 256;

    /// Creates a quarantine without suspects.
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    fn lock(&self) -> MutexGuard<'_, QuarantineState> {
        self.state.lock().expect("no holder of the quarantine's lock panics")
    }

    /// Returns a receiver that learns when a request begins to be refused, which other VMs must know
    /// soon.
    pub fn refusals(&self) -> watch::Receiver<()> {
        self.refusals.subscribe()
    }

    /// Checks whether a request may be sent.
    ///
    /// # Errors
    ///
    /// Returns the time for which it is refused.
    pub fn check(&self, fingerprint: Fingerprint) -> Result<(), Duration> {
        let state = self.lock();
        if let Some(time) = state.crashes.refusal_time(fingerprint, Instant::now()) {
            return Err(time);
        }
        // A request whose refusal has ended may run once.
        let is_confirmed = state.crashes.count(fingerprint) >= CrashTable::LIMIT;
        if !is_confirmed && state.count(fingerprint) >= CrashTable::LIMIT {
            return Err(Self::OPEN_TIME);
        }
        Ok(())
    }

    /// Returns the targets on which other suspects run, if the request is a suspect.
    pub fn occupied_targets(&self, fingerprint: Fingerprint) -> BTreeSet<TargetName> {
        if self.lock().count(fingerprint) == 0 {
            return BTreeSet::new();
        }
        self.runs.targets_of_others(fingerprint)
    }

    /// Counts a run of a request at a target, if the request is a suspect, until the guard is
    /// dropped.
    pub fn begin_run(
        &self,
        fingerprint: Fingerprint,
        target: &TargetIncarnation,
    ) -> Option<RunGuard> {
        let count = self.lock().count(fingerprint);
        (count > 0).then(|| SuspectRuns::begin(&self.runs, fingerprint, target.clone(), count))
    }

    /// Records that a request's connection to a target ended before a response. Returns whether
    /// it has to be found out if the target's process has ended.
    pub fn record_lost(
        &self,
        fingerprint: Fingerprint,
        target: TargetIncarnation,
        address: SocketAddr,
    ) -> bool {
        let now = Instant::now();
        let mut state = self.lock();
        state.losses.retain(|_, loss| loss.retain_recent(now));
        if self.runs.highest_count(&target) > state.count(fingerprint) {
            return false;
        }
        let QuarantineState { crashes, losses } = &mut *state;
        let loss = losses.entry(address).or_insert_with(|| Loss::new(target.clone()));
        if loss.target != target {
            *loss = Loss::new(target);
        }
        loss.requests.insert(fingerprint, now);
        if loss.requests.len() > Self::MAX_LOST {
            // Those with most crashes are kept.
            let least =
                loss.requests.iter().min_by_key(|(print, at)| (crashes.count(**print), **at));
            if let Some(print) = least.map(|(print, _)| *print) {
                loss.requests.remove(&print);
            }
        }
        !mem::replace(&mut loss.is_open, true)
    }

    /// Records that the process at an address has ended. Returns the crash if requests were running
    /// there.
    pub fn record_ended(&self, address: SocketAddr) -> Option<CrashReport> {
        let now = Instant::now();
        let mut state = self.lock();
        let mut loss = state.losses.remove(&address)?;
        if !loss.retain_recent(now) {
            return None;
        }
        let mut requests = BTreeMap::new();
        for fingerprint in loss.requests.into_keys() {
            state.crashes.record_crash(fingerprint, loss.target.clone(), now);
            requests.insert(fingerprint, state.crashes.count(fingerprint));
        }
        if requests.values().any(|count| *count >= CrashTable::LIMIT) {
            self.refusals.send_replace(());
        }
        Some(CrashReport { requests, target: loss.target })
    }

    /// Records that a process accepts connections at an address: the lost connections accuse no
    /// request, unless it turns out to be another incarnation.
    pub fn record_alive(&self, address: SocketAddr) {
        if let Some(loss) = self.lock().losses.get_mut(&address) {
            loss.is_open = false;
        }
    }

    /// Records a registration, which may show that an earlier process at its address has ended.
    /// Returns the crash if requests were running there.
    pub fn record_registration(&self, record: &TargetRecord) -> Option<CrashReport> {
        let is_other = {
            let state = self.lock();
            let loss = state.losses.get(&record.address)?;
            // A registration of an earlier incarnation may still arrive.
            let is_later = record.born > loss.target.born;
            is_later && loss.target != TargetIncarnation::of(record)
        };
        if is_other { self.record_ended(record.address) } else { None }
    }

    /// Records that a target ran a request to its end. Returns whether that acquits a suspect.
    pub fn record_served(&self, fingerprint: Fingerprint) -> bool {
        let mut state = self.lock();
        if state.crashes.is_empty() && state.losses.is_empty() {
            return false;
        }
        for loss in state.losses.values_mut() {
            loss.requests.remove(&fingerprint);
        }
        state.crashes.record_served(fingerprint, Instant::now())
    }

    /// Returns the news for other VMs, with all refused requests if `all`.
    pub fn news(&self, all: bool) -> Vec<CrashNews> {
        self.lock().crashes.news(all, Instant::now())
    }

    /// Applies the news of another VM.
    pub fn apply_news(&self, news: &[CrashNews]) {
        let now = Instant::now();
        let mut state = self.lock();
        for news in news.iter().take(CrashTable::MAX_NEWS) {
            let is_change = state.crashes.apply(news.clone(), now);
            if is_change && state.crashes.count(news.fingerprint) >= CrashTable::LIMIT {
                self.refusals.send_replace(());
            }
        }
    }
}
