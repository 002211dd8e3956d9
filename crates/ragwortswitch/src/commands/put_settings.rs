//! `ragwortswitch settings put`: a checked, conditional write whose end is known.

use super::{problem_json, problem_text};
use crate::{
    report::Report,
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

/// Writes that are tried where the end of one isn't known.
const ATTEMPTS: u32 = 4;
/// Pause before the first repeated write, doubled each time.
const PAUSE: Duration = Duration::from_millis(250);
/// Longest pause that the platform may ask for.
const LONGEST_PAUSE: Duration = Duration::from_secs(5);

/// What to write.
#[derive(Debug)]
pub(crate) struct PutOptions {
    /// File with the text.
    pub(crate) file: String,
    /// Where it goes.
    pub(crate) path: SettingsPath,
    /// Version that it replaces, 0 for none.
    pub(crate) replaces: Option<u64>,
}

/// How a write ended.
#[derive(Debug, PartialEq)]
enum End {
    /// Another write came first.
    Raced,
    /// Nobody knows.
    Unknown(PlatformError),
    /// The text was written as this version.
    Written(u64),
    /// The answer was lost; the text was found as this version, and this one is the newest.
    WrittenBefore { newest: u64, version: u64 },
}

/// Checks a file and writes it over the version that it replaces.
pub(crate) async fn put_settings(
    platform: &HttpPlatform,
    options: &PutOptions,
) -> Result<Report, Box<dyn Error>> {
    let PutOptions { file, path, replaces } = options;
    let text = fs::read_to_string(file).map_err(|e| format!("{file}: {e}"))?;
    let batch = platform.list(SettingsPath::PLATFORM_PREFIX).await?;
    let held = batch.objects.iter().find(|object| *object.path == *path.to_platform());
    let held_version = held.map_or(0, |object| object.version);
    let base = replaces.unwrap_or(held_version);

    let limited = match check(path, &text, &batch.objects) {
        Ok(limited) => limited,
        Err(problems) => return Ok(refusal(file, &problems)),
    };
    let is_same = held.is_some_and(|object| object.value.as_deref() == Some(text.as_str()));
    if is_same && base == held_version {
        let json = json!({ "version": base, "written": false });
        let text = format!("{path} has this text already, as version {base}");
        return Ok(Report { failed: false, json, text });
    }
    match write(platform, path, &text, base).await? {
        End::Raced => lost_race(platform, options, base).await,
        End::Unknown(error) => Err(format!(
            "{path}: nobody knows whether the write took effect ({error}); \
             run `settings get {path}` when the platform answers again"
        )
        .into()),
        End::Written(version) => Ok(success(path, version, None, &limited)),
        End::WrittenBefore { newest, version } => {
            Ok(success(path, version, Some(newest), &limited))
        }
    }
}

/// Checks a text against the documents on the platform, over the version that stands there; gives
/// what it would limit.
fn check(
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
            // Documents out of bounds stay out here as they do on the entry VMs.
            let _ = tree.put_in_force(checked);
        }
    }
    match tree.put_in_force(Settings::new(path.clone(), u64::MAX, text).check()?) {
        Err(PutError::OutOfBounds(problems)) => return Err(problems),
        Ok(()) | Err(PutError::Stale { .. } | PutError::Waiting) => {}
    }
    let mut limited = Vec::new();
    for (path, _, problems) in tree.limited() {
        limited.extend(problems.iter().map(|problem| format!("{path}:{problem}")));
    }
    Ok(limited)
}

/// Writes until the end is known: a write that landed is found again as the version after `base`.
async fn write(
    platform: &HttpPlatform,
    path: &SettingsPath,
    text: &str,
    base: u64,
) -> Result<End, PlatformError> {
    let object = path.to_platform();
    let expected = if base == 0 { Expected::Absent } else { Expected::Version(base) };
    let mut pause = PAUSE;
    let mut last = PlatformError::Unavailable("no write was tried".into());
    for attempt in 0..ATTEMPTS {
        match platform.write(&object, text, expected).await {
            Ok(version) => return Ok(End::Written(version)),
            Err(PlatformError::Conflict { .. }) if attempt == 0 => return Ok(End::Raced),
            Err(PlatformError::Conflict { .. }) => {
                return read_back(platform, &object, text, base).await;
            }
            Err(PlatformError::RateLimited(wait)) => {
                last = PlatformError::RateLimited(wait);
                pause = wait.min(LONGEST_PAUSE);
            }
            Err(error @ (PlatformError::Lost(_) | PlatformError::Unavailable(_))) => last = error,
            Err(error) => return Err(error),
        }
        sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
    Ok(End::Unknown(last))
}

async fn read_back(
    platform: &HttpPlatform,
    object: &str,
    text: &str,
    base: u64,
) -> Result<End, PlatformError> {
    let versions = platform.history(object).await?;
    let next = versions.iter().filter(|v| v.version > base).min_by_key(|v| v.version);
    let own = next.filter(|next| next.value.as_deref() == Some(text));
    let newest = versions.first().map_or(base, |newest| newest.version);
    Ok(own.map_or(End::Raced, |own| End::WrittenBefore { newest, version: own.version }))
}

fn refusal(file: &str, problems: &[Problem]) -> Report {
    let lines: String = problems.iter().map(|p| problem_text(file, p)).collect();
    let list: Vec<Value> = problems.iter().map(problem_json).collect();
    Report {
        failed: true,
        json: json!({ "problems": list, "written": false }),
        text: lines + "nothing was written\n",
    }
}

/// Tells what was written; `newest` where the answer was lost and read back.
fn success(path: &SettingsPath, version: u64, newest: Option<u64>, limited: &[String]) -> Report {
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
    Report { failed: false, json, text }
}

/// Says who wrote what since the version that was to be replaced.
async fn lost_race(
    platform: &HttpPlatform,
    options: &PutOptions,
    base: u64,
) -> Result<Report, Box<dyn Error>> {
    let PutOptions { file, path, .. } = options;
    let versions = platform.history(&path.to_platform()).await?;
    let text_of = |v: &PlatformObjectBody| v.value.clone().unwrap_or_default();
    let Some(newest) = versions.first().filter(|newest| newest.version > base) else {
        let json = json!({ "held": 0, "replaces": base, "written": false });
        let text = format!("{path} was not written: there is no version {base} of it\n");
        return Ok(Report { failed: true, json, text });
    };
    let held = newest.version;
    let before = versions.iter().find(|v| v.version == base).map(text_of).unwrap_or_default();
    let mut text = format!("{path} was not written: it is at version {held}, not {base}\n");
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
    text += &format!("Changes from version {base} to {held}:\n{diff}");
    text += &format!(
        "{file} is as it was. Take these changes into it, then run\n  \
         ragwortswitch settings put {path} {file} --replaces {held}\n"
    );
    let json = json!({ "diff": diff, "held": held, "replaces": base, "winners": winners,
        "written": false });
    Ok(Report { failed: true, json, text })
}
