//! The creation time of an idempotency key and its validity period.

use jiff::Timestamp;
use std::time::Duration;

/// The creation time of a key that is a version 7 UUID.
///
/// Such a key is accepted only within a time window, so that its record may be deleted afterwards.
/// A key in another format has no known creation time, and its record is kept.
///
/// ```
/// use steer::KeyTime;
/// let time = KeyTime::parse("01890a5d-ac96-774b-bcce-b302099a8057").unwrap();
/// assert!(time.is_open(time.created_at()));
/// assert!(!time.is_open(time.created_at() + 2 * KeyTime::WINDOW));
/// assert!(KeyTime::parse("payout-7").is_none());
/// ```
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct KeyTime(Timestamp);

impl KeyTime {
    /// How long a key may be used after its creation.
    pub const WINDOW: Duration = Duration::from_secs(24 * 3600);
    /// Maximum accepted clock skew of a client whose clock is ahead.
    pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(300);
    /// How long a record is kept after its key's creation. The time beyond the window exceeds the
    /// clock skew between VMs.
    pub const RETENTION: Duration = Duration::from_secs(26 * 3600);

    /// Parses the creation time of a key; `None` if it isn't a version 7 UUID.
    ///
    /// ```
    /// assert!(steer::KeyTime::parse("01890a5d-ac96-474b-bcce-b302099a8057").is_none());
    /// ```
    pub fn parse(key: &str) -> Option<Self> {
        let bytes = key.as_bytes();
        let is_uuid = bytes.len() == 36
            && bytes.iter().enumerate().all(|(i, b)| match i {
                8 | 13 | 18 | 23 => *b == b'-',
                14 => *b == b'7',
                19 => matches!(b, b'8' | b'9' | b'a' | b'b' | b'A' | b'B'),
                _ => b.is_ascii_hexdigit(),
            });
        if !is_uuid {
            return None;
        }
        let millis = i64::from_str_radix(&format!("{}{}", &key[..8], &key[9..13]), 16).ok()?;
        Timestamp::from_millisecond(millis).ok().map(Self)
    }

    /// Returns the key's creation time.
    ///
    /// ```
    /// let time = steer::KeyTime::parse("00000000-0001-7000-8000-000000000000").unwrap();
    /// assert_eq!(time.created_at().as_millisecond(), 1);
    /// ```
    pub fn created_at(self) -> Timestamp {
        self.0
    }

    /// Returns whether the key may be used at the given time.
    ///
    /// ```
    /// let time = steer::KeyTime::parse("01890a5d-ac96-774b-bcce-b302099a8057").unwrap();
    /// assert!(!time.is_open(time.created_at() - 2 * steer::KeyTime::MAX_CLOCK_SKEW));
    /// ```
    pub fn is_open(self, now: Timestamp) -> bool {
        let age = now.duration_since(self.0);
        let (window, skew) =
            (Self::WINDOW.as_millis() as i128, Self::MAX_CLOCK_SKEW.as_millis() as i128);
        (-skew..window).contains(&age.as_millis())
    }

    /// Returns the hour of the key's creation, counted from the Unix epoch; records are grouped by
    /// it.
    ///
    /// ```
    /// let time = steer::KeyTime::parse("00000000-0001-7000-8000-000000000000").unwrap();
    /// assert_eq!(time.hour(), 0);
    /// ```
    pub fn hour(self) -> i64 {
        self.0.as_second() / 3600
    }
}
