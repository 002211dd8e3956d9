//! Bounds on the slots that a class of requests may hold.

/// Part of a pool's slots that is kept free of work that isn't interactive.
const RESERVE_PART: u32 = 10;

/// Slots that a class may hold out of some: its share, rounded down, but one at least.
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

/// Slots that stay free of work that isn't interactive: a tenth, one at least where there are two.
///
/// ```
/// assert_eq!(steer::spare_reserve(1), 0);
/// assert_eq!(steer::spare_reserve(12), 2);
/// ```
pub fn spare_reserve(slots: u32) -> u32 {
    if slots < 2 { 0 } else { slots.div_ceil(RESERVE_PART) }
}
