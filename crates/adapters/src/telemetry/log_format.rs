//! Log output of the process.

use schemars::JsonSchema;
use serde::Deserialize;
use slog::{Drain, Level, Logger, o};
use std::io;

/// How log lines are written.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// One JSON object a line, on standard output.
    JsonOut,
    /// Text for people.
    #[default]
    Text,
}

/// Creates a logger that drops lines below `level`.
///
/// [`LogFormat::JsonOut`] writes to standard output, the other formats to standard error.
///
/// ```
/// let log = adapters::open_log(adapters::LogFormat::Text, slog::Level::Info);
/// slog::debug!(log, "log: this line is dropped");
/// ```
pub fn open_log(format: LogFormat, level: Level) -> Logger {
    let drain = match format {
        LogFormat::Json => {
            let json = slog_json::Json::default(io::stderr()).fuse();
            slog_async::Async::new(json).build()
        }
        LogFormat::JsonOut => {
            let json = slog_json::Json::default(io::stdout()).fuse();
            slog_async::Async::new(json).build()
        }
        LogFormat::Text => {
            let decorator = slog_term::PlainDecorator::new(io::stderr());
            let text = slog_term::FullFormat::new(decorator).build().fuse();
            slog_async::Async::new(text).build()
        }
    };
    Logger::root(drain.filter_level(level).fuse(), o!())
}
