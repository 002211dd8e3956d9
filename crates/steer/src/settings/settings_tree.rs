//! All documents in force.

use super::{Checked, Document, InForce, Problem, Settings, SettingsPath, Snapshot};
use displaydoc::Display;
use std::{
    collections::{BTreeMap, btree_map::Entry},
    sync::Arc,
};
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
    /// refused by the settings above it: {0:?}
    OutOfBounds(Vec<Problem>),
}

impl std::error::Error for PutError {}

/// All documents in force, each at its highest version.
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
}

impl SettingsTree {
    /// Makes an empty tree.
    pub fn new() -> Self {
        Self::default()
    }

    /// Puts a document in force over a lower version of itself.
    ///
    /// # Errors
    ///
    /// `Stale` where the version in force is as high or higher.
    pub fn put_in_force(&mut self, settings: Settings<Checked>) -> Result<(), PutError> {
        let offered = settings.version();
        match self.documents.entry(settings.path().clone()) {
            Entry::Occupied(held) if held.get().version() >= offered => {
                return Err(PutError::Stale { held: held.get().version(), offered });
            }
            Entry::Occupied(mut held) => {
                held.insert(settings.into_force());
            }
            Entry::Vacant(place) => {
                place.insert(settings.into_force());
            }
        }
        Ok(())
    }

    /// Notes that a version of a document was refused; what was in force stays so.
    pub fn note_refused(&mut self, path: SettingsPath, version: u64, problems: Vec<Problem>) {
        self.refused.insert(path, (version, problems));
    }

    /// Refused versions that are newer than what is in force.
    pub fn refused(&self) -> impl Iterator<Item = (&SettingsPath, u64, &[Problem])> {
        self.refused
            .iter()
            .filter(|(path, (version, _))| self.version(path).is_none_or(|v| v < *version))
            .map(|(path, (version, problems))| (path, *version, problems.as_slice()))
    }

    /// The document in force at a path.
    pub fn document(&self, path: &SettingsPath) -> Option<&Settings<InForce>> {
        self.documents.get(path)
    }

    /// The version in force at a path.
    pub fn version(&self, path: &SettingsPath) -> Option<u64> {
        self.documents.get(path).map(Settings::version)
    }

    /// Paths and versions in force, sorted by path.
    pub fn versions(&self) -> impl Iterator<Item = (&SettingsPath, u64)> {
        self.documents.iter().map(|(path, s)| (path, s.version()))
    }

    /// A digest of all paths and versions, equal where the same settings are in force.
    pub fn digest(&self) -> u64 {
        let mut hash = Xxh3::new();
        for (path, version) in self.versions() {
            hash.update(path.to_string().as_bytes());
            hash.update(&version.to_le_bytes());
        }
        hash.digest()
    }

    /// Joins all documents into what decisions read.
    pub fn to_snapshot(&self) -> Snapshot {
        let fleet = self.documents.get(&SettingsPath::Fleet).map(Settings::<InForce>::document);
        let Some(Document::Fleet(fleet)) = fleet else {
            return Snapshot::default();
        };
        let mut snapshot = Snapshot::new(Arc::clone(fleet), self.digest());
        for settings in self.documents.values() {
            if let (SettingsPath::Team(team), Document::Team(document)) =
                (settings.path(), settings.document())
            {
                snapshot.add_team(team, document);
            }
        }
        snapshot
    }
}
