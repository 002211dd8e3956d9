//! The life cycle of a settings document, as a typestate.

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

/// State of a document that has not been validated.
#[derive(Clone, Debug)]
pub struct Draft;

/// State of a document that is valid on its own and may be put in force.
#[derive(Clone, Debug)]
pub struct Checked(Document);

/// State of a document that is in force.
#[derive(Clone, Debug)]
pub struct InForce(Document);

/// A settings document in the state `Draft`, `Checked` or `InForce`.
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
    /// Returns the path of the document.
    pub fn path(&self) -> &SettingsPath {
        &self.path
    }

    /// Returns the text as the operator wrote it.
    pub fn text(&self) -> &Arc<str> {
        &self.text
    }

    /// Returns the platform's version of the document.
    pub fn version(&self) -> u64 {
        self.version
    }
}

impl Settings<Draft> {
    /// Creates a draft from the text that the platform or an operator supplied.
    ///
    /// ```
    /// use steer::{Settings, SettingsPath};
    /// let draft = Settings::new(SettingsPath::Fleet, 3, "{}");
    /// assert_eq!(draft.version(), 3);
    /// ```
    pub fn new(path: SettingsPath, version: u64, text: impl Into<Arc<str>>) -> Self {
        Self { path, state: Draft, text: text.into(), version }
    }

    /// Parses the document and validates it on its own, without other documents.
    ///
    /// # Errors
    ///
    /// Lists the problems, each with line, column and path.
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
    /// Returns the parsed content.
    pub fn document(&self) -> &Document {
        &self.state.0
    }

    /// Changes the state to `InForce`. Called only by the tree, after it has compared versions.
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
    /// Returns the parsed content.
    pub fn document(&self) -> &Document {
        &self.state.0
    }
}
