//! Texts of large objects that peers request in parts.

use crate::{KindUpdate, LargeObject, RawObject};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::time::Instant;

/// Texts that were offered to peers. Each stays available while peers request it, even if its object
/// changes meanwhile; otherwise frequent changes would restart every transfer.
///
/// ```
/// use steer::{KindUpdate, ObjectBatch, OfferedTexts, RawObject};
/// use tokio::time::Instant;
/// let text = "x".repeat(100_000).into();
/// let object = RawObject { deleted: false, name: "main".into(), text };
/// let batch = ObjectBatch::new(vec![object], 4);
/// let mut offered = OfferedTexts::default();
/// let update = offered.offer(KindUpdate { batch, ..KindUpdate::default() }, Instant::now());
/// assert!(update.batch.objects.is_empty());
/// assert!(offered.text(update.large[0].digest, Instant::now()).is_some());
/// ```
#[derive(Debug, Default)]
pub struct OfferedTexts {
    /// Texts by digest, each with the time of its last use.
    texts: BTreeMap<u64, (Arc<str>, Instant)>,
}

impl OfferedTexts {
    /// Time without a request after which a text is dropped.
    const LIFETIME: Duration = Duration::from_secs(5);
    /// Maximum number of texts.
    const MAX_TEXTS: usize = 8;

    /// Replaces the large objects of an update by offers of their texts.
    pub fn offer(&mut self, mut update: KindUpdate, now: Instant) -> KindUpdate {
        let is_large = |text: &str| text.len() >= LargeObject::MIN_SIZE;
        let objects = update.batch.objects.into_iter();
        let (large, small): (Vec<RawObject>, _) = objects.partition(|o| is_large(&o.text));
        update.batch.objects = small;
        for object in large {
            let offer = self.describe(object.name, object.text, now);
            update.large.push(offer);
        }
        update
    }

    fn describe(&mut self, name: Arc<str>, text: Arc<str>, now: Instant) -> LargeObject {
        let known = self.texts.iter_mut().find(|(_, (known, _))| Arc::ptr_eq(known, &text));
        if let Some((digest, (_, used_at))) = known {
            *used_at = now;
            return LargeObject { digest: *digest, name, size: text.len() };
        }
        let offer = LargeObject::new(name, &text);
        self.texts.retain(|_, (_, used_at)| now.duration_since(*used_at) < Self::LIFETIME);
        if self.texts.len() >= Self::MAX_TEXTS {
            let oldest = self.texts.iter().min_by_key(|(_, (_, used_at))| *used_at);
            if let Some(oldest) = oldest.map(|(digest, _)| *digest) {
                self.texts.remove(&oldest);
            }
        }
        self.texts.insert(offer.digest, (text, now));
        offer
    }

    /// Returns an offered text.
    pub fn text(&mut self, digest: u64, now: Instant) -> Option<Arc<str>> {
        let (text, used_at) = self.texts.get_mut(&digest)?;
        *used_at = now;
        Some(Arc::clone(text))
    }
}
