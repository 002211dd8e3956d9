//! Decides whether a VM that doesn't usually read the store may call it.

use crate::{ObjectHash, VmName};
use std::{
    sync::{Mutex, MutexGuard},
    time::Duration,
};
use tokio::time::Instant;

/// Why calls to the store are held back.
#[derive(Clone, Copy, Debug)]
struct Hold {
    failures: u32,
    next_call: Instant,
}

/// Limits the calls to the store of a VM that gets relayed updates.
///
/// When updates stop, a VM calls the store at once, as the VMs above it may have failed. If the call
/// fails too, or those VMs have reported that they lost the store, it is down: further calls of every
/// VM would only delay its recovery, which the VMs above detect. A few calls go on in case that they
/// are wrong.
///
/// ```
/// use std::time::Duration;
/// use steer::StoreGate;
/// let (gate, now) = (StoreGate::new(&"entry-1".into()), tokio::time::Instant::now());
/// assert!(gate.try_acquire(now, false));
/// gate.record(now, false);
/// assert!(!gate.try_acquire(now, false));
/// assert!(gate.try_acquire(now + Duration::from_secs(2), false));
/// gate.record(now, true);
/// assert!(gate.try_acquire(now, false));
/// ```
#[derive(Debug)]
pub struct StoreGate {
    hold: Mutex<Option<Hold>>,
    /// From 0 to 1, different for each VM, so that their calls don't coincide.
    phase: f64,
}

impl StoreGate {
    /// Pause after the first failed call; it doubles with each further one.
    const FIRST_PAUSE: Duration = Duration::from_secs(1);
    /// Longest pause after failed calls.
    const LONGEST_PAUSE: Duration = Duration::from_secs(5);
    /// Pause between calls while the VMs above report that they lost the store.
    const LOST_PAUSE: Duration = Duration::from_secs(10);

    /// Creates an open gate.
    pub fn new(name: &VmName) -> Self {
        let phase = ObjectHash::new("store", b"").rank(name.as_str());
        Self { hold: Mutex::default(), phase }
    }

    fn lock(&self) -> MutexGuard<'_, Option<Hold>> {
        self.hold.lock().expect("no holder of the gate's lock panics")
    }

    /// Returns whether the store may be called now; `is_lost` tells whether the VMs above have reported
    /// that they lost it.
    pub fn try_acquire(&self, now: Instant, is_lost: bool) -> bool {
        let mut hold = self.lock();
        match &mut *hold {
            None if !is_lost => true,
            None => {
                let next_call = now + self.spread(Self::LOST_PAUSE);
                *hold = Some(Hold { failures: 0, next_call });
                false
            }
            Some(held) if now < held.next_call => false,
            Some(held) => {
                held.next_call = now + self.pause(held.failures, is_lost);
                true
            }
        }
    }

    /// Records the result of a call.
    pub fn record(&self, now: Instant, succeeded: bool) {
        let mut hold = self.lock();
        if succeeded {
            *hold = None;
            return;
        }
        let failures = hold.map_or(0, |held| held.failures) + 1;
        let next_call = now + self.pause(failures, false);
        let next_call = hold.map_or(next_call, |held| held.next_call.max(next_call));
        *hold = Some(Hold { failures, next_call });
    }

    /// Opens the gate, as relayed updates arrive again.
    pub fn reset(&self) {
        *self.lock() = None;
    }

    fn pause(&self, failures: u32, is_lost: bool) -> Duration {
        if is_lost {
            return self.spread(Self::LOST_PAUSE);
        }
        let doubled = Self::FIRST_PAUSE.saturating_mul(1 << failures.saturating_sub(1).min(8));
        self.spread(doubled.min(Self::LONGEST_PAUSE))
    }

    /// Returns a time from half to one and a half times as long.
    fn spread(&self, time: Duration) -> Duration {
        time.mul_f64(0.5 + self.phase)
    }
}
