//! HTTP handler that serves metrics as text.

use super::MetricAggregator;
use http::{HeaderValue, Request, Response, StatusCode, header::CONTENT_TYPE};
use steer::{Body, empty_body, full_body};

/// Path at which metrics are served.
const METRICS_PATH: &str = "/metrics";

/// Responds with all metrics of the process, or 404 for another path.
///
/// ```
/// let (_meter, aggregator) = adapters::StatsdMeter::in_process();
/// let request = http::Request::get("/metrics").body(steer::empty_body()).unwrap();
/// assert_eq!(adapters::handle_metrics(&aggregator, &request).status(), 200);
/// ```
pub fn handle_metrics(aggregator: &MetricAggregator, request: &Request<Body>) -> Response<Body> {
    if request.uri().path() != METRICS_PATH {
        let mut response = Response::new(empty_body());
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    let mut response = Response::new(full_body(aggregator.text()));
    let text = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, text);
    response
}
