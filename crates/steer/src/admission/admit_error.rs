//! The error of a request that is refused a slot.

use crate::{ErrorKind, Refusal};
use derive_more::{Display, Error};
use std::time::Duration;

/// Why a request was refused a slot, with the expected wait for one.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("{kind}")]
pub struct AdmitError {
    /// Kind of the error.
    pub kind: ErrorKind,
    /// Expected wait for a slot.
    pub wait: Duration,
}

impl AdmitError {
    /// Upper limit of the `Retry-After` value, in seconds.
    pub const MAX_RETRY_AFTER_S: u64 = 60;

    /// Creates an error.
    ///
    /// ```
    /// use std::time::Duration;
    /// let error = steer::AdmitError::new(steer::ErrorKind::NoRoom, Duration::from_millis(1_200));
    /// assert_eq!(error.retry_after(), 2);
    /// ```
    pub fn new(kind: ErrorKind, wait: Duration) -> Self {
        Self { kind, wait }
    }

    /// Seconds for the `Retry-After` header: the expected wait rounded up, at least one second.
    pub fn retry_after(&self) -> u32 {
        let seconds = self.wait.as_millis().div_ceil(1_000) as u64;
        seconds.clamp(1, Self::MAX_RETRY_AFTER_S) as u32
    }

    /// Adds the retry-after time to a refusal.
    ///
    /// ```
    /// use steer::{AdmitError, ErrorKind, Refusal};
    /// let error = AdmitError::new(ErrorKind::NoRoom, std::time::Duration::from_secs(7));
    /// let refusal = error.add_retry_after(Refusal::from(ErrorKind::NoRoom));
    /// assert_eq!(refusal.answer().retry_after, Some(7));
    /// ```
    pub fn add_retry_after(&self, refusal: Refusal) -> Refusal {
        refusal.retry_after(std::time::Duration::from_secs(self.retry_after().into()))
    }
}
