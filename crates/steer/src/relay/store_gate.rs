//! Decides whether a VM that doesn't usually read the store may call it.

use crate::{ObjectHash, VmName};
use std::{
    future::pending,
    sync::{Mutex, MutexGuard},
    time::Duration,
};
use tokio::time::{Instant, sleep_until};

/// Why calls to the store are held back.
#[derive(Clone, Copy, Debug)]
struct Hold {
    /// When the last failure was recorded.
    failed_at: Option<Instant>,
    failures: u32,
    next_call: Instant,
}

/// Limits the calls to the store of a VM that gets relayed updates.
///
/// When updates stop, a VM calls the store at once, as the VMs above it may have failed. A single
/// failure may be a watch that was cut, so another call follows. If that fails too, the store is lost
/// for this VM, and a few calls go on to find out when it is back. A VM at the end of the tree of a
/// large fleet calls a little later, and more seldom, if those above have reported that they lost the
/// store: calls of every VM would only delay its recovery, which the VMs above detect.
///
/// ```
/// use std::time::Duration;
/// use steer::StoreGate;
/// let (gate, now) = (StoreGate::new(&"entry-1".into()), tokio::time::Instant::now());
/// for _ in 0..StoreGate::FAILURES_UNTIL_LOST {
///     assert!(gate.try_acquire(now, false));
///     gate.record(now, now, false);
/// }
/// assert!(!gate.try_acquire(now, false));
/// assert!(gate.try_acquire(now + StoreGate::longest_retry_pause(), false));
/// gate.record(now, now, true);
/// assert!(gate.try_acquire(now, false));
/// ```
#[derive(Debug)]
pub struct StoreGate {
    hold: Mutex<Option<Hold>>,
    /// When a VM that lost the store may call it again, although it gets relayed updates.
    next_retry: Mutex<Option<Instant>>,
    /// From 0 to 1, different for each VM, so that their calls don't coincide.
    phase: f64,
}

impl StoreGate {
    /// Consecutive failures, apart from those of calls that were under way together, from which the
    /// store counts as lost.
    pub const FAILURES_UNTIL_LOST: u32 = 2;
    /// Pause after as many failures; it doubles with each further one.
    const FIRST_PAUSE: Duration = Duration::from_secs(1);
    /// Number of times that the pause doubles, beyond which the longest one applies.
    const MAX_DOUBLINGS: u32 = 8;
    /// Longest pause after failed calls, before it is spread.
    pub const LONGEST_PAUSE: Duration = Duration::from_millis(1_700);
    /// Pause before the first call if the VMs above report that they lost the store, before it is spread.
    const REPORT_PAUSE: Duration = Duration::from_millis(200);
    /// Pause between calls while the VMs above report that they lost the store.
    const LOST_PAUSE: Duration = Duration::from_secs(10);
    /// Pause between the calls of a VM that lost the store and gets relayed updates.
    const RETRY_PAUSE: Duration = Duration::from_secs(3);
    /// Greatest factor by which a pause is spread; the least one is less by one.
    const MAX_SPREAD: f64 = 1.5;
    /// Shortest time for which a call that was held back waits for its turn.
    const MIN_WAIT: Duration = Duration::from_millis(200);

    /// Returns the longest time for which the first call of a VM is held back, as those above it report
    /// that they lost the store.
    pub fn longest_report_pause() -> Duration {
        Self::REPORT_PAUSE.mul_f64(Self::MAX_SPREAD)
    }

    /// Returns the longest time between two calls of a VM that finds out by itself when the store is back.
    pub fn longest_retry_pause() -> Duration {
        Self::LONGEST_PAUSE.mul_f64(Self::MAX_SPREAD)
    }

    /// Creates an open gate.
    pub fn new(name: &VmName) -> Self {
        let phase = ObjectHash::new("store", b"").rank(name.as_str());
        Self { hold: Mutex::default(), next_retry: Mutex::default(), phase }
    }

    fn lock(&self) -> MutexGuard<'_, Option<Hold>> {
        self.hold.lock().expect("no holder of the gate's lock panics")
    }

    /// Returns whether the store may be called now; `is_lost` tells whether the calls of this VM give way
    /// to those of the VMs above, which have reported that they lost the store.
    pub fn try_acquire(&self, now: Instant, is_lost: bool) -> bool {
        let mut hold = self.lock();
        match &mut *hold {
            None if !is_lost => true,
            None => {
                let next_call = now + self.spread(Self::REPORT_PAUSE);
                *hold = Some(Hold { failed_at: None, failures: 0, next_call });
                false
            }
            Some(held) if now < held.next_call => false,
            Some(held) => {
                held.next_call = now + self.pause(held.failures, is_lost);
                true
            }
        }
    }

    /// Waits until a call may be made that was held back; never returns if none was.
    pub async fn wait_open(&self) {
        let earliest = Instant::now() + Self::MIN_WAIT;
        let held = *self.lock();
        match held {
            Some(held) => sleep_until(held.next_call.max(earliest)).await,
            None => pending().await,
        }
    }

    /// Returns whether the latest calls failed, so that the store counts as lost.
    pub fn is_lost(&self) -> bool {
        self.lock().is_some_and(|held| held.failures >= Self::FAILURES_UNTIL_LOST)
    }

    /// Records the result of a call that began at `begun`. Returns whether the store is lost.
    pub fn record(&self, begun: Instant, now: Instant, succeeded: bool) -> bool {
        let mut hold = self.lock();
        if succeeded {
            *hold = None;
            return false;
        }
        let (before, failed_at) = hold.map_or((0, None), |held| (held.failures, held.failed_at));
        // Calls that were under way together fail for the same reason.
        let is_same = failed_at.is_some_and(|at| begun < at);
        let failures = if is_same { before } else { before + 1 };
        let is_lost = failures >= Self::FAILURES_UNTIL_LOST;
        let pause = if is_lost { self.pause(failures, false) } else { Duration::ZERO };
        let next_call = hold.map_or(now + pause, |held| held.next_call.max(now + pause));
        *hold = Some(Hold { failed_at: Some(now), failures, next_call });
        is_lost
    }

    /// Returns whether a VM that lost the store, and gets relayed updates, may call it now to find out
    /// whether it is back.
    pub fn try_retry(&self, now: Instant) -> bool {
        let mut next = self.next_retry.lock().expect("no holder of the retry's lock panics");
        if next.is_some_and(|next| now < next) {
            return false;
        }
        // The call that lost the store was just before the first time.
        let is_first = next.replace(now + self.spread(Self::RETRY_PAUSE)).is_none();
        !is_first
    }

    /// Opens the gate, as relayed updates arrive again.
    pub fn reset(&self) {
        *self.lock() = None;
    }

    fn pause(&self, failures: u32, is_lost: bool) -> Duration {
        if is_lost {
            return self.spread(Self::LOST_PAUSE);
        }
        let further = failures.saturating_sub(Self::FAILURES_UNTIL_LOST);
        let doubled = Self::FIRST_PAUSE.saturating_mul(1 << further.min(Self::MAX_DOUBLINGS));
        self.spread(doubled.min(Self::LONGEST_PAUSE))
    }

    /// Returns a time from half to one and a half times as long.
    fn spread(&self, time: Duration) -> Duration {
        time.mul_f64(Self::MAX_SPREAD - 1.0 + self.phase)
    }
}
