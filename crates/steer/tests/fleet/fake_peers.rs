//! Calls other VMs in the same process, with simulated delays and partitions.

use super::FakeNetwork;
use async_trait::async_trait;
use http::{Request, Response};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use steer::{Body, PeerError, PeerMessage, PeerReply, Peers, SendError, VmName};
use tokio::time::sleep;

/// One-way delay inside a region.
const IN_REGION: Duration = Duration::from_millis(5);
/// One-way delay between regions.
const BETWEEN_REGIONS: Duration = Duration::from_millis(35);
/// Time after which a call to an unreachable VM fails.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Debug)]
pub(crate) struct FakePeers {
    name: VmName,
    network: Arc<FakeNetwork>,
    region: String,
    zone: String,
}

impl FakePeers {
    pub(crate) fn new(
        network: &Arc<FakeNetwork>,
        name: &VmName,
        zone: String,
        region: String,
    ) -> Self {
        Self { name: name.clone(), network: Arc::clone(network), region, zone }
    }
}

#[async_trait]
impl Peers for FakePeers {
    async fn call(&self, peer: SocketAddr, message: PeerMessage) -> Result<PeerReply, PeerError> {
        let node = self.network.nodes.lock().unwrap().get(&peer).cloned();
        let Some(node) = node else {
            sleep(IN_REGION).await;
            return Err(PeerError::Unreachable("refused".into()));
        };
        let same_region = node.vm().region.as_str() == self.region;
        let delay = if same_region { IN_REGION } else { BETWEEN_REGIONS };
        let partitioned = !self.network.reaches(&self.zone, node.vm().zone.as_str())
            || !self.network.reaches(self.name.as_str(), node.vm().name.as_str());
        if partitioned {
            sleep(REPLY_TIMEOUT).await;
            return Err(PeerError::Unreachable("no reply in time".into()));
        }
        sleep(delay).await;
        let reply = node.answer_peer(message).map_err(|e| PeerError::Refused(e.to_string()));
        sleep(delay).await;
        reply
    }

    async fn hand_off(
        &self,
        _: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<Body>, SendError> {
        Err(SendError::not_sent("not in these tests", request))
    }
}
