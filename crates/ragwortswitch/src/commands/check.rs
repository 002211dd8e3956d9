//! `ragwortswitch check`: validates a set of settings files.

use crate::{
    arguments::{Argument, CommonOptions, EarlyExit, unknown_option},
    command_output::CommandOutput,
    process_settings::ProcessSettings,
    text_table::wrap_text,
};
use lexopt::{Parser, ValueExt};
use schemars::schema_for;
use serde_json::{Value, json};
use std::{error::Error, fs, path::Path};
use steer::{FleetDocument, Problem, PutError, Settings, SettingsPath, SettingsTree, TeamDocument};

const HELP: &str = "\
Checks settings files, all together, as an entry VM would.

Usage: ragwortswitch check [OPTIONS] FILE...
       ragwortswitch check --schema[=fleet|team|process]

A file named fleet.json or fleet.jsonc is the fleet's document, one in a
directory `teams` is that of the team it is named after, and any other one
holds process settings. Teams are checked against the bounds of the fleet's
document if that is among the files.

Options:
  --json            Output for programs
  --path PATH       Path of the only FILE: fleet, teams/NAME or process
  --schema[=KIND]   Write the JSON Schema of one kind of settings, or of all
";

/// Kind of settings in a file.
#[derive(Clone, Debug, Eq, PartialEq)]
enum FileKind {
    Process,
    Steering(SettingsPath),
}

impl FileKind {
    fn parse(text: &str) -> Option<Self> {
        if text == "process" {
            return Some(Self::Process);
        }
        SettingsPath::parse(text).map(Self::Steering)
    }

    /// Derives the kind from the file name and its directory.
    fn of_file(file: &str) -> Self {
        let path = Path::new(file);
        let stem = path.file_stem().and_then(|s| s.to_str()).unwrap_or_default();
        let parent = path.parent().and_then(|p| p.file_name());
        if parent.is_some_and(|name| name == "teams") {
            return Self::Steering(SettingsPath::Team(stem.into()));
        }
        if stem == "fleet" { Self::Steering(SettingsPath::Fleet) } else { Self::Process }
    }
}

/// Check result for one file.
#[derive(Debug)]
struct CheckResult {
    file: String,
    note: Option<&'static str>,
    problems: Vec<Problem>,
}

/// Options of the command.
#[derive(Debug, Default)]
pub(crate) struct CheckOptions {
    pub(crate) common: CommonOptions,
    files: Vec<String>,
    kind: Option<FileKind>,
    schema: Option<String>,
}

impl CheckOptions {
    pub(crate) fn parse(parser: &mut Parser) -> Result<Self, EarlyExit> {
        let mut options = Self::default();
        while let Some(argument) = options.common.next(parser, HELP)? {
            match argument {
                Argument::Option(name) if name == "path" => {
                    let text = parser.value()?.string()?;
                    let kind = FileKind::parse(&text);
                    options.kind = Some(kind.ok_or("--path is fleet, teams/NAME or process")?);
                }
                Argument::Option(name) if name == "schema" => {
                    let kind = parser.optional_value().map(ValueExt::string).transpose()?;
                    options.schema = Some(kind.unwrap_or_default());
                }
                Argument::Option(name) => return Err(unknown_option(&name)),
                Argument::Value(file) => options.files.push(file),
            }
        }
        options.validate()
    }

    fn validate(self) -> Result<Self, EarlyExit> {
        if let Some(kind) = &self.schema {
            if !["", "fleet", "process", "team"].contains(&kind.as_str()) {
                return Err("--schema is fleet, team or process".into());
            }
            return Ok(self);
        }
        if self.files.is_empty() {
            return Err("a file is missing".into());
        }
        if self.kind.is_some() && self.files.len() > 1 {
            return Err("--path goes with one file".into());
        }
        Ok(self)
    }

    pub(crate) fn run(&self) -> Result<CommandOutput, Box<dyn Error>> {
        if let Some(kind) = &self.schema {
            let schema = schemas(kind);
            return Ok(CommandOutput { failed: false, text: format!("{schema:#}"), json: schema });
        }
        let mut results = Vec::new();
        let mut steering = Vec::new();
        for file in &self.files {
            let kind = self.kind.clone().unwrap_or_else(|| FileKind::of_file(file));
            let text = fs::read_to_string(file).map_err(|e| format!("{file}: {e}"))?;
            match kind {
                FileKind::Process => {
                    let problems = ProcessSettings::parse(&text).err().unwrap_or_default();
                    results.push(CheckResult { file: file.clone(), note: None, problems });
                }
                FileKind::Steering(path) => steering.push((path, file.clone(), text)),
            }
        }
        results.extend(check_steering(steering)?);
        results.sort_by(|a, b| a.file.cmp(&b.file));
        Ok(format_results(&results))
    }
}

/// Validates steering documents against each other, starting with the fleet document.
fn check_steering(
    mut files: Vec<(SettingsPath, String, String)>,
) -> Result<Vec<CheckResult>, Box<dyn Error>> {
    files.sort();
    if let Some(pair) = files.windows(2).find(|pair| pair[0].0 == pair[1].0) {
        return Err(format!("{} and {} are both {}", pair[0].1, pair[1].1, pair[0].0).into());
    }
    let mut tree = SettingsTree::new();
    let mut results = Vec::new();
    for (version, (path, file, text)) in files.into_iter().enumerate() {
        let settings = Settings::new(path, version as u64 + 1, text).check();
        let (note, problems) = match settings.map(|settings| tree.put_in_force(settings)) {
            Ok(Ok(()) | Err(PutError::Stale { .. })) => (None, Vec::new()),
            Ok(Err(PutError::OutOfBounds(problems))) | Err(problems) => (None, problems),
            Ok(Err(PutError::Waiting)) => {
                (Some("bounds not checked: no good fleet document is given"), Vec::new())
            }
        };
        results.push(CheckResult { file, note, problems });
    }
    Ok(results)
}

fn format_results(results: &[CheckResult]) -> CommandOutput {
    let mut output = CommandOutput::default();
    let mut files = Vec::new();
    for CheckResult { file, note, problems } in results {
        output.failed |= !problems.is_empty();
        for problem in problems {
            output.text += &problem_text(file, problem);
        }
        if problems.is_empty() {
            let note = note.map(|note| format!(" ({note})")).unwrap_or_default();
            output.text += &wrap_text(&format!("{file}: good{note}"), "");
        }
        let problems: Vec<Value> = problems.iter().map(problem_json).collect();
        files.push(json!({ "file": file, "note": note, "problems": problems }));
    }
    output.json = json!({ "files": files, "good": !output.failed });
    output
}

/// Formats a problem as text: a line with its position, then the wrapped reason.
pub(crate) fn problem_text(file: &str, problem: &Problem) -> String {
    let Problem { place, position, reason } = problem;
    format!("{file}:{position}: {place}\n{}", wrap_text(reason, "    "))
}

/// Formats a problem as JSON.
pub(crate) fn problem_json(problem: &Problem) -> Value {
    json!({
        "column": problem.position.column,
        "line": problem.position.line,
        "place": problem.place,
        "reason": problem.reason,
    })
}

fn schemas(kind: &str) -> Value {
    let fleet = schema_for!(FleetDocument).to_value();
    let process = schema_for!(ProcessSettings).to_value();
    let team = schema_for!(TeamDocument).to_value();
    match kind {
        "fleet" => fleet,
        "process" => process,
        "team" => team,
        _ => json!({ "fleet": fleet, "process": process, "team": team }),
    }
}
