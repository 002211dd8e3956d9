//! A platform that is spared while it fails.

use super::{Expected, Meter, Platform, PlatformError, PlatformObject, PlatformVm, WatchBatch};
use async_trait::async_trait;
use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::time::{Instant, timeout};
use xxhash_rust::xxh3::xxh3_64;

#[derive(Debug, Default)]
struct Circuit {
    failures: u32,
    shut_until: Option<Instant>,
}

/// Bounds each call to the platform by a timeout and counts it. After several failures in a row
/// it refuses calls for a while, which grows with jitter, and then lets single calls through as
/// probes.
///
/// A write that it refuses has not been sent: the error is `Unavailable`, not `Lost`.
#[derive(Debug)]
pub struct GuardedPlatform {
    circuit: Mutex<Circuit>,
    inner: Arc<dyn Platform>,
    meter: Arc<dyn Meter>,
    seed: u64,
    wait: Duration,
}

impl GuardedPlatform {
    /// Failures in a row after which calls are refused.
    pub const FAILURES: u32 = 5;
    /// First time for which calls are refused.
    const FIRST_SHUT: Duration = Duration::from_millis(500);
    /// Longest time for which calls are refused.
    const LONGEST_SHUT: Duration = Duration::from_secs(4);

    /// Guards a platform; `name` spreads the probes of different VMs.
    pub fn new(inner: Arc<dyn Platform>, meter: Arc<dyn Meter>, name: &str) -> Self {
        Self {
            circuit: Mutex::default(),
            inner,
            meter,
            seed: xxh3_64(name.as_bytes()),
            wait: Duration::from_secs(2),
        }
    }

    /// Sets the longest time that a call takes; a watch takes its own wait besides.
    #[must_use]
    pub fn wait(mut self, wait: Duration) -> Self {
        self.wait = wait;
        self
    }

    fn lock(&self) -> MutexGuard<'_, Circuit> {
        self.circuit.lock().expect("no holder of the circuit's lock panics")
    }

    /// Lets a call through where the circuit is closed or a probe is due.
    fn enter(&self) -> Result<(), PlatformError> {
        let mut circuit = self.lock();
        let now = Instant::now();
        if circuit.shut_until.is_some_and(|until| now < until) {
            self.meter.count("platform.refused", 1);
            return Err(PlatformError::Unavailable("it failed often; a probe is due later".into()));
        }
        if circuit.shut_until.is_some() {
            circuit.shut_until = Some(now + self.wait);
        }
        self.meter.count("platform.calls", 1);
        Ok(())
    }

    fn leave(&self, failed: bool) {
        let mut circuit = self.lock();
        if !failed {
            *circuit = Circuit::default();
            return;
        }
        self.meter.count("platform.failures", 1);
        circuit.failures = circuit.failures.saturating_add(1);
        if let Some(more) = circuit.failures.checked_sub(Self::FAILURES) {
            let shut = (Self::FIRST_SHUT * (1 << more.min(3))).min(Self::LONGEST_SHUT);
            let draw = xxh3_64(&(self.seed ^ u64::from(circuit.failures)).to_le_bytes());
            let jitter = 0.5 + (draw % 1000) as f64 / 2000.0;
            circuit.shut_until = Some(Instant::now() + shut.mul_f64(jitter));
        }
    }

    async fn call<T>(
        &self,
        wait: Duration,
        late: impl FnOnce(String) -> PlatformError,
        call: impl Future<Output = Result<T, PlatformError>>,
    ) -> Result<T, PlatformError> {
        self.enter()?;
        let result =
            timeout(wait, call).await.unwrap_or_else(|_| Err(late("no answer in time".to_owned())));
        self.leave(matches!(
            result,
            Err(PlatformError::Invalid(_)
                | PlatformError::Lost(_)
                | PlatformError::RateLimited(_)
                | PlatformError::Unavailable(_))
        ));
        result
    }
}

#[async_trait]
impl Platform for GuardedPlatform {
    async fn read(&self, path: &str) -> Result<Option<PlatformObject>, PlatformError> {
        self.call(self.wait, PlatformError::Unavailable, self.inner.read(path)).await
    }

    async fn list(&self, prefix: &str) -> Result<WatchBatch, PlatformError> {
        self.call(self.wait, PlatformError::Unavailable, self.inner.list(prefix)).await
    }

    async fn write(
        &self,
        path: &str,
        value: &str,
        expected: Expected,
    ) -> Result<u64, PlatformError> {
        let write = self.inner.write(path, value, expected);
        self.call(self.wait, PlatformError::Lost, write).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<WatchBatch, PlatformError> {
        let watch = self.inner.watch(prefix, after, wait);
        self.call(self.wait + wait, PlatformError::Unavailable, watch).await
    }

    async fn vms(&self) -> Result<Vec<PlatformVm>, PlatformError> {
        self.call(self.wait, PlatformError::Unavailable, self.inner.vms()).await
    }
}
