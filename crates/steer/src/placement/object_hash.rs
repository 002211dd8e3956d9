//! Rendezvous hashing of objects to targets.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Rendezvous hash of the object that a request addresses. Every VM computes the same ranking of
/// targets for an object, so its requests reach the same few targets without coordination.
///
/// ```
/// use steer::ObjectHash;
/// let object = ObjectHash::new("reads", b"17");
/// assert_eq!(object.rank("briefs-1"), ObjectHash::new("reads", b"17").rank("briefs-1"));
/// assert!((0.0..1.0).contains(&object.rank("briefs-2")));
/// ```
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ObjectHash(u64);

impl ObjectHash {
    /// Hashes an object of a route.
    pub fn new(route: &str, object: &[u8]) -> Self {
        Self(xxh3_64_with_seed(object, xxh3_64_with_seed(route.as_bytes(), 0)))
    }

    /// Returns the rank of a target for the object, uniform in `0.0..1.0`; lower is preferred.
    pub fn rank(self, target: &str) -> f64 {
        let hash = xxh3_64_with_seed(target.as_bytes(), self.0);
        (hash >> 11) as f64 / (1u64 << 53) as f64
    }
}
