//! An error in a settings document.

use super::{ValuePath, source};
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
    /// Returns the position of a byte offset in a text.
    ///
    /// ```
    /// assert_eq!(steer::Position::from_byte_offset("ab\ncd", 4).to_string(), "2:2");
    /// ```
    pub fn from_byte_offset(text: &str, byte: usize) -> Self {
        let before = text.get(..byte).unwrap_or(text);
        let line_start = before.rfind('\n').map_or(0, |i| i + 1);
        Self {
            column: before[line_start..].chars().count() + 1,
            line: before.matches('\n').count() + 1,
        }
    }
}

impl Position {
    /// Returns the position of a value in a document, or of the nearest enclosing value if it is
    /// missing.
    ///
    /// ```
    /// use steer::{Position, ValuePath};
    /// let path = ValuePath::root().key("fleet");
    /// assert_eq!(Position::from_path("{\n  \"fleet\": 7 }", &path).to_string(), "2:3");
    /// ```
    pub fn from_path(text: &str, path: &ValuePath) -> Self {
        source::positions(text, &[path]).first().copied().unwrap_or_default()
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
    /// let position = Position { column: 3, line: 2 };
    /// let problem = Problem::new("fleet", "is empty").with_position(position);
    /// assert_eq!(problem.to_string(), "2:3: fleet: is empty");
    /// ```
    pub fn with_position(mut self, position: Position) -> Self {
        self.position = position;
        self
    }
}
