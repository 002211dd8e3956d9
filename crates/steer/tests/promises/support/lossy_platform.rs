//! An in-memory platform that loses replies, and on which writes take effect late or twice.

use super::promise_simulation::PromiseSimulation;
use async_trait::async_trait;
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use steer::{Expected, Platform, PlatformError, PlatformObject, PlatformVm, WatchBatch};
use tokio::time::sleep;

/// The objects of the platform, and whether it is down.
#[derive(Debug, Default)]
pub(crate) struct PlatformState {
    pub(crate) down: bool,
    objects: BTreeMap<String, (String, u64)>,
    revision: u64,
    pub(crate) writes: u64,
}

impl PlatformState {
    fn write(&mut self, path: &str, value: &str, expected: Expected) -> Result<u64, PlatformError> {
        let current = self.objects.get(path).map(|(_, version)| *version);
        let wanted = match expected {
            Expected::Absent => None,
            Expected::Version(version) => Some(version),
        };
        if current != wanted {
            return Err(PlatformError::Conflict { current });
        }
        self.revision += 1;
        self.objects.insert(path.to_owned(), (value.to_owned(), self.revision));
        Ok(self.revision)
    }
}

/// One VM's connection to the platform.
#[derive(Debug)]
pub(crate) struct LossyPlatform {
    pub(crate) vm: usize,
    pub(crate) simulation: Arc<PromiseSimulation>,
}

impl LossyPlatform {
    fn check(&self) -> Result<(), PlatformError> {
        let down = self.simulation.platform.lock().unwrap().down;
        if down || self.simulation.is_crashed(self.vm) {
            return Err(PlatformError::Unavailable("down".into()));
        }
        Ok(())
    }

    fn write_later(&self, path: &str, value: &str, expected: Expected, wait: Duration) {
        let (simulation, path, value) =
            (Arc::clone(&self.simulation), path.to_owned(), value.to_owned());
        tokio::spawn(async move {
            sleep(wait).await;
            drop(simulation.platform.lock().unwrap().write(&path, &value, expected));
        });
    }

    /// Simulates a pause of the VM, during which its wall clock advances and the record is removed.
    async fn pause(&self, path: &str) {
        self.simulation.clock_jumps.lock().unwrap()[self.vm] += Duration::from_secs(60);
        self.simulation.platform.lock().unwrap().objects.remove(path);
        sleep(Duration::from_secs(2)).await;
    }
}

#[async_trait]
impl Platform for LossyPlatform {
    async fn read(&self, path: &str) -> Result<Option<PlatformObject>, PlatformError> {
        self.simulation.delay().await;
        self.check()?;
        if self.simulation.occurs(self.simulation.faults.lost) {
            return Err(PlatformError::Unavailable("lost".into()));
        }
        let store = self.simulation.platform.lock().unwrap();
        let found = store.objects.get(path).map(|(value, version)| PlatformObject {
            path: path.into(),
            value: Some(value.as_str().into()),
            version: *version,
        });
        Ok(found)
    }

    async fn list(&self, _prefix: &str) -> Result<WatchBatch, PlatformError> {
        Err(PlatformError::Unavailable("not supported by the fake".into()))
    }

    async fn write(
        &self,
        path: &str,
        value: &str,
        expected: Expected,
    ) -> Result<u64, PlatformError> {
        self.simulation.delay().await;
        self.check()?;
        let faults = self.simulation.faults;
        if self.simulation.occurs(faults.lost) {
            // The write takes effect late or never.
            if self.simulation.random_below(2) == 0 {
                let wait = Duration::from_millis(self.simulation.random_below(3000));
                self.write_later(path, value, expected, wait);
            }
            return Err(PlatformError::Lost("no answer".into()));
        }
        self.simulation.platform.lock().unwrap().writes += 1;
        let written = self.simulation.platform.lock().unwrap().write(path, value, expected);
        if self.simulation.occurs(faults.lost) {
            self.write_later(path, value, expected, Duration::from_millis(50));
        }
        self.simulation.delay().await;
        let claims = value.contains("claimed") || path.starts_with("naive");
        if written.is_ok() && claims && self.simulation.occurs(faults.paused) {
            self.pause(path).await;
        }
        if self.simulation.occurs(faults.lost) {
            return Err(PlatformError::Lost("no answer".into()));
        }
        written
    }

    async fn watch(
        &self,
        _prefix: &str,
        _after: u64,
        _wait: Duration,
    ) -> Result<WatchBatch, PlatformError> {
        Err(PlatformError::Unavailable("not supported by the fake".into()))
    }

    async fn vms(&self) -> Result<Vec<PlatformVm>, PlatformError> {
        Err(PlatformError::Unavailable("not supported by the fake".into()))
    }
}
