//! JSON encoding of relayed store updates. Field names are short because they are sent often.

use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use steer::{
    KindUpdate, LargeObject, ObjectBatch, ObjectPage, PageQuery, PartQuery, RawObject, UpdateQuery,
    UpdateReply,
};

/// JSON-RPC method that queries store updates.
pub(super) const QUERY_UPDATES: &str = "news";
/// JSON-RPC method that returns a part of the text of a large object.
pub(super) const FETCH_PART: &str = "part";
/// JSON-RPC method that returns a page of the objects of a kind.
pub(super) const FETCH_PAGE: &str = "page";

#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct WireUpdateQuery {
    /// Age in milliseconds of what the sender has, by kind.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    a: BTreeMap<Arc<str>, u64>,
    /// Whether the sender requests long lists in pages.
    #[serde(default, skip_serializing_if = "is_false")]
    l: bool,
    /// Whether the sender requests the texts of large objects in parts.
    #[serde(default, skip_serializing_if = "is_false")]
    p: bool,
    /// Latest revision known to the sender, by kind.
    r: BTreeMap<Arc<str>, u64>,
    /// Longest wait in milliseconds.
    w: u64,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct WireUpdate {
    /// Age of the information in milliseconds.
    a: u64,
    /// Whether `o` holds all objects of the kind rather than only changes.
    #[serde(default, skip_serializing_if = "is_false")]
    f: bool,
    /// Large objects as tuples of name, length and digest of the text.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    l: Vec<(Arc<str>, usize, u64)>,
    /// Name of the last object, if `o` is the first page of a list.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    m: Option<Arc<str>>,
    /// Objects as tuples of name, text and whether it was deleted.
    o: Vec<(Arc<str>, Arc<str>, bool)>,
    /// Revision of the store after these changes.
    r: u64,
}

pub(super) type WireUpdateReply = BTreeMap<Arc<str>, WireUpdate>;

#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_false(value: &bool) -> bool {
    !value
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl From<&UpdateQuery> for WireUpdateQuery {
    fn from(query: &UpdateQuery) -> Self {
        let ages = query.ages.iter().map(|(kind, age)| (Arc::clone(kind), millis(*age)));
        Self {
            a: ages.collect(),
            l: query.pages,
            p: query.parts,
            r: query.revisions.clone(),
            w: millis(query.wait),
        }
    }
}

impl From<WireUpdateQuery> for UpdateQuery {
    fn from(wire: WireUpdateQuery) -> Self {
        let ages = wire.a.into_iter().map(|(kind, age)| (kind, Duration::from_millis(age)));
        Self {
            ages: ages.collect(),
            pages: wire.l,
            parts: wire.p,
            revisions: wire.r,
            wait: Duration::from_millis(wire.w),
        }
    }
}

impl From<KindUpdate> for WireUpdate {
    fn from(kind: KindUpdate) -> Self {
        let objects = kind.batch.objects.into_iter().map(|o| (o.name, o.text, o.deleted));
        let large = kind.large.into_iter().map(|large| (large.name, large.size, large.digest));
        Self {
            a: millis(kind.age),
            f: kind.full,
            l: large.collect(),
            m: kind.more_after,
            o: objects.collect(),
            r: kind.batch.revision,
        }
    }
}

impl From<WireUpdate> for KindUpdate {
    fn from(wire: WireUpdate) -> Self {
        let objects =
            wire.o.into_iter().map(|(name, text, deleted)| RawObject { deleted, name, text });
        let batch = ObjectBatch::new(objects.collect(), wire.r);
        let large = wire.l.into_iter();
        let large = large.map(|(name, size, digest)| LargeObject { digest, name, size }).collect();
        let age = Duration::from_millis(wire.a);
        Self { age, full: wire.f, batch, large, more_after: wire.m }
    }
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct WirePartQuery {
    /// Digest of the whole text.
    d: u64,
    /// Kind of the object.
    k: Arc<str>,
    /// Name of the object.
    n: Arc<str>,
    /// Number of bytes before the part.
    o: usize,
    /// Length of the whole text in bytes.
    s: usize,
}

impl From<&PartQuery> for WirePartQuery {
    fn from(query: &PartQuery) -> Self {
        let LargeObject { digest, name, size } = query.object.clone();
        Self { d: digest, k: Arc::clone(&query.kind), n: name, o: query.offset, s: size }
    }
}

impl From<WirePartQuery> for PartQuery {
    fn from(wire: WirePartQuery) -> Self {
        let object = LargeObject { digest: wire.d, name: wire.n, size: wire.s };
        Self { kind: wire.k, object, offset: wire.o }
    }
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct WirePageQuery {
    /// Name of the last object that the sender has received.
    a: Arc<str>,
    /// Kind of the objects.
    k: Arc<str>,
}

impl From<&PageQuery> for WirePageQuery {
    fn from(query: &PageQuery) -> Self {
        Self { a: Arc::clone(&query.after), k: Arc::clone(&query.kind) }
    }
}

impl From<WirePageQuery> for PageQuery {
    fn from(wire: WirePageQuery) -> Self {
        Self { after: wire.a, kind: wire.k }
    }
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct WirePage {
    /// Name of the last object, if there are more.
    m: Option<Arc<str>>,
    /// Names and texts of the objects.
    o: Vec<(Arc<str>, Arc<str>)>,
}

impl From<ObjectPage> for WirePage {
    fn from(page: ObjectPage) -> Self {
        let objects = page.objects.into_iter().map(|object| (object.name, object.text));
        Self { m: page.more_after, o: objects.collect() }
    }
}

impl From<WirePage> for ObjectPage {
    fn from(wire: WirePage) -> Self {
        let objects = wire.o.into_iter();
        let objects = objects.map(|(name, text)| RawObject { deleted: false, name, text });
        Self { objects: objects.collect(), more_after: wire.m }
    }
}

pub(super) fn encode_reply(reply: UpdateReply) -> WireUpdateReply {
    reply.into_iter().map(|(kind, update)| (kind, update.into())).collect()
}

pub(super) fn decode_reply(wire: WireUpdateReply) -> UpdateReply {
    wire.into_iter().map(|(kind, update)| (kind, update.into())).collect()
}
