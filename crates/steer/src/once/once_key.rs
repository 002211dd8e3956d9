//! The life cycle of an idempotency key, as a typestate.

use super::{Fingerprint, KeyState, KeyTime, OnceRecord};
use crate::{Expected, Platform, PlatformError, RepeatRule, VmName};
use jiff::Timestamp;
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, sleep, timeout_at};

/// This request has recorded nothing yet.
#[derive(Debug)]
pub struct Unclaimed;

/// The platform has recorded this request's claim: the request may be sent.
#[derive(Debug)]
pub struct Claimed {
    /// Wall clock time just before the record was last written or read.
    seen: Timestamp,
    version: u64,
}

/// The claim may or may not be recorded; the request was not and will not be sent.
#[derive(Debug)]
pub struct Unsettled;

/// The outcome is recorded, or stays unknown.
#[derive(Debug)]
pub struct Finished;

/// The process that claims a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyOwner {
    /// Start time of the process, which tells restarts apart.
    pub incarnation: u64,
    /// Name of the entry VM.
    pub vm: VmName,
}

/// The result of an attempt to claim a key.
#[derive(Debug)]
pub enum Claim {
    /// The key was already recorded, with this state.
    Known(KeyState),
    /// The key was already recorded for a different request.
    Reused,
    /// It is unknown whether the platform recorded the claim, which has to be released.
    Unsettled(OnceKey<Unsettled>),
    /// The claim is recorded.
    Won(OnceKey<Claimed>),
}

/// The idempotency key of one request, which may be sent only once its key is claimed:
///
/// ```compile_fail
/// fn send(key: &steer::OnceKey<steer::Unclaimed>) -> steer::SendPermit {
///     key.permit()
/// }
/// ```
#[derive(Debug)]
pub struct OnceKey<S> {
    path: Arc<str>,
    fingerprint: Fingerprint,
    state: S,
    time: Option<KeyTime>,
    token: Arc<str>,
}

/// Maximum number of attempts to record a claim or an outcome.
const CLAIM_ATTEMPTS: u32 = 6;
/// Backoff after the first failed call; it doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
/// Maximum number of attempts to release a claim.
const RELEASE_ATTEMPTS: u32 = 40;
/// Maximum backoff between two attempts to release a claim.
const MAX_BACKOFF: Duration = Duration::from_secs(30);
/// Timeout of one call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

impl<S> OnceKey<S> {
    /// Age from which a claim has to be confirmed before its request is sent.
    pub const CONFIRM_AFTER: Duration = Duration::from_secs(5);
    /// Prefix of the paths of all records in the platform's object API.
    pub const PREFIX: &'static str = "once/";

    /// Returns the path of the record.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Returns whether the key may be used at the given time.
    pub fn is_open(&self, now: Timestamp) -> bool {
        self.time.is_none_or(|time| time.is_open(now))
    }

    fn with_state<T>(self, state: T) -> OnceKey<T> {
        OnceKey {
            path: self.path,
            fingerprint: self.fingerprint,
            state,
            time: self.time,
            token: self.token,
        }
    }

    fn to_record(&self, state: KeyState) -> String {
        OnceRecord { fingerprint: self.fingerprint.to_string(), state }.to_text()
    }

    /// Reads the record and its version. An invalid record counts as unknown.
    async fn read(
        &self,
        platform: &dyn Platform,
        until: Instant,
    ) -> Result<Option<(OnceRecord, u64)>, PlatformError> {
        let until = until.min(Instant::now() + CALL_TIMEOUT);
        let object = timeout_at(until, platform.read(&self.path))
            .await
            .map_err(|_| PlatformError::Unavailable("timed out".into()))??;
        Ok(object.and_then(|object| {
            let text = object.value?;
            let unknown = || OnceRecord {
                fingerprint: self.fingerprint.to_string(),
                state: KeyState::Unknown,
            };
            Some((OnceRecord::parse(&text).unwrap_or_else(unknown), object.version))
        }))
    }

    async fn write(
        &self,
        platform: &dyn Platform,
        state: KeyState,
        expected: Expected,
        until: Instant,
    ) -> Result<u64, PlatformError> {
        let until = until.min(Instant::now() + CALL_TIMEOUT);
        let record = self.to_record(state);
        timeout_at(until, platform.write(&self.path, &record, expected))
            .await
            .map_err(|_| PlatformError::Lost("timed out".into()))?
    }
}

impl OnceKey<Unclaimed> {
    /// Creates the unclaimed key of a service's member; the three determine the record's path.
    ///
    /// ```
    /// use steer::{Fingerprint, OnceKey};
    /// let request = http::Request::post("/approvals").body(()).unwrap();
    /// let fingerprint = Fingerprint::new("payouts", "aurora", &request, b"7");
    /// let key = OnceKey::new("payouts", "aurora", "payout-7", fingerprint);
    /// assert!(key.path().starts_with("once/kept/"));
    /// ```
    pub fn new(service: &str, member: &str, key: &str, fingerprint: Fingerprint) -> Self {
        let id = Fingerprint::of_parts([service, member, key].map(str::as_bytes));
        let time = KeyTime::parse(key);
        let path = match time {
            None => format!("{}kept/{id}", Self::PREFIX),
            Some(time) => format!("{}{}/{id}", Self::PREFIX, time.hour()),
        };
        let token = format!("{:032x}", rand::random::<u128>());
        Self { path: path.into(), fingerprint, state: Unclaimed, time, token: token.into() }
    }

    /// Reads the record; `None` if there is none.
    ///
    /// # Errors
    ///
    /// If the platform can't be read before the deadline.
    pub async fn read_record(
        &self,
        platform: &dyn Platform,
        until: Instant,
    ) -> Result<Option<OnceRecord>, PlatformError> {
        Ok(self.read(platform, until).await?.map(|(record, _)| record))
    }

    /// Records the claim by a conditional write. If the response is lost, the record is read back,
    /// and the token in it tells this request's claim from others.
    pub async fn claim(
        self,
        platform: &dyn Platform,
        owner: &KeyOwner,
        clock: impl Fn() -> Timestamp,
        until: Instant,
    ) -> Claim {
        let mut expected = Expected::Absent;
        let mut backoff = INITIAL_BACKOFF;
        for _ in 0..CLAIM_ATTEMPTS {
            if Instant::now() >= until {
                break;
            }
            let seen = clock();
            let claim = self.claim_state(owner);
            match self.write(platform, claim, expected, until).await {
                Ok(version) => return Claim::Won(self.with_state(Claimed { seen, version })),
                Err(PlatformError::Conflict { .. }) => {}
                Err(_) => {
                    sleep(backoff).await;
                    backoff *= 2;
                }
            }
            let seen = clock();
            let Ok(found) = self.read(platform, until).await else { continue };
            expected = match found {
                None => Expected::Absent,
                Some((record, version)) if record.is_claimed_by(&self.token) => {
                    return Claim::Won(self.with_state(Claimed { seen, version }));
                }
                Some((record, _)) if record.fingerprint != self.fingerprint.to_string() => {
                    return Claim::Reused;
                }
                Some((record, version)) if record.state == KeyState::NotRun => {
                    Expected::Version(version)
                }
                Some((record, _)) => return Claim::Known(record.state),
            };
        }
        Claim::Unsettled(self.with_state(Unsettled))
    }

    fn claim_state(&self, owner: &KeyOwner) -> KeyState {
        KeyState::Claimed {
            incarnation: owner.incarnation,
            token: self.token.to_string(),
            vm: owner.vm.to_string(),
        }
    }
}

impl OnceKey<Claimed> {
    /// Reads the claim again if it was last seen too long ago. This uses the wall clock, because
    /// the monotonic clock of a paused VM may not advance.
    ///
    /// # Errors
    ///
    /// Returns the key, to be released, if the claim can't be confirmed.
    pub async fn confirm(
        mut self,
        platform: &dyn Platform,
        clock: impl Fn() -> Timestamp,
        until: Instant,
    ) -> Result<Self, OnceKey<Unsettled>> {
        loop {
            let age = clock().duration_since(self.state.seen);
            let is_recent = !age.is_negative() && age.unsigned_abs() < Self::CONFIRM_AFTER;
            if is_recent {
                return Ok(self);
            }
            if !self.is_open(clock()) {
                return Err(self.with_state(Unsettled));
            }
            let seen = clock();
            match self.read(platform, until).await {
                Ok(Some((record, version))) if record.is_claimed_by(&self.token) => {
                    self.state = Claimed { seen, version };
                }
                _ => return Err(self.with_state(Unsettled)),
            }
        }
    }

    /// Returns the permission to send the request.
    pub fn permit(&self) -> SendPermit {
        SendPermit { _private: () }
    }

    /// Abandons a claim whose request was not sent.
    pub fn abandon(self) -> OnceKey<Unsettled> {
        self.with_state(Unsettled)
    }

    /// Records the outcome of a request that was sent. If the write fails, the claim stays and
    /// counts as an unknown outcome.
    pub async fn finish(self, platform: &dyn Platform, state: KeyState) -> OnceKey<Finished> {
        let mut backoff = INITIAL_BACKOFF;
        for _ in 0..CLAIM_ATTEMPTS {
            let until = Instant::now() + CALL_TIMEOUT;
            let expected = Expected::Version(self.state.version);
            match self.write(platform, state.clone(), expected, until).await {
                Ok(_) | Err(PlatformError::Conflict { .. }) => break,
                Err(_) => sleep(backoff).await,
            }
            backoff *= 2;
        }
        self.with_state(Finished)
    }
}

impl OnceKey<Unsettled> {
    /// Tries once to record the state "not run", so that a retry may claim the key.
    ///
    /// The state is recorded even if there is no record: this request's own create may still be in
    /// flight and has to fail when it arrives.
    ///
    /// # Errors
    ///
    /// Returns the key if it is unknown whether the platform recorded the release.
    pub async fn try_release(self, platform: &dyn Platform) -> Result<OnceKey<Finished>, Self> {
        let until = Instant::now() + CALL_TIMEOUT;
        let expected = match self.read(platform, until).await {
            Err(_) => return Err(self),
            Ok(None) => Expected::Absent,
            Ok(Some((record, version)))
                if record.is_claimed_by(&self.token) || record.state == KeyState::NotRun =>
            {
                Expected::Version(version)
            }
            Ok(Some(_)) => return Ok(self.with_state(Finished)),
        };
        match self.write(platform, KeyState::NotRun, expected, until).await {
            Ok(_) => Ok(self.with_state(Finished)),
            Err(_) => Err(self),
        }
    }

    /// Records the state "not run", with a bounded number of retries and exponential backoff.
    pub async fn release(self, platform: &dyn Platform) {
        let mut backoff = INITIAL_BACKOFF;
        let mut key = self;
        for _ in 0..RELEASE_ATTEMPTS {
            match key.try_release(platform).await {
                Ok(_) => return,
                Err(returned) => key = returned,
            }
            sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }
}

/// Permission to send a request, which either may be repeated or has a claimed key.
#[derive(Debug)]
pub struct SendPermit {
    _private: (),
}

impl SendPermit {
    /// Returns the permission for a request that needs no idempotency key; `None` if it needs one.
    ///
    /// ```
    /// use steer::{RepeatRule, SendPermit};
    /// assert!(SendPermit::repeatable(RepeatRule::Idempotent).is_some());
    /// assert!(SendPermit::repeatable(RepeatRule::OncePerTry).is_some());
    /// assert!(SendPermit::repeatable(RepeatRule::AtMostOnce).is_none());
    /// ```
    pub fn repeatable(rule: RepeatRule) -> Option<Self> {
        (rule != RepeatRule::AtMostOnce).then_some(Self { _private: () })
    }
}
