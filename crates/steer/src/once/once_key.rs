//! The life of an idempotency key as a typestate.

use super::{Fingerprint, KeyState, KeyTime, OnceRecord};
use crate::{Expected, Platform, PlatformError, RepeatRule, VmName};
use jiff::Timestamp;
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, sleep, timeout_at};

/// Nothing is recorded for this flow.
#[derive(Debug)]
pub struct Unclaimed;

/// The platform holds this flow's claim: the request may be sent.
#[derive(Debug)]
pub struct Claimed {
    seen: Timestamp,
    version: u64,
}

/// Nothing was or will be sent under this claim, which may or may not be recorded.
#[derive(Debug)]
pub struct Unsettled;

/// The outcome is recorded, or left unknown.
#[derive(Debug)]
pub struct Finished;

/// Who claims a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyOwner {
    /// Start time of the process.
    pub incarnation: u64,
    /// Name of the entry VM.
    pub vm: VmName,
}

/// How an attempt to claim a key ended.
#[derive(Debug)]
pub enum Claim {
    /// The key was recorded with this state before.
    Known(KeyState),
    /// The key was recorded for another request.
    Reused,
    /// The platform gave no answer that settles it; the claim has to be released.
    Unsettled(OnceKey<Unsettled>),
    /// The claim is recorded.
    Won(OnceKey<Claimed>),
}

/// The idempotency key of one request; only a claimed one lets its request be sent:
///
/// ```compile_fail
/// fn send(key: &steer::OnceKey<steer::Unclaimed>) -> steer::SendPass {
///     key.pass()
/// }
/// ```
#[derive(Debug)]
pub struct OnceKey<S> {
    path: Arc<str>,
    print: Fingerprint,
    state: S,
    time: Option<KeyTime>,
    token: Arc<str>,
}

/// Calls to the platform for one claim.
const CLAIM_CALLS: u32 = 6;
/// Pause after the first call that settled nothing; it doubles.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
/// Calls to the platform that try to release a claim.
const RELEASE_CALLS: u32 = 40;
/// Longest pause between two calls that try to release a claim.
const RELEASE_PAUSE: Duration = Duration::from_secs(30);
/// Longest wait for one call.
const CALL_WAIT: Duration = Duration::from_secs(2);

impl<S> OnceKey<S> {
    /// Time after which a claim is read again before its request is sent.
    pub const TRUST: Duration = Duration::from_secs(5);
    /// Prefix of all records in the platform's object API.
    pub const PREFIX: &'static str = "once/";

    /// Path of the record.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Tells whether the key may be used at a time.
    pub fn is_open(&self, now: Timestamp) -> bool {
        self.time.is_none_or(|time| time.is_open(now))
    }

    fn with_state<T>(self, state: T) -> OnceKey<T> {
        OnceKey { path: self.path, print: self.print, state, time: self.time, token: self.token }
    }

    fn to_record(&self, state: KeyState) -> String {
        OnceRecord { print: self.print.to_string(), state }.to_text()
    }

    /// Reads the record and its version; a text that is no record counts as unknown.
    async fn read(
        &self,
        platform: &dyn Platform,
        until: Instant,
    ) -> Result<Option<(OnceRecord, u64)>, PlatformError> {
        let until = until.min(Instant::now() + CALL_WAIT);
        let object = timeout_at(until, platform.read(&self.path))
            .await
            .map_err(|_| PlatformError::Unavailable("no answer in time".into()))??;
        Ok(object.and_then(|object| {
            let text = object.value?;
            let unreadable =
                || OnceRecord { print: self.print.to_string(), state: KeyState::Unknown };
            Some((OnceRecord::parse(&text).unwrap_or_else(unreadable), object.version))
        }))
    }

    async fn write(
        &self,
        platform: &dyn Platform,
        state: KeyState,
        expected: Expected,
        until: Instant,
    ) -> Result<u64, PlatformError> {
        let until = until.min(Instant::now() + CALL_WAIT);
        let record = self.to_record(state);
        timeout_at(until, platform.write(&self.path, &record, expected))
            .await
            .map_err(|_| PlatformError::Lost("no answer in time".into()))?
    }
}

impl OnceKey<Unclaimed> {
    /// Names the record of a service's and member's key.
    ///
    /// ```
    /// use steer::{Fingerprint, OnceKey};
    /// let request = http::Request::post("/approvals").body(()).unwrap();
    /// let print = Fingerprint::new("payouts", "aurora", &request, b"7");
    /// let key = OnceKey::new("payouts", "aurora", "payout-7", print);
    /// assert!(key.path().starts_with("once/kept/"));
    /// ```
    pub fn new(service: &str, member: &str, key: &str, print: Fingerprint) -> Self {
        let id = Fingerprint::of_parts([service, member, key].map(str::as_bytes));
        let time = KeyTime::parse(key);
        let path = match time {
            None => format!("{}kept/{id}", Self::PREFIX),
            Some(time) => format!("{}{}/{id}", Self::PREFIX, time.hour()),
        };
        let token = format!("{:032x}", rand::random::<u128>());
        Self { path: path.into(), print, state: Unclaimed, time, token: token.into() }
    }

    /// Reads what is recorded; `None` where nothing is.
    ///
    /// # Errors
    ///
    /// Where the platform gives no answer in time.
    pub async fn look(
        &self,
        platform: &dyn Platform,
        until: Instant,
    ) -> Result<Option<OnceRecord>, PlatformError> {
        Ok(self.read(platform, until).await?.map(|(record, _)| record))
    }

    /// Records the claim by a conditional write. What a lost answer leaves open is settled by
    /// reading back; the flow's own token tells its claim from others.
    pub async fn claim(
        self,
        platform: &dyn Platform,
        owner: &KeyOwner,
        clock: impl Fn() -> Timestamp,
        until: Instant,
    ) -> Claim {
        let mut expected = Expected::Absent;
        let mut pause = FIRST_PAUSE;
        for _ in 0..CLAIM_CALLS {
            if Instant::now() >= until {
                break;
            }
            let seen = clock();
            let claim = self.claimed(owner);
            match self.write(platform, claim, expected, until).await {
                Ok(version) => return Claim::Won(self.with_state(Claimed { seen, version })),
                Err(PlatformError::Conflict { .. }) => {}
                Err(_) => {
                    sleep(pause).await;
                    pause *= 2;
                }
            }
            let seen = clock();
            let Ok(found) = self.read(platform, until).await else { continue };
            expected = match found {
                None => Expected::Absent,
                Some((record, version)) if record.is_claimed_by(&self.token) => {
                    return Claim::Won(self.with_state(Claimed { seen, version }));
                }
                Some((record, _)) if record.print != self.print.to_string() => {
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

    fn claimed(&self, owner: &KeyOwner) -> KeyState {
        KeyState::Claimed {
            incarnation: owner.incarnation,
            token: self.token.to_string(),
            vm: owner.vm.to_string(),
        }
    }
}

impl OnceKey<Claimed> {
    /// Reads the claim again where it was seen too long ago, by the time of day: a VM that was
    /// paused sees no other clock move.
    ///
    /// # Errors
    ///
    /// Gives the key back, to be released, where the claim can't be confirmed.
    pub async fn confirm(
        mut self,
        platform: &dyn Platform,
        clock: impl Fn() -> Timestamp,
        until: Instant,
    ) -> Result<Self, OnceKey<Unsettled>> {
        loop {
            let age = clock().duration_since(self.state.seen);
            let trusted = !age.is_negative() && age.unsigned_abs() < Self::TRUST;
            if trusted {
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

    /// Allows the request to be sent.
    pub fn pass(&self) -> SendPass {
        SendPass { _private: () }
    }

    /// Gives the claim up, of which nothing was sent.
    pub fn give_up(self) -> OnceKey<Unsettled> {
        self.with_state(Unsettled)
    }

    /// Records the outcome of a request that was sent. A write that fails leaves the claim, which
    /// reads as unknown.
    pub async fn finish(self, platform: &dyn Platform, state: KeyState) -> OnceKey<Finished> {
        let mut pause = FIRST_PAUSE;
        for _ in 0..CLAIM_CALLS {
            let until = Instant::now() + CALL_WAIT;
            let expected = Expected::Version(self.state.version);
            match self.write(platform, state.clone(), expected, until).await {
                Ok(_) | Err(PlatformError::Conflict { .. }) => break,
                Err(_) => sleep(pause).await,
            }
            pause *= 2;
        }
        self.with_state(Finished)
    }
}

impl OnceKey<Unsettled> {
    /// Tries once to record "not run", so that a repeat may claim the key.
    ///
    /// The record is written also where none stands: the flow's own create may still be on its
    /// way, and then fails.
    ///
    /// # Errors
    ///
    /// Gives the key back where the platform gave no answer that settles it.
    pub async fn try_release(self, platform: &dyn Platform) -> Result<OnceKey<Finished>, Self> {
        let until = Instant::now() + CALL_WAIT;
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

    /// Tries again and again to record "not run", with growing pauses and a bound.
    pub async fn release(self, platform: &dyn Platform) {
        let mut pause = FIRST_PAUSE;
        let mut key = self;
        for _ in 0..RELEASE_CALLS {
            match key.try_release(platform).await {
                Ok(_) => return,
                Err(back) => key = back,
            }
            sleep(pause).await;
            pause = (pause * 2).min(RELEASE_PAUSE);
        }
    }
}

/// Leave to send a request: it may be repeated, or its key is claimed.
#[derive(Debug)]
pub struct SendPass {
    _private: (),
}

impl SendPass {
    /// Allows a request that needs no idempotency key; `None` for one that does.
    ///
    /// ```
    /// use steer::{RepeatRule, SendPass};
    /// assert!(SendPass::repeatable(RepeatRule::Idempotent).is_some());
    /// assert!(SendPass::repeatable(RepeatRule::OncePerTry).is_some());
    /// assert!(SendPass::repeatable(RepeatRule::AtMostOnce).is_none());
    /// ```
    pub fn repeatable(rule: RepeatRule) -> Option<Self> {
        (rule != RepeatRule::AtMostOnce).then_some(Self { _private: () })
    }
}
