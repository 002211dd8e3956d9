//! Splits requests among regions by share, evenly in every stretch of requests.

use crate::{RegionName, ServiceName};
use std::collections::BTreeMap;

/// Smooth weighted round robin: of any `n` requests in a row, each region gets its share of `n`
/// to within one or two, where a random draw would be off by the square root of `n`.
///
/// ```
/// use std::collections::BTreeMap;
/// use steer::RegionSplit;
/// let shares = BTreeMap::from([("faro".into(), 0.25), ("porto".into(), 0.75)]);
/// let mut split = RegionSplit::new();
/// let picked: Vec<_> =
///     (0..4).filter_map(|_| split.choose(&"briefs".into(), &shares)).collect();
/// assert_eq!(picked.iter().filter(|r| r.as_str() == "faro").count(), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RegionSplit {
    credit: BTreeMap<ServiceName, BTreeMap<RegionName, f64>>,
}

impl RegionSplit {
    /// Makes a split without history.
    pub fn new() -> Self {
        Self::default()
    }

    /// Chooses the region for the next request of a service; `None` where all shares are 0.
    pub fn choose(
        &mut self,
        service: &ServiceName,
        shares: &BTreeMap<RegionName, f64>,
    ) -> Option<RegionName> {
        let total: f64 = shares.values().sum();
        if total <= 0.0 {
            return None;
        }
        let credit = self.credit.entry(service.clone()).or_default();
        credit.retain(|region, _| shares.contains_key(region));
        for (region, share) in shares {
            *credit.entry(region.clone()).or_default() += share;
        }
        let open = credit.iter().filter(|(region, _)| shares[*region] > 0.0);
        let chosen = open.max_by(|(_, a), (_, b)| a.total_cmp(b)).map(|(region, _)| region)?;
        let chosen = chosen.clone();
        if let Some(left) = credit.get_mut(&chosen) {
            *left -= total;
        }
        Some(chosen)
    }
}
