//! Ports to the objects of the store and to the peers that relay them.

use super::{PeerError, RegistryError};
use async_trait::async_trait;
use std::{
    collections::BTreeMap, fmt::Debug, future::pending, net::SocketAddr, sync::Arc, time::Duration,
};
use xxhash_rust::xxh3::xxh3_64;

/// Time after the wait of a call within which the store responds, or else the call fails. The store
/// responds in milliseconds, or in a few hundred milliseconds when it is slow.
pub const OBJECT_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// An undecoded object of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RawObject {
    /// Whether the object was deleted.
    pub deleted: bool,
    /// Name of the object, unique within its kind.
    pub name: Arc<str>,
    /// Object in the encoding of the store.
    pub text: Arc<str>,
}

impl RawObject {
    /// Returns the size in bytes.
    ///
    /// ```
    /// let object = steer::RawObject { deleted: false, name: "main".into(), text: "{}".into() };
    /// assert_eq!(object.size(), 6);
    /// ```
    pub fn size(&self) -> usize {
        self.name.len() + self.text.len()
    }
}

/// Objects of one kind, or changes to them, at a revision of the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ObjectBatch {
    /// Objects; of several changes of one object, the last one counts.
    pub objects: Vec<RawObject>,
    /// Whether a peer relayed the objects instead of the store being read.
    pub relayed: bool,
    /// Revision of the store.
    pub revision: u64,
    /// Number of objects that were left out because they have no usable name.
    pub unnamed: usize,
}

impl ObjectBatch {
    /// Largest list of a kind in bytes that is read. A source whose pages go on beyond it is faulty.
    pub const MAX_BYTES: usize = 32 << 20;

    /// Returns the size of the objects in bytes.
    ///
    /// ```
    /// let object = steer::RawObject { deleted: false, name: "main".into(), text: "{}".into() };
    /// assert_eq!(steer::ObjectBatch::new(vec![object], 7).size(), 6);
    /// ```
    pub fn size(&self) -> usize {
        self.objects.iter().map(RawObject::size).sum()
    }

    /// Creates a batch that was read from the store.
    pub fn new(objects: Vec<RawObject>, revision: u64) -> Self {
        Self { objects, relayed: false, revision, unnamed: 0 }
    }

    /// Marks the batch as relayed by a peer.
    pub fn relayed(mut self) -> Self {
        self.relayed = true;
        self
    }
}

/// Reads the objects of a kind.
#[async_trait]
pub trait ObjectSource: Debug + Send + Sync {
    /// Returns all objects of a kind.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not respond.
    async fn list(&self, kind: &'static str) -> Result<ObjectBatch, RegistryError>;

    /// Waits for changes to a kind after a revision; the result is empty if `wait` elapses first.
    ///
    /// # Errors
    ///
    /// Returns `Expired` if the kind must be listed again.
    async fn watch(
        &self,
        kind: &'static str,
        revision: u64,
        wait: Duration,
    ) -> Result<ObjectBatch, RegistryError>;

    /// Waits until there is a reason to repeat a call for a kind that failed. Never returns if only the
    /// store can tell, which is the default.
    async fn wait_news(&self, _kind: &'static str) {
        pending::<()>().await;
    }
}

/// Request to a peer for the changes of each kind after a revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct UpdateQuery {
    /// Time since the store confirmed what the sender has, by kind. The reply is held back until there
    /// are changes or a later confirmation.
    pub ages: BTreeMap<Arc<str>, Duration>,
    /// Whether the sender requests long lists in pages.
    pub pages: bool,
    /// Whether the sender requests the texts of large objects in parts.
    pub parts: bool,
    /// Revision that the sender has, by kind; 0 if it has no objects yet.
    pub revisions: BTreeMap<Arc<str>, u64>,
    /// Maximum wait for changes.
    pub wait: Duration,
}

/// Changes of one kind from a peer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KindUpdate {
    /// Time since the peer read the store.
    pub age: Duration,
    /// Whether this is the full list of the kind, because the peer no longer has the changes after
    /// the requested revision.
    pub full: bool,
    /// Objects or changes.
    pub batch: ObjectBatch,
    /// Changed objects that the batch lacks, because their texts are requested in parts.
    pub large: Vec<LargeObject>,
    /// Name of the last object of the batch, if the list goes on in further pages.
    pub more_after: Option<Arc<str>>,
}

impl KindUpdate {
    /// Maximum size in bytes of the objects in a page. It crosses a link of 20 Mbit/s in 100 ms.
    pub const PAGE_SIZE: usize = 256 << 10;
}

/// Request to a peer for the objects of a kind that follow a name.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PageQuery {
    /// Name of the last object that the sender has received.
    pub after: Arc<str>,
    /// Kind of the objects.
    pub kind: Arc<str>,
}

/// Some of the objects of a kind in the order of their names.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ObjectPage {
    /// The objects.
    pub objects: Vec<RawObject>,
    /// Name of the last object, if there are more.
    pub more_after: Option<Arc<str>>,
}

/// A version of an object whose text is requested in parts.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LargeObject {
    /// Hash of the text.
    pub digest: u64,
    /// Name of the object.
    pub name: Arc<str>,
    /// Length of the text in bytes.
    pub size: usize,
}

impl LargeObject {
    /// Maximum length in bytes of a text that is requested from peers; the store's objects are
    /// smaller.
    pub const MAX_SIZE: usize = 10 << 20;
    /// Length in bytes from which a text is requested in parts.
    pub const MIN_SIZE: usize = 64 << 10;
    /// Maximum length of a part in bytes. A part crosses a link of 10 Mbit/s in 50 ms, so it delays
    /// other messages on its connection little.
    pub const PART_SIZE: usize = 64 << 10;

    /// Describes the text of an object.
    ///
    /// ```
    /// assert_eq!(steer::LargeObject::new("main".into(), "{}").size, 2);
    /// ```
    pub fn new(name: Arc<str>, text: &str) -> Self {
        Self { digest: xxh3_64(text.as_bytes()), name, size: text.len() }
    }
}

/// Request to a peer for a part of the text of an object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PartQuery {
    /// Kind of the object.
    pub kind: Arc<str>,
    /// Version of the object.
    pub object: LargeObject,
    /// Number of bytes before the part.
    pub offset: usize,
}

/// Reply of a peer by kind; kinds that the peer has not read recently are missing.
pub type UpdateReply = BTreeMap<Arc<str>, KindUpdate>;

/// Requests changes of the store from peers.
#[async_trait]
pub trait UpdatePeers: Debug + Send + Sync {
    /// Waits for the changes from a peer.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer can't be reached or its reply is invalid.
    async fn poll_updates(
        &self,
        peer: SocketAddr,
        query: &UpdateQuery,
    ) -> Result<UpdateReply, PeerError>;

    /// Requests a part of the text of a large object.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer can't be reached or doesn't have this version of the object.
    async fn fetch_part(&self, peer: SocketAddr, query: &PartQuery) -> Result<String, PeerError>;

    /// Requests a page of a list.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer can't be reached or has no objects of the kind.
    async fn fetch_page(
        &self,
        peer: SocketAddr,
        query: &PageQuery,
    ) -> Result<ObjectPage, PeerError>;
}
