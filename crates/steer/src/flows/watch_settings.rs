//! The life of the watch on the platform's settings.

use super::Backoff;
use crate::{
    EntryNode, PlatformError, PlatformObject, SettingsDocument, SettingsPath, VmState, WatchBatch,
};
use slog::warn;
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, sleep};

/// Longest time that one watch call waits.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Time after which a watcher lists all settings again, in case a watch skipped a change.
const LIST_PERIOD: Duration = Duration::from_secs(60);
/// Time between two looks at whether this VM is to watch.
const ROLE_PERIOD: Duration = Duration::from_millis(250);

/// Follows the settings in the platform for ever while this VM speaks for its zone or has none
/// yet, and backs off with jitter while the platform is down.
pub async fn watch_settings(node: &EntryNode) {
    let mut backoff = Backoff::new(node.vm().name.as_str());
    sleep(backoff.start()).await;
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
            Ok(next) => {
                revision = next;
                backoff.reset();
            }
            Err(error) => {
                warn!(node.log(), "settings: the platform gave no answer"; "reason" => %error);
                revision = None;
                let pause = backoff.fail();
                sleep(match error {
                    PlatformError::RateLimited(after) => pause.max(after),
                    _ => pause,
                })
                .await;
            }
        }
    }
}

/// Lists all settings at first, then waits for changes; gives the revision to go on from, none
/// where the store went back to an older state.
async fn read_changes(node: &EntryNode, after: Option<u64>) -> Result<Option<u64>, PlatformError> {
    let platform = &node.ports().platform;
    let prefix = SettingsPath::PLATFORM_PREFIX;
    let batch = match after {
        None => platform.list(prefix).await?,
        Some(revision) => platform.watch(prefix, revision, WATCH_WAIT).await?,
    };
    offer_all(node, &batch);
    if after.is_some_and(|revision| batch.revision < revision) {
        warn!(node.log(), "settings: the platform went back to an older state";
            "revision" => batch.revision, "seen" => after);
        sleep(ROLE_PERIOD).await;
        return Ok(None);
    }
    node.note_settings_confirmed();
    Ok(Some(batch.revision))
}

fn offer_all(node: &EntryNode, batch: &WatchBatch) {
    for document in batch.objects.iter().filter_map(to_document) {
        let held = node.with_tree(|tree| tree.version(&document.path));
        if held.is_some_and(|held| held > document.version) {
            warn!(node.log(), "settings: the platform holds an older version than is in force";
                "path" => %document.path, "version" => document.version, "in_force" => held);
        }
        node.offer_settings(&document);
    }
}

/// A deleted subtree becomes an empty one at the version of its deletion, so that peers learn
/// of it as of any change. The fleet's document can't be empty: its deletion is refused by its
/// check, and the last one stays in force.
fn to_document(object: &PlatformObject) -> Option<SettingsDocument> {
    let path = SettingsPath::from_platform(&object.path)?;
    let empty = if path == SettingsPath::Fleet { "null" } else { r#"{ "services": {} }"# };
    let text = object.value.as_ref().map_or_else(|| empty.into(), Arc::clone);
    Some(SettingsDocument { path, text, version: object.version })
}
