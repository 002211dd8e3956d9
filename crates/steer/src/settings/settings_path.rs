//! The path of a settings document.

use crate::TeamName;
use derive_more::Display;

/// The path of a document in the settings tree.
///
/// ```
/// use steer::SettingsPath;
/// let path = SettingsPath::parse("teams/payouts").unwrap();
/// assert_eq!(path, SettingsPath::Team("payouts".into()));
/// assert_eq!(path.to_string(), "teams/payouts");
/// ```
#[derive(Clone, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum SettingsPath {
    /// The settings of the whole fleet.
    #[display("fleet")]
    Fleet,
    /// The subtree of one team.
    #[display("teams/{_0}")]
    Team(TeamName),
}

impl SettingsPath {
    /// Prefix of all settings in the platform's object API.
    pub const PLATFORM_PREFIX: &'static str = "settings/";

    /// Parses a path; `None` if no document can have it.
    ///
    /// ```
    /// assert!(steer::SettingsPath::parse("teams/").is_none());
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        if text == "fleet" {
            return Some(Self::Fleet);
        }
        let team = text.strip_prefix("teams/")?;
        (!team.is_empty() && !team.contains('/')).then(|| Self::Team(team.into()))
    }

    /// Parses the path of a platform object.
    ///
    /// ```
    /// use steer::SettingsPath;
    /// assert_eq!(SettingsPath::from_platform("settings/fleet"), Some(SettingsPath::Fleet));
    /// ```
    pub fn from_platform(text: &str) -> Option<Self> {
        Self::parse(text.strip_prefix(Self::PLATFORM_PREFIX)?)
    }

    /// Returns the path of the platform object that stores the document.
    ///
    /// ```
    /// assert_eq!(steer::SettingsPath::Fleet.to_platform(), "settings/fleet");
    /// ```
    pub fn to_platform(&self) -> String {
        format!("{}{self}", Self::PLATFORM_PREFIX)
    }
}
