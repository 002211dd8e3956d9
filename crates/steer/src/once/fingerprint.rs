//! A digest that identifies a request.

use blake3::Hasher;
use derive_more::Display;
use http::{HeaderMap, Method, Request, Uri};

/// A digest of a request's service, member, method, path, query, idempotency key and body.
///
/// ```
/// use steer::Fingerprint;
/// let request = http::Request::get("/briefs/7").body(()).unwrap();
/// let a = Fingerprint::new("briefs", "aurora", &request, b"");
/// assert_eq!(a, Fingerprint::new("briefs", "aurora", &request, b""));
/// assert_ne!(a, Fingerprint::new("briefs", "baleia", &request, b""));
/// assert_eq!(Fingerprint::parse(&a.to_string()), Some(a));
/// ```
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
#[display("{_0:032x}")]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Header whose value is included in the digest.
    const KEY_HEADER: &'static str = "idempotency-key";

    /// Digests a request with its body, or with the available part of a streamed body.
    pub fn new<B>(service: &str, member: &str, request: &Request<B>, body: &[u8]) -> Self {
        let head = (request.method(), request.uri(), request.headers());
        Self::of_head(service, member, head, body)
    }

    /// Digests a request whose head is given by its method, URI and headers.
    pub(crate) fn of_head(
        service: &str,
        member: &str,
        (method, uri, headers): (&Method, &Uri, &HeaderMap),
        body: &[u8],
    ) -> Self {
        let query = uri.query().unwrap_or_default();
        let key = headers.get(Self::KEY_HEADER).map_or(&b""[..], |v| v.as_bytes());
        Self::of_parts([
            service.as_bytes(),
            member.as_bytes(),
            method.as_str().as_bytes(),
            uri.path().as_bytes(),
            query.as_bytes(),
            key,
            body,
        ])
    }

    /// Digests length-prefixed parts, so that different lists of parts can't produce the same
    /// input.
    pub(super) fn of_parts<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hasher = Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; 16];
        hasher.finalize_xof().fill(&mut bytes);
        Self(u128::from_le_bytes(bytes))
    }

    /// Parses the hexadecimal form of a digest.
    ///
    /// ```
    /// assert_eq!(steer::Fingerprint::parse("no digest"), None);
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        u128::from_str_radix(text, 16).ok().map(Self)
    }
}
