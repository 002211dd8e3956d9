//! Transfers of large objects from peers, part by part.

use crate::{KindUpdate, LargeObject, PartQuery, RawObject, UpdateQuery, UpdateReply};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// An update of a kind that lacks the texts of large objects.
#[derive(Debug)]
struct PendingUpdate {
    /// Texts by object, as far as they have arrived.
    texts: BTreeMap<LargeObject, String>,
    read_at: Instant,
    since: u64,
    started: Instant,
    update: KindUpdate,
}

/// A kind whose large objects have all arrived.
#[derive(Debug)]
pub struct CompletedTransfer {
    /// Bytes of the large objects.
    pub bytes: usize,
    /// Kind of the objects.
    pub kind: Arc<str>,
    /// Query that the update responds to.
    pub query: UpdateQuery,
    /// Time from the first part to the last.
    pub time: Duration,
    /// The update with the texts of the large objects.
    pub update: KindUpdate,
}

/// Updates from peers whose large objects are being transferred.
///
/// Parts that have arrived are kept when a request fails, and the transfer goes on with the next
/// part from any peer that has the same version. A version is completed even if a later one is
/// offered meanwhile, so that frequent changes can't keep a VM from every version.
///
/// ```
/// use steer::{KindUpdate, LargeObject, ObjectTransfers, UpdateQuery};
/// let query = UpdateQuery { revisions: [("routes".into(), 4)].into(), ..Default::default() };
/// let large = vec![LargeObject::new("main".into(), "text")];
/// let update = KindUpdate { large, ..KindUpdate::default() };
/// let mut transfers = ObjectTransfers::default();
/// assert!(transfers.accept(&query, [("routes".into(), update)].into()).is_empty());
/// let part = transfers.next_part().unwrap();
/// assert!(transfers.add_part(&part, "te").unwrap().is_none());
/// let part = transfers.next_part().unwrap();
/// assert!(transfers.add_part(&part, "xt").unwrap().is_some());
/// ```
#[derive(Debug, Default)]
pub struct ObjectTransfers {
    pending: BTreeMap<Arc<str>, PendingUpdate>,
}

impl ObjectTransfers {
    /// Returns whether no transfer is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Begins the transfers that a reply needs, and returns the updates that need none.
    pub fn accept(&mut self, query: &UpdateQuery, reply: UpdateReply) -> UpdateReply {
        let now = Instant::now();
        let mut complete = UpdateReply::new();
        for (kind, update) in reply {
            if update.large.is_empty() {
                self.pending.remove(&kind);
                complete.insert(kind, update);
                continue;
            }
            // Left out, so this VM turns to the store.
            if update.large.iter().any(|object| object.size > LargeObject::MAX_SIZE) {
                continue;
            }
            let since = query.revisions.get(&kind).copied().unwrap_or_default();
            if self.pending.get(&kind).is_some_and(|pending| pending.since == since) {
                continue;
            }
            let texts = update.large.iter().map(|object| (object.clone(), String::new())).collect();
            let read_at = now.checked_sub(update.age).unwrap_or(now);
            let pending = PendingUpdate { texts, read_at, since, started: now, update };
            self.pending.insert(kind, pending);
        }
        complete
    }

    /// Returns the request for the next part; `None` if no transfer is pending.
    pub fn next_part(&self) -> Option<PartQuery> {
        let (kind, pending) = self.pending.first_key_value()?;
        let (object, text) =
            pending.texts.iter().find(|(object, text)| text.len() < object.size)?;
        let (kind, object) = (Arc::clone(kind), object.clone());
        Some(PartQuery { kind, object, offset: text.len() })
    }

    /// Adds a part, and returns the update if it was the last part.
    ///
    /// # Errors
    ///
    /// Discards the transfer and returns the reason if the text can't be that of the object.
    pub fn add_part(
        &mut self,
        query: &PartQuery,
        part: &str,
    ) -> Result<Option<CompletedTransfer>, &'static str> {
        let Some(pending) = self.pending.get_mut(&query.kind) else { return Ok(None) };
        let Some(text) = pending.texts.get_mut(&query.object) else { return Ok(None) };
        text.push_str(part);
        let invalid = match text.len() {
            _ if part.is_empty() => Some("a part is empty"),
            length if length > query.object.size => Some("a part is too long"),
            length if length < query.object.size => return Ok(None),
            _ if xxh3_64(text.as_bytes()) != query.object.digest => Some("the digest differs"),
            _ => None,
        };
        if let Some(reason) = invalid {
            self.discard(&query.kind);
            return Err(reason);
        }
        if pending.texts.iter().any(|(object, text)| text.len() < object.size) {
            return Ok(None);
        }
        Ok(self.pending.remove(&query.kind).map(|pending| complete(&query.kind, pending)))
    }

    /// Discards the transfer of a kind, because a peer no longer has the version.
    pub fn discard(&mut self, kind: &str) {
        self.pending.remove(kind);
    }
}

fn complete(kind: &Arc<str>, pending: PendingUpdate) -> CompletedTransfer {
    let PendingUpdate { texts, read_at, since, started, mut update } = pending;
    let bytes = texts.values().map(String::len).sum();
    let objects = texts.into_iter().map(|(object, text)| RawObject {
        deleted: false,
        name: object.name,
        text: text.into(),
    });
    update.batch.objects.extend(objects);
    update.large.clear();
    update.age = read_at.elapsed();
    let revisions = [(Arc::clone(kind), since)].into();
    let query = UpdateQuery { revisions, ..UpdateQuery::default() };
    CompletedTransfer { bytes, kind: Arc::clone(kind), query, time: started.elapsed(), update }
}
