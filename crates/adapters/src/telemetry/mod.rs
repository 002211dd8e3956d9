//! Logs by slog, metrics by cadence, traces by OpenTelemetry.

mod log_format;
mod otel_tracer;
mod span_file;
mod statsd_meter;

pub use self::{
    log_format::{LogFormat, open_log},
    otel_tracer::{OtelTracer, TraceOutput},
    statsd_meter::StatsdMeter,
};
