//! A reason why a settings document is refused.

use super::{Place, source};
use derive_more::Display;

/// Line and column in a document, both from 1 on.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
#[display("{line}:{column}")]
pub struct Position {
    /// Column, counted in characters.
    pub column: usize,
    /// Line.
    pub line: usize,
}

impl Position {
    /// The position of a byte of a text.
    ///
    /// ```
    /// assert_eq!(steer::Position::of_byte("ab\ncd", 4).to_string(), "2:2");
    /// ```
    pub fn of_byte(text: &str, byte: usize) -> Self {
        let before = text.get(..byte).unwrap_or(text);
        let line_start = before.rfind('\n').map_or(0, |i| i + 1);
        Self {
            column: before[line_start..].chars().count() + 1,
            line: before.matches('\n').count() + 1,
        }
    }
}

impl Position {
    /// The position of a value in a document; that of what stands around it where it is missing.
    ///
    /// ```
    /// use steer::{Place, Position};
    /// let place = Place::root().key("fleet");
    /// assert_eq!(Position::of_place("{\n  \"fleet\": 7 }", &place).to_string(), "2:3");
    /// ```
    pub fn of_place(text: &str, place: &Place) -> Self {
        source::positions(text, &[place]).first().copied().unwrap_or_default()
    }
}

impl Default for Position {
    fn default() -> Self {
        Self { column: 1, line: 1 }
    }
}

/// What is wrong with a settings document, and where.
///
/// ```
/// let problem = steer::Problem::new("services.briefs", "has no targets");
/// assert_eq!(problem.to_string(), "1:1: services.briefs: has no targets");
/// ```
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{position}: {place}: {reason}")]
pub struct Problem {
    /// Path of the value inside the document.
    pub place: String,
    /// Line and column of the value.
    pub position: Position,
    /// What was found and what is allowed.
    pub reason: String,
}

impl Problem {
    /// Makes a problem at the start of a document.
    ///
    /// ```
    /// assert_eq!(steer::Problem::new("fleet", "is empty").place, "fleet");
    /// ```
    pub fn new(place: impl Into<String>, reason: impl Into<String>) -> Self {
        Self { place: place.into(), position: Position::default(), reason: reason.into() }
    }

    /// Sets line and column.
    ///
    /// ```
    /// use steer::{Position, Problem};
    /// let problem = Problem::new("fleet", "is empty").at(Position { column: 3, line: 2 });
    /// assert_eq!(problem.to_string(), "2:3: fleet: is empty");
    /// ```
    pub fn at(mut self, position: Position) -> Self {
        self.position = position;
        self
    }
}
