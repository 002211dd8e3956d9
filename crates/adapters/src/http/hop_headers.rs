//! Hop-by-hop headers (RFC 9110, section 7.6.1), the framing of bodies and the origin form of requests.

use http::{
    HeaderMap, HeaderName, HeaderValue, Request, Uri, Version,
    header::{
        CONNECTION, CONTENT_LENGTH, HOST, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
        TRANSFER_ENCODING, UPGRADE,
    },
};
use http_body::Body;

const HOP_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    HeaderName::from_static("proxy-connection"),
    TE,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes the hop-by-hop headers, including those that `Connection` names.
///
/// ```
/// use http::{HeaderMap, HeaderValue, header::CONNECTION};
/// let mut headers = HeaderMap::new();
/// headers.insert(CONNECTION, HeaderValue::from_static("x-private"));
/// headers.insert("x-private", HeaderValue::from_static("1"));
/// adapters::strip_hop_headers(&mut headers);
/// assert!(headers.is_empty());
/// ```
pub fn strip_hop_headers(headers: &mut HeaderMap) {
    let connection_options: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in connection_options.iter().chain(&HOP_HEADERS) {
        headers.remove(name);
    }
}

/// Requests that a body of unknown length is sent in chunks. Without that, the HTTP client sends no
/// such body with the methods that usually have none, such as `GET`.
///
/// ```
/// use http::{Request, header::TRANSFER_ENCODING};
/// let mut request = Request::get("/").body(String::from("known length")).unwrap();
/// adapters::set_framing(&mut request);
/// assert!(!request.headers().contains_key(TRANSFER_ENCODING));
/// ```
pub fn set_framing<B: Body>(request: &mut Request<B>) {
    if request.body().is_end_stream() || request.body().size_hint().exact().is_some() {
        return;
    }
    let headers = request.headers_mut();
    headers.remove(CONTENT_LENGTH);
    headers.insert(TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
}

/// Converts a request to HTTP/1.1 in origin form, with its authority in the `Host` header.
///
/// ```
/// use http::{Request, header::HOST};
/// let mut request = Request::get("http://briefs.example/a?b").body(()).unwrap();
/// adapters::to_origin_form(&mut request);
/// assert_eq!(request.uri(), "/a?b");
/// assert_eq!(request.headers()[HOST], "briefs.example");
/// ```
pub fn to_origin_form<B>(request: &mut Request<B>) {
    let authority = request.uri().authority().and_then(|a| HeaderValue::try_from(a.as_str()).ok());
    if let Some(authority) = authority {
        request.headers_mut().insert(HOST, authority);
    }
    let path = request.uri().path_and_query().cloned();
    *request.uri_mut() = path.map_or_else(|| Uri::from_static("/"), Uri::from);
    *request.version_mut() = Version::HTTP_11;
}
