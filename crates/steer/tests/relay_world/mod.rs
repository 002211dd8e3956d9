//! The store of a simulated fleet, and the network between its VMs.

#![allow(dead_code, unused_imports, reason = "each test file uses a part")]

mod fleet;
mod recorder;

pub(crate) use self::{
    fleet::{Fleet, change_targets, limits},
    recorder::{KindRegistry, Recorder},
};
use async_trait::async_trait;
use std::{
    collections::{BTreeMap, BTreeSet},
    future::pending,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use steer::{
    HelloPeers, OBJECT_RESPONSE_TIMEOUT, ObjectBatch, ObjectCache, ObjectPage, ObjectSource,
    PageQuery, PartQuery, PeerError, RawObject, RegistryError, Router, UpdatePeers, UpdateQuery,
    UpdateReply, VmHello,
};
use tokio::{
    sync::watch,
    time::{Instant, sleep, sleep_until},
};

pub(crate) const CONFIGURATION: &str = "configuration";
pub(crate) const TARGETS: &str = "targets";
/// Delay of late answers.
const LATE: Duration = Duration::from_millis(700);
/// Round trip to the store or another VM.
const ROUND_TRIP: Duration = Duration::from_millis(40);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StoreState {
    /// Latest change of each kind.
    pub(crate) configuration: u64,
    pub(crate) targets: u64,
    /// Changes before this revision are discarded.
    pub(crate) oldest: u64,
    /// Whether watches hear of no changes.
    pub(crate) deaf: bool,
}

impl StoreState {
    pub(crate) fn revision(&self) -> u64 {
        self.configuration.max(self.targets)
    }

    fn latest(&self, kind: &str) -> u64 {
        if kind == CONFIGURATION { self.configuration } else { self.targets }
    }
}

/// What other VMs reach of a VM.
pub(crate) type VmParts = (Arc<ObjectCache>, Arc<Router>);

/// How the store fails for a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Refusal {
    /// It refuses calls, and cuts those that wait.
    Busy,
    /// It answers late.
    Late,
    /// It cuts connections while it reads a call.
    Reset,
    /// It answers nothing.
    Silent,
}

/// The store and the network.
#[derive(Debug, Default)]
pub(crate) struct World {
    pub(crate) caches: Mutex<BTreeMap<SocketAddr, VmParts>>,
    /// Number of calls to the store.
    pub(crate) calls: AtomicUsize,
    /// Time by which the store answers a call for the configuration later than one for the targets.
    pub(crate) kind_delay: Duration,
    /// VMs for which the store fails.
    pub(crate) refused: watch::Sender<BTreeMap<SocketAddr, Refusal>>,
    /// VMs that reach neither the store nor another VM.
    pub(crate) cut: watch::Sender<BTreeSet<SocketAddr>>,
    pub(crate) store: watch::Sender<StoreState>,
}

impl World {
    pub(crate) fn is_cut(&self, vm: SocketAddr) -> bool {
        self.cut.borrow().contains(&vm)
    }

    /// Passes a message between two VMs; it hangs if one of them is cut off.
    async fn pass(&self, from: SocketAddr, to: SocketAddr) -> Result<(), PeerError> {
        sleep(ROUND_TRIP / 2).await;
        if self.is_cut(from) || self.is_cut(to) {
            pending::<()>().await;
        }
        Ok(())
    }

    fn vm(&self, address: SocketAddr) -> VmParts {
        self.caches.lock().unwrap()[&address].clone()
    }

    fn read(&self, kind: &str) -> ObjectBatch {
        let state = *self.store.borrow();
        let text = state.latest(kind).to_string();
        let object = RawObject { deleted: false, name: "main".into(), text: text.as_str().into() };
        ObjectBatch::new(vec![object], state.revision())
    }
}

/// Returns whether the store cuts the calls that wait.
fn is_cutting(refusal: Option<&Refusal>) -> bool {
    matches!(refusal, Some(Refusal::Busy | Refusal::Reset))
}

/// The store as one VM reaches it.
#[derive(Debug)]
pub(crate) struct StoreLink {
    pub(crate) vm: SocketAddr,
    pub(crate) world: Arc<World>,
}

impl StoreLink {
    fn refusal(&self) -> Option<Refusal> {
        self.world.refused.borrow().get(&self.vm).copied()
    }

    async fn call(&self, kind: &str, wait: Duration) -> Result<(), RegistryError> {
        self.world.calls.fetch_add(1, Ordering::Relaxed);
        if self.world.is_cut(self.vm) {
            sleep(CONNECT_TIMEOUT).await;
            return Err(RegistryError::unavailable("connect timed out"));
        }
        let own = if kind == TARGETS { Duration::ZERO } else { self.world.kind_delay };
        sleep(ROUND_TRIP + own).await;
        match self.refusal() {
            None => Ok(()),
            Some(Refusal::Busy) => Err(RegistryError::unavailable("503")),
            Some(Refusal::Late) => {
                sleep(LATE).await;
                Ok(())
            }
            Some(Refusal::Reset) => Err(RegistryError::unavailable("reset")),
            Some(Refusal::Silent) => {
                sleep(wait + OBJECT_RESPONSE_TIMEOUT - ROUND_TRIP - own).await;
                Err(RegistryError::unavailable("timed out"))
            }
        }
    }
}

#[async_trait]
impl ObjectSource for StoreLink {
    async fn list(&self, kind: &'static str) -> Result<ObjectBatch, RegistryError> {
        self.call(kind, Duration::ZERO).await?;
        Ok(self.world.read(kind))
    }

    async fn watch(
        &self,
        kind: &'static str,
        revision: u64,
        wait: Duration,
    ) -> Result<ObjectBatch, RegistryError> {
        self.call(kind, wait).await?;
        let (mut state, until) = (self.world.store.subscribe(), Instant::now() + wait);
        loop {
            let now = *state.borrow_and_update();
            if revision < now.oldest {
                return Err(RegistryError::Expired);
            }
            let is_silent = self.refusal() == Some(Refusal::Silent);
            if !now.deaf && !is_silent && now.latest(kind) > revision {
                return Ok(self.world.read(kind));
            }
            let was_deaf = now.deaf;
            let mut refused = self.world.refused.subscribe();
            tokio::select! {
                biased;
                _ = refused.wait_for(|refused| is_cutting(refused.get(&self.vm))) => {
                    return Err(RegistryError::unavailable("reset"));
                }
                () = sleep_until(until + OBJECT_RESPONSE_TIMEOUT), if is_silent => {
                    return Err(RegistryError::unavailable("timed out"));
                }
                () = sleep_until(until), if !is_silent => {
                    let revision = if was_deaf { revision } else { now.revision() };
                    return Ok(ObjectBatch::new(Vec::new(), revision));
                }
                _ = state.changed() => {}
            }
            if was_deaf && !state.borrow().deaf {
                return Err(RegistryError::unavailable("cut"));
            }
        }
    }
}

/// The other VMs as one VM reaches them.
#[derive(Debug)]
pub(crate) struct Peers {
    pub(crate) vm: SocketAddr,
    pub(crate) world: Arc<World>,
}

#[async_trait]
impl UpdatePeers for Peers {
    async fn poll_updates(
        &self,
        peer: SocketAddr,
        query: &UpdateQuery,
    ) -> Result<UpdateReply, PeerError> {
        self.world.pass(self.vm, peer).await?;
        let reply = self.world.vm(peer).0.answer(query).await;
        self.world.pass(peer, self.vm).await?;
        Ok(reply)
    }

    async fn fetch_part(&self, _: SocketAddr, _: &PartQuery) -> Result<String, PeerError> {
        Err(PeerError::Refused("no large objects".to_owned()))
    }

    async fn fetch_page(&self, _: SocketAddr, _: &PageQuery) -> Result<ObjectPage, PeerError> {
        Err(PeerError::Refused("no long lists".to_owned()))
    }
}

#[async_trait]
impl HelloPeers for Peers {
    async fn send_hello(&self, peer: SocketAddr, hello: &VmHello) -> Result<VmHello, PeerError> {
        self.world.pass(self.vm, peer).await?;
        let (_, router) = self.world.vm(peer);
        router.record_hello(hello.clone());
        let reply = router.hello_to(&hello.vm);
        self.world.pass(peer, self.vm).await?;
        Ok(reply)
    }
}
