//! The order in which a request tries availability zones.

use crate::{AvailabilityZoneName, PoolRoom};
use rand::{Rng, RngExt};
use std::time::Duration;

/// What is known about a zone that could serve a request; its room may be out of date.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneView {
    /// One-way delay to it.
    pub delay: Duration,
    /// Its last known room, `None` where nothing is known.
    pub room: Option<PoolRoom>,
    /// Its region was chosen by share or by a shift.
    pub wanted: bool,
    /// Its name.
    pub zone: AvailabilityZoneName,
}

impl ZoneView {
    /// Time until a slot is free, if a slot is held for `service` on average.
    ///
    /// ```
    /// use std::time::Duration;
    /// use steer::{PoolRoom, ZoneView};
    /// let view = ZoneView {
    ///     delay: Duration::ZERO,
    ///     room: Some(PoolRoom { free: 0, queued: 9, slots: 10 }),
    ///     wanted: false,
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

/// Orders zones for a request: those of the wanted region first, then the own zone while its
/// wait is shorter than the way to another and back twice, once for the grant and once for the
/// request, then zones that had room, nearest first.
///
/// The room of other zones is out of date, so zones at the same distance are drawn at random by
/// their free slots; many VMs that see the same digest then don't all ask the same zone.
pub fn plan_zones(
    own: Option<&ZoneView>,
    mut others: Vec<ZoneView>,
    service: Duration,
    rng: &mut impl Rng,
) -> Vec<AvailabilityZoneName> {
    others.retain(|view| view.free() > 0);
    let mut keyed: Vec<(bool, Duration, f64, ZoneView)> = others
        .into_iter()
        .map(|view| {
            // The smallest of such draws falls on each view in proportion to its free slots.
            let draw = -f64::ln(rng.random_range(f64::EPSILON..1.0)) / f64::from(view.free());
            (!view.wanted, view.delay, draw, view)
        })
        .collect();
    keyed.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2)));
    let own_wait = own.map_or(Duration::MAX, |view| view.wait(service));
    let own_wanted = own.is_some_and(|view| view.wanted);
    let (before, after): (Vec<_>, Vec<_>) = keyed.into_iter().partition(|(_, delay, _, view)| {
        let nearer = *delay * 4 < own_wait;
        nearer || (view.wanted && !own_wanted)
    });
    let names = |list: Vec<(bool, Duration, f64, ZoneView)>| list.into_iter().map(|k| k.3.zone);
    let own = own.map(|view| view.zone.clone());
    names(before).chain(own).chain(names(after)).collect()
}
