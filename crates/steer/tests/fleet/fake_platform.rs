//! An in-memory platform with fault injection.

use super::FakeNetwork;
use async_trait::async_trait;
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};
use steer::{Expected, Platform, PlatformError, PlatformObject, PlatformVm, WatchBatch};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

#[derive(Clone, Debug, Default)]
struct FakeStore {
    objects: BTreeMap<String, PlatformObject>,
    revision: u64,
}

#[derive(Debug, Default)]
pub(crate) struct FakePlatform {
    changed: watch::Sender<u64>,
    pub(crate) calls: Mutex<u64>,
    pub(crate) down: Mutex<bool>,
    /// Watches return the new revision without the changed objects.
    pub(crate) skips: Mutex<bool>,
    saved: Mutex<FakeStore>,
    store: Mutex<FakeStore>,
    vms: Mutex<Vec<PlatformVm>>,
}

impl FakePlatform {
    pub(crate) fn for_zone(network: &Arc<FakeNetwork>, zone: &str) -> Arc<dyn Platform> {
        Arc::new(ZonePlatform { network: Arc::clone(network), zone: zone.to_owned() })
    }

    pub(crate) fn put(&self, path: &str, value: &str) -> u64 {
        self.set(path, Some(value))
    }

    pub(crate) fn set(&self, path: &str, value: Option<&str>) -> u64 {
        let mut store = self.store.lock().unwrap();
        store.revision += 1;
        let version = store.revision;
        let object = PlatformObject { path: path.into(), value: value.map(Into::into), version };
        store.objects.insert(path.to_owned(), object);
        self.changed.send_replace(version);
        version
    }

    pub(crate) fn set_vms(&self, vms: Vec<PlatformVm>) {
        *self.vms.lock().unwrap() = vms;
    }

    /// Saves the current store for `restore_saved`.
    pub(crate) fn save(&self) {
        *self.saved.lock().unwrap() = self.store.lock().unwrap().clone();
    }

    pub(crate) fn restore_saved(&self) {
        *self.store.lock().unwrap() = self.saved.lock().unwrap().clone();
        self.changed.send_modify(|_| {});
    }

    fn changes(&self, prefix: &str, after: u64) -> WatchBatch {
        let store = self.store.lock().unwrap();
        let objects = store.objects.values().filter(|o| o.path.starts_with(prefix));
        let objects = objects.filter(|o| o.version > after).cloned().collect();
        WatchBatch { objects, revision: store.revision }
    }
}

#[derive(Debug)]
struct ZonePlatform {
    network: Arc<FakeNetwork>,
    zone: String,
}

impl ZonePlatform {
    /// Counts a call and returns the platform, if it is up and reachable from the zone.
    async fn connect(&self) -> Result<&FakePlatform, PlatformError> {
        let platform = &self.network.platform;
        *platform.calls.lock().unwrap() += 1;
        sleep(Duration::from_millis(5)).await;
        if *platform.down.lock().unwrap() || !self.network.reaches(&self.zone, "platform") {
            return Err(PlatformError::Unavailable("down".into()));
        }
        Ok(platform)
    }
}

#[async_trait]
impl Platform for ZonePlatform {
    async fn read(&self, path: &str) -> Result<Option<PlatformObject>, PlatformError> {
        let platform = self.connect().await?;
        Ok(platform.store.lock().unwrap().objects.get(path).cloned())
    }

    async fn list(&self, prefix: &str) -> Result<WatchBatch, PlatformError> {
        Ok(self.connect().await?.changes(prefix, 0))
    }

    async fn write(&self, path: &str, value: &str, _: Expected) -> Result<u64, PlatformError> {
        Ok(self.connect().await?.put(path, value))
    }

    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<WatchBatch, PlatformError> {
        let platform = self.connect().await?;
        let mut changed = platform.changed.subscribe();
        let waiting = timeout(wait, async {
            while platform.changes(prefix, after).objects.is_empty() {
                changed.changed().await.unwrap();
                if *platform.down.lock().unwrap() || platform.changes("", 0).revision < after {
                    break;
                }
            }
        });
        drop(waiting.await);
        self.connect().await?;
        let batch = platform.changes(prefix, after);
        if *platform.skips.lock().unwrap() {
            return Ok(WatchBatch { objects: Vec::new(), ..batch });
        }
        Ok(batch)
    }

    async fn vms(&self) -> Result<Vec<PlatformVm>, PlatformError> {
        Ok(self.connect().await?.vms.lock().unwrap().clone())
    }
}
