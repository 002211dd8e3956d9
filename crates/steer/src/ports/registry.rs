//! Ports to the registries in the platform's store, and to other VMs for hellos.

use async_trait::async_trait;
use derive_more::{Display, Error};
use std::{collections::BTreeMap, fmt::Debug, future::pending, sync::Arc, time::Duration};

/// All objects of a registry at a revision.
#[derive(Clone, Debug)]
pub struct Listing<T> {
    /// Valid objects by name.
    pub items: BTreeMap<Arc<str>, T>,
    /// Whether another VM relayed the objects.
    pub relayed: bool,
    /// Revision of the store.
    pub revision: u64,
    /// Names of invalid objects, each with the reason.
    pub unreadable: BTreeMap<Arc<str>, String>,
}

/// A change in a registry.
#[derive(Clone, Debug)]
pub enum Change<T> {
    /// An object was written.
    Put(Arc<str>, T),
    /// An object was removed.
    Removed(Arc<str>),
    /// An invalid object was written.
    Unreadable(Arc<str>, String),
}

/// Changes after a revision.
#[derive(Clone, Debug)]
pub struct Changes<T> {
    /// The changes, oldest first.
    pub changes: Vec<Change<T>>,
    /// Whether a peer relayed the changes instead of the store being read.
    pub relayed: bool,
    /// Revision of the store.
    pub revision: u64,
}

/// Error of reading a registry.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum RegistryError {
    /// The store no longer has the changes after the requested revision.
    #[display("the changes after the requested revision are no longer available")]
    Expired,
    /// Neither the store nor a peer that reads it provided changes.
    #[display("peers and the store are unavailable: {reason}")]
    Lost {
        /// Reason from the store.
        reason: String,
    },
    /// The store did not respond or refused the call.
    #[display("the store is unavailable: {reason}")]
    Unavailable {
        /// Reason from the store.
        reason: String,
    },
}

impl RegistryError {
    /// Creates an error for a store that did not respond or refused the call.
    ///
    /// ```
    /// let error = steer::RegistryError::unavailable("timed out");
    /// assert_eq!(error.to_string(), "the store is unavailable: timed out");
    /// ```
    #[allow(clippy::needless_pass_by_value, reason = "maps owned errors")]
    pub fn unavailable(reason: impl ToString) -> Self {
        Self::Unavailable { reason: reason.to_string() }
    }
}

/// Reads one kind of object.
#[async_trait]
pub trait Registry<T>: Debug + Send + Sync {
    /// Reads all objects.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not respond.
    async fn list(&self) -> Result<Listing<T>, RegistryError>;

    /// Waits for changes after a revision; the result is empty if `wait` elapses first.
    ///
    /// # Errors
    ///
    /// Returns `Expired` if the registry must be listed again.
    async fn watch(&self, revision: u64, wait: Duration) -> Result<Changes<T>, RegistryError>;

    /// Waits until there is a reason to repeat a call that failed. Never returns if only the store can
    /// tell, which is the default.
    async fn wait_news(&self) {
        pending::<()>().await;
    }
}

/// Writes this VM's own registration.
#[async_trait]
pub trait VmRegistry: Debug + Send + Sync {
    /// Creates or replaces the registration.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not confirm the write.
    async fn publish(&self, vm: &crate::VmRecord) -> Result<(), RegistryError>;

    /// Removes the registration.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not confirm the write.
    async fn withdraw(&self, vm: &crate::VmRecord) -> Result<(), RegistryError>;
}

/// Exchanges hellos with other VMs.
#[async_trait]
pub trait HelloPeers: Debug + Send + Sync {
    /// Sends a hello and waits for the reply.
    ///
    /// # Errors
    ///
    /// Returns an error if the VM can't be reached.
    async fn send_hello(
        &self,
        peer: std::net::SocketAddr,
        hello: &crate::VmHello,
    ) -> Result<crate::VmHello, crate::PeerError>;
}
