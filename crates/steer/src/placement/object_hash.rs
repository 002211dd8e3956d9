//! Which targets an object prefers.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hash of an object that requests are about. All VMs rank the targets of an object alike, so
/// that its requests meet on the same few targets without any agreement.
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
    /// Hashes a route's object.
    pub fn new(route: &str, object: &[u8]) -> Self {
        Self(xxh3_64_with_seed(object, xxh3_64_with_seed(route.as_bytes(), 0)))
    }

    /// Rank of a target for the object: evenly spread from 0 to 1, lower is preferred.
    pub fn rank(self, target: &str) -> f64 {
        let hash = xxh3_64_with_seed(target.as_bytes(), self.0);
        (hash >> 11) as f64 / (1u64 << 53) as f64
    }
}
