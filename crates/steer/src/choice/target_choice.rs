//! Choice of a target by its own outstanding count and pace.

/// A target as the choice sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetCandidate {
    /// Own requests under way.
    pub busy: u32,
    /// Slots that may be used now.
    pub limit: u32,
    /// Time of its answers against the pool's other targets, 1 for the same.
    pub pace: f32,
    /// All of its slots.
    pub slots: u32,
}

impl TargetCandidate {
    /// Cost of one more request: how full the target gets, times its pace. It goes by all slots,
    /// so that a cold target gets its part of the requests and warms up.
    fn score(&self) -> f32 {
        (self.busy + 1) as f32 / self.slots as f32 * self.pace
    }
}

/// Candidates that are compared before the choice falls.
const COMPARED: usize = 32;

/// Chooses the target with the least cost of one more request; `None` where all are full.
///
/// The scan starts at a place that the caller moves on with each choice, so that equal targets
/// take turns, and ends after enough targets with room, so that a large pool costs no more.
///
/// ```
/// use steer::{TargetCandidate, choose_target};
/// let target = |busy, pace| TargetCandidate { busy, limit: 6, pace, slots: 6 };
/// let at = |targets: &[TargetCandidate], start| choose_target(targets.len(), start, |i| targets.get(i).copied());
/// assert_eq!(at(&[target(3, 1.0), target(1, 1.0)], 0), Some(1));
/// assert_eq!(at(&[target(3, 1.0), target(1, 4.0)], 0), Some(0));
/// assert_eq!(at(&[target(2, 1.0), target(2, 1.0)], 1), Some(1));
/// assert_eq!(at(&[target(6, 1.0)], 0), None);
/// ```
pub fn choose_target(
    len: usize,
    start: usize,
    candidate: impl Fn(usize) -> Option<TargetCandidate>,
) -> Option<usize> {
    let start = start % len.max(1);
    (start..len)
        .chain(0..start)
        .filter_map(|index| Some((index, candidate(index)?)))
        .filter(|(_, target)| target.busy < target.limit)
        .take(COMPARED)
        .min_by(|(_, a), (_, b)| a.score().total_cmp(&b.score()))
        .map(|(index, _)| index)
}
