//! The kinds of request failures.

use super::{Answer, Outcome};
use displaydoc::Display;
use http::StatusCode;

/// The kind of a request failure; [`Self::answer`] maps each kind to the response.
///
/// ```
/// use steer::{ErrorKind, Outcome};
/// assert_eq!(ErrorKind::NoRoom.answer().outcome, Outcome::NotRun);
/// ```
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum ErrorKind {
    /// a request with this idempotency key ran before, and its answer is no longer at hand
    AlreadyRan,
    /// the answer belongs to another request
    AnswerCrossed,
    /// the answer broke off before its end
    AnswerCut,
    /// the request body broke off or passed its limit after a part of it had been sent
    BodyCut,
    /// the request body is larger than its class allows
    BodyTooLarge,
    /// the caller sent its request too slowly
    CallerSlow,
    /// the request can't finish before its deadline
    DeadlineTooShort,
    /// the deadline passed before an answer came
    DeadlinePassed,
    /// the idempotency key is too old, or from the future
    KeyExpired,
    /// the idempotency key was used with another request
    KeyReused,
    /// this request needs an Idempotency-Key header
    KeyMissing,
    /// this request was not run, and what became of an earlier one with its key can't be read
    KeyUnread,
    /// a request with this idempotency key is under way or its end is not known
    KeyUnsettled,
    /// the request ended several targets and is refused for a while
    Poisoned,
    /// requests like this one ended several targets; it was not sent and is refused for a while
    Quarantined,
    /// no target with room could be found
    NoRoom,
    /// no service is configured for this host
    NoService,
    /// this VM has no configuration yet
    NoSettings,
    /// the platform could not record the idempotency key
    PlatformDown,
    /// the request is malformed or over a limit
    RequestInvalid,
    /// the entry VM is stopping
    Stopping,
    /// the target failed after the request had been sent
    TargetFailed,
    /// the target refused the request without running it
    TargetRefused,
}

impl ErrorKind {
    /// All kinds, in the order of their declaration.
    pub const ALL: [Self; 23] = [
        Self::AlreadyRan,
        Self::AnswerCrossed,
        Self::AnswerCut,
        Self::BodyCut,
        Self::BodyTooLarge,
        Self::CallerSlow,
        Self::DeadlineTooShort,
        Self::DeadlinePassed,
        Self::KeyExpired,
        Self::KeyReused,
        Self::KeyMissing,
        Self::KeyUnread,
        Self::KeyUnsettled,
        Self::Poisoned,
        Self::Quarantined,
        Self::NoRoom,
        Self::NoService,
        Self::NoSettings,
        Self::PlatformDown,
        Self::RequestInvalid,
        Self::Stopping,
        Self::TargetFailed,
        Self::TargetRefused,
    ];

    /// Returns the response that a caller gets for this kind.
    ///
    /// ```
    /// assert_eq!(steer::ErrorKind::NoService.answer().status.as_u16(), 404);
    /// ```
    pub fn answer(self) -> Answer {
        use {Outcome::*, StatusCode as Code};
        match self {
            Self::AlreadyRan => Answer::new(Code::CONFLICT, Ran),
            Self::AnswerCrossed => Answer::new(Code::BAD_GATEWAY, Unknown),
            Self::AnswerCut => Answer::new(Code::BAD_GATEWAY, Unknown),
            Self::BodyCut => Answer::new(Code::BAD_REQUEST, Unknown),
            Self::BodyTooLarge => Answer::new(Code::PAYLOAD_TOO_LARGE, NotRun),
            Self::CallerSlow => Answer::new(Code::REQUEST_TIMEOUT, Unknown),
            Self::DeadlineTooShort => Answer::new(Code::SERVICE_UNAVAILABLE, NotRun),
            Self::DeadlinePassed => Answer::new(Code::GATEWAY_TIMEOUT, Unknown),
            Self::KeyExpired => Answer::new(Code::CONFLICT, Unknown),
            Self::KeyReused => Answer::new(Code::UNPROCESSABLE_ENTITY, NotRun),
            Self::KeyMissing => Answer::new(Code::BAD_REQUEST, NotRun),
            Self::KeyUnread => Answer::new(Code::SERVICE_UNAVAILABLE, Unknown).retry_after(2),
            Self::KeyUnsettled => Answer::new(Code::CONFLICT, Unknown),
            Self::Poisoned => Answer::new(Code::UNPROCESSABLE_ENTITY, Unknown),
            Self::Quarantined => Answer::new(Code::SERVICE_UNAVAILABLE, NotRun),
            Self::NoRoom => Answer::new(Code::SERVICE_UNAVAILABLE, NotRun).retry_after(1),
            Self::NoService => Answer::new(Code::NOT_FOUND, NotRun),
            Self::NoSettings => Answer::new(Code::SERVICE_UNAVAILABLE, NotRun).retry_after(1),
            Self::PlatformDown => Answer::new(Code::SERVICE_UNAVAILABLE, NotRun).retry_after(2),
            Self::RequestInvalid => Answer::new(Code::BAD_REQUEST, NotRun),
            Self::Stopping => Answer::new(Code::SERVICE_UNAVAILABLE, NotRun).retry_after(0),
            Self::TargetFailed => Answer::new(Code::BAD_GATEWAY, Unknown),
            Self::TargetRefused => Answer::new(Code::SERVICE_UNAVAILABLE, NotRun).retry_after(1),
        }
    }

    /// Returns the kind's name in the `type` member of the problem details (RFC 9457).
    ///
    /// ```
    /// assert_eq!(steer::ErrorKind::NoRoom.slug(), "no-room");
    /// ```
    pub fn slug(self) -> String {
        let mut slug = String::new();
        for c in format!("{self:?}").chars() {
            if c.is_uppercase() && !slug.is_empty() {
                slug.push('-');
            }
            slug.push(c.to_ascii_lowercase());
        }
        slug
    }
}
