//! What a command tells.

use serde_json::Value;

/// Result of a command, for people and for programs.
#[derive(Debug, Default)]
pub(crate) struct Report {
    /// The command was understood and didn't do what was asked.
    pub(crate) failed: bool,
    /// For programs.
    pub(crate) json: Value,
    /// For people, in 80 columns.
    pub(crate) text: String,
}

impl Report {
    /// The output in the form that was asked for, with a line end.
    pub(crate) fn to_output(&self, json: bool) -> String {
        let mut output = if json { format!("{:#}", self.json) } else { self.text.clone() };
        if !output.is_empty() && !output.ends_with('\n') {
            output.push('\n');
        }
        output
    }
}
