//! Check whether a placed request may still be sent.

use super::{HoldCause, TargetTable, target_table_state::TargetKey};
use std::sync::Arc;
use tokio::time::Instant;

/// Request extension that tells, once a connection to the target is open, whether the target may
/// still get the request. News of the target may have arrived while the request waited.
///
/// ```
/// use std::{collections::BTreeMap, sync::Arc};
/// use steer::{PlacementQuery, TargetOutcome, TargetRecord, TargetTable};
/// let here = ("lis-a".into(), "lisboa".into());
/// let table = TargetTable::new("entry-1".into(), here, BTreeMap::new(), Default::default());
/// let table = Arc::new(table);
/// table.apply(TargetRecord::new("t-1", "briefs", "10.0.0.1:80".parse().unwrap()));
/// let guard = table.place_request(&PlacementQuery::new("briefs")).unwrap();
/// assert!(guard.send_check().confirm().is_ok());
/// guard.record_leaving(TargetOutcome::Ran);
/// assert!(guard.send_check().confirm().is_err());
/// ```
#[derive(Clone, Debug)]
pub struct SendCheck {
    key: TargetKey,
    placed: Instant,
    table: Arc<TargetTable>,
}

impl SendCheck {
    pub(super) fn new(table: Arc<TargetTable>, key: TargetKey, placed: Instant) -> Self {
        Self { key, placed, table }
    }

    /// Confirms that the target may get the request, which is already counted there.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the request must not be sent.
    pub fn confirm(&self) -> Result<(), HoldCause> {
        self.table.confirm(&self.key, self.placed)
    }
}
