//! When an idempotency key was made, and for how long it may be used.

use jiff::Timestamp;
use std::time::Duration;

/// The time at which a key was made, read from a key in the form of a UUID of version 7.
///
/// A key that tells its time is accepted only within a window, so that its record may be deleted
/// afterwards. A key of another form tells no time, and its record is kept.
///
/// ```
/// use steer::KeyTime;
/// let time = KeyTime::parse("01890a5d-ac96-774b-bcce-b302099a8057").unwrap();
/// assert!(time.is_open(time.made()));
/// assert!(!time.is_open(time.made() + 2 * KeyTime::WINDOW));
/// assert!(KeyTime::parse("payout-7").is_none());
/// ```
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct KeyTime(Timestamp);

impl KeyTime {
    /// Time for which a key may be used after it was made.
    pub const WINDOW: Duration = Duration::from_secs(24 * 3600);
    /// Largest step by which the clock of a key's maker may be ahead.
    pub const AHEAD: Duration = Duration::from_secs(300);
    /// Time for which a record is kept after its key was made; clocks differ by less than the
    /// part beyond the window.
    pub const KEEP: Duration = Duration::from_secs(26 * 3600);

    /// Reads the time of a key; `None` where it isn't a UUID of version 7.
    ///
    /// ```
    /// assert!(steer::KeyTime::parse("01890a5d-ac96-474b-bcce-b302099a8057").is_none());
    /// ```
    pub fn parse(key: &str) -> Option<Self> {
        let bytes = key.as_bytes();
        let shaped = bytes.len() == 36
            && bytes.iter().enumerate().all(|(i, b)| match i {
                8 | 13 | 18 | 23 => *b == b'-',
                14 => *b == b'7',
                19 => matches!(b, b'8' | b'9' | b'a' | b'b' | b'A' | b'B'),
                _ => b.is_ascii_hexdigit(),
            });
        if !shaped {
            return None;
        }
        let millis = i64::from_str_radix(&format!("{}{}", &key[..8], &key[9..13]), 16).ok()?;
        Timestamp::from_millisecond(millis).ok().map(Self)
    }

    /// When the key was made.
    ///
    /// ```
    /// let time = steer::KeyTime::parse("00000000-0001-7000-8000-000000000000").unwrap();
    /// assert_eq!(time.made().as_millisecond(), 1);
    /// ```
    pub fn made(self) -> Timestamp {
        self.0
    }

    /// Tells whether a key may be used at a time.
    ///
    /// ```
    /// let time = steer::KeyTime::parse("01890a5d-ac96-774b-bcce-b302099a8057").unwrap();
    /// assert!(!time.is_open(time.made() - 2 * steer::KeyTime::AHEAD));
    /// ```
    pub fn is_open(self, now: Timestamp) -> bool {
        let age = now.duration_since(self.0);
        let (window, ahead) = (Self::WINDOW.as_millis() as i128, Self::AHEAD.as_millis() as i128);
        (-ahead..window).contains(&age.as_millis())
    }

    /// The hour in which the key was made, counted from 1970; records are grouped by it.
    ///
    /// ```
    /// let time = steer::KeyTime::parse("00000000-0001-7000-8000-000000000000").unwrap();
    /// assert_eq!(time.hour(), 0);
    /// ```
    pub fn hour(self) -> i64 {
        self.0.as_second() / 3600
    }
}
