//! The path of a value inside a document.

use std::fmt::{self, Display, Formatter};

/// One segment of a path.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// An element of a list, by index.
    Index(usize),
    /// The element of an unordered list that is or contains this string.
    Item(String),
    /// A member of an object, by key.
    Key(String),
}

/// The path of a value inside a document.
///
/// ```
/// use steer::Place;
/// let place = Place::root().key("services").key("briefs").key("hosts").index(0);
/// assert_eq!(place.to_string(), "services.briefs.hosts[0]");
/// assert_eq!(Place::root().key("blocks").key("10.0.0.0/8").to_string(), r#"blocks["10.0.0.0/8"]"#);
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Place {
    steps: Vec<Step>,
}

impl Place {
    /// The whole document.
    ///
    /// ```
    /// assert_eq!(steer::Place::root().to_string(), "document");
    /// ```
    pub fn root() -> Self {
        Self::default()
    }

    /// The place of an element of the list at this place.
    pub fn index(&self, index: usize) -> Self {
        self.step(Step::Index(index))
    }

    /// The place of the element that is or contains a string, in the unordered list at this place.
    ///
    /// ```
    /// let place = steer::Place::root().key("drains").item("briefs-1");
    /// assert_eq!(place.to_string(), r#"drains["briefs-1"]"#);
    /// ```
    pub fn item(&self, text: impl Into<String>) -> Self {
        self.step(Step::Item(text.into()))
    }

    /// The place of a member of the object at this place.
    pub fn key(&self, key: impl Into<String>) -> Self {
        self.step(Step::Key(key.into()))
    }

    /// The steps from the document to the value.
    pub fn steps(&self) -> &[Step] {
        &self.steps
    }

    fn step(&self, step: Step) -> Self {
        let mut steps = self.steps.clone();
        steps.push(step);
        Self { steps }
    }
}

impl From<&serde_path_to_error::Path> for Place {
    fn from(path: &serde_path_to_error::Path) -> Self {
        use serde_path_to_error::Segment;
        let to_step = |segment: &Segment| match segment {
            Segment::Enum { variant } => Some(Step::Key(variant.clone())),
            Segment::Map { key } => Some(Step::Key(key.clone())),
            Segment::Seq { index } => Some(Step::Index(*index)),
            Segment::Unknown => None,
        };
        Self { steps: path.iter().filter_map(to_step).collect() }
    }
}

impl Display for Place {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        if self.steps.is_empty() {
            return f.write_str("document");
        }
        let is_plain = |key: &str| {
            !key.is_empty() && key.chars().all(|c| c.is_alphanumeric() || "-_".contains(c))
        };
        for (i, step) in self.steps.iter().enumerate() {
            match step {
                Step::Index(index) => write!(f, "[{index}]")?,
                Step::Item(text) => write!(f, "[{text:?}]")?,
                Step::Key(key) if !is_plain(key) => write!(f, "[{key:?}]")?,
                Step::Key(key) if i == 0 => f.write_str(key)?,
                Step::Key(key) => write!(f, ".{key}")?,
            }
        }
        Ok(())
    }
}
