//! Weights of the members for fair queueing.

use crate::{MemberName, MemberSettings};
use std::collections::BTreeMap;

/// The configured members and their weights.
///
/// All unknown names share one flow, so that a caller can't enlarge its share by inventing names.
///
/// ```
/// use steer::{MemberName, MemberSettings, MemberWeights};
/// let known = MemberName::from("agency-aurora");
/// let weights = MemberWeights::new([(&known, &MemberSettings { weight: 2 })]);
/// assert_eq!(weights.flow_of(&known), (known, 2));
/// assert_eq!(weights.flow_of(&"invented".into()), (MemberName::from("anonymous"), 1));
/// ```
#[derive(Clone, Debug)]
pub struct MemberWeights {
    anonymous: MemberName,
    weights: BTreeMap<MemberName, u32>,
}

impl MemberWeights {
    /// Name of the flow that all unconfigured members share.
    pub const ANONYMOUS: &'static str = "anonymous";

    /// Creates the weights from the members in the settings.
    pub fn new<'a>(
        members: impl IntoIterator<Item = (&'a MemberName, &'a MemberSettings)>,
    ) -> Self {
        let weights = members.into_iter().map(|(name, m)| (name.clone(), m.weight.max(1)));
        Self { anonymous: Self::ANONYMOUS.into(), weights: weights.collect() }
    }

    /// The flow that a member's requests belong to, and the weight of that flow.
    pub fn flow_of(&self, member: &MemberName) -> (MemberName, u32) {
        match self.weights.get_key_value(member) {
            Some((name, weight)) => (name.clone(), *weight),
            None => (self.anonymous.clone(), 1),
        }
    }
}

impl Default for MemberWeights {
    fn default() -> Self {
        Self::new([])
    }
}
