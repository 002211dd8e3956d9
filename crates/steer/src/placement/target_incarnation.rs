//! Identity of one run of a target's process.

use super::TargetRecord;
use crate::TargetName;
use derive_more::Display;

/// One run of a target's process. A target that starts again, also under the same name, is another
/// incarnation.
///
/// ```
/// use steer::{TargetIncarnation, TargetRecord};
/// let record = TargetRecord::new("t-1", "briefs", "10.0.0.1:80".parse().unwrap()).born(7);
/// assert_eq!(TargetIncarnation::of(&record).to_string(), "t-1@7");
/// ```
#[derive(Clone, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
#[display("{name}@{born}")]
pub struct TargetIncarnation {
    /// Start time, in milliseconds since the Unix epoch.
    pub born: u64,
    /// Name of the target.
    pub name: TargetName,
}

impl TargetIncarnation {
    /// Returns the incarnation that a registration describes.
    pub fn of(record: &TargetRecord) -> Self {
        Self { born: record.born, name: record.name.clone() }
    }
}
