//! The record of an idempotency key as the platform keeps it.

use crate::Outcome;
use serde::{Deserialize, Serialize};

/// An answer that is kept so that a repeated request gets it again.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordedAnswer {
    /// Body, `None` where it was too large, no text, or broke off.
    pub body: Option<String>,
    /// Content type.
    pub kind: Option<String>,
    /// HTTP status.
    pub status: u16,
}

impl RecordedAnswer {
    /// Largest body that is kept, in bytes.
    pub const MAX_BODY: usize = 4 << 10;
}

/// What is known about the request of a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyState {
    /// One flow may send the request, and nobody else.
    Claimed {
        /// Start time of the process that holds the claim.
        incarnation: u64,
        /// Names the flow that holds the claim.
        token: String,
        /// Entry VM that holds the claim.
        vm: String,
    },
    /// The request was not run and may be claimed again.
    NotRun,
    /// The request was run.
    Ran(RecordedAnswer),
    /// The request may or may not have run, and nobody will find out.
    Unknown,
}

impl KeyState {
    /// What a caller that asks again may rely on.
    ///
    /// ```
    /// assert_eq!(steer::KeyState::NotRun.outcome(), steer::Outcome::NotRun);
    /// ```
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Claimed { .. } | Self::Unknown => Outcome::Unknown,
            Self::NotRun => Outcome::NotRun,
            Self::Ran(_) => Outcome::Ran,
        }
    }
}

/// The record of an idempotency key.
///
/// ```
/// use steer::{KeyState, OnceRecord};
/// let record = OnceRecord { print: "ab".into(), state: KeyState::NotRun };
/// assert_eq!(OnceRecord::parse(&record.to_text()), Some(record));
/// ```
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OnceRecord {
    /// Fingerprint of the request that the key stands for.
    pub print: String,
    /// What is known about it.
    pub state: KeyState,
}

impl OnceRecord {
    /// Writes the record as the platform keeps it.
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).expect("a record has only text keys")
    }

    /// Reads a record; `None` where the text is no record.
    ///
    /// ```
    /// assert_eq!(steer::OnceRecord::parse("{}"), None);
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }

    /// Tells whether a flow holds the claim.
    ///
    /// ```
    /// use steer::{KeyState, OnceRecord};
    /// let record = OnceRecord { print: "ab".into(), state: KeyState::NotRun };
    /// assert!(!record.is_claimed_by("token"));
    /// ```
    pub fn is_claimed_by(&self, by: &str) -> bool {
        matches!(&self.state, KeyState::Claimed { token, .. } if token == by)
    }
}
