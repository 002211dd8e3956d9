//! Fake peers in the same process, over a network that loses replies.

use super::promise_simulation::PromiseSimulation;
use async_trait::async_trait;
use http::{Request, Response};
use std::{net::SocketAddr, sync::Arc};
use steer::{
    Body, EntryNode, Origin, PeerError, PeerMessage, PeerReply, Peers, SendError, full_body,
    serve_request,
};

#[derive(Debug)]
pub(crate) struct LossyPeers {
    pub(crate) vm: usize,
    pub(crate) simulation: Arc<PromiseSimulation>,
}

impl LossyPeers {
    /// Returns the peer at an address, unless it or this VM has crashed.
    fn find(&self, address: SocketAddr) -> Option<Arc<EntryNode>> {
        let nodes = self.simulation.nodes();
        let has_address = |n: &Arc<EntryNode>| {
            let addresses = n.vm().addresses;
            addresses.peers == address || addresses.handoff == address
        };
        let index = nodes.iter().position(has_address)?;
        let crashed = self.simulation.is_crashed(index) || self.simulation.is_crashed(self.vm);
        (!crashed).then(|| Arc::clone(&nodes[index]))
    }
}

#[async_trait]
impl Peers for LossyPeers {
    async fn call(&self, peer: SocketAddr, message: PeerMessage) -> Result<PeerReply, PeerError> {
        self.simulation.delay().await;
        let unreachable = || PeerError::Unreachable("crashed or lost".into());
        let node = self.find(peer).ok_or_else(unreachable)?;
        if self.simulation.occurs(self.simulation.faults.lost) {
            return Err(unreachable());
        }
        node.answer_peer(message).map_err(|e| PeerError::Refused(e.to_string()))
    }

    async fn hand_off(
        &self,
        peer: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<Body>, SendError> {
        self.simulation.delay().await;
        let Some(node) = self.find(peer) else {
            return Err(SendError::not_sent("crashed", request));
        };
        if self.simulation.occurs(self.simulation.faults.refused) {
            return Err(SendError::not_sent("refused", request));
        }
        let id = request.headers()["x-request-id"].clone();
        let sender = format!("entry-{}", self.vm).as_str().into();
        let serving =
            tokio::spawn(async move { serve_request(&node, request, Origin::Peer(sender)).await });
        let served = serving.await.map_err(|e| SendError::sent(e.to_string()))?;
        self.simulation.delay().await;
        if self.simulation.occurs(self.simulation.faults.lost) || self.find(peer).is_none() {
            return Err(SendError::sent("the answer was lost"));
        }
        let mut response = served.unwrap_or_else(|refusal| {
            let answer = refusal.answer();
            let mut response = Response::new(full_body(refusal.detail));
            *response.status_mut() = answer.status;
            let outcome = answer.outcome.to_string().parse().unwrap();
            response.headers_mut().insert("request-outcome", outcome);
            response
        });
        response.headers_mut().insert("x-request-id", id);
        Ok(response)
    }
}
