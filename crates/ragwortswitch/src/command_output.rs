//! Output of a command.

use serde_json::Value;

/// Text and JSON output of a command, and whether the command failed.
#[derive(Debug, Default)]
pub(crate) struct CommandOutput {
    /// Whether the command failed, although its arguments were valid.
    pub(crate) failed: bool,
    /// Output with `--json`; null if the command has no JSON output.
    pub(crate) json: Value,
    /// Text output, wrapped at 80 columns.
    pub(crate) text: String,
}

impl CommandOutput {
    /// Returns the JSON or the text output, ending in a newline unless it is empty.
    pub(crate) fn to_text(&self, json: bool) -> String {
        let mut text = if json { format!("{:#}", self.json) } else { self.text.clone() };
        if !text.is_empty() && !text.ends_with('\n') {
            text.push('\n');
        }
        text
    }
}
