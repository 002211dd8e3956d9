//! Collects the problems that validation finds in a document.

use super::{Problem, ValuePath, source};
use std::fmt::Display;
use strsim::jaro_winkler;

/// Jaro-Winkler similarity above which a known name is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.75;
/// Maximum number of known names that an error lists.
const MAX_LISTED: usize = 8;

/// The problems found in a document, by path. Lines and columns are resolved by `locate`, only for
/// a document that is refused.
#[derive(Debug, Default)]
pub(super) struct Findings {
    list: Vec<(ValuePath, String)>,
}

impl Findings {
    /// Adds a finding.
    pub(super) fn add(&mut self, path: &ValuePath, reason: impl Into<String>) {
        self.list.push((path.clone(), reason.into()));
    }

    /// Adds a finding unless a condition holds.
    pub(super) fn expect(
        &mut self,
        holds: bool,
        path: &ValuePath,
        reason: impl FnOnce() -> String,
    ) {
        if !holds {
            self.add(path, reason());
        }
    }

    /// Adds a finding if a name isn't among the known ones.
    pub(super) fn expect_known<N: AsRef<str> + Display + Ord>(
        &mut self,
        what: &str,
        name: &N,
        known: impl IntoIterator<Item = impl AsRef<str>>,
        path: &ValuePath,
    ) {
        let known: Vec<String> = known.into_iter().map(|n| n.as_ref().to_owned()).collect();
        if !known.iter().any(|n| n == name.as_ref()) {
            self.add(
                path,
                format!(
                    "unknown {what} `{name}`; {}",
                    suggest_name(name.as_ref(), known.iter().map(String::as_str))
                ),
            );
        }
    }

    /// Returns whether there are no findings.
    pub(super) fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Resolves the line and column of each finding and sorts by them.
    pub(super) fn locate(self, text: &str) -> Vec<Problem> {
        let paths: Vec<&ValuePath> = self.list.iter().map(|(path, _)| path).collect();
        let positions = source::positions(text, &paths);
        let found = self.list.iter().zip(positions);
        let mut problems: Vec<Problem> = found
            .map(|((path, reason), at)| Problem::new(path.to_string(), reason).with_position(at))
            .collect();
        problems.sort_by_key(|p| p.position);
        problems
    }
}

/// Suggests the most similar known name, or lists the known names if none is similar.
///
/// ```
/// assert_eq!(steer::suggest_name("breifs", ["briefs", "media"]), "did you mean `briefs`?");
/// assert_eq!(steer::suggest_name("x", ["briefs"]), "known are `briefs`");
/// ```
pub fn suggest_name<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> String {
    let known: Vec<&str> = known.into_iter().collect();
    if known.is_empty() {
        return "none is known".to_owned();
    }
    let score = |other: &str| jaro_winkler(name, other);
    let nearest = known.iter().max_by(|a, b| score(a).total_cmp(&score(b)));
    if let Some(nearest) = nearest.filter(|n| score(n) > MIN_SIMILARITY) {
        return format!("did you mean `{nearest}`?");
    }
    let listed: Vec<String> = known.iter().take(MAX_LISTED).map(|n| format!("`{n}`")).collect();
    let more = if known.len() > MAX_LISTED { " …" } else { "" };
    format!("known are {}{more}", listed.join(", "))
}
