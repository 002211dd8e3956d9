//! The versioned tree of settings documents in force.

use super::{
    Checked, Document, DrainSettings, Findings, FleetDocument, InForce, Problem, Settings,
    SettingsPath, Snapshot, TeamDocument,
    bounds::{Bounds, ResourceOwners},
    check_common::each_drain,
};
use crate::{TargetName, TeamName};
use displaydoc::Display;
use std::{collections::BTreeMap, sync::Arc};
use xxhash_rust::xxh3::Xxh3;

/// Why a checked document was not put in force.
#[derive(Debug, Display, PartialEq)]
pub enum PutError {
    /// version {offered} is not above version {held}
    Stale {
        /// Version in force.
        held: u64,
        /// Version that was offered.
        offered: u64,
    },
    /// the document exceeds the bounds that the fleet's settings set for its team
    OutOfBounds(Vec<Problem>),
    /// the document waits for the fleet's settings
    Waiting,
}

impl std::error::Error for PutError {}

/// The settings documents in force, each at its highest accepted version, with the refused and
/// pending ones.
///
/// ```
/// use steer::{Settings, SettingsPath, SettingsTree};
/// let text = r#"{ "fleet": "demo", "regions": {} }"#;
/// let mut tree = SettingsTree::new();
/// tree.put_in_force(Settings::new(SettingsPath::Fleet, 2, text).check().unwrap()).unwrap();
/// let older = Settings::new(SettingsPath::Fleet, 1, text).check().unwrap();
/// assert!(tree.put_in_force(older).is_err());
/// assert_eq!(tree.versions().collect::<Vec<_>>(), [(&SettingsPath::Fleet, 2)]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct SettingsTree {
    documents: BTreeMap<SettingsPath, Settings<InForce>>,
    refused: BTreeMap<SettingsPath, (u64, Vec<Problem>)>,
    waiting: BTreeMap<SettingsPath, Settings<Checked>>,
}

/// A team's document in force, with the part of it that its bounds allow.
struct LimitedTeam<'a> {
    effective: TeamDocument,
    findings: Findings,
    settings: &'a Settings<InForce>,
    team: &'a TeamName,
}

impl SettingsTree {
    /// Creates an empty tree.
    pub fn new() -> Self {
        Self::default()
    }

    /// Puts a document in force, replacing a lower version. A team's document that arrives before
    /// the fleet's, or exceeds its bounds, is kept and retried when another document changes.
    ///
    /// # Errors
    ///
    /// `Stale` if the version in force is equal or higher; `OutOfBounds` or `Waiting` if the
    /// document can't take effect yet. The version in force stays unchanged.
    pub fn put_in_force(&mut self, settings: Settings<Checked>) -> Result<(), PutError> {
        let offered = settings.version();
        if let Some(held) = self.version(settings.path()).filter(|held| *held >= offered) {
            return Err(PutError::Stale { held, offered });
        }
        if let Err(error) = self.check_bounds(&settings) {
            if let PutError::OutOfBounds(problems) = &error {
                self.record_refusal(settings.path().clone(), offered, problems.clone());
            }
            self.keep_waiting(settings);
            return Err(error);
        }
        self.documents.insert(settings.path().clone(), settings.into_force());
        self.retry_waiting();
        Ok(())
    }

    fn check_bounds(&self, settings: &Settings<Checked>) -> Result<(), PutError> {
        let (SettingsPath::Team(team), Document::Team(document)) =
            (settings.path(), settings.document())
        else {
            return Ok(());
        };
        let Some(fleet) = self.fleet() else { return Err(PutError::Waiting) };
        let mut owners = ResourceOwners::default();
        for other in self.limited_teams(fleet).iter().filter(|other| other.team != team) {
            owners.add(other.team, &other.effective);
        }
        let mut findings = Findings::default();
        Bounds::new(fleet, team).limit(document, &owners, &mut findings);
        if findings.is_empty() {
            return Ok(());
        }
        Err(PutError::OutOfBounds(findings.locate(settings.text())))
    }

    fn keep_waiting(&mut self, settings: Settings<Checked>) {
        let held = self.waiting.get(settings.path()).map(Settings::version);
        if held.is_none_or(|held| held < settings.version()) {
            self.waiting.insert(settings.path().clone(), settings);
        }
    }

    /// Retries the waiting documents in ascending order of version, which is the write order.
    fn retry_waiting(&mut self) {
        let mut waiting: Vec<_> = std::mem::take(&mut self.waiting).into_values().collect();
        waiting.sort_by_key(Settings::version);
        for settings in waiting {
            // `put_in_force` has already recorded a refusal and kept the document waiting.
            let _ = self.put_in_force(settings);
        }
    }

    fn fleet(&self) -> Option<&Arc<FleetDocument>> {
        match self.documents.get(&SettingsPath::Fleet)?.document() {
            Document::Fleet(fleet) => Some(fleet),
            Document::Team(_) => None,
        }
    }

    /// Limits each team's document to its bounds. Where two teams claim the same host, target or
    /// address, the document with the lower version, which was written first, keeps it.
    fn limited_teams(&self, fleet: &FleetDocument) -> Vec<LimitedTeam<'_>> {
        let mut documents: Vec<&Settings<InForce>> = self.documents.values().collect();
        documents.sort_by_key(|settings| settings.version());
        let mut owners = ResourceOwners::default();
        let mut teams = Vec::new();
        for settings in documents {
            let (SettingsPath::Team(team), Document::Team(document)) =
                (settings.path(), settings.document())
            else {
                continue;
            };
            let mut findings = Findings::default();
            let effective = Bounds::new(fleet, team).limit(document, &owners, &mut findings);
            owners.add(team, &effective);
            teams.push(LimitedTeam { effective, findings, settings, team });
        }
        teams
    }

    /// Returns the documents in force of which a part has no effect: entries of a team that the
    /// fleet's settings no longer allow, and drains in the fleet's document of targets that no team
    /// has.
    pub fn limited(&self) -> Vec<(SettingsPath, u64, Vec<Problem>)> {
        let Some(fleet) = self.fleet() else { return Vec::new() };
        let teams = self.limited_teams(fleet);
        let unknown = self.find_unknown_drains(fleet, &teams);
        let own = self.documents.get(&SettingsPath::Fleet).map(|settings| (unknown, settings));
        own.into_iter()
            .chain(teams.into_iter().map(|team| (team.findings, team.settings)))
            .filter(|(findings, _)| !findings.is_empty())
            .map(|(findings, settings)| {
                let problems = findings.locate(settings.text());
                (settings.path().clone(), settings.version(), problems)
            })
            .collect()
    }

    /// Finds drains in the fleet's document whose target no team has. Reports nothing while a
    /// team's document is missing, because that team may have the target.
    fn find_unknown_drains(&self, fleet: &FleetDocument, teams: &[LimitedTeam<'_>]) -> Findings {
        let mut findings = Findings::default();
        if fleet.teams.keys().any(|name| teams.iter().all(|team| team.team != name)) {
            return findings;
        }
        let services = teams.iter().flat_map(|team| team.effective.services.values());
        let targets: Vec<&TargetName> = services.flat_map(|s| s.targets.keys()).collect();
        for (path, drain) in each_drain(&fleet.drains, &fleet.maintenance) {
            if let DrainSettings::Target(name) = drain {
                findings.expect_known("target", name, &targets, &path);
            }
        }
        findings
    }

    /// Returns the documents that wait for the fleet's settings, or for a change of bounds that
    /// allows them.
    pub fn waiting(&self) -> impl Iterator<Item = (&SettingsPath, u64)> {
        self.waiting.iter().map(|(path, s)| (path, s.version()))
    }

    /// Records the refusal of a document version, keeping only the newest refusal of each path.
    /// The version in force stays unchanged.
    pub fn record_refusal(&mut self, path: SettingsPath, version: u64, problems: Vec<Problem>) {
        if self.refused.get(&path).is_none_or(|(recorded, _)| *recorded <= version) {
            self.refused.insert(path, (version, problems));
        }
    }

    /// Returns the refused versions that are newer than the version in force.
    pub fn refused(&self) -> impl Iterator<Item = (&SettingsPath, u64, &[Problem])> {
        self.refused
            .iter()
            .filter(|(path, (version, _))| self.version(path).is_none_or(|v| v < *version))
            .map(|(path, (version, problems))| (path, *version, problems.as_slice()))
    }

    /// Returns the document in force at a path.
    pub fn document(&self, path: &SettingsPath) -> Option<&Settings<InForce>> {
        self.documents.get(path)
    }

    /// Returns the version in force at a path.
    pub fn version(&self, path: &SettingsPath) -> Option<u64> {
        self.documents.get(path).map(Settings::version)
    }

    /// Returns the paths and versions in force, sorted by path.
    pub fn versions(&self) -> impl Iterator<Item = (&SettingsPath, u64)> {
        self.documents.iter().map(|(path, s)| (path, s.version()))
    }

    /// Returns a digest of all paths and versions, equal on VMs with the same settings in force.
    pub fn digest(&self) -> u64 {
        let mut hash = Xxh3::new();
        for (path, version) in self.versions() {
            hash.update(path.to_string().as_bytes());
            hash.update(&version.to_le_bytes());
        }
        hash.digest()
    }

    /// Merges all documents, each limited to its bounds, into one snapshot for routing decisions.
    pub fn to_snapshot(&self) -> Snapshot {
        let Some(fleet) = self.fleet() else { return Snapshot::default() };
        let mut snapshot = Snapshot::new(Arc::clone(fleet), self.digest());
        for limited in self.limited_teams(fleet) {
            snapshot.add_team(limited.team, &limited.effective);
        }
        snapshot
    }
}
