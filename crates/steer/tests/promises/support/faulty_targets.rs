//! Fake targets that record what they run and have seeded random faults.

use super::{history::TargetRun, promise_simulation::PromiseSimulation};
use async_trait::async_trait;
use http::{Request, Response};
use http_body_util::BodyExt;
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};
use steer::{Body, LoadError, LoadReport, SendError, Targets, full_body};
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};

#[derive(Debug)]
pub(crate) struct FaultyTargets {
    crashes: BTreeMap<String, watch::Sender<u64>>,
    simulation: Arc<PromiseSimulation>,
}

fn header<B>(request: &Request<B>, name: &str) -> String {
    request.headers()[name].to_str().unwrap().to_owned()
}

impl FaultyTargets {
    pub(crate) fn new(simulation: Arc<PromiseSimulation>) -> Self {
        let names = (1..=4).map(|n| (format!("10.0.0.{n}:1"), watch::Sender::new(0)));
        Self { crashes: names.collect(), simulation }
    }
}

#[async_trait]
impl Targets for FaultyTargets {
    async fn send(
        &self,
        target: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<Body>, SendError> {
        let (faults, target) = (self.simulation.faults, target.to_string());
        self.simulation.delay().await;
        if self.simulation.occurs(faults.refused) {
            return Err(SendError::not_sent("refused", request));
        }
        let (id, key) = (header(&request, "x-request-id"), header(&request, "idempotency-key"));
        if self.simulation.occurs(faults.reset) {
            return Err(SendError::sent("reset before it ran"));
        }
        let body = request.into_body().collect().await;
        let Ok(body) = body else { return Err(SendError::sent("the body ended early")) };
        assert_eq!(body.to_bytes(), key.as_bytes());
        let ran = TargetRun { at: Instant::now(), id, key: key.clone(), target: target.clone() };
        self.simulation.history().ran.push(ran);
        let crash = &self.crashes[&target];
        let mut crashed = crash.subscribe();
        if key.starts_with("poison") {
            sleep(Duration::from_millis(20)).await;
            crash.send_modify(|n| *n += 1);
            return Err(SendError::sent("the target crashed"));
        }
        let work = Duration::from_millis(5 + self.simulation.random_below(100));
        tokio::select! {
            biased;
            () = sleep(work) => {}
            _ = crashed.changed() => return Err(SendError::sent("the target crashed")),
        }
        if self.simulation.occurs(faults.reset) {
            return Err(SendError::sent("reset after it ran"));
        }
        if self.simulation.occurs(faults.lost) {
            sleep(Duration::from_secs(30)).await;
        }
        Ok(Response::new(full_body(format!("done {key}"))))
    }

    async fn read_load(&self, _target: SocketAddr) -> Result<LoadReport, LoadError> {
        Err(LoadError { reason: "no report".into() })
    }
}
