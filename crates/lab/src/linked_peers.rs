//! Routes the traffic between availability zones through the stand-ins for links.

use crate::{Deployment, Network};
use async_trait::async_trait;
use http::{Request, Response};
use std::{
    env,
    net::{IpAddr, SocketAddr},
    sync::Arc,
};
use steer::{Body, ControlUsage, PeerError, PeerMessage, PeerReply, Peers, SendError};

/// Environment variable with the number of the entry VM's availability zone.
pub(crate) const ZONE_VARIABLE: &str = "LAB_ZONE";
/// Environment variable with the name of the deployment.
pub(crate) const DEPLOYMENT_VARIABLE: &str = "LAB_DEPLOYMENT";

/// Wraps a [`Peers`] implementation, and connects to the peers in other availability zones through
/// the stand-ins for links.
#[derive(Debug)]
struct LinkedPeers {
    inner: Arc<dyn Peers>,
    /// Number of this entry VM's availability zone.
    zone: u8,
    /// Number of each entry VM's availability zone, in the order of VM numbers.
    zones: Vec<u8>,
}

impl LinkedPeers {
    fn translate(&self, peer: SocketAddr) -> SocketAddr {
        let IpAddr::V4(ip) = peer.ip() else { return peer };
        let [_, run, _, vm] = ip.octets();
        let zone = self.zones.get(usize::from(vm).saturating_sub(1));
        if zone.is_none_or(|zone| *zone == self.zone) {
            return peer;
        }
        Network::new(run).link(self.zone, vm, peer.port())
    }
}

#[async_trait]
impl Peers for LinkedPeers {
    async fn call(&self, peer: SocketAddr, message: PeerMessage) -> Result<PeerReply, PeerError> {
        self.inner.call(self.translate(peer), message).await
    }

    fn usage(&self) -> Arc<ControlUsage> {
        self.inner.usage()
    }

    async fn hand_off(
        &self,
        peer: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<Body>, SendError> {
        self.inner.hand_off(self.translate(peer), request).await
    }
}

/// Wraps the `Peers` implementation in one that connects through the stand-ins for links. Returns
/// it unchanged unless the environment sets the number of an availability zone and the name of a
/// deployment.
pub fn wrap_peers(inner: Arc<dyn Peers>) -> Arc<dyn Peers> {
    let zone = env::var(ZONE_VARIABLE).ok().and_then(|z| z.parse().ok());
    let deployment = env::var(DEPLOYMENT_VARIABLE).ok().and_then(|d| Deployment::by_name(&d));
    let (Some(zone), Some(deployment)) = (zone, deployment) else { return inner };
    let zones =
        deployment.entry_vms().iter().map(|(_, zone)| deployment.zone_number(zone)).collect();
    Arc::new(LinkedPeers { inner, zone, zones })
}
