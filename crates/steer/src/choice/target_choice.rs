//! Choice of a target by its own outstanding count.

use crate::TargetName;

/// Chooses the target with the smallest part of its slots busy; `None` where all are full.
///
/// ```
/// use steer::{TargetName, choose_target};
/// let (a, b) = (TargetName::from("a"), TargetName::from("b"));
/// assert_eq!(choose_target([(&a, 3, 6), (&b, 1, 6)]), Some(&b));
/// assert_eq!(choose_target([(&a, 6, 6)]), None);
/// ```
pub fn choose_target<'a>(
    targets: impl IntoIterator<Item = (&'a TargetName, u32, u32)>,
) -> Option<&'a TargetName> {
    targets
        .into_iter()
        .filter(|(_, busy, slots)| busy < slots)
        .min_by_key(|(_, busy, slots)| u64::from(*busy) * 1_000_000 / u64::from(*slots))
        .map(|(name, _, _)| name)
}
