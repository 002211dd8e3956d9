//! A shared immutable name of one kind.

use schemars::{JsonSchema, Schema, SchemaGenerator};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::{
    borrow::{Borrow, Cow},
    cmp::Ordering,
    fmt::{self, Debug, Display, Formatter},
    hash::{Hash, Hasher},
    marker::PhantomData,
    sync::Arc,
};

/// A name of kind `K`, cheap to clone because all copies share one string.
///
/// ```
/// use steer::{RegionName, ServiceName};
///
/// let region = RegionName::from("lisboa");
/// assert_eq!(region.as_str(), "lisboa");
/// assert_eq!(region.clone(), region);
/// let service = ServiceName::from("briefs");
/// assert_eq!(service.to_string(), "briefs");
/// ```
pub struct Name<K> {
    text: Arc<str>,
    kind: PhantomData<fn() -> K>,
}

impl<K> Name<K> {
    /// Returns the text of the name.
    ///
    /// ```
    /// assert_eq!(steer::VmName::from("entry-1").as_str(), "entry-1");
    /// ```
    pub fn as_str(&self) -> &str {
        &self.text
    }
}

impl<K> AsRef<str> for Name<K> {
    fn as_ref(&self) -> &str {
        &self.text
    }
}

impl<K> Borrow<str> for Name<K> {
    fn borrow(&self) -> &str {
        &self.text
    }
}

impl<K> Clone for Name<K> {
    fn clone(&self) -> Self {
        Self { text: Arc::clone(&self.text), kind: PhantomData }
    }
}

impl<K> Debug for Name<K> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        Debug::fmt(&self.text, f)
    }
}

impl<K> Default for Name<K> {
    fn default() -> Self {
        Self::from("")
    }
}

impl<K> Display for Name<K> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.pad(&self.text)
    }
}

impl<K> Eq for Name<K> {}

impl<K> From<&str> for Name<K> {
    fn from(text: &str) -> Self {
        Self { text: text.into(), kind: PhantomData }
    }
}

impl<K> From<String> for Name<K> {
    fn from(text: String) -> Self {
        Self { text: text.into(), kind: PhantomData }
    }
}

impl<K> Hash for Name<K> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.text.hash(state);
    }
}

impl<K> Ord for Name<K> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.text.cmp(&other.text)
    }
}

impl<K> PartialEq for Name<K> {
    fn eq(&self, other: &Self) -> bool {
        self.text == other.text
    }
}

impl<K> PartialOrd for Name<K> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<K> JsonSchema for Name<K> {
    fn inline_schema() -> bool {
        true
    }

    fn schema_name() -> Cow<'static, str> {
        "Name".into()
    }

    fn json_schema(generator: &mut SchemaGenerator) -> Schema {
        String::json_schema(generator)
    }
}

impl<'de, K> Deserialize<'de> for Name<K> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        String::deserialize(deserializer).map(Self::from)
    }
}

impl<K> Serialize for Name<K> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.text)
    }
}
