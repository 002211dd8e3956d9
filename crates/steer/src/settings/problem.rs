//! An error in a settings document.

use super::{Place, source};
use derive_more::Display;

/// Line and column in a document, both starting at 1.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
#[display("{line}:{column}")]
pub struct Position {
    /// Column, counted in characters.
    pub column: usize,
    /// Line.
    pub line: usize,
}

impl Position {
    /// The position of a byte offset in a text.
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
    /// The position of a value in a document, or of the nearest value around it if it is missing.
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

/// An error in a settings document, with its position.
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
    /// Line and column of the value, or of its key in an object.
    pub position: Position,
    /// What was found and what is expected.
    pub reason: String,
}

impl Problem {
    /// Creates a problem positioned at the start of the document.
    ///
    /// ```
    /// assert_eq!(steer::Problem::new("fleet", "is empty").place, "fleet");
    /// ```
    pub fn new(place: impl Into<String>, reason: impl Into<String>) -> Self {
        Self { place: place.into(), position: Position::default(), reason: reason.into() }
    }

    /// Sets the position.
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
