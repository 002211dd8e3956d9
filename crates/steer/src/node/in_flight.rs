//! Counts of requests in flight, by class.

use crate::ClassName;
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
};

/// Counts the requests in flight by class, so that a stop can report which ones it aborts.
///
/// ```
/// use std::sync::Arc;
/// use steer::InFlight;
/// let in_flight = Arc::new(InFlight::default());
/// let guard = in_flight.enter(&"approve".into());
/// assert_eq!(in_flight.counts().into_values().sum::<usize>(), 1);
/// drop(guard);
/// assert!(in_flight.counts().is_empty());
/// ```
#[derive(Debug, Default)]
pub struct InFlight {
    counts: Mutex<BTreeMap<ClassName, usize>>,
}

/// One request in flight, counted until the guard is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    class: ClassName,
    in_flight: Arc<InFlight>,
}

impl InFlight {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<ClassName, usize>> {
        self.counts.lock().expect("no holder of the counts' lock panics")
    }

    /// Counts a request of a class until the returned guard is dropped.
    pub fn enter(self: &Arc<Self>, class: &ClassName) -> InFlightGuard {
        *self.lock().entry(class.clone()).or_default() += 1;
        InFlightGuard { class: class.clone(), in_flight: Arc::clone(self) }
    }

    /// The non-zero counts by class.
    pub fn counts(&self) -> BTreeMap<ClassName, usize> {
        self.lock().clone()
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut counts = self.in_flight.lock();
        if let Some(count) = counts.get_mut(&self.class) {
            *count -= 1;
        }
        counts.retain(|_, count| *count > 0);
    }
}
