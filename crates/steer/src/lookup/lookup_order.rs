//! The order of entry VMs in the answer to a lookup.

use crate::{ClientBlock, LookupAnswer, LookupVm};
use std::net::IpAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// An entry VM with its distance from a client's home region.
#[derive(Clone, Debug)]
pub struct LookupCandidate {
    /// Delay from the home region in milliseconds.
    pub delay_ms: f64,
    /// The VM.
    pub vm: LookupVm,
}

/// Orders entry VMs for a client block: the nearest first, and among equally near ones by a
/// hash of the block, so that callers that cache different answers spread over all of them.
///
/// The list is truncated to `LookupAnswer::MAX_VMS`.
///
/// ```
/// use steer::{LookupCandidate, LookupVm, order_vms};
/// let candidate = |name: &str, delay_ms| LookupCandidate {
///     delay_ms,
///     vm: LookupVm { address: "127.0.0.1:80".parse().unwrap(), name: name.into(), zone: "z".into() },
/// };
/// let order = order_vms(&"10.0.0.0/8".parse().unwrap(), &[candidate("far", 35.0), candidate("near", 0.0)]);
/// assert_eq!(order[0].name.as_str(), "near");
/// ```
pub fn order_vms(block: &ClientBlock, candidates: &[LookupCandidate]) -> Vec<LookupVm> {
    let seed = block_seed(block);
    let mut order: Vec<(f64, u64, usize)> = candidates
        .iter()
        .enumerate()
        .map(|(i, c)| (c.delay_ms, xxh3_64_with_seed(c.vm.name.as_str().as_bytes(), seed), i))
        .collect();
    let compare = |a: &(f64, u64, usize), b: &(f64, u64, usize)| {
        a.0.total_cmp(&b.0).then_with(|| (a.1, a.2).cmp(&(b.1, b.2)))
    };
    if order.len() > LookupAnswer::MAX_VMS {
        order.select_nth_unstable_by(LookupAnswer::MAX_VMS, compare);
        order.truncate(LookupAnswer::MAX_VMS);
    }
    order.sort_unstable_by(compare);
    order.into_iter().map(|(_, _, i)| candidates[i].vm.clone()).collect()
}

fn block_seed(block: &ClientBlock) -> u64 {
    let net = block.network();
    let length = u64::from(net.prefix_len());
    match net.network() {
        IpAddr::V4(v4) => xxh3_64_with_seed(&v4.octets(), length),
        IpAddr::V6(v6) => xxh3_64_with_seed(&v6.octets(), length),
    }
}
