//! The requests under way, by class.

use crate::ClassName;
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
};

/// Counts the requests under way by class, so that a stop can say what it cuts.
///
/// ```
/// use std::sync::Arc;
/// use steer::UnderWay;
/// let work = Arc::new(UnderWay::default());
/// let entered = work.enter(&"approve".into());
/// assert_eq!(work.counts().into_values().sum::<usize>(), 1);
/// drop(entered);
/// assert!(work.counts().is_empty());
/// ```
#[derive(Debug, Default)]
pub struct UnderWay {
    counts: Mutex<BTreeMap<ClassName, usize>>,
}

/// One request under way; it counts until it is dropped.
#[derive(Debug)]
pub struct Entered {
    class: ClassName,
    work: Arc<UnderWay>,
}

impl UnderWay {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<ClassName, usize>> {
        self.counts.lock().expect("no holder of the counts' lock panics")
    }

    /// Counts a request until the guard is dropped.
    pub fn enter(self: &Arc<Self>, class: &ClassName) -> Entered {
        *self.lock().entry(class.clone()).or_default() += 1;
        Entered { class: class.clone(), work: Arc::clone(self) }
    }

    /// The counts by class, without those that are zero.
    pub fn counts(&self) -> BTreeMap<ClassName, usize> {
        self.lock().clone()
    }
}

impl Drop for Entered {
    fn drop(&mut self) {
        let mut counts = self.work.lock();
        if let Some(count) = counts.get_mut(&self.class) {
            *count -= 1;
        }
        counts.retain(|_, count| *count > 0);
    }
}
