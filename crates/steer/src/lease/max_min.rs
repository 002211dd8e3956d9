//! Max-min fair division of a whole number.

/// Divides a total so that nobody gets more than wanted, and nobody could get more without
/// taking from one who has less. What can't be divided goes to the first in order.
///
/// ```
/// assert_eq!(steer::max_min(10, &[1, 20, 20]), [1, 5, 4]);
/// assert_eq!(steer::max_min(10, &[2, 3]), [2, 3]);
/// ```
pub fn max_min(total: u64, wants: &[u64]) -> Vec<u64> {
    let mut parts = vec![0; wants.len()];
    let mut order: Vec<usize> = (0..wants.len()).collect();
    order.sort_by_key(|i| (wants[*i], std::cmp::Reverse(*i)));
    let mut left = total;
    for (served, i) in order.iter().enumerate() {
        let share = left / (order.len() - served) as u64;
        parts[*i] = wants[*i].min(share);
        left -= parts[*i];
    }
    parts
}
