//! Settings of a request class.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Priority of a class when requests of several classes wait.
///
/// ```
/// use steer::Urgency;
/// assert!(Urgency::Interactive < Urgency::Deferrable);
/// ```
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// A person waits for the response.
    Interactive,
    /// Large transfers and background work of a person.
    #[default]
    Bulk,
    /// Work that uses only spare capacity, such as overnight reports.
    Deferrable,
}

/// Whether a request of a class may be sent to a target more than once.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RepeatRule {
    /// The request runs at most once and needs an `Idempotency-Key`.
    #[default]
    AtMostOnce,
    /// The request is idempotent.
    Idempotent,
    /// The request runs at most once, and its caller sends each attempt with a new id.
    OncePerTry,
}

/// Which requests belong to a class.
#[derive(Clone, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct MatchRule {
    /// HTTP methods; an empty list matches all.
    pub methods: Vec<String>,
    /// Prefix of the request path.
    pub path: String,
}

impl MatchRule {
    /// Returns whether the rule matches a request with this method and path.
    ///
    /// ```
    /// let rule = steer::MatchRule { methods: vec!["GET".into()], path: "/briefs".into() };
    /// assert!(rule.matches("GET", "/briefs/7"));
    /// assert!(!rule.matches("PUT", "/briefs/7"));
    /// ```
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let method_fits = self.methods.is_empty() || self.methods.iter().any(|m| m == method);
        method_fits && path.starts_with(&self.path)
    }
}

/// Settings of a request class.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClassSettings {
    /// Maximum time from arrival to the complete response, in milliseconds.
    pub deadline_ms: u64,
    /// Which requests belong to the class; the longest matching path wins.
    pub matches: Vec<MatchRule>,
    /// Maximum size of a request body, in bytes.
    pub max_body: u64,
    /// Whether a request may be sent again.
    pub repeat: RepeatRule,
    /// Maximum share of a target's slots that the class may use, from 0 to 1.
    pub slot_share: f64,
    /// Priority of the class.
    pub urgency: Urgency,
}

impl Default for ClassSettings {
    fn default() -> Self {
        Self {
            deadline_ms: 10_000,
            matches: Vec::new(),
            max_body: 1 << 20,
            repeat: RepeatRule::default(),
            slot_share: 1.0,
            urgency: Urgency::default(),
        }
    }
}
