//! `ragwortswitch settings put`: validates a document, and writes it if the version that
//! it replaces is still current.
//!
//! If the response to a write is lost, the history shows whether the write took effect.

use super::{problem_json, problem_text};
use crate::{
    command_output::CommandOutput,
    text_diff::{count_changes, diff_text},
    text_table::wrap_text,
};
use adapters::{HttpPlatform, PlatformObjectBody};
use serde_json::{Value, json};
use std::{error::Error, fs, time::Duration};
use steer::{
    Expected, Platform, PlatformError, PlatformObject, Problem, PutError, Settings, SettingsPath,
    SettingsTree,
};
use tokio::time::sleep;

/// Maximum number of write attempts while the outcome is unknown.
const MAX_ATTEMPTS: u32 = 4;
/// Delay before the first retry; doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Maximum delay before a retry, also if the platform asks for a longer one.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Arguments of `settings put`.
#[derive(Debug)]
pub(crate) struct PutOptions {
    /// File with the document.
    pub(crate) file: String,
    /// Path of the document.
    pub(crate) path: SettingsPath,
    /// Version that the write replaces: 0 requires that the document doesn't exist yet; `None`
    /// stands for the version on the platform when the command starts.
    pub(crate) replaces: Option<u64>,
}

/// Outcome of a conditional write.
#[derive(Debug, PartialEq)]
enum WriteOutcome {
    /// Another write replaced the base version first.
    Conflict,
    /// No attempt was confirmed, and one may have taken effect; holds the last error.
    Unknown(PlatformError),
    /// The text was written as this version.
    Written(u64),
    /// A response was lost, but the history holds the text as `version`; `newest` is the current one.
    FoundInHistory { newest: u64, version: u64 },
}

/// Validates a file and writes it if the version that it replaces is still current.
pub(crate) async fn put_settings(
    platform: &HttpPlatform,
    options: &PutOptions,
) -> Result<CommandOutput, Box<dyn Error>> {
    let PutOptions { file, path, replaces } = options;
    let text = fs::read_to_string(file).map_err(|e| format!("{file}: {e}"))?;
    let batch = platform.list(SettingsPath::PLATFORM_PREFIX).await?;
    let current = batch.objects.iter().find(|object| *object.path == *path.to_platform());
    let current_version = current.map_or(0, |object| object.version);
    let base = replaces.unwrap_or(current_version);

    let limited = match validate(path, &text, &batch.objects) {
        Ok(limited) => limited,
        Err(problems) => return Ok(problems_output(file, &problems)),
    };
    let is_same = current.is_some_and(|object| object.value.as_deref() == Some(text.as_str()));
    if is_same && base == current_version {
        let json = json!({ "version": base, "written": false });
        let text = format!("{path} has this text already, as version {base}");
        return Ok(CommandOutput { failed: false, json, text });
    }
    match write(platform, path, &text, base).await? {
        WriteOutcome::Conflict => conflict_output(platform, options, base).await,
        WriteOutcome::Unknown(error) => Err(format!(
            "{path}: it is unknown whether the write took effect ({error}); \
             run `settings get {path}` when the platform answers again"
        )
        .into()),
        WriteOutcome::Written(version) => Ok(success_output(path, version, None, &limited)),
        WriteOutcome::FoundInHistory { newest, version } => {
            Ok(success_output(path, version, Some(newest), &limited))
        }
    }
}

/// Validates a new version of a document against the other documents on the platform. Returns the
/// parts of documents that would have no effect if it were written, including those that have none
/// now.
fn validate(
    path: &SettingsPath,
    text: &str,
    objects: &[PlatformObject],
) -> Result<Vec<String>, Vec<Problem>> {
    let mut tree = SettingsTree::new();
    for object in objects {
        let (Some(other), Some(value)) =
            (SettingsPath::from_platform(&object.path), object.value.as_deref())
        else {
            continue;
        };
        if let Ok(checked) = Settings::new(other, object.version, value).check() {
            // Entry VMs ignore documents that are out of bounds too.
            let _ = tree.put_in_force(checked);
        }
    }
    match tree.put_in_force(Settings::new(path.clone(), u64::MAX, text).check()?) {
        Err(PutError::OutOfBounds(problems)) => return Err(problems),
        // A team's document may be written before the fleet's, for which it then waits. `Stale`
        // would need a current version of `u64::MAX`.
        Ok(()) | Err(PutError::Stale { .. } | PutError::Waiting) => {}
    }
    let mut limited = Vec::new();
    for (path, _, problems) in tree.limited() {
        limited.extend(problems.iter().map(|problem| format!("{path}:{problem}")));
    }
    Ok(limited)
}

/// Writes a document, and retries while the outcome is unknown, up to [`MAX_ATTEMPTS`] attempts.
///
/// A conflict on a retry may stem from an earlier attempt that took effect; the version after
/// `base` in the history shows whether it did.
async fn write(
    platform: &HttpPlatform,
    path: &SettingsPath,
    text: &str,
    base: u64,
) -> Result<WriteOutcome, PlatformError> {
    let object_path = path.to_platform();
    let expected = if base == 0 { Expected::Absent } else { Expected::Version(base) };
    let mut backoff = INITIAL_BACKOFF;
    let mut last = PlatformError::Unavailable("no write was attempted".into());
    for attempt in 0..MAX_ATTEMPTS {
        match platform.write(&object_path, text, expected).await {
            Ok(version) => return Ok(WriteOutcome::Written(version)),
            Err(PlatformError::Conflict { .. }) if attempt == 0 => {
                return Ok(WriteOutcome::Conflict);
            }
            Err(PlatformError::Conflict { .. }) => {
                return find_in_history(platform, &object_path, text, base).await;
            }
            Err(PlatformError::RateLimited(wait)) => {
                last = PlatformError::RateLimited(wait);
                backoff = wait.min(MAX_BACKOFF);
            }
            Err(error @ (PlatformError::Lost(_) | PlatformError::Unavailable(_))) => last = error,
            Err(error) => return Err(error),
        }
        sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
    Ok(WriteOutcome::Unknown(last))
}

/// Reads the history and checks whether the first version after `base` holds the text.
async fn find_in_history(
    platform: &HttpPlatform,
    object_path: &str,
    text: &str,
    base: u64,
) -> Result<WriteOutcome, PlatformError> {
    let versions = platform.history(object_path).await?;
    let next = versions.iter().filter(|v| v.version > base).min_by_key(|v| v.version);
    let own = next.filter(|next| next.value.as_deref() == Some(text));
    let newest = versions.first().map_or(base, |newest| newest.version);
    Ok(own.map_or(WriteOutcome::Conflict, |own| WriteOutcome::FoundInHistory {
        newest,
        version: own.version,
    }))
}

fn problems_output(file: &str, problems: &[Problem]) -> CommandOutput {
    let lines: String = problems.iter().map(|p| problem_text(file, p)).collect();
    let list: Vec<Value> = problems.iter().map(problem_json).collect();
    CommandOutput {
        failed: true,
        json: json!({ "problems": list, "written": false }),
        text: lines + "nothing was written\n",
    }
}

/// Formats the result of a successful write. `newest` is set if the response was lost and the write
/// was found in the history.
fn success_output(
    path: &SettingsPath,
    version: u64,
    newest: Option<u64>,
    limited: &[String],
) -> CommandOutput {
    let mut text = match newest {
        None => format!("{path} is now version {version}\n"),
        Some(newest) if newest == version => {
            format!("{path} is now version {version}; the answer was lost and read back\n")
        }
        Some(newest) => format!(
            "{path} was written as version {version}; the answer was lost and read back.\n\
             Since then it was replaced: it is at version {newest}. To see by whom, run\n  \
             ragwortswitch settings history {path}\n"
        ),
    };
    if !limited.is_empty() {
        text += "With it, parts of documents in force are left out:\n";
        limited.iter().for_each(|line| text += &wrap_text(line, "  "));
    }
    let json = json!({ "limited": limited, "newest": newest.unwrap_or(version), "version": version,
        "written": true });
    CommandOutput { failed: false, json, text }
}

/// Formats the result of a conflict: the writes since the base version with their authors, line
/// counts and a diff.
async fn conflict_output(
    platform: &HttpPlatform,
    options: &PutOptions,
    base: u64,
) -> Result<CommandOutput, Box<dyn Error>> {
    let PutOptions { file, path, .. } = options;
    let versions = platform.history(&path.to_platform()).await?;
    let text_of = |v: &PlatformObjectBody| v.value.clone().unwrap_or_default();
    let Some(newest) = versions.first().filter(|newest| newest.version > base) else {
        let json = json!({ "held": 0, "replaces": base, "written": false });
        let text = format!("{path} was not written: there is no version {base} of it\n");
        return Ok(CommandOutput { failed: true, json, text });
    };
    let current_version = newest.version;
    let before = versions.iter().find(|v| v.version == base).map(text_of).unwrap_or_default();
    let mut text =
        format!("{path} was not written: it is at version {current_version}, not {base}\n");
    let mut winners = Vec::new();
    for (i, winner) in versions.iter().enumerate().filter(|(_, v)| v.version > base) {
        let previous = versions.get(i + 1).map(text_of).unwrap_or_default();
        let (added, removed) = count_changes(&previous, &text_of(winner));
        let PlatformObjectBody { author, time, version, .. } = winner;
        let when = if time.is_empty() { String::new() } else { format!(" at {time}") };
        text += &format!("  version {version} by {author}{when}: +{added} -{removed} lines\n");
        winners.push(json!({ "author": author, "time": time, "version": version }));
    }
    let diff = diff_text(&before, &text_of(newest));
    text += &format!("Changes from version {base} to {current_version}:\n{diff}");
    text += &format!(
        "{file} is as it was. Take these changes into it, then run\n  \
         ragwortswitch settings put {path} {file} --replaces {current_version}\n"
    );
    let json = json!({ "diff": diff, "held": current_version, "replaces": base, "winners": winners,
        "written": false });
    Ok(CommandOutput { failed: true, json, text })
}
