//! Span exporter that appends JSON lines to a file.

use opentelemetry_sdk::{
    Resource,
    error::{OTelSdkError, OTelSdkResult},
    trace::{SpanData, SpanExporter},
};
use serde_json::{Map, Value, json};
use std::{
    fs::{File, OpenOptions},
    io::{self, Write},
    path::Path,
    sync::Mutex,
    time::{SystemTime, UNIX_EPOCH},
};

/// Appends spans to a file that several processes may share.
#[derive(Debug)]
pub(super) struct SpanFile {
    file: Mutex<File>,
    process: String,
}

impl SpanFile {
    pub(super) fn open(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().append(true).create(true).open(path)?;
        Ok(Self { file: Mutex::new(file), process: String::new() })
    }

    fn to_line(&self, span: &SpanData) -> String {
        let attributes: Map<String, Value> = span
            .attributes
            .iter()
            .map(|kv| (kv.key.to_string(), Value::from(kv.value.to_string())))
            .collect();
        let line = json!({
            "trace": span.span_context.trace_id().to_string(),
            "span": span.span_context.span_id().to_string(),
            "parent": span.parent_span_id.to_string(),
            "process": self.process,
            "name": span.name,
            "start_us": unix_micros(span.start_time),
            "end_us": unix_micros(span.end_time),
            "notes": attributes,
        });
        format!("{line}\n")
    }
}

fn unix_micros(time: SystemTime) -> u64 {
    time.duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64)
}

impl SpanExporter for SpanFile {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        let lines: String = batch.iter().map(|span| self.to_line(span)).collect();
        let mut file = self.file.lock().expect("no thread panics while it holds the span file");
        file.write_all(lines.as_bytes()).map_err(|e| OTelSdkError::InternalFailure(e.to_string()))
    }

    fn set_resource(&mut self, resource: &Resource) {
        let key = opentelemetry::Key::from_static_str("service.name");
        self.process = resource.get(&key).map(|v| v.to_string()).unwrap_or_default();
    }
}
