//! Choice of a target by outstanding requests and relative latency.

/// The state of a target that the choice depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetCandidate {
    /// Number of own requests in progress.
    pub busy: u32,
    /// Response time relative to the pool's other targets; 1 if equal.
    pub latency: f32,
    /// Number of slots that are usable now.
    pub limit: u32,
    /// Number of all its slots.
    pub slots: u32,
}

impl TargetCandidate {
    /// Cost of one more request: the resulting utilization times the relative latency. It is based
    /// on all slots, not on the usable ones, so that a cold target gets its share of the requests
    /// and warms up.
    fn score(&self) -> f32 {
        (self.busy + 1) as f32 / self.slots as f32 * self.latency
    }
}

/// Maximum number of candidates to compare, which bounds the cost of a choice in a large pool.
const MAX_COMPARED: usize = 32;

/// Chooses the target with the lowest cost of one more request; `None` if all are full.
///
/// The scan begins at `start`, which the caller advances with each choice, so that equal targets
/// take turns. It ends after a fixed number of targets with free slots.
///
/// ```
/// use steer::{TargetCandidate, choose_target};
/// let target = |busy, latency| TargetCandidate { busy, latency, limit: 6, slots: 6 };
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
        .take(MAX_COMPARED)
        .min_by(|(_, a), (_, b)| a.score().total_cmp(&b.score()))
        .map(|(index, _)| index)
}
