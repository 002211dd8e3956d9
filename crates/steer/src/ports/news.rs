//! The ports towards the store's objects and towards peers that pass them on.

use super::{PeerError, RegistryError};
use async_trait::async_trait;
use std::{collections::BTreeMap, fmt::Debug, net::SocketAddr, sync::Arc, time::Duration};

/// An object of the store, not decoded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RawObject {
    /// The object was removed.
    pub deleted: bool,
    /// Name within its kind.
    pub name: Arc<str>,
    /// The object as the store encodes it.
    pub text: Arc<str>,
}

/// Objects of a kind, or changes of them, at a revision of the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RawNews {
    /// The objects, oldest change first.
    pub objects: Vec<RawObject>,
    /// A peer passed them on; the store was not asked.
    pub relayed: bool,
    /// Revision of the store.
    pub revision: u64,
}

impl RawNews {
    /// Makes news that the store told.
    pub fn new(objects: Vec<RawObject>, revision: u64) -> Self {
        Self { objects, relayed: false, revision }
    }

    /// Marks news that a peer passed on.
    pub fn relayed(mut self) -> Self {
        self.relayed = true;
        self
    }
}

/// Reads kinds of objects.
#[async_trait]
pub trait ObjectSource: Debug + Send + Sync {
    /// Reads all objects of a kind.
    ///
    /// # Errors
    ///
    /// Where the store does not answer.
    async fn list(&self, kind: &'static str) -> Result<RawNews, RegistryError>;

    /// Waits for changes of a kind since a revision; after `wait` without one the list is empty.
    ///
    /// # Errors
    ///
    /// `Expired` where the kind has to be listed anew.
    async fn watch(
        &self,
        kind: &'static str,
        revision: u64,
        wait: Duration,
    ) -> Result<RawNews, RegistryError>;
}

/// What a VM asks a peer: news of each kind since a revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct NewsQuery {
    /// Revision that the sender has, by kind.
    pub revisions: BTreeMap<Arc<str>, u64>,
    /// Longest wait for news.
    pub wait: Duration,
}

/// News of one kind from a peer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KindNews {
    /// Time since the store was read.
    pub age: Duration,
    /// These are all objects of the kind, as the changes since the revision are forgotten.
    pub full: bool,
    /// The objects.
    pub news: RawNews,
}

/// A peer's answer: news by kind; kinds that it has not read lately are missing.
pub type NewsReply = BTreeMap<Arc<str>, KindNews>;

/// Asks peers for news of the store.
#[async_trait]
pub trait NewsPeers: Debug + Send + Sync {
    /// Waits for a peer's news.
    ///
    /// # Errors
    ///
    /// Where the peer can't be reached or its answer can't be read.
    async fn ask_news(&self, peer: SocketAddr, query: &NewsQuery) -> Result<NewsReply, PeerError>;
}
