//! Settings documents, each stored under a path and validated before it takes effect.

mod bounds;
mod check_common;
mod check_fleet;
mod check_service;
mod check_team;
mod class_settings;
mod drain_settings;
mod findings;
mod fleet_document;
mod link_settings;
mod problem;
mod service_settings;
mod settings_path;
mod settings_state;
mod settings_tree;
mod shift_settings;
mod snapshot;
mod source;
mod target_settings;
mod team_document;
mod value_path;

use self::findings::Findings;
pub use self::{
    class_settings::{ClassSettings, MatchRule, RepeatRule, Urgency},
    drain_settings::{DrainSettings, Maintenance},
    findings::suggest_name,
    fleet_document::{FleetDocument, MemberSettings, RegionSettings, TeamBounds},
    link_settings::LinkSettings,
    problem::{Position, Problem},
    service_settings::ServiceSettings,
    settings_path::SettingsPath,
    settings_state::{Checked, Document, Draft, InForce, Settings},
    settings_tree::{PutError, SettingsTree},
    shift_settings::ShiftSettings,
    snapshot::{Service, Snapshot},
    source::parse_jsonc,
    target_settings::TargetSettings,
    team_document::TeamDocument,
    value_path::{PathSegment, ValuePath},
};
