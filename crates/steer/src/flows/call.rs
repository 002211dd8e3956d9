//! A classified request, with the data that routing and admission need.

use super::Refusal;
use crate::{
    BodyFault, ClassName, ClassSettings, ErrorKind, Fingerprint, MemberName, OnceKey, RepeatRule,
    Service, SlotRequest, Snapshot, Unclaimed, VmName,
};
use http::{HeaderMap, Request, header::CONTENT_LENGTH};
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// Sender of a request to this VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// A peer that handed the request off.
    Peer(VmName),
}

/// A request with its service, class, member and deadline.
#[derive(Clone, Debug)]
pub struct Call {
    /// Name of the class.
    pub class: ClassName,
    /// Time at which the caller stops waiting for the response.
    pub deadline: Instant,
    /// Set if the request's body ended early or exceeded a limit while this VM read it.
    pub fault: BodyFault,
    /// Whether the caller states that this is the first use of its idempotency key.
    pub first_use: bool,
    /// The caller's idempotency key.
    pub idempotency_key: Option<Arc<str>>,
    /// Fairness member to which the request is attributed.
    pub member: MemberName,
    /// Digest of the request; covers the body once it has been read.
    pub fingerprint: Fingerprint,
    /// Settings of the class.
    pub settings: ClassSettings,
    /// The service.
    pub service: Arc<Service>,
}

impl Call {
    /// Header with the name of the fairness member; `anonymous` if absent.
    pub const MEMBER_HEADER: &'static str = "x-member";
    /// Header with the caller's remaining time, in milliseconds.
    pub const DEADLINE_HEADER: &'static str = "x-deadline-ms";
    /// Header with the value `true` if the caller uses its idempotency key for the first time.
    pub const FIRST_HEADER: &'static str = "idempotency-first";
    /// Header with the idempotency key, which identifies repetitions of a request.
    pub const KEY_HEADER: &'static str = "idempotency-key";

    /// Determines the service, class, member and deadline of a request.
    ///
    /// # Errors
    ///
    /// `NoService` if no service or class matches.
    pub fn classify<B>(snapshot: &Snapshot, request: &Request<B>) -> Result<Self, Refusal> {
        let host = host_of(request);
        let service = snapshot
            .service_for_host(host)
            .ok_or_else(|| Refusal::new(ErrorKind::NoService, format!("no service for {host}")))?;
        let (method, path) = (request.method().as_str(), request.uri().path());
        let (class, settings) = service.classify(method, path).ok_or_else(|| {
            Refusal::new(ErrorKind::NoService, format!("no class for {method} {path}"))
        })?;
        let headers = request.headers();
        let idempotency_key = header(headers, Self::KEY_HEADER).map(Arc::from);
        let member = header(headers, Self::MEMBER_HEADER).unwrap_or("anonymous");
        let length = headers.get(CONTENT_LENGTH).map_or(&b""[..], |v| v.as_bytes());
        let requested = header(headers, Self::DEADLINE_HEADER).and_then(|v| v.parse().ok());
        let wait = requested.map_or(settings.deadline_ms, |ms: u64| ms.min(settings.deadline_ms));
        Ok(Self {
            class: class.clone(),
            deadline: Instant::now() + Duration::from_millis(wait),
            fault: BodyFault::default(),
            first_use: header(headers, Self::FIRST_HEADER) == Some("true"),
            idempotency_key,
            fingerprint: Fingerprint::new(service.name.as_str(), member, request, length),
            member: member.into(),
            settings: settings.clone(),
            service: Arc::clone(service),
        })
    }

    /// Returns the parameters for admission to a pool.
    pub fn slot_request(&self) -> SlotRequest {
        SlotRequest::new(self.class.clone(), self.member.clone(), self.deadline)
            .repeat(self.settings.repeat)
            .slot_share(self.settings.slot_share)
            .urgency(self.settings.urgency)
    }

    /// Returns the key of an at-most-once request; `None` for an idempotent one.
    pub fn once_key(&self) -> Option<OnceKey<Unclaimed>> {
        if self.settings.repeat == RepeatRule::Idempotent {
            return None;
        }
        let key = self.idempotency_key.as_deref()?;
        Some(OnceKey::new(self.service.name.as_str(), self.member.as_str(), key, self.fingerprint))
    }

    /// Returns the time left until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the host name without the port, from the URI or the `Host` header.
fn host_of<B>(request: &Request<B>) -> &str {
    let from_header = || header(request.headers(), "host").unwrap_or_default();
    let host = request.uri().host().unwrap_or_else(from_header);
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}
