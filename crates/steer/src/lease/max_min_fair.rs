//! Max-min fair allocation of an integer total.

/// Allocates a total so that no demand is exceeded, and no allocation can grow without reducing
/// one that is already smaller. The remainder of the integer division goes to the first in order.
///
/// ```
/// assert_eq!(steer::max_min_fair(10, &[1, 20, 20]), [1, 5, 4]);
/// assert_eq!(steer::max_min_fair(10, &[2, 3]), [2, 3]);
/// ```
pub fn max_min_fair(total: u64, demands: &[u64]) -> Vec<u64> {
    let mut allocations = vec![0; demands.len()];
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by_key(|i| (demands[*i], std::cmp::Reverse(*i)));
    let mut remaining = total;
    for (served, i) in order.iter().enumerate() {
        let share = remaining / (order.len() - served) as u64;
        allocations[*i] = demands[*i].min(share);
        remaining -= allocations[*i];
    }
    allocations
}
