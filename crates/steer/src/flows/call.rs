//! A request with all that decisions need to know about it.

use super::Refusal;
use crate::{
    BodyFault, ClassName, ClassSettings, ErrorKind, Fingerprint, MemberName, OnceKey, RepeatRule,
    Service, Snapshot, Ticket, Unclaimed, VmName,
};
use http::{HeaderMap, Request, header::CONTENT_LENGTH};
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// Who sent a request to this VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// A peer that handed it over.
    Peer(VmName),
}

/// A request with its service, class, member and deadline.
#[derive(Clone, Debug)]
pub struct Call {
    /// Name of the class.
    pub class: ClassName,
    /// When the caller's wait is over.
    pub deadline: Instant,
    /// Whether the request's body broke off on its way through this VM.
    pub fault: BodyFault,
    /// The caller says that it sends this idempotency key for the first time.
    pub first: bool,
    /// The caller's idempotency key.
    pub key: Option<Arc<str>>,
    /// Member that the request counts for.
    pub member: MemberName,
    /// Digest of the request, set once its body is at hand.
    pub print: Fingerprint,
    /// Settings of the class.
    pub rule: ClassSettings,
    /// The service.
    pub service: Arc<Service>,
}

impl Call {
    /// Header that names the member; without it a request counts for `anonymous`.
    pub const MEMBER_HEADER: &'static str = "x-member";
    /// Header with the time that the caller still waits, in milliseconds.
    pub const DEADLINE_HEADER: &'static str = "x-deadline-ms";
    /// Header with which a caller says that it sends a key for the first time.
    pub const FIRST_HEADER: &'static str = "idempotency-first";
    /// Header with the key that makes a repeated request the same.
    pub const KEY_HEADER: &'static str = "idempotency-key";

    /// Finds service, class, member and deadline of a request.
    ///
    /// # Errors
    ///
    /// `NoService` where no service or class matches, `KeyMissing` where the class needs a key.
    pub fn classify<B>(snapshot: &Snapshot, request: &Request<B>) -> Result<Self, Refusal> {
        let host = host_of(request);
        let service = snapshot
            .service_for_host(host)
            .ok_or_else(|| Refusal::new(ErrorKind::NoService, format!("no service for {host}")))?;
        let (method, path) = (request.method().as_str(), request.uri().path());
        let (class, rule) = service.classify(method, path).ok_or_else(|| {
            Refusal::new(ErrorKind::NoService, format!("no class for {method} {path}"))
        })?;
        let headers = request.headers();
        let key = header(headers, Self::KEY_HEADER).map(Arc::from);
        let member = header(headers, Self::MEMBER_HEADER).unwrap_or("anonymous");
        let length = headers.get(CONTENT_LENGTH).map_or(&b""[..], |v| v.as_bytes());
        let asked = header(headers, Self::DEADLINE_HEADER).and_then(|v| v.parse().ok());
        let wait = asked.map_or(rule.deadline_ms, |ms: u64| ms.min(rule.deadline_ms));
        Ok(Self {
            class: class.clone(),
            deadline: Instant::now() + Duration::from_millis(wait),
            fault: BodyFault::default(),
            first: header(headers, Self::FIRST_HEADER) == Some("true"),
            key,
            print: Fingerprint::new(service.name.as_str(), member, request, length),
            member: member.into(),
            rule: rule.clone(),
            service: Arc::clone(service),
        })
    }

    /// What admission needs to know.
    pub fn ticket(&self) -> Ticket {
        Ticket::new(self.class.clone(), self.member.clone(), self.deadline)
            .repeat(self.rule.repeat)
            .slot_share(self.rule.slot_share)
            .urgency(self.rule.urgency)
    }

    /// The key of a request that runs at most once; `None` for one that may be repeated.
    pub fn once_key(&self) -> Option<OnceKey<Unclaimed>> {
        if self.rule.repeat == RepeatRule::Idempotent {
            return None;
        }
        let key = self.key.as_deref()?;
        Some(OnceKey::new(self.service.name.as_str(), self.member.as_str(), key, self.print))
    }

    /// Time that the caller still waits.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// The host name without its port, from the URI or the `Host` header.
fn host_of<B>(request: &Request<B>) -> &str {
    let from_header = || header(request.headers(), "host").unwrap_or_default();
    let host = request.uri().host().unwrap_or_else(from_header);
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}
