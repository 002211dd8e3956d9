//! The stored record of an idempotency key.

use crate::Outcome;
use serde::{Deserialize, Serialize};

/// A recorded response, replayed to retries of its request.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordedAnswer {
    /// Body; `None` if it was too large, not text, or truncated.
    pub body: Option<String>,
    /// Content type of the body.
    #[serde(rename = "kind")]
    pub content_type: Option<String>,
    /// HTTP status.
    pub status: u16,
}

impl RecordedAnswer {
    /// Maximum size of a recorded body, in bytes.
    pub const MAX_BODY: usize = 4 << 10;
}

/// The known state of a key's request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyState {
    /// Only the request that holds the claim may be sent.
    Claimed {
        /// Start time of the process that holds the claim.
        incarnation: u64,
        /// Random token of the request that holds the claim.
        token: String,
        /// Entry VM that holds the claim.
        vm: String,
    },
    /// The request was not run and may be claimed again.
    NotRun,
    /// The request was run.
    Ran(RecordedAnswer),
    /// Whether the request ran is unknown and can't be determined.
    Unknown,
}

impl KeyState {
    /// Returns the outcome to report to a caller that retries.
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
/// let record = OnceRecord { fingerprint: "ab".into(), state: KeyState::NotRun };
/// assert_eq!(record.to_text(), r#"{"print":"ab","state":"not-run"}"#);
/// assert_eq!(OnceRecord::parse(&record.to_text()), Some(record));
/// ```
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OnceRecord {
    /// Fingerprint of the key's request.
    #[serde(rename = "print")]
    pub fingerprint: String,
    /// The known state of the request.
    pub state: KeyState,
}

impl OnceRecord {
    /// Serializes the record as JSON.
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).expect("a record has only text keys")
    }

    /// Parses a record; `None` if the text is invalid.
    ///
    /// ```
    /// assert_eq!(steer::OnceRecord::parse("{}"), None);
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }

    /// Returns whether the request with this token holds the claim.
    ///
    /// ```
    /// use steer::{KeyState, OnceRecord};
    /// let record = OnceRecord { fingerprint: "ab".into(), state: KeyState::NotRun };
    /// assert!(!record.is_claimed_by("token"));
    /// ```
    pub fn is_claimed_by(&self, by: &str) -> bool {
        matches!(&self.state, KeyState::Claimed { token, .. } if token == by)
    }
}
