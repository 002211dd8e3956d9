//! The order of entry VMs in a look-up's answer.

use crate::{ClientBlock, LookupVm};
use xxhash_rust::xxh3::xxh3_64;

/// An entry VM with its distance from a client's home region.
#[derive(Clone, Debug)]
pub struct LookupCandidate {
    /// Delay from the home region in milliseconds.
    pub delay_ms: f64,
    /// The VM.
    pub vm: LookupVm,
}

/// Orders entry VMs for a client block: the nearest first, and among equally near ones by a
/// hash of the block, so that the cachers of different answers spread over all of them.
///
/// ```
/// use steer::{LookupCandidate, LookupVm, order_vms};
/// let candidate = |name: &str, delay_ms| LookupCandidate {
///     delay_ms,
///     vm: LookupVm { address: "127.0.0.1:80".parse().unwrap(), name: name.into(), zone: "z".into() },
/// };
/// let far_first = vec![candidate("far", 35.0), candidate("near", 0.0)];
/// let order = order_vms(&"10.0.0.0/8".parse().unwrap(), far_first);
/// assert_eq!(order[0].name.as_str(), "near");
/// ```
pub fn order_vms(block: &ClientBlock, mut candidates: Vec<LookupCandidate>) -> Vec<LookupVm> {
    candidates.sort_by(|a, b| {
        let spread = |c: &LookupCandidate| xxh3_64(format!("{block}/{}", c.vm.name).as_bytes());
        a.delay_ms.total_cmp(&b.delay_ms).then_with(|| spread(a).cmp(&spread(b)))
    });
    candidates.into_iter().map(|c| c.vm).collect()
}
