//! The targets of the whole fleet, and the choice among them.

use super::{
    Distance, LoadSample, NoSeat, PlaceQuery, Seat, TargetRecord, target_state::TargetState,
};
use crate::{AvailabilityZoneName, RegionName, RouteTable, ServiceName, ServiceRules, TargetName};
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
    service: ServiceName,
}

/// Bounds that all VMs keep together.
#[derive(Clone, Copy, Debug)]
pub struct BoardRules {
    /// Requests in a second above the rate that a cold target bears.
    pub cold_burst: f64,
    /// Factor on the rate that a cold target bears.
    pub cold_factor: f64,
}

impl Default for BoardRules {
    fn default() -> Self {
        Self { cold_burst: 0.0, cold_factor: 1.0 }
    }
}

#[derive(Debug, Default)]
struct Inner {
    evacuated: BTreeSet<AvailabilityZoneName>,
    rules: BTreeMap<ServiceName, ServiceRules>,
    targets: BTreeMap<ServiceName, BTreeMap<TargetName, TargetState>>,
    /// Live VMs, this one included.
    vms: u32,
}

/// The targets of all services, shared by all requests of this VM.
///
/// ```
/// use std::{collections::BTreeMap, sync::Arc};
/// use steer::{BoardRules, PlaceQuery, TargetBoard, TargetRecord};
/// let here = ("lis-a".into(), "lisboa".into());
/// let zones = BTreeMap::from([("lis-a".into(), "lisboa".into())]);
/// let board = Arc::new(TargetBoard::new(here, zones, BoardRules::default()));
/// let address = "10.0.0.1:80".parse().unwrap();
/// board.apply(TargetRecord::new("t-1", "briefs", address).slots(6).zone("lis-a"));
/// let seat = board.place(&PlaceQuery::new("briefs")).unwrap();
/// assert_eq!(seat.target().name.as_str(), "t-1");
/// ```
#[derive(Debug)]
pub struct TargetBoard {
    here: (AvailabilityZoneName, RegionName),
    inner: Mutex<Inner>,
    rules: BoardRules,
    zones: BTreeMap<AvailabilityZoneName, RegionName>,
}

impl TargetBoard {
    /// Cost of an object's least preferred target, in the unit of [`Self::OVERLOAD`].
    const SPREAD: f64 = 2.0;
    /// Cost of a request that waits at a target.
    const OVERLOAD: f64 = 0.5;
    /// Cost of a target whose every answer fails.
    const FAILURES: f64 = 4.0;
    /// Cost of work that takes twice as long.
    const SLOWNESS: f64 = 0.3;
    /// Cost of a large body that leaves its availability zone.
    const CROSSING: f64 = 1.5;
    /// Time for which a target that could not be reached is taken for a cold one.
    const SUSPICION: Duration = Duration::from_secs(3);

    /// Makes an empty board of a VM at a place.
    pub fn new(
        here: (AvailabilityZoneName, RegionName),
        zones: BTreeMap<AvailabilityZoneName, RegionName>,
        rules: BoardRules,
    ) -> Self {
        let inner = Mutex::new(Inner { vms: 1, ..Inner::default() });
        Self { here, inner, rules, zones }
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
        for targets in self.lock().targets.values_mut() {
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

    /// Takes the number of live VMs, this one included.
    pub fn set_vms(&self, vms: u32) {
        self.lock().vms = vms.max(1);
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
        let cold_most = self.cold_most(inner, &query.service);
        let targets = inner.targets.get_mut(&query.service).ok_or(NoSeat::NoTarget)?;
        let mut best: Option<(f64, &mut TargetState)> = None;
        let mut reason = NoSeat::NoTarget;
        for state in targets.values_mut() {
            if !is_usable(state, query, &inner.evacuated, now) {
                continue;
            }
            if state.is_cold(now) && !state.starts.has_room(now, cold_most) {
                reason = NoSeat::Full;
                continue;
            }
            let score = score(state, query, now);
            if best.as_ref().is_none_or(|(least, _)| score < *least) {
                best = Some((score, state));
            }
        }
        let (_, state) = best.ok_or(reason)?;
        state.load.begin();
        state.starts.note(now);
        let place = Place {
            born: state.record.born,
            name: state.record.name.clone(),
            service: query.service.clone(),
        };
        Ok(Seat::new(Arc::clone(self), place, state.record.clone()))
    }

    /// Requests within a window that this VM may send to a cold target of a service.
    fn cold_most(&self, inner: &Inner, service: &ServiceName) -> u32 {
        let Some(rules) = inner.rules.get(service) else { return 0 };
        let all = rules.cold_rate * self.rules.cold_factor + self.rules.cold_burst;
        (all / f64::from(inner.vms)) as u32
    }

    fn with_state(&self, place: &Place, change: impl FnOnce(&mut TargetState)) {
        let mut inner = self.lock();
        let state = inner.targets.get_mut(&place.service).and_then(|t| t.get_mut(&place.name));
        if let Some(state) = state.filter(|state| state.record.born == place.born) {
            change(state);
        }
    }

    pub(super) fn end(&self, place: &Place) {
        self.with_state(place, |state| state.load.end());
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
        self.with_state(place, |state| {
            let now = Instant::now();
            state.health.note_lost(now);
            state.chill(now, Self::SUSPICION);
        });
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

/// Cost of one more request at a target; lower is better.
fn score(state: &TargetState, query: &PlaceQuery, now: Instant) -> f64 {
    let rank = query.object.map_or(0.0, |object| object.rank(state.record.name.as_str()));
    let over = (state.load.requests(now) + 1.0 - f64::from(state.record.slots)).max(0.0);
    let mut score = rank * TargetBoard::SPREAD
        + over * TargetBoard::OVERLOAD
        + (state.load.slowness(now) - 1.0) * TargetBoard::SLOWNESS
        + state.health.failed() * TargetBoard::FAILURES;
    score += match state.distance {
        Distance::Zone => 0.0,
        Distance::Region => 0.045,
        Distance::Remote => 0.15,
    };
    if query.streamed && state.distance != Distance::Zone {
        score += TargetBoard::CROSSING;
    }
    score
}
