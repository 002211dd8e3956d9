//! The path of a value inside a document.

use std::fmt::{self, Display, Formatter};

/// One segment of a path.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PathSegment {
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
/// use steer::ValuePath;
/// let path = ValuePath::root().key("services").key("briefs").key("hosts").index(0);
/// assert_eq!(path.to_string(), "services.briefs.hosts[0]");
/// assert_eq!(ValuePath::root().key("blocks").key("10.0.0.0/8").to_string(), r#"blocks["10.0.0.0/8"]"#);
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ValuePath {
    segments: Vec<PathSegment>,
}

impl ValuePath {
    /// Returns the path of the whole document.
    ///
    /// ```
    /// assert_eq!(steer::ValuePath::root().to_string(), "document");
    /// ```
    pub fn root() -> Self {
        Self::default()
    }

    /// Returns the path of an element of the list at this path.
    pub fn index(&self, index: usize) -> Self {
        self.segment(PathSegment::Index(index))
    }

    /// Returns the path of the element that is or contains a string, in the unordered list at this
    /// path.
    ///
    /// ```
    /// let path = steer::ValuePath::root().key("drains").item("briefs-1");
    /// assert_eq!(path.to_string(), r#"drains["briefs-1"]"#);
    /// ```
    pub fn item(&self, text: impl Into<String>) -> Self {
        self.segment(PathSegment::Item(text.into()))
    }

    /// Returns the path of a member of the object at this path.
    pub fn key(&self, key: impl Into<String>) -> Self {
        self.segment(PathSegment::Key(key.into()))
    }

    /// Returns the segments from the document to the value.
    pub fn segments(&self) -> &[PathSegment] {
        &self.segments
    }

    fn segment(&self, segment: PathSegment) -> Self {
        let mut segments = self.segments.clone();
        segments.push(segment);
        Self { segments }
    }
}

impl From<&serde_path_to_error::Path> for ValuePath {
    fn from(path: &serde_path_to_error::Path) -> Self {
        use serde_path_to_error::Segment;
        let to_segment = |segment: &Segment| match segment {
            Segment::Enum { variant } => Some(PathSegment::Key(variant.clone())),
            Segment::Map { key } => Some(PathSegment::Key(key.clone())),
            Segment::Seq { index } => Some(PathSegment::Index(*index)),
            Segment::Unknown => None,
        };
        Self { segments: path.iter().filter_map(to_segment).collect() }
    }
}

impl Display for ValuePath {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        if self.segments.is_empty() {
            return f.write_str("document");
        }
        let is_plain = |key: &str| {
            !key.is_empty() && key.chars().all(|c| c.is_alphanumeric() || "-_".contains(c))
        };
        for (i, segment) in self.segments.iter().enumerate() {
            match segment {
                PathSegment::Index(index) => write!(f, "[{index}]")?,
                PathSegment::Item(text) => write!(f, "[{text:?}]")?,
                PathSegment::Key(key) if !is_plain(key) => write!(f, "[{key:?}]")?,
                PathSegment::Key(key) if i == 0 => f.write_str(key)?,
                PathSegment::Key(key) => write!(f, ".{key}")?,
            }
        }
        Ok(())
    }
}
