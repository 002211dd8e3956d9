//! JSON encoding of the requests that are suspected of crashing targets.

use super::wire::WireError;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use steer::{Fingerprint, Suspect};

/// JSON-RPC method that exchanges suspect requests.
pub(super) const SUSPECTS: &str = "suspects";

/// Suspects as tuples of fingerprint, crashed targets and age in milliseconds.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct WireSuspects(Vec<(String, Vec<String>, u64)>);

impl From<&[Suspect]> for WireSuspects {
    fn from(suspects: &[Suspect]) -> Self {
        let rows = suspects.iter().map(|suspect| {
            let targets = suspect.targets.iter().map(ToString::to_string).collect();
            (suspect.fingerprint.to_string(), targets, suspect.age.as_millis() as u64)
        });
        Self(rows.collect())
    }
}

impl TryFrom<WireSuspects> for Vec<Suspect> {
    type Error = WireError;

    fn try_from(wire: WireSuspects) -> Result<Self, WireError> {
        let rows = wire.0.into_iter().map(|(print, targets, age)| {
            let fingerprint =
                Fingerprint::parse(&print).ok_or_else(|| format!("no print: {print}"))?;
            let targets = targets.into_iter().map(|name| name.as_str().into()).collect();
            Ok(Suspect { age: Duration::from_millis(age), fingerprint, targets })
        });
        rows.collect()
    }
}
