//! What this VM believes of incarnations that are no longer registered.

use super::TargetAccess;
use crate::TargetName;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Beliefs of incarnations whose registration was removed or replaced.
///
/// A registration also lapses while the store is down, and a stale copy of the store may show an
/// older incarnation again, so what an incarnation said of itself outlasts its registration.
#[derive(Debug, Default)]
pub(super) struct RetiredTargets {
    incarnations: BTreeMap<(TargetName, u64), (Instant, TargetAccess)>,
}

impl RetiredTargets {
    /// Time for which beliefs are kept, beyond any outage of the store that operators tolerate.
    const LIFETIME: Duration = Duration::from_secs(3_600);
    /// Maximum number of incarnations.
    const MAX_INCARNATIONS: usize = 4_096;

    /// Keeps what is believed of an incarnation if it outlasts a registration.
    pub(super) fn keep(&mut self, name: &TargetName, born: u64, access: TargetAccess) {
        let now = Instant::now();
        if !access.outlasts_registration(now) {
            return;
        }
        self.incarnations.retain(|_, (since, _)| now.duration_since(*since) < Self::LIFETIME);
        if self.incarnations.len() >= Self::MAX_INCARNATIONS {
            let oldest = self.incarnations.iter().min_by_key(|(_, (since, _))| *since);
            if let Some(oldest) = oldest.map(|(incarnation, _)| incarnation.clone()) {
                self.incarnations.remove(&oldest);
            }
        }
        self.incarnations.insert((name.clone(), born), (now, access));
    }

    /// Takes what is believed of an incarnation that registers, if anything is kept.
    pub(super) fn take(&mut self, name: &TargetName, born: u64) -> Option<TargetAccess> {
        self.incarnations.remove(&(name.clone(), born)).map(|(_, access)| access)
    }
}
