//! State of all targets in the fleet, and selection among them.

use super::{
    Admission, BeliefSource, Distance, HoldCause, LimitNews, LimitNewsLog, LimitNotice, LoadSample,
    ObjectHash, PauseRequest, PlacementError, PlacementGuard, PlacementQuery, RequestedLimit,
    ShiftGuard, TargetAccess, TargetRecord,
    hold_summary::HoldSummary,
    send_window::send_quota,
    target_state::TargetState,
    target_table_state::{TargetKey, TargetTableState},
};
use crate::{AvailabilityZoneName, RegionName, RouteTable, ServiceName, TargetName, VmName};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::time::Instant;

/// Limits that the VMs enforce collectively.
#[derive(Clone, Copy, Debug)]
pub struct PlacementLimits {
    /// Requests per second allowed to a cold target on top of its scaled rate.
    pub cold_burst: f64,
    /// Multiplier for the rate that a cold target can handle.
    pub cold_factor: f64,
    /// Fraction of a region's requests that may move to another region from one window to the
    /// next.
    pub max_shift: f64,
}

impl Default for PlacementLimits {
    fn default() -> Self {
        Self { cold_burst: 0.0, cold_factor: 1.0, max_shift: 1.0 }
    }
}

/// The targets of all services, shared by all requests on this VM.
///
/// ```
/// use std::{collections::BTreeMap, sync::Arc};
/// use steer::{PlacementLimits, PlacementQuery, TargetRecord, TargetTable};
/// let here = ("lis-a".into(), "lisboa".into());
/// let zones = BTreeMap::from([("lis-a".into(), "lisboa".into())]);
/// let limits = PlacementLimits::default();
/// let table = Arc::new(TargetTable::new("entry-1".into(), here, zones, limits));
/// let address = "10.0.0.1:80".parse().unwrap();
/// table.apply(TargetRecord::new("t-1", "briefs", address).slots(6).zone("lis-a"));
/// let guard = table.place_request(&PlacementQuery::new("briefs")).unwrap();
/// assert_eq!(guard.target().name.as_str(), "t-1");
/// ```
#[derive(Debug)]
pub struct TargetTable {
    here: (AvailabilityZoneName, RegionName),
    inner: Mutex<TargetTableState>,
    name: VmName,
    rules: PlacementLimits,
    zones: BTreeMap<AvailabilityZoneName, RegionName>,
}

impl TargetTable {
    /// Number of targets that share an object's requests, so that its data stays cached there.
    pub const REPLICAS: usize = 2;
    /// Cost of a target that may not have the object cached, as a multiple of the mean work time:
    /// uncached work takes about three times as long.
    const UNCACHED_COST: f64 = 1.5;
    /// Cost per step in the replica ranking of an object, as a multiple of the mean work time; it
    /// makes all VMs prefer the same replica.
    const REPLICA_COST: f64 = 0.1;
    /// Cost of a target whose responses all fail, as a multiple of the mean work time.
    const FAILURE_COST: f64 = 8.0;
    /// Cost of sending a large body to another availability zone.
    const CROSS_ZONE_COST: Duration = Duration::from_millis(400);
    /// Cost of sending a large body to another region.
    const CROSS_REGION_COST: Duration = Duration::from_millis(800);
    /// Fraction of `max_shift` that each VM uses, because the VMs' shares do not change in step.
    const SHIFT_MARGIN: f64 = 0.8;
    /// Time after a target loss or an evacuation change during which the shift limit is not
    /// enforced.
    const DISRUPTION_TIME: Duration = Duration::from_secs(4);
    /// Retry delay reported when all remaining targets are cold and have used up their quota.
    pub(super) const COLD_RETRY_DELAY: Duration = Duration::from_millis(500);
    /// Time for which a target is treated as cold after its connection failed.
    const SUSPECT_TIME: Duration = Duration::from_secs(3);

    /// Creates an empty table for a VM and its location.
    pub fn new(
        name: VmName,
        here: (AvailabilityZoneName, RegionName),
        zones: BTreeMap<AvailabilityZoneName, RegionName>,
        rules: PlacementLimits,
    ) -> Self {
        let shift = ShiftGuard::new(rules.max_shift * Self::SHIFT_MARGIN);
        let inner = TargetTableState::new(shift);
        Self { here, inner: Mutex::new(inner), name, rules, zones }
    }

    fn lock(&self) -> MutexGuard<'_, TargetTableState> {
        self.inner.lock().expect("no holder of the target table's lock panics")
    }

    /// Adds a target or updates its registration.
    pub fn apply(&self, record: TargetRecord) {
        let now = Instant::now();
        let mut inner = self.lock();
        let inner = &mut *inner;
        let current = inner.targets.get_mut(&record.service).and_then(|t| t.get_mut(&record.name));
        let mut cold_left = record.cold_left;
        let state = match current {
            Some(state) if state.record.born == record.born => {
                if !record.is_newer_than(&state.record) {
                    cold_left = Duration::ZERO;
                }
                state.record = record;
                state
            }
            _ => {
                inner.remove(&record.name);
                let region = self.zones.get(&record.zone).cloned().unwrap_or_default();
                let distance =
                    Distance::between(&self.here, &(record.zone.clone(), region.clone()));
                let access = inner.retired.take(&record.name, record.born);
                let (name, service) = (record.name.clone(), record.service.clone());
                let mut state = TargetState::new(record, region, distance);
                state.access = access.unwrap_or_default();
                let targets = inner.targets.entry(service).or_default();
                targets.entry(name).insert_entry(state).into_mut()
            }
        };
        state.access.record_registration(now, state.record.leaving);
        state.access.record_cold(BeliefSource::Registration, now, cold_left);
    }

    /// Removes a target.
    pub fn remove(&self, name: &TargetName) {
        let mut inner = self.lock();
        inner.disrupted = Some(Instant::now());
        inner.remove(name);
    }

    /// Returns the names of all targets.
    pub fn names(&self) -> BTreeSet<TargetName> {
        self.lock().targets.values().flat_map(|targets| targets.keys().cloned()).collect()
    }

    /// Replaces the service rules with those of a route table.
    pub fn set_rules(&self, table: &RouteTable) {
        self.lock().rules = table.services().map(|(name, rules)| (name.clone(), *rules)).collect();
    }

    /// Sets the known VMs, including this one, which share the limits for cold targets.
    pub fn set_vms(&self, vms: BTreeSet<VmName>) {
        self.lock().vms = vms;
    }

    /// Sets the availability zones whose targets receive no requests.
    pub fn set_evacuated(&self, zones: BTreeSet<AvailabilityZoneName>) {
        let now = Instant::now();
        let mut inner = self.lock();
        let inner = &mut *inner;
        for (service, targets) in &mut inner.targets {
            let cold = inner.rules.get(service).map_or(Duration::ZERO, |rules| rules.cold_time);
            for state in targets.values_mut() {
                let zone = &state.record.zone;
                let returned = inner.evacuated.contains_key(zone) && !zones.contains(zone);
                if returned {
                    state.access.record_cold(BeliefSource::Evacuation, now, cold);
                }
            }
        }
        inner.disrupted = Some(now);
        inner.evacuated.retain(|zone, _| zones.contains(zone));
        for zone in zones {
            inner.evacuated.entry(zone).or_insert(now);
        }
    }

    /// Selects the best target for a request and counts the request against its load.
    ///
    /// # Errors
    ///
    /// Returns an error if no target can accept the request now.
    pub fn place_request(
        self: &Arc<Self>,
        query: &PlacementQuery,
    ) -> Result<PlacementGuard, PlacementError> {
        let now = Instant::now();
        let mut inner = self.lock();
        let inner = &mut *inner;
        let burst = self.cold_burst(inner, &query.service);
        let share = inner.share();
        let (name, vms) = (&self.name, &inner.vms);
        let work = inner.work.get(&query.service).copied().unwrap_or_default().get();
        let targets = inner.targets.get_mut(&query.service).ok_or(PlacementError::NoTarget)?;
        // After a loss of targets, their requests must move immediately. Large bodies are rare, and
        // the cost of sending them to another zone keeps them nearby.
        let stable =
            inner.disrupted.is_none_or(|at| now.duration_since(at) >= Self::DISRUPTION_TIME);
        let limits_shift = stable && !query.streamed;
        let at_limit = if limits_shift { inner.shift.at_limit(now) } else { Vec::new() };
        // Without an object, each VM uses its own ranking, so that VMs without load information
        // do not all select the same target.
        let order = query.object.unwrap_or_else(|| ObjectHash::new("", name.as_str().as_bytes()));
        let mut holds = HoldSummary::default();
        let mut usable: Vec<(f64, Admission, &mut TargetState)> = targets
            .values_mut()
            .filter(|state| state.matches(query))
            .filter_map(|state| {
                let quota = || send_quota(burst, name, vms, &state.record.name);
                match state.admit(now, &inner.evacuated, share, quota) {
                    Ok(admission) => {
                        Some((order.rank(state.record.name.as_str()), admission, state))
                    }
                    Err(hold) => {
                        holds.add(&state.record.name, hold);
                        None
                    }
                }
            })
            .collect();
        if usable.is_empty() {
            return Err(holds.into_error(now));
        }
        if usable.iter().any(|(_, _, state)| !at_limit.contains(&state.region)) {
            usable.retain(|(_, _, state)| !at_limit.contains(&state.region));
        }
        // Without an object all targets are equal replicas, and the ranking only breaks ties.
        if query.object.is_some() {
            usable.sort_by(|(a, ..), (b, ..)| a.total_cmp(b));
            if !query.streamed {
                usable.truncate(Self::REPLICAS);
            }
        }
        let mut ranks: BTreeMap<Distance, usize> = BTreeMap::new();
        let costs = usable.into_iter().map(|(order, admission, state)| {
            // The replicas of a large body are ranked per distance, because a nearby one is
            // preferred.
            let near = if query.streamed { state.distance } else { Distance::Zone };
            let rank = ranks.entry(near).or_default();
            let wait = state.wait(now, work);
            let cost = wait + cost(state, query, *rank, work, now);
            *rank = (*rank + 1).min(Self::REPLICAS);
            ((cost, order), wait, admission, state)
        });
        // A large body may go to any target that accepts it in time. Other requests wait for a
        // target that has the object cached, because an uncached run uses the capacity of
        // several cached ones.
        let max_wait = query.max_wait.as_secs_f64();
        let late = |wait: f64| query.streamed && wait > max_wait;
        let best = costs.min_by(|((a, a_order), x, ..), ((b, b_order), y, ..)| {
            let by_cost = late(*x).cmp(&late(*y)).then_with(|| a.total_cmp(b));
            by_cost.then_with(|| a_order.total_cmp(b_order))
        });
        let Some((_, wait, admission, state)) = best else {
            return Err(PlacementError::Full(Self::COLD_RETRY_DELAY));
        };
        if wait > max_wait {
            return Err(PlacementError::Full(Duration::from_secs_f64(wait - max_wait)));
        }
        let oversubscription = state.oversubscription(now);
        let returned = state.access.take_return(now);
        state.begin(admission, now, share);
        inner.shift.record(&state.region, now);
        let key = TargetKey {
            born: state.record.born,
            name: state.record.name.clone(),
            object: query.object,
            service: query.service.clone(),
        };
        Ok(PlacementGuard::new(Arc::clone(self), key, state.record.clone(), oversubscription)
            .returned(returned))
    }

    /// Returns the time until the first target returns, if all targets that a request may use pause,
    /// back off, or limit their requests.
    pub fn first_return(&self, query: &PlacementQuery) -> Option<Duration> {
        let now = Instant::now();
        let inner = self.lock();
        let mut holds = HoldSummary::default();
        for state in inner.targets.get(&query.service)?.values().filter(|s| s.matches(query)) {
            match state.admit(now, &inner.evacuated, inner.share(), || u32::MAX) {
                Ok(_) => return None,
                Err(hold) => holds.add(&state.record.name, hold),
            }
        }
        match holds.into_error(now) {
            PlacementError::BackOff { wait, .. }
            | PlacementError::Limited { wait, .. }
            | PlacementError::Paused { wait, .. } => Some(wait),
            PlacementError::Full(_) | PlacementError::NoTarget => None,
        }
    }

    /// Returns the mean work time of a service's requests.
    pub fn work_time(&self, service: &ServiceName) -> Duration {
        let work = self.lock().work.get(service).copied().unwrap_or_default();
        Duration::from_secs_f64(work.get())
    }

    /// Returns how many requests per window the fleet may send to a cold target of a service.
    fn cold_burst(&self, inner: &TargetTableState, service: &ServiceName) -> u32 {
        let Some(rules) = inner.rules.get(service) else { return 0 };
        (rules.cold_rate * self.rules.cold_factor + self.rules.cold_burst) as u32
    }

    fn with_state(&self, key: &TargetKey, change: impl FnOnce(&mut TargetState)) {
        if let Some(state) = self.lock().state(key) {
            change(state);
        }
    }

    /// Confirms that a placed request may still be sent.
    pub(super) fn confirm(&self, key: &TargetKey, placed: Instant) -> Result<(), HoldCause> {
        let inner = self.lock();
        let state = inner.targets.get(&key.service).and_then(|targets| targets.get(&key.name));
        let state = state.filter(|state| state.record.born == key.born);
        let state = state.ok_or(HoldCause::Unregistered)?;
        state.confirm(Instant::now(), placed, &inner.evacuated).map(drop).map_err(|hold| hold.cause)
    }

    pub(super) fn release(&self, key: &TargetKey) {
        self.with_state(key, |state| state.load.end());
    }

    /// Records the work time of one request, and that the target has its object cached.
    pub(super) fn record_work(&self, key: &TargetKey, time: Duration) {
        let now = Instant::now();
        let mut inner = self.lock();
        // Clones the service name only on first use.
        match inner.work.get_mut(&key.service) {
            Some(work) => work.record(time),
            None => inner.work.entry(key.service.clone()).or_default().record(time),
        }
        let Some(state) = inner.state(key) else { return };
        state.access.record_run(now);
        if let Some(object) = key.object {
            state.cached.record(object, now);
        }
    }

    pub(super) fn record_response(&self, key: &TargetKey, load: Option<LoadSample>, failed: bool) {
        self.with_state(key, |state| {
            state.access.record_response(failed);
            if let Some(sample) = load {
                state.load.report(Instant::now(), sample);
            }
        });
    }

    pub(super) fn record_leaving(&self, key: &TargetKey) -> bool {
        self.lock().with_access(key, |access| access.record_leaving(Instant::now()))
    }

    pub(super) fn record_limit(&self, key: &TargetKey, limit: LimitNotice) -> bool {
        let (now, phase) = (Instant::now(), self.limit_phase(&key.name));
        let mut inner = self.lock();
        let share = inner.share();
        let rate = |access: &TargetAccess| access.limit().map(RequestedLimit::rate);
        let (before, after, changed) = inner.with_access(key, |access| {
            let before = rate(access);
            let changed = access.record_limit(now, limit, phase, share);
            (before, rate(access), changed)
        });
        if LimitNewsLog::is_change(before, after) {
            let (born, target) = (key.born, key.name.clone());
            let news = LimitNews { age: Duration::ZERO, born, rate: after, target };
            inner.limit_news.record(&news, now);
        }
        changed
    }

    /// Returns the part of the time between two requests to a limited target by which this VM's
    /// requests are shifted against those of other VMs.
    fn limit_phase(&self, target: &TargetName) -> f64 {
        ObjectHash::new("limit", self.name.as_str().as_bytes()).rank(target.as_str())
    }

    /// Returns the latest changes of limits, to tell them to other VMs.
    pub fn limit_news(&self) -> Vec<LimitNews> {
        self.lock().limit_news.recent(Instant::now())
    }

    /// Applies changes of limits that another VM tells, unless a later response to this VM shows the
    /// state of the target.
    pub fn apply_limit_news(&self, news: &[LimitNews]) {
        let now = Instant::now();
        let mut inner = self.lock();
        let share = inner.share();
        for news in news {
            let phase = self.limit_phase(&news.target);
            let states = inner.targets.iter().filter(|(_, targets)| {
                targets.get(&news.target).is_some_and(|state| state.record.born == news.born)
            });
            let Some(service) = states.map(|(service, _)| service.clone()).next() else { continue };
            if !inner.limit_news.record(news, now) {
                continue;
            }
            let (born, name) = (news.born, news.target.clone());
            let key = TargetKey { born, name, object: None, service };
            let at = now.checked_sub(news.age).unwrap_or(now);
            inner.with_access(&key, |access| {
                if access.limit().is_some_and(|limit| limit.confirmed() > at) {
                    return;
                }
                let notice = news.rate.map_or(LimitNotice::Absent, LimitNotice::PerSecond);
                access.record_limit(now, notice, phase, share);
                access.confirm_limit(at);
            });
        }
    }

    pub(super) fn put_back_limit(&self, key: &TargetKey, placed: Instant) {
        self.with_state(key, |state| state.access.put_back_limit(placed));
    }

    /// Records that the target which has an address leaves.
    pub(super) fn record_address_leaving(&self, address: SocketAddr) {
        let now = Instant::now();
        let mut inner = self.lock();
        let states = inner.targets.values_mut().flat_map(BTreeMap::values_mut);
        for state in states.filter(|state| state.record.address == address) {
            state.access.record_leaving(now);
        }
    }

    pub(super) fn record_pause(&self, key: &TargetKey, pause: PauseRequest) -> Option<Duration> {
        let order = ObjectHash::new("pause", self.name.as_str().as_bytes());
        let jitter = order.rank(key.name.as_str());
        self.lock().with_access(key, |access| access.record_pause(Instant::now(), pause, jitter))
    }

    pub(super) fn record_lost(&self, key: &TargetKey) {
        let now = Instant::now();
        let mut inner = self.lock();
        inner.disrupted = Some(now);
        if let Some(state) = inner.state(key) {
            state.access.record_lost(now);
            state.access.record_cold(BeliefSource::Connection, now, Self::SUSPECT_TIME);
        }
    }

    pub(super) fn record_misdirected(&self, key: &TargetKey) {
        self.with_state(key, |state| state.access.record_misdirected(Instant::now()));
    }
}

/// Returns the cost of a target in seconds, excluding queueing delay; lower is better.
fn cost(state: &TargetState, query: &PlacementQuery, rank: usize, work: f64, now: Instant) -> f64 {
    let replica = match query.object {
        Some(object) if !state.cached.has(object, now) => {
            TargetTable::UNCACHED_COST + rank as f64 * TargetTable::REPLICA_COST
        }
        Some(_) => rank as f64 * TargetTable::REPLICA_COST,
        None => 0.0,
    };
    let slowdown = state.load.slowness(now) - 1.0;
    let failures = state.access.failure_rate() * TargetTable::FAILURE_COST;
    let crossing = match state.distance {
        _ if !query.streamed => Duration::ZERO,
        Distance::Zone => Duration::ZERO,
        Distance::Region => TargetTable::CROSS_ZONE_COST,
        Distance::Remote => TargetTable::CROSS_REGION_COST,
    };
    let network = state.distance.round_trip() + crossing;
    work * (replica + slowdown + failures) + network.as_secs_f64()
}
