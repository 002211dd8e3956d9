//! Logs through slog, metrics through cadence, traces through OpenTelemetry.

mod log_format;
mod metric_aggregator;
mod metric_table;
mod metrics_handler;
mod otel_tracer;
mod span_file;
mod statsd_meter;

pub use self::{
    log_format::{LogFormat, open_log},
    metric_aggregator::MetricAggregator,
    metrics_handler::handle_metrics,
    otel_tracer::{OtelTracer, TraceOutput},
    statsd_meter::StatsdMeter,
};
