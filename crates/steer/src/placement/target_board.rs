//! The targets of the whole fleet, and the choice among them.

use super::{
    Distance, LoadSample, NoSeat, ObjectHash, PlaceQuery, Seat, ShiftGuard, TargetRecord, WorkTime,
    start_window::start_share, target_state::TargetState,
};
use crate::{
    AvailabilityZoneName, RegionName, RouteTable, ServiceName, ServiceRules, TargetName, VmName,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::time::Instant;

/// One incarnation of a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Place {
    born: u64,
    name: TargetName,
    object: Option<ObjectHash>,
    service: ServiceName,
}

/// Bounds that all VMs keep together.
#[derive(Clone, Copy, Debug)]
pub struct BoardRules {
    /// Requests in a second above the rate that a cold target bears.
    pub cold_burst: f64,
    /// Factor on the rate that a cold target bears.
    pub cold_factor: f64,
    /// Part of a region's requests that may change the region in which they run from one window
    /// to the next.
    pub max_shift: f64,
}

impl Default for BoardRules {
    fn default() -> Self {
        Self { cold_burst: 0.0, cold_factor: 1.0, max_shift: 1.0 }
    }
}

#[derive(Debug)]
struct Inner {
    /// When a target was last lost, or a zone's targets went or came.
    disrupted: Option<Instant>,
    evacuated: BTreeSet<AvailabilityZoneName>,
    rules: BTreeMap<ServiceName, ServiceRules>,
    shift: ShiftGuard,
    targets: BTreeMap<ServiceName, BTreeMap<TargetName, TargetState>>,
    /// Known VMs, this one included.
    vms: BTreeSet<VmName>,
    work: BTreeMap<ServiceName, WorkTime>,
}

impl Inner {
    /// The target at a place, if that incarnation is still known.
    fn state(&mut self, place: &Place) -> Option<&mut TargetState> {
        let state = self.targets.get_mut(&place.service)?.get_mut(&place.name)?;
        (state.record.born == place.born).then_some(state)
    }
}

/// The targets of all services, shared by all requests of this VM.
///
/// ```
/// use std::{collections::BTreeMap, sync::Arc};
/// use steer::{BoardRules, PlaceQuery, TargetBoard, TargetRecord};
/// let here = ("lis-a".into(), "lisboa".into());
/// let zones = BTreeMap::from([("lis-a".into(), "lisboa".into())]);
/// let board = Arc::new(TargetBoard::new("entry-1".into(), here, zones, BoardRules::default()));
/// let address = "10.0.0.1:80".parse().unwrap();
/// board.apply(TargetRecord::new("t-1", "briefs", address).slots(6).zone("lis-a"));
/// let seat = board.place(&PlaceQuery::new("briefs")).unwrap();
/// assert_eq!(seat.target().name.as_str(), "t-1");
/// ```
#[derive(Debug)]
pub struct TargetBoard {
    here: (AvailabilityZoneName, RegionName),
    inner: Mutex<Inner>,
    name: VmName,
    rules: BoardRules,
    zones: BTreeMap<AvailabilityZoneName, RegionName>,
}

impl TargetBoard {
    /// Targets on which an object's requests meet, so that it stays warm there.
    pub const REPLICAS: usize = 2;
    /// Cost of a target that may not have the object at hand, in parts of a usual work time: the
    /// work takes about three times as long there.
    const COLD_OBJECT: f64 = 1.5;
    /// Cost of the next replica of an object, in parts of a usual work time; it makes all VMs
    /// prefer the same one.
    const NEXT_REPLICA: f64 = 0.1;
    /// Cost of a target whose every answer fails, in parts of a usual work time.
    const FAILURES: f64 = 8.0;
    /// Cost of a large body that leaves its availability zone.
    const CROSS_ZONE: Duration = Duration::from_millis(400);
    /// Cost of a large body that leaves its region.
    const CROSS_REGION: Duration = Duration::from_millis(800);
    /// Part of the bound on shifts that a VM uses, as the VMs' shares don't change alike.
    const SHIFT_PART: f64 = 0.8;
    /// Time after a loss of targets in which requests change their region freely.
    const DISRUPTION: Duration = Duration::from_secs(4);
    /// Time after which a cold target takes another request.
    const COLD_PAUSE: Duration = Duration::from_millis(500);
    /// Time for which a target that could not be reached is taken for a cold one.
    const SUSPICION: Duration = Duration::from_secs(3);

    /// Makes an empty board of a VM at a place.
    pub fn new(
        name: VmName,
        here: (AvailabilityZoneName, RegionName),
        zones: BTreeMap<AvailabilityZoneName, RegionName>,
        rules: BoardRules,
    ) -> Self {
        let inner = Inner {
            disrupted: None,
            evacuated: BTreeSet::new(),
            rules: BTreeMap::new(),
            shift: ShiftGuard::new(rules.max_shift * Self::SHIFT_PART),
            targets: BTreeMap::new(),
            vms: BTreeSet::new(),
            work: BTreeMap::new(),
        };
        Self { here, inner: Mutex::new(inner), name, rules, zones }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the board's lock panics")
    }

    /// Takes a target's registration.
    pub fn apply(&self, record: TargetRecord) {
        let now = Instant::now();
        let mut inner = self.lock();
        for (service, targets) in &mut inner.targets {
            if *service != record.service {
                targets.remove(&record.name);
            }
        }
        let targets = inner.targets.entry(record.service.clone()).or_default();
        let cold_left = record.cold_left;
        match targets.get_mut(&record.name) {
            Some(state) if state.record.born == record.born => {
                state.gone = false;
                if record.is_newer_than(&state.record) {
                    state.chill(now, cold_left);
                }
                state.record = record;
            }
            _ => {
                let region = self.zones.get(&record.zone).cloned().unwrap_or_default();
                let distance =
                    Distance::between(&self.here, &(record.zone.clone(), region.clone()));
                let name = record.name.clone();
                let mut state = TargetState::new(record, region, distance);
                state.chill(now, cold_left);
                targets.insert(name, state);
            }
        }
    }

    /// Removes a target that has left.
    pub fn remove(&self, name: &TargetName) {
        let mut inner = self.lock();
        inner.disrupted = Some(Instant::now());
        for targets in inner.targets.values_mut() {
            targets.remove(name);
        }
    }

    /// Names of all targets.
    pub fn names(&self) -> BTreeSet<TargetName> {
        self.lock().targets.values().flat_map(|targets| targets.keys().cloned()).collect()
    }

    /// Takes the rules of the services.
    pub fn set_rules(&self, table: &RouteTable) {
        self.lock().rules = table.services().map(|(name, rules)| (name.clone(), *rules)).collect();
    }

    /// Takes the known VMs, this one included, which share the bounds for cold targets.
    pub fn set_vms(&self, vms: BTreeSet<VmName>) {
        self.lock().vms = vms;
    }

    /// Takes the availability zones whose targets get nothing.
    pub fn set_evacuated(&self, zones: BTreeSet<AvailabilityZoneName>) {
        let now = Instant::now();
        let mut inner = self.lock();
        let inner = &mut *inner;
        for (service, targets) in &mut inner.targets {
            let cold = inner.rules.get(service).map_or(Duration::ZERO, |rules| rules.cold_time);
            for state in targets.values_mut() {
                let zone = &state.record.zone;
                let returned = inner.evacuated.contains(zone) && !zones.contains(zone);
                if returned {
                    state.chill(now, cold);
                }
            }
        }
        inner.disrupted = Some(now);
        inner.evacuated = zones;
    }

    /// Finds the best target for a request and counts the request there.
    ///
    /// # Errors
    ///
    /// Where no target may take it now.
    pub fn place(self: &Arc<Self>, query: &PlaceQuery) -> Result<Seat, NoSeat> {
        let now = Instant::now();
        let mut inner = self.lock();
        let inner = &mut *inner;
        let burst = self.cold_burst(inner, &query.service);
        let (name, vms) = (&self.name, &inner.vms);
        let work = inner.work.get(&query.service).copied().unwrap_or_default().get();
        let targets = inner.targets.get_mut(&query.service).ok_or(NoSeat::NoTarget)?;
        // Where targets were lost, their requests have to go elsewhere at once. Large bodies are
        // few and stay near anyway.
        let calm = inner.disrupted.is_none_or(|at| now.duration_since(at) >= Self::DISRUPTION);
        let bound = calm && !query.streamed;
        let closed = if bound { inner.shift.closed(now) } else { Vec::new() };
        // Without an object each VM has an order of its own, so that VMs that know nothing of the
        // load don't all choose the same target.
        let order = query.object.unwrap_or_else(|| ObjectHash::new("", name.as_str().as_bytes()));
        let mut usable: Vec<(f64, &mut TargetState)> = targets
            .values_mut()
            .filter(|state| is_usable(state, query, &inner.evacuated, now))
            .map(|state| (order.rank(state.record.name.as_str()), state))
            .collect();
        if usable.is_empty() {
            return Err(NoSeat::NoTarget);
        }
        usable.retain(|(_, state)| {
            let share = || start_share(burst, name, vms, &state.record.name);
            !state.is_cold(now) || state.starts.has_room(now, share())
        });
        if usable.iter().any(|(_, state)| !closed.contains(&state.region)) {
            usable.retain(|(_, state)| !closed.contains(&state.region));
        }
        usable.sort_by(|(a, _), (b, _)| a.total_cmp(b));
        if query.object.is_some() && !query.streamed {
            usable.truncate(Self::REPLICAS);
        }
        let mut places: BTreeMap<Distance, usize> = BTreeMap::new();
        let costs = usable.into_iter().map(|(_, state)| {
            // A large body's replicas are counted in each place apart, as it stays near.
            let near = if query.streamed { state.distance } else { Distance::Zone };
            let place = places.entry(near).or_default();
            let wait = state.wait(now, work);
            let cost = wait + cost(state, query, *place, work, now);
            *place = (*place + 1).min(Self::REPLICAS);
            (cost, wait, state)
        });
        // A large body may run anywhere in time; the work on an object is worth waiting for at a
        // target that has it, as a cold run takes the place of several others.
        let most = query.patience.as_secs_f64();
        let late = |wait: f64| query.streamed && wait > most;
        let best = costs
            .min_by(|(a, x, _), (b, y, _)| late(*x).cmp(&late(*y)).then_with(|| a.total_cmp(b)));
        let Some((_, wait, state)) = best else {
            return Err(NoSeat::Full(Self::COLD_PAUSE));
        };
        if wait > most {
            return Err(NoSeat::Full(Duration::from_secs_f64(wait - most)));
        }
        let crowd = state.crowd(now);
        state.load.begin();
        state.starts.note(now);
        inner.shift.note(&state.region, now);
        let place = Place {
            born: state.record.born,
            name: state.record.name.clone(),
            object: query.object,
            service: query.service.clone(),
        };
        Ok(Seat::new(Arc::clone(self), place, state.record.clone(), crowd))
    }

    /// Requests within a window that all VMs may send to a cold target of a service.
    fn cold_burst(&self, inner: &Inner, service: &ServiceName) -> u32 {
        let Some(rules) = inner.rules.get(service) else { return 0 };
        (rules.cold_rate * self.rules.cold_factor + self.rules.cold_burst) as u32
    }

    fn with_state(&self, place: &Place, change: impl FnOnce(&mut TargetState)) {
        if let Some(state) = self.lock().state(place) {
            change(state);
        }
    }

    pub(super) fn end(&self, place: &Place) {
        self.with_state(place, |state| state.load.end());
    }

    /// Takes the time of one request's work at a service.
    pub(super) fn note_work(&self, place: &Place, time: Duration) {
        let mut inner = self.lock();
        // Services repeat: their names are copied once.
        match inner.work.get_mut(&place.service) {
            Some(work) => work.note(time),
            None => inner.work.entry(place.service.clone()).or_default().note(time),
        }
        if let Some((object, state)) = place.object.zip(inner.state(place)) {
            state.warm.note(object, Instant::now());
        }
    }

    pub(super) fn note_answer(&self, place: &Place, load: Option<LoadSample>, failed: bool) {
        self.with_state(place, |state| {
            state.health.note_answer(failed);
            if let Some(sample) = load {
                state.load.report(Instant::now(), sample);
            }
        });
    }

    pub(super) fn note_lost(&self, place: &Place) {
        let now = Instant::now();
        let mut inner = self.lock();
        inner.disrupted = Some(now);
        if let Some(state) = inner.state(place) {
            state.health.note_lost(now);
            state.chill(now, Self::SUSPICION);
        }
    }

    pub(super) fn note_gone(&self, place: &Place) {
        self.with_state(place, |state| state.gone = true);
    }
}

fn is_usable(
    state: &TargetState,
    query: &PlaceQuery,
    evacuated: &BTreeSet<AvailabilityZoneName>,
    now: Instant,
) -> bool {
    !state.gone
        && !state.record.leaving
        && !state.health.is_paused(now)
        && !query.excluded.contains(&state.record.name)
        && !evacuated.contains(&state.record.zone)
        && (query.homes.is_empty() || query.homes.contains(&state.region))
}

/// Cost of a target beside the wait there, in seconds; lower is better.
fn cost(state: &TargetState, query: &PlaceQuery, place: usize, work: f64, now: Instant) -> f64 {
    let replica = match query.object {
        Some(object) if !state.warm.has(object, now) => {
            TargetBoard::COLD_OBJECT + place as f64 * TargetBoard::NEXT_REPLICA
        }
        Some(_) => place as f64 * TargetBoard::NEXT_REPLICA,
        None => 0.0,
    };
    let pace = state.load.slowness(now) - 1.0;
    let failures = state.health.failed() * TargetBoard::FAILURES;
    let crossing = match state.distance {
        _ if !query.streamed => Duration::ZERO,
        Distance::Zone => Duration::ZERO,
        Distance::Region => TargetBoard::CROSS_ZONE,
        Distance::Remote => TargetBoard::CROSS_REGION,
    };
    let travel = state.distance.round_trip() + crossing;
    work * (replica + pace + failures) + travel.as_secs_f64()
}
