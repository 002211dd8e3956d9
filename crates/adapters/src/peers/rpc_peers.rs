//! The port towards other entry VMs.

use super::wire::{
    HEARTBEAT, SETTINGS, SUSPECTS, WireBatch, WireHeartbeat, WireQuery, WireSuspects,
};
use crate::{ConnectionPool, strip_hop_headers, to_origin_form};
use async_trait::async_trait;
use http::{Request, Response};
use jsonrpsee::{
    client_transport::ws::{Url, WsTransportClientBuilder},
    core::{
        client::{Client, ClientBuilder, ClientT, Error},
        traits::ToRpcParams,
    },
    rpc_params,
};
use std::{
    collections::BTreeMap,
    fmt::{self, Debug, Formatter},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use steer::{Body, Heartbeat, PeerError, PeerMessage, PeerReply, Peers, SendError, SettingsBatch};

/// Longest wait for a peer's reply.
const REPLY_WAIT: Duration = Duration::from_secs(1);

type Clients = BTreeMap<SocketAddr, Arc<Client>>;

/// Sends messages over one WebSocket a peer, and hands requests over by HTTP.
pub struct RpcPeers {
    clients: Mutex<Clients>,
    pool: Arc<ConnectionPool>,
}

impl RpcPeers {
    /// Makes the adapter over a connection pool.
    ///
    /// ```
    /// let peers = adapters::RpcPeers::new(adapters::ConnectionPool::new());
    /// assert!(format!("{peers:?}").contains("clients: 0"));
    /// ```
    pub fn new(pool: Arc<ConnectionPool>) -> Self {
        Self { clients: Mutex::default(), pool }
    }

    fn lock(&self) -> MutexGuard<'_, Clients> {
        self.clients.lock().expect("no holder of the clients' lock panics")
    }

    /// The connected client of a peer; connects where there is none.
    async fn client(&self, peer: SocketAddr) -> Result<Arc<Client>, PeerError> {
        let held = self.lock().get(&peer).filter(|c| c.is_connected()).cloned();
        if let Some(client) = held {
            return Ok(client);
        }
        let unreachable = |e: String| PeerError::Unreachable(e);
        let url = Url::parse(&format!("ws://{peer}")).map_err(|e| unreachable(e.to_string()))?;
        let (sender, receiver) = WsTransportClientBuilder::default()
            .connection_timeout(REPLY_WAIT)
            .build(url)
            .await
            .map_err(|e| unreachable(e.to_string()))?;
        let builder = ClientBuilder::new().request_timeout(REPLY_WAIT);
        let client = Arc::new(builder.build_with_tokio(sender, receiver));
        self.lock().insert(peer, Arc::clone(&client));
        Ok(client)
    }

    async fn request<R: serde::de::DeserializeOwned>(
        &self,
        peer: SocketAddr,
        method: &str,
        params: impl ToRpcParams + Send,
    ) -> Result<R, PeerError> {
        let client = self.client(peer).await?;
        let reply = client.request(method, params).await;
        reply.map_err(|error| {
            if !matches!(error, Error::Call(_)) {
                self.lock().remove(&peer);
            }
            to_peer_error(error)
        })
    }
}

fn to_peer_error(error: Error) -> PeerError {
    match error {
        Error::Call(refusal) => PeerError::Refused(refusal.message().to_owned()),
        Error::ParseError(e) => PeerError::Invalid(e.to_string()),
        other => PeerError::Unreachable(other.to_string()),
    }
}

#[async_trait]
impl Peers for RpcPeers {
    async fn call(&self, peer: SocketAddr, message: PeerMessage) -> Result<PeerReply, PeerError> {
        match message {
            PeerMessage::Heartbeat(beat) => {
                let params = rpc_params![WireHeartbeat::from(&beat)];
                let wire: WireHeartbeat = self.request(peer, HEARTBEAT, params).await?;
                Ok(PeerReply::Heartbeat(Heartbeat::from(wire)))
            }
            PeerMessage::Settings(query) => {
                let params = rpc_params![WireQuery::from(&query)];
                let wire: WireBatch = self.request(peer, SETTINGS, params).await?;
                let batch = SettingsBatch::try_from(wire).map_err(PeerError::Invalid)?;
                Ok(PeerReply::Settings(batch))
            }
            PeerMessage::Suspects(suspects) => {
                let params = rpc_params![WireSuspects::from(suspects.as_slice())];
                let wire: WireSuspects = self.request(peer, SUSPECTS, params).await?;
                let known = wire.try_into().map_err(PeerError::Invalid)?;
                Ok(PeerReply::Suspects(known))
            }
        }
    }

    async fn hand_off(
        &self,
        peer: SocketAddr,
        mut request: Request<Body>,
    ) -> Result<Response<Body>, SendError> {
        to_origin_form(&mut request);
        strip_hop_headers(request.headers_mut());
        let mut response = self.pool.send(peer, request).await?;
        strip_hop_headers(response.headers_mut());
        Ok(response)
    }
}

impl Debug for RpcPeers {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("RpcPeers").field("clients", &self.lock().len()).finish()
    }
}
