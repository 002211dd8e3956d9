//! `ragwortswitch settings`: reads, compares and writes steering settings.

use super::{PutOptions, put_settings};
use crate::{
    arguments::{Argument, CommonOptions, EarlyExit, unexpected_value, unknown_option},
    command_output::CommandOutput,
    text_diff::{count_changes, diff_text},
    text_table::text_table,
};
use adapters::{HttpPlatform, PlatformObjectBody};
use lexopt::{Parser, ValueExt};
use serde_json::{Value, json};
use std::{error::Error, fs};
use steer::{Platform, SettingsPath};

const HELP: &str = "\
Reads and writes steering settings, which the platform keeps.

Usage: ragwortswitch settings get PATH [OPTIONS]
       ragwortswitch settings put PATH FILE [OPTIONS]
       ragwortswitch settings list [OPTIONS]
       ragwortswitch settings diff PATH FILE [OPTIONS]
       ragwortswitch settings diff PATH --from VERSION --to VERSION [OPTIONS]
       ragwortswitch settings history PATH [OPTIONS]

PATH is fleet or teams/NAME. `put` checks FILE and writes it only over the
version that it replaces: where another write came first, it shows what that
changed, and nothing is lost.

Options:
  --author NAME       Who writes (default: $USER)
  --from VERSION      Version to compare from
  --json              Output for programs
  --platform ADDR     Address of the platform (or RAGWORT_PLATFORM)
  --replaces VERSION  Version that `put` replaces, 0 where there must be none
                      (default: the one that it reads first)
  --to VERSION        Version to compare with
";

/// Subcommand with its arguments.
#[derive(Debug)]
enum SettingsAction {
    Diff { file: String, path: SettingsPath },
    DiffVersions { from: u64, path: SettingsPath, to: u64 },
    Get(SettingsPath),
    History(SettingsPath),
    List,
    Put(PutOptions),
}

/// Options of the command.
#[derive(Debug)]
pub(crate) struct SettingsOptions {
    action: SettingsAction,
    pub(crate) common: CommonOptions,
}

impl SettingsOptions {
    pub(crate) fn parse(parser: &mut Parser) -> Result<Self, EarlyExit> {
        let mut common = CommonOptions::default();
        let mut values = Vec::new();
        let (mut from, mut replaces, mut to) = (None, None, None);
        while let Some(argument) = common.next(parser, HELP)? {
            match argument {
                Argument::Option(name) => {
                    let version = match name.as_str() {
                        "from" => &mut from,
                        "replaces" => &mut replaces,
                        "to" => &mut to,
                        _ => return Err(unknown_option(&name)),
                    };
                    *version = Some(parser.value()?.parse()?);
                }
                Argument::Value(value) => values.push(value),
            }
        }
        let mut values = values.into_iter();
        let action = match values.next().as_deref() {
            Some("diff") => {
                let path = take_path(&mut values)?;
                match (from, to) {
                    (Some(from), Some(to)) => SettingsAction::DiffVersions { from, path, to },
                    (None, None) => SettingsAction::Diff { file: take_file(&mut values)?, path },
                    _ => return Err("--from and --to go together".into()),
                }
            }
            Some("get") => SettingsAction::Get(take_path(&mut values)?),
            Some("history") => SettingsAction::History(take_path(&mut values)?),
            Some("list") => SettingsAction::List,
            Some("put") => {
                let path = take_path(&mut values)?;
                SettingsAction::Put(PutOptions { file: take_file(&mut values)?, path, replaces })
            }
            _ => return Err("expected get, put, list, diff or history".into()),
        };
        if let Some(value) = values.next() {
            return Err(unexpected_value(value));
        }
        common.platform()?;
        Ok(Self { action, common })
    }

    pub(crate) async fn run(&self) -> Result<CommandOutput, Box<dyn Error>> {
        let platform = self.common.platform().map_err(|_| "no platform is named")?;
        match &self.action {
            SettingsAction::Diff { file, path } => diff_file(&platform, path, file).await,
            SettingsAction::DiffVersions { from, path, to } => {
                diff_versions(&platform, path, *from, *to).await
            }
            SettingsAction::Get(path) => get(&platform, path).await,
            SettingsAction::History(path) => history(&platform, path).await,
            SettingsAction::List => list(&platform).await,
            SettingsAction::Put(options) => put_settings(&platform, options).await,
        }
    }
}

fn take_path(values: &mut impl Iterator<Item = String>) -> Result<SettingsPath, EarlyExit> {
    let text = values.next().ok_or("a path is missing: fleet or teams/NAME")?;
    SettingsPath::parse(&text).ok_or_else(|| {
        EarlyExit::Invalid(format!("`{text}` is not a path: expected fleet or teams/NAME").into())
    })
}

fn take_file(values: &mut impl Iterator<Item = String>) -> Result<String, EarlyExit> {
    Ok(values.next().ok_or("a file is missing")?)
}

fn diff_output(title: &str, old: &str, new: &str) -> CommandOutput {
    let diff = diff_text(old, new);
    let (added, removed) = count_changes(old, new);
    let json = json!({ "added": added, "diff": diff, "removed": removed });
    let text =
        if diff.is_empty() { "no difference".to_owned() } else { format!("{title}\n{diff}") };
    CommandOutput { failed: false, json, text }
}

async fn diff_file(
    platform: &HttpPlatform,
    path: &SettingsPath,
    file: &str,
) -> Result<CommandOutput, Box<dyn Error>> {
    let new = fs::read_to_string(file).map_err(|e| format!("{file}: {e}"))?;
    let object = platform.read(&path.to_platform()).await?;
    let version = object.as_ref().map_or(0, |object| object.version);
    let old = object.and_then(|object| object.value).unwrap_or_default();
    Ok(diff_output(&format!("{path} version {version} -> {file}"), &old, &new))
}

async fn diff_versions(
    platform: &HttpPlatform,
    path: &SettingsPath,
    from: u64,
    to: u64,
) -> Result<CommandOutput, Box<dyn Error>> {
    let versions = platform.history(&path.to_platform()).await?;
    let find = |version| {
        let found = versions.iter().find(|object| object.version == version);
        let found = found.ok_or(format!("{path} has no version {version} in its history"))?;
        Ok::<_, String>(found.value.clone().unwrap_or_default())
    };
    let (old, new) = (find(from)?, find(to)?);
    Ok(diff_output(&format!("{path} version {from} -> {to}"), &old, &new))
}

async fn get(
    platform: &HttpPlatform,
    path: &SettingsPath,
) -> Result<CommandOutput, Box<dyn Error>> {
    let object = platform.read(&path.to_platform()).await?;
    let object = object.ok_or_else(|| format!("there is nothing at {path}"))?;
    let text = object.value.as_deref().unwrap_or_default().to_owned();
    let json = json!({ "path": path.to_string(), "text": text, "version": object.version });
    Ok(CommandOutput { failed: false, json, text })
}

async fn history(
    platform: &HttpPlatform,
    path: &SettingsPath,
) -> Result<CommandOutput, Box<dyn Error>> {
    let versions = platform.history(&path.to_platform()).await?;
    if versions.is_empty() {
        return Err(format!("there is nothing at {path}").into());
    }
    let text_of = |object: &PlatformObjectBody| object.value.clone().unwrap_or_default();
    let mut rows = Vec::new();
    let mut list = Vec::new();
    for (i, object) in versions.iter().enumerate() {
        let before = versions.get(i + 1).map(text_of).unwrap_or_default();
        let (added, removed) = count_changes(&before, &text_of(object));
        let PlatformObjectBody { author, time, version, .. } = object;
        let lines = format!("+{added} -{removed}");
        rows.push(vec![version.to_string(), author.clone(), time.clone(), lines]);
        list.push(json!({ "added": added, "author": author, "removed": removed, "time": time,
            "version": version }));
    }
    let text = text_table(&["version", "author", "time", "lines"], &rows);
    Ok(CommandOutput { failed: false, json: Value::Array(list), text })
}

async fn list(platform: &HttpPlatform) -> Result<CommandOutput, Box<dyn Error>> {
    let batch = platform.list(SettingsPath::PLATFORM_PREFIX).await?;
    let mut rows = Vec::new();
    let mut list = Vec::new();
    for object in batch.objects {
        let (Some(path), Some(text)) = (SettingsPath::from_platform(&object.path), object.value)
        else {
            continue;
        };
        rows.push(vec![path.to_string(), object.version.to_string(), text.len().to_string()]);
        let (path, version) = (path.to_string(), object.version);
        list.push(json!({ "bytes": text.len(), "path": path, "version": version }));
    }
    let text = text_table(&["path", "version", "bytes"], &rows);
    Ok(CommandOutput { failed: false, json: Value::Array(list), text })
}
