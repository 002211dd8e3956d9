//! The life cycle of a settings document.

use super::{
    FleetDocument, Problem, SettingsPath, TeamDocument, check_fleet::check_fleet,
    check_team::check_team, source::parse_jsonc,
};
use std::sync::Arc;

/// The parsed content of a settings document.
#[derive(Clone, Debug, PartialEq)]
pub enum Document {
    /// Settings of the whole fleet.
    Fleet(Arc<FleetDocument>),
    /// Settings of one team.
    Team(Arc<TeamDocument>),
}

/// Text that has not been checked.
#[derive(Clone, Debug)]
pub struct Draft;

/// Settings that may be put in force.
#[derive(Clone, Debug)]
pub struct Checked(Document);

/// Settings that decisions use.
#[derive(Clone, Debug)]
pub struct InForce(Document);

/// A settings document in one state of its life: `Draft`, `Checked` or `InForce`.
///
/// Only checked settings can be put in force:
///
/// ```compile_fail
/// use steer::{Settings, SettingsPath, SettingsTree};
/// let draft = Settings::new(SettingsPath::Fleet, 1, "{}");
/// SettingsTree::new().put_in_force(draft);
/// ```
#[derive(Clone, Debug)]
pub struct Settings<S> {
    path: SettingsPath,
    state: S,
    text: Arc<str>,
    version: u64,
}

impl<S> Settings<S> {
    /// Where the document stands.
    pub fn path(&self) -> &SettingsPath {
        &self.path
    }

    /// The text as the operator wrote it.
    pub fn text(&self) -> &Arc<str> {
        &self.text
    }

    /// The platform's version of the document.
    pub fn version(&self) -> u64 {
        self.version
    }
}

impl Settings<Draft> {
    /// Takes a document's text as the platform or an operator gave it.
    ///
    /// ```
    /// use steer::{Settings, SettingsPath};
    /// let draft = Settings::new(SettingsPath::Fleet, 3, "{}");
    /// assert_eq!(draft.version(), 3);
    /// ```
    pub fn new(path: SettingsPath, version: u64, text: impl Into<Arc<str>>) -> Self {
        Self { path, state: Draft, text: text.into(), version }
    }

    /// Parses the document and checks what it says by itself.
    ///
    /// # Errors
    ///
    /// Lists what is wrong, each with line, column and path.
    ///
    /// ```
    /// use steer::{Settings, SettingsPath};
    /// assert!(Settings::new(SettingsPath::Fleet, 1, "{").check().is_err());
    /// ```
    pub fn check(self) -> Result<Settings<Checked>, Vec<Problem>> {
        let (document, findings) = match self.path {
            SettingsPath::Fleet => {
                let fleet: FleetDocument = parse_jsonc(&self.text)?;
                let findings = check_fleet(&fleet);
                (Document::Fleet(Arc::new(fleet)), findings)
            }
            SettingsPath::Team(_) => {
                let team: TeamDocument = parse_jsonc(&self.text)?;
                let findings = check_team(&team);
                (Document::Team(Arc::new(team)), findings)
            }
        };
        if !findings.is_empty() {
            return Err(findings.locate(&self.text));
        }
        let Self { path, text, version, .. } = self;
        Ok(Settings { path, state: Checked(document), text, version })
    }
}

impl Settings<Checked> {
    /// The parsed content.
    pub fn document(&self) -> &Document {
        &self.state.0
    }

    /// Moves to the state in force; only the tree calls it, after it compared versions.
    pub(super) fn into_force(self) -> Settings<InForce> {
        Settings {
            path: self.path,
            state: InForce(self.state.0),
            text: self.text,
            version: self.version,
        }
    }
}

impl Settings<InForce> {
    /// The parsed content.
    pub fn document(&self) -> &Document {
        &self.state.0
    }
}
