//! The life of the watch on the platform's settings.

use crate::{EntryNode, PlatformError, PlatformObject, SettingsDocument, SettingsPath};
use rand::RngExt;
use slog::warn;
use std::{sync::Arc, time::Duration};
use tokio::time::sleep;

/// Longest time that one watch call waits.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// First pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause after failed calls.
const LONGEST_PAUSE: Duration = Duration::from_secs(5);

/// Follows the settings in the platform for ever, and backs off with jitter while it is down.
pub async fn watch_settings(node: &EntryNode) {
    let mut revision = None;
    let mut pause = FIRST_PAUSE;
    loop {
        match read_changes(node, revision).await {
            Ok(next) => {
                revision = Some(next);
                pause = FIRST_PAUSE;
            }
            Err(error) => {
                warn!(node.log(), "settings: the platform gave no answer"; "reason" => %error);
                let jitter = rand::rng().random_range(0.5..1.0);
                sleep(pause.mul_f64(jitter)).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

/// Lists all settings at first, then waits for changes; gives the revision to go on from.
async fn read_changes(node: &EntryNode, after: Option<u64>) -> Result<u64, PlatformError> {
    let platform = &node.ports().platform;
    let prefix = SettingsPath::PLATFORM_PREFIX;
    let batch = match after {
        None => platform.list(prefix).await?,
        Some(revision) => platform.watch(prefix, revision, WATCH_WAIT).await?,
    };
    for object in &batch.objects {
        if let Some(document) = to_document(object) {
            node.offer_settings(&document);
        }
    }
    Ok(batch.revision.max(after.unwrap_or_default()))
}

fn to_document(object: &PlatformObject) -> Option<SettingsDocument> {
    Some(SettingsDocument {
        path: SettingsPath::from_platform(&object.path)?,
        text: Arc::clone(object.value.as_ref()?),
        version: object.version,
    })
}
