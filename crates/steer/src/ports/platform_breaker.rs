//! Circuit breaker for calls to the platform.

use super::{Expected, Meter, Platform, PlatformError, PlatformObject, PlatformVm, WatchBatch};
use async_trait::async_trait;
use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::time::{Instant, timeout};
use xxhash_rust::xxh3::xxh3_64;

/// State of the circuit; it is open until `open_until`.
#[derive(Debug, Default)]
struct Circuit {
    /// Consecutive failures.
    failures: u32,
    open_until: Option<Instant>,
}

/// Applies a timeout and metrics to each call to the platform. After several consecutive failures
/// the circuit opens: calls are refused for a time that grows exponentially, with jitter, and
/// single calls are then let through as probes.
///
/// A refused write has not been sent, so its error is `Unavailable`, not `Lost`.
#[derive(Debug)]
pub struct PlatformBreaker {
    circuit: Mutex<Circuit>,
    inner: Arc<dyn Platform>,
    meter: Arc<dyn Meter>,
    seed: u64,
    wait: Duration,
}

impl PlatformBreaker {
    /// Consecutive failures after which the circuit opens.
    pub const FAILURE_THRESHOLD: u32 = 5;
    /// Initial time for which the circuit stays open.
    const MIN_OPEN_TIME: Duration = Duration::from_millis(500);
    /// Maximum time for which the circuit stays open.
    const MAX_OPEN_TIME: Duration = Duration::from_secs(4);

    /// Wraps a platform. `name` seeds the jitter, so that VMs do not probe at the same time.
    pub fn new(inner: Arc<dyn Platform>, meter: Arc<dyn Meter>, name: &str) -> Self {
        Self {
            circuit: Mutex::default(),
            inner,
            meter,
            seed: xxh3_64(name.as_bytes()),
            wait: Duration::from_secs(2),
        }
    }

    /// Sets the timeout of a call; a watch adds its own wait to it.
    #[must_use]
    pub fn wait(mut self, wait: Duration) -> Self {
        self.wait = wait;
        self
    }

    fn lock(&self) -> MutexGuard<'_, Circuit> {
        self.circuit.lock().expect("no holder of the circuit's lock panics")
    }

    /// Admits a call if the circuit is closed or a probe is due.
    fn admit(&self) -> Result<(), PlatformError> {
        let mut circuit = self.lock();
        let now = Instant::now();
        if circuit.open_until.is_some_and(|until| now < until) {
            self.meter.count("platform.refused", 1);
            return Err(PlatformError::Unavailable(
                "circuit breaker is open after repeated failures".into(),
            ));
        }
        if circuit.open_until.is_some() {
            circuit.open_until = Some(now + self.wait);
        }
        self.meter.count("platform.calls", 1);
        Ok(())
    }

    fn record_result(&self, failed: bool) {
        let mut circuit = self.lock();
        if !failed {
            *circuit = Circuit::default();
            return;
        }
        self.meter.count("platform.failures", 1);
        circuit.failures = circuit.failures.saturating_add(1);
        if let Some(excess) = circuit.failures.checked_sub(Self::FAILURE_THRESHOLD) {
            let open_time = (Self::MIN_OPEN_TIME * (1 << excess.min(3))).min(Self::MAX_OPEN_TIME);
            let hash = xxh3_64(&(self.seed ^ u64::from(circuit.failures)).to_le_bytes());
            let jitter = 0.5 + (hash % 1000) as f64 / 2000.0;
            circuit.open_until = Some(Instant::now() + open_time.mul_f64(jitter));
        }
    }

    async fn call<T>(
        &self,
        wait: Duration,
        on_timeout: impl FnOnce(String) -> PlatformError,
        call: impl Future<Output = Result<T, PlatformError>>,
    ) -> Result<T, PlatformError> {
        self.admit()?;
        let result =
            timeout(wait, call).await.unwrap_or_else(|_| Err(on_timeout("timed out".to_owned())));
        self.record_result(matches!(
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
impl Platform for PlatformBreaker {
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

    async fn versions(&self, path: &str) -> Result<Vec<PlatformObject>, PlatformError> {
        self.call(self.wait, PlatformError::Unavailable, self.inner.versions(path)).await
    }

    async fn vms(&self) -> Result<Vec<PlatformVm>, PlatformError> {
        self.call(self.wait, PlatformError::Unavailable, self.inner.vms()).await
    }
}
