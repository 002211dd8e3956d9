//! The weights of members in fair queueing.

use crate::{MemberName, MemberSettings};
use std::collections::BTreeMap;

/// The members that the settings name, with their weights.
///
/// All other names share one flow: a caller can't get a larger part by inventing names.
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
    others: MemberName,
    weights: BTreeMap<MemberName, u32>,
}

impl MemberWeights {
    /// Name of the flow that all members share that the settings don't name.
    pub const OTHERS: &'static str = "anonymous";

    /// Takes the weights of the members that the settings name.
    pub fn new<'a>(
        members: impl IntoIterator<Item = (&'a MemberName, &'a MemberSettings)>,
    ) -> Self {
        let weights = members.into_iter().map(|(name, m)| (name.clone(), m.weight.max(1)));
        Self { others: Self::OTHERS.into(), weights: weights.collect() }
    }

    /// The flow that a member's requests are counted in, and its weight.
    pub fn flow_of(&self, member: &MemberName) -> (MemberName, u32) {
        match self.weights.get_key_value(member) {
            Some((name, weight)) => (name.clone(), *weight),
            None => (self.others.clone(), 1),
        }
    }
}

impl Default for MemberWeights {
    fn default() -> Self {
        Self::new([])
    }
}
