//! Watches the settings in the platform.

use super::Backoff;
use crate::{
    EntryNode, PlatformError, PlatformObject, SettingsDocument, SettingsPath, VmState, WatchBatch,
};
use slog::warn;
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, sleep};

/// Maximum duration of one watch call.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Period at which all settings are listed again, in case a watch missed a change.
const LIST_PERIOD: Duration = Duration::from_secs(60);
/// Period at which a VM that doesn't watch checks whether it should.
const ROLE_PERIOD: Duration = Duration::from_millis(250);

/// Follows the settings in the platform while this VM is its zone's delegate or is joining. Backs
/// off with jitter while the platform is down. Never returns.
pub async fn watch_settings(node: &EntryNode) {
    let mut backoff = Backoff::new(node.vm().name.as_str());
    sleep(backoff.initial_pause()).await;
    let mut revision = None;
    let mut listed = Instant::now();
    loop {
        if !node.is_delegate() && node.state() != VmState::Joining {
            revision = None;
            sleep(ROLE_PERIOD).await;
            continue;
        }
        if listed.elapsed() >= LIST_PERIOD {
            revision = None;
        }
        if revision.is_none() {
            listed = Instant::now();
        }
        match read_changes(node, revision).await {
            Ok(latest) => {
                revision = latest;
                backoff.reset();
            }
            Err(error) => {
                warn!(node.log(), "settings: the platform gave no answer"; "reason" => %error);
                revision = None;
                let pause = backoff.next_pause();
                sleep(match error {
                    PlatformError::RateLimited(after) => pause.max(after),
                    _ => pause,
                })
                .await;
            }
        }
    }
}

/// Lists all settings if `after` is `None`, and otherwise waits for changes. Returns the revision
/// from which to continue, or `None` if the platform went back to an earlier revision.
async fn read_changes(node: &EntryNode, after: Option<u64>) -> Result<Option<u64>, PlatformError> {
    let platform = &node.ports().platform;
    let prefix = SettingsPath::PLATFORM_PREFIX;
    let batch = match after {
        None => platform.list(prefix).await?,
        Some(revision) => platform.watch(prefix, revision, WATCH_WAIT).await?,
    };
    offer_all(node, &batch);
    if after.is_none() {
        recover_last_valid(node).await?;
    }
    if after.is_some_and(|revision| batch.revision < revision) {
        warn!(node.log(), "settings: the platform went back to an earlier revision";
            "revision" => batch.revision, "seen" => after);
        sleep(ROLE_PERIOD).await;
        return Ok(None);
    }
    node.record_settings_confirmed();
    Ok(Some(batch.revision))
}

/// Searches for the last valid version of each path whose newest version is refused and of which
/// this VM has no version in force, for example after all VMs were replaced.
async fn recover_last_valid(node: &EntryNode) -> Result<(), PlatformError> {
    let refused: Vec<SettingsPath> = node.with_tree(|tree| {
        let paths = tree.refused().map(|(path, _, _)| path);
        paths.filter(|path| tree.version(path).is_none()).cloned().collect()
    });
    for path in refused {
        let versions = node.ports().platform.versions(&path.to_platform()).await?;
        let valid = versions.iter().filter_map(to_document).find(|d| node.offer_settings(d));
        if let Some(document) = valid {
            warn!(node.log(), "settings: using an older version, the last valid one";
                "path" => %path, "version" => document.version);
        }
    }
    Ok(())
}

fn offer_all(node: &EntryNode, batch: &WatchBatch) {
    for document in batch.objects.iter().filter_map(to_document) {
        let in_force = node.with_tree(|tree| tree.version(&document.path));
        if in_force.is_some_and(|version| version > document.version) {
            warn!(node.log(), "settings: the platform holds an older version than is in force";
                "path" => %document.path, "version" => document.version, "in_force" => in_force);
        }
        node.offer_settings(&document);
    }
}

/// Converts an object of the platform to a settings document. A deleted team document becomes an
/// empty one at the version of its deletion, so that the deletion spreads to peers like any change.
/// The fleet document can't be empty: validation refuses its deletion, and the last version stays
/// in force.
fn to_document(object: &PlatformObject) -> Option<SettingsDocument> {
    let path = SettingsPath::from_platform(&object.path)?;
    let empty = if path == SettingsPath::Fleet { "null" } else { r#"{ "services": {} }"# };
    let text = object.value.as_ref().map_or_else(|| empty.into(), Arc::clone);
    Some(SettingsDocument { path, text, version: object.version })
}
