//! The port for tracing, with one span per hop of a request.

use std::fmt::Debug;

/// The W3C trace context that a request carries from hop to hop.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TraceContext {
    /// Value of the `traceparent` header.
    pub traceparent: String,
}

/// An active span; it ends when dropped.
pub trait Span: Debug + Send {
    /// Returns the trace context for the next hop.
    fn context(&self) -> Option<TraceContext>;
    /// Sets an attribute of the span.
    fn record(&mut self, key: &'static str, value: &str);
}

/// Starts spans.
pub trait Tracer: Debug + Send + Sync {
    /// Starts the span of a hop as a child of the caller's context, if there is one.
    fn start(&self, name: &'static str, parent: Option<&TraceContext>) -> Box<dyn Span>;
}

/// Records nothing and propagates the caller's context.
///
/// ```
/// use steer::{NoTracer, Tracer};
/// assert_eq!(NoTracer.start("entry", None).context(), None);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct NoTracer;

#[derive(Debug)]
struct NoSpan(Option<TraceContext>);

impl Span for NoSpan {
    fn context(&self) -> Option<TraceContext> {
        self.0.clone()
    }

    fn record(&mut self, _key: &'static str, _value: &str) {}
}

impl Tracer for NoTracer {
    fn start(&self, _name: &'static str, parent: Option<&TraceContext>) -> Box<dyn Span> {
        Box::new(NoSpan(parent.cloned()))
    }
}
