//! Splits requests among regions by configured shares.

use crate::{RegionName, ServiceName};
use std::collections::BTreeMap;

/// Smooth weighted round robin. In any `n` consecutive requests, the error of each region's share
/// is one or two requests, while that of a random choice grows with the square root of `n`.
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
    /// Creates a split without history.
    pub fn new() -> Self {
        Self::default()
    }

    /// Chooses the region for the next request of a service; `None` if all shares are 0.
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
        let eligible = credit.iter().filter(|(region, _)| shares[*region] > 0.0);
        let chosen = eligible.max_by(|(_, a), (_, b)| a.total_cmp(b)).map(|(region, _)| region)?;
        let chosen = chosen.clone();
        if let Some(balance) = credit.get_mut(&chosen) {
            *balance -= total;
        }
        Some(chosen)
    }
}
