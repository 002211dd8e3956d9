//! The example deployments.

use crate::Network;
use std::error::Error;
use steer::{AvailabilityZoneName, Settings, SettingsPath, SettingsTree, Snapshot};

/// An example deployment: its settings and its entry VMs.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    documents: &'static [(&'static str, &'static str)],
    /// Number of entry VMs in each availability zone.
    entry_vms: [u8; 6],
    /// One-way delay between callers and their region in milliseconds.
    client_delay: f64,
    name: &'static str,
    zones: [&'static str; 6],
}

const VITRINE: Deployment = Deployment {
    client_delay: 8.0,
    documents: &[
        ("fleet", include_str!("../../../examples/vitrine/fleet.jsonc")),
        ("teams/briefs", include_str!("../../../examples/vitrine/teams/briefs.jsonc")),
        ("teams/media", include_str!("../../../examples/vitrine/teams/media.jsonc")),
        ("teams/payouts", include_str!("../../../examples/vitrine/teams/payouts.jsonc")),
    ],
    entry_vms: [2, 2, 2, 2, 1, 1],
    name: "vitrine",
    zones: ["lis-a", "lis-b", "por-a", "por-b", "far-a", "far-b"],
};

const ZADRUGA: Deployment = Deployment {
    client_delay: 3.0,
    documents: &[
        ("fleet", include_str!("../../../examples/zadruga/fleet.jsonc")),
        ("teams/archive", include_str!("../../../examples/zadruga/teams/archive.jsonc")),
        ("teams/calendar", include_str!("../../../examples/zadruga/teams/calendar.jsonc")),
        ("teams/claims", include_str!("../../../examples/zadruga/teams/claims.jsonc")),
    ],
    entry_vms: [2, 2, 2, 2, 1, 1],
    name: "zadruga",
    zones: ["sla-a", "sla-b", "bar-a", "bar-b", "sri-a", "sri-b"],
};

impl Deployment {
    /// Finds a deployment by its name.
    ///
    /// ```
    /// assert!(lab::Deployment::by_name("zadruga").is_some());
    /// assert!(lab::Deployment::by_name("other").is_none());
    /// ```
    pub fn by_name(name: &str) -> Option<Self> {
        [VITRINE, ZADRUGA].into_iter().find(|d| d.name == name)
    }

    /// Name of the deployment.
    pub fn name(&self) -> &'static str {
        self.name
    }

    /// One-way delay between callers and their region in milliseconds.
    pub fn client_delay(&self) -> f64 {
        self.client_delay
    }

    /// Names of the availability zones; a zone's number is its index plus one.
    pub fn zones(&self) -> &[&'static str] {
        &self.zones
    }

    /// The number of a zone, or 0 if the zone is unknown.
    pub fn zone_number(&self, zone: &AvailabilityZoneName) -> u8 {
        self.zones.iter().position(|z| *z == zone.as_str()).map_or(0, |i| i as u8 + 1)
    }

    /// Numbers and zones of the entry VMs; numbers start at 1.
    pub fn entry_vms(&self) -> Vec<(u8, AvailabilityZoneName)> {
        let zones = self.zones.iter().zip(self.entry_vms);
        let names = zones.flat_map(|(zone, count)| (0..count).map(|_| (*zone).into()));
        names.enumerate().map(|(i, zone)| (i as u8 + 1, zone)).collect()
    }

    /// Paths and contents of the settings documents, unmodified.
    pub fn raw_documents(&self) -> &'static [(&'static str, &'static str)] {
        self.documents
    }

    /// Paths and contents of the settings documents, with the addresses of a network.
    pub fn documents(&self, network: Network) -> Vec<(SettingsPath, String)> {
        let parse = |path| SettingsPath::parse(path).expect("the paths of the examples are valid");
        self.documents.iter().map(|(p, text)| (parse(p), network.translate(text))).collect()
    }

    /// Snapshot of all settings documents, as an entry VM builds it.
    ///
    /// # Errors
    ///
    /// If an example fails validation.
    pub fn snapshot(&self, network: Network) -> Result<Snapshot, Box<dyn Error>> {
        let mut tree = SettingsTree::new();
        for (path, text) in self.documents(network) {
            let checked = Settings::new(path, 1, text).check();
            tree.put_in_force(checked.map_err(|problems| format!("{problems:?}"))?)?;
        }
        Ok(tree.to_snapshot())
    }
}
