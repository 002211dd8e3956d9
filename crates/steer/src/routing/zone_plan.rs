//! The order in which a request tries availability zones, by delay and load.

use crate::{AvailabilityZoneName, PoolRoom};
use rand::{Rng, RngExt};
use std::time::Duration;

/// The known state of a zone that could serve a request; its load may be stale.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneView {
    /// One-way delay to the zone.
    pub delay: Duration,
    /// Last known free and queued slots; `None` if unknown.
    pub room: Option<PoolRoom>,
    /// Whether the zone's region was chosen by a share or a shift.
    pub preferred: bool,
    /// Name of the zone.
    pub zone: AvailabilityZoneName,
}

impl ZoneView {
    /// Estimates the time until a slot is free, given the average `service` time of a request.
    ///
    /// ```
    /// use std::time::Duration;
    /// use steer::{PoolRoom, ZoneView};
    /// let view = ZoneView {
    ///     delay: Duration::ZERO,
    ///     room: Some(PoolRoom { free: 0, queued: 9, slots: 10 }),
    ///     preferred: false,
    ///     zone: "lis-a".into(),
    /// };
    /// assert_eq!(view.wait(Duration::from_millis(50)), Duration::from_millis(50));
    /// ```
    pub fn wait(&self, service: Duration) -> Duration {
        match self.room {
            None => Duration::MAX,
            Some(room) if room.slots == 0 => Duration::MAX,
            Some(room) if room.free > 0 => Duration::ZERO,
            Some(room) => service * (room.queued + 1) / room.slots,
        }
    }

    fn free(&self) -> u32 {
        self.room.map_or(0, |room| room.free)
    }
}

/// Orders zones for a request: first zones of the preferred region, then the local zone, unless its
/// wait exceeds two round trips to another zone (one for the grant, one for the request), then the
/// other zones with free slots, nearest first.
///
/// The known load of other zones is stale, so zones at the same distance are shuffled, weighted by
/// their free slots. Otherwise many VMs with the same information would all ask the same zone.
pub fn plan_zones(
    own: Option<&ZoneView>,
    mut others: Vec<ZoneView>,
    service: Duration,
    rng: &mut impl Rng,
) -> Vec<AvailabilityZoneName> {
    others.retain(|view| view.free() > 0);
    let mut ranked: Vec<(bool, Duration, f64, ZoneView)> = others
        .into_iter()
        .map(|view| {
            // Exponential variates: the probability of the smallest is proportional to the free
            // slots.
            let draw = -f64::ln(rng.random_range(f64::EPSILON..1.0)) / f64::from(view.free());
            (!view.preferred, view.delay, draw, view)
        })
        .collect();
    ranked.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2)));
    let own_wait = own.map_or(Duration::MAX, |view| view.wait(service));
    let own_preferred = own.is_some_and(|view| view.preferred);
    let (before, after): (Vec<_>, Vec<_>) = ranked.into_iter().partition(|(_, delay, _, view)| {
        let nearer = *delay * 4 < own_wait;
        nearer || (view.preferred && !own_preferred)
    });
    let zone_names =
        |list: Vec<(bool, Duration, f64, ZoneView)>| list.into_iter().map(|ranked| ranked.3.zone);
    let own = own.map(|view| view.zone.clone());
    zone_names(before).chain(own).chain(zone_names(after)).collect()
}
