//! Routers and entry VM records for tests.

#![allow(dead_code, reason = "each test file uses a part")]

use async_trait::async_trait;
use slog::{Discard, Logger, o};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};
use steer::{
    Body, LoadError, LoadReport, NoMeter, NoTracer, PlacementLimits, Router, RouterParts,
    RouterPorts, SendError, Targets, Vm, VmRecord,
};

/// A port to targets on which every request fails.
#[derive(Debug)]
pub(crate) struct EmptyTargets;

#[async_trait]
impl Targets for EmptyTargets {
    async fn send(
        &self,
        _target: SocketAddr,
        _request: http::Request<Body>,
    ) -> Result<http::Response<Body>, SendError> {
        Err(SendError::sent("no targets here"))
    }

    async fn read_load(&self, _target: SocketAddr) -> Result<LoadReport, LoadError> {
        Ok(LoadReport::default())
    }
}

/// Creates the record of an entry VM; the number is the last octet of its addresses.
pub(crate) fn vm(name: &str, number: u8, zone: &str, region: &str) -> VmRecord {
    VmRecord {
        callers: SocketAddr::from(([10, 0, 0, number], 80)),
        capacity: 200,
        incarnation: 1,
        name: name.into(),
        peers: SocketAddr::from(([10, 0, 0, number], 81)),
        region: region.into(),
        zone: zone.into(),
    }
}

/// Creates a router for a VM that sends requests through a port.
pub(crate) fn router_of(vm: VmRecord, targets: Arc<dyn Targets>) -> Router {
    let parts = RouterParts {
        log: Logger::root(Discard, o!()),
        ports: RouterPorts { meter: Arc::new(NoMeter), targets, tracer: Arc::new(NoTracer) },
        rules: PlacementLimits::default(),
        zones: BTreeMap::from([(vm.zone.clone(), vm.region.clone())]),
        vm,
    };
    Router::new(parts, Vm::join().1)
}
