//! Result of a command.

use serde_json::Value;

/// Output of a command as text and as JSON.
#[derive(Debug, Default)]
pub(crate) struct Report {
    /// Whether the command failed, although its arguments were valid.
    pub(crate) failed: bool,
    /// Output with `--json`; null if the command has no JSON output.
    pub(crate) json: Value,
    /// Text output, wrapped at 80 columns.
    pub(crate) text: String,
}

impl Report {
    /// Returns the JSON or the text output, ending in a newline unless it is empty.
    pub(crate) fn to_output(&self, json: bool) -> String {
        let mut output = if json { format!("{:#}", self.json) } else { self.text.clone() };
        if !output.is_empty() && !output.ends_with('\n') {
            output.push('\n');
        }
        output
    }
}
