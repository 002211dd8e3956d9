//! OpenTelemetry traces, written to a file or sent over OTLP/HTTP.

use super::span_file::SpanFile;
use opentelemetry::{
    Context, KeyValue,
    trace::{
        Span as OtelSpan, SpanContext, SpanId, SpanKind, TraceContextExt, TraceFlags, TraceId,
        TraceState, Tracer as OtelTracerPort, TracerProvider,
    },
};
use opentelemetry_otlp::{Protocol, SpanExporter as OtlpExporter, WithExportConfig};
use opentelemetry_sdk::{
    Resource,
    runtime::Tokio,
    trace::{
        Sampler, SdkTracer, SdkTracerProvider, SpanExporter,
        span_processor_with_async_runtime::BatchSpanProcessor,
    },
};
use schemars::JsonSchema;
use serde::Deserialize;
use std::{io, path::PathBuf};
use steer::{Span, TraceContext, Tracer};

/// Where spans go.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum TraceOutput {
    /// One JSON object a line is added to a file.
    File(PathBuf),
    /// URL of an OTLP/HTTP collector, such as `http://127.0.0.1:4318/v1/traces`.
    Otlp(String),
}

/// Records a span for each hop.
///
/// A trace started by the caller follows the caller's sampling decision; other traces are sampled
/// at a fixed ratio.
#[derive(Debug)]
pub struct OtelTracer {
    provider: SdkTracerProvider,
    tracer: SdkTracer,
}

impl OtelTracer {
    /// Opens the output. Must be called within a tokio runtime, which runs the batch exporter.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be opened or the URL is invalid.
    pub fn open(process: &str, output: &TraceOutput, ratio: f64) -> io::Result<Self> {
        match output {
            TraceOutput::File(path) => {
                Ok(Self::with_exporter(process, SpanFile::open(path)?, ratio))
            }
            TraceOutput::Otlp(url) => {
                let builder = OtlpExporter::builder().with_http();
                let exporter = builder
                    .with_protocol(Protocol::HttpBinary)
                    .with_endpoint(url)
                    .build()
                    .map_err(io::Error::other)?;
                Ok(Self::with_exporter(process, exporter, ratio))
            }
        }
    }

    fn with_exporter(process: &str, exporter: impl SpanExporter + 'static, ratio: f64) -> Self {
        let sampler = Sampler::ParentBased(Box::new(Sampler::TraceIdRatioBased(ratio)));
        let provider = SdkTracerProvider::builder()
            .with_resource(Resource::builder().with_service_name(process.to_owned()).build())
            .with_sampler(sampler)
            .with_span_processor(BatchSpanProcessor::builder(exporter, Tokio).build())
            .build();
        let tracer = provider.tracer("ragwortswitch");
        Self { provider, tracer }
    }

    /// Flushes buffered spans and shuts the exporter down; called before the process exits.
    ///
    /// # Errors
    ///
    /// Fails if the buffered spans can't be exported.
    pub fn close(&self) -> io::Result<()> {
        self.provider.shutdown().map_err(io::Error::other)
    }
}

impl Tracer for OtelTracer {
    fn start(&self, name: &'static str, parent: Option<&TraceContext>) -> Box<dyn Span> {
        let context = parent
            .and_then(parse_traceparent)
            .map_or_else(Context::new, |remote| Context::new().with_remote_span_context(remote));
        let builder = self.tracer.span_builder(name).with_kind(SpanKind::Server);
        Box::new(HopSpan(self.tracer.build_with_context(builder, &context)))
    }
}

/// An OpenTelemetry span behind the [`Span`] port.
#[derive(Debug)]
struct HopSpan(opentelemetry_sdk::trace::Span);

impl Span for HopSpan {
    fn context(&self) -> Option<TraceContext> {
        let context = self.0.span_context();
        let flags = context.trace_flags().to_u8();
        let (trace, span) = (context.trace_id(), context.span_id());
        Some(TraceContext { traceparent: format!("00-{trace}-{span}-{flags:02x}") })
    }

    fn record(&mut self, key: &'static str, value: &str) {
        self.0.set_attribute(KeyValue::new(key, value.to_owned()));
    }
}

/// Parses a W3C `traceparent` value. The specification forbids version `ff`.
fn parse_traceparent(context: &TraceContext) -> Option<SpanContext> {
    let mut parts = context.traceparent.split('-');
    let version = parts.next()?;
    let trace = TraceId::from_hex(parts.next()?).ok()?;
    let span = SpanId::from_hex(parts.next()?).ok()?;
    let flags = u8::from_str_radix(parts.next()?, 16).ok()?;
    let remote = SpanContext::new(trace, span, TraceFlags::new(flags), true, TraceState::default());
    (version != "ff" && remote.is_valid()).then_some(remote)
}
