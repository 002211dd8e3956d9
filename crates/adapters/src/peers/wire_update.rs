//! JSON encoding of relayed store updates. Field names are short because they are sent often.

use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use steer::{KindUpdate, ObjectBatch, RawObject, UpdateQuery, UpdateReply};

/// JSON-RPC method that queries store updates.
pub(super) const QUERY_UPDATES_METHOD: &str = "news";

#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct WireUpdateQuery {
    /// Latest revision known to the sender, by kind.
    r: BTreeMap<Arc<str>, u64>,
    /// Longest wait in milliseconds.
    w: u64,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct WireUpdate {
    /// Age of the information in milliseconds.
    a: u64,
    /// Whether it holds all objects of the kind rather than changes.
    #[serde(default, skip_serializing_if = "is_false")]
    f: bool,
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
        Self { r: query.revisions.clone(), w: millis(query.wait) }
    }
}

impl From<WireUpdateQuery> for UpdateQuery {
    fn from(wire: WireUpdateQuery) -> Self {
        Self { revisions: wire.r, wait: Duration::from_millis(wire.w) }
    }
}

impl From<KindUpdate> for WireUpdate {
    fn from(kind: KindUpdate) -> Self {
        let objects = kind.batch.objects.into_iter().map(|o| (o.name, o.text, o.deleted));
        Self { a: millis(kind.age), f: kind.full, o: objects.collect(), r: kind.batch.revision }
    }
}

impl From<WireUpdate> for KindUpdate {
    fn from(wire: WireUpdate) -> Self {
        let objects =
            wire.o.into_iter().map(|(name, text, deleted)| RawObject { deleted, name, text });
        let batch = ObjectBatch::new(objects.collect(), wire.r);
        Self { age: Duration::from_millis(wire.a), full: wire.f, batch }
    }
}

pub(super) fn encode_reply(reply: UpdateReply) -> WireUpdateReply {
    reply.into_iter().map(|(kind, update)| (kind, update.into())).collect()
}

pub(super) fn decode_reply(wire: WireUpdateReply) -> UpdateReply {
    wire.into_iter().map(|(kind, update)| (kind, update.into())).collect()
}
