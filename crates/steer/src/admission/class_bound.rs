//! Limits on the slots that a class of requests may hold.

/// One slot in this many stays free of deferrable requests and hedges.
const RESERVE_DIVISOR: u32 = 10;

/// Number of slots that a class may hold: its share of `slots`, rounded down, but at least one.
///
/// ```
/// assert_eq!(steer::class_bound(0.5, 6), 3);
/// assert_eq!(steer::class_bound(0.9, 6), 5);
/// assert_eq!(steer::class_bound(0.1, 3), 1);
/// assert_eq!(steer::class_bound(0.1, 0), 0);
/// ```
pub fn class_bound(share: f64, slots: u32) -> u32 {
    let bound = (share.clamp(0.0, 1.0) * f64::from(slots)).floor() as u32;
    bound.max(1).min(slots)
}

/// Number of slots that deferrable requests and hedges leave free: a tenth, rounded up, or none in
/// a pool with fewer than two slots.
///
/// ```
/// assert_eq!(steer::idle_reserve(1), 0);
/// assert_eq!(steer::idle_reserve(12), 2);
/// ```
pub fn idle_reserve(slots: u32) -> u32 {
    if slots < 2 { 0 } else { slots.div_ceil(RESERVE_DIVISOR) }
}
