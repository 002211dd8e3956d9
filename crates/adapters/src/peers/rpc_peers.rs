//! The port towards other entry VMs.

use super::{
    wire::{EXCHANGE, HEARTBEAT, SETTINGS, WireBatch, WireHeartbeat, WireQuery},
    wire_exchange::WireExchange,
    wire_hello::{HELLO, WireHello},
    wire_lease::{LEASE, WireAsk, WireGrant},
    wire_news::{NEWS, WireNewsQuery, WireNewsReply, read_reply},
    wire_suspects::{SUSPECTS, WireSuspects},
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
};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::value::RawValue;
use std::{
    collections::BTreeMap,
    fmt::{self, Debug, Formatter},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use steer::{
    Body, ControlPart, ControlUsage, Exchange, Greeter, Heartbeat, NewsPeers, NewsQuery, NewsReply,
    PeerError, PeerMessage, PeerReply, Peers, SendError, SettingsBatch, VmHello,
};

/// Bytes of a message around its parameters or result: JSON-RPC's envelope and the frame's head.
pub(super) const FRAME_BYTES: usize = 56;
/// Longest wait for a peer's reply.
const REPLY_WAIT: Duration = Duration::from_secs(1);

/// The connection to a peer; held locked while it is made, so that there is only one.
type Slot = Arc<tokio::sync::Mutex<Option<Arc<Client>>>>;
type Slots = BTreeMap<SocketAddr, Slot>;

/// Sends messages over one WebSocket a peer, and hands requests over by HTTP.
pub struct RpcPeers {
    slots: Mutex<Slots>,
    pool: Arc<ConnectionPool>,
    usage: Arc<ControlUsage>,
}

impl RpcPeers {
    /// Makes the adapter over a connection pool.
    ///
    /// ```
    /// let peers = adapters::RpcPeers::new(adapters::ConnectionPool::new());
    /// assert!(format!("{peers:?}").contains("clients: 0"));
    /// ```
    pub fn new(pool: Arc<ConnectionPool>) -> Self {
        Self { slots: Mutex::default(), pool, usage: Arc::default() }
    }

    fn lock(&self) -> MutexGuard<'_, Slots> {
        self.slots.lock().expect("no holder of the slots' lock panics")
    }

    /// The connected client of a peer; connects where there is none.
    async fn client(&self, peer: SocketAddr) -> Result<Arc<Client>, PeerError> {
        let slot = Arc::clone(self.lock().entry(peer).or_default());
        let mut slot = slot.lock().await;
        if let Some(client) = slot.as_ref().filter(|client| client.is_connected()) {
            return Ok(Arc::clone(client));
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
        *slot = Some(Arc::clone(&client));
        Ok(client)
    }

    /// Sends one message, and counts the bytes of it and of its reply.
    async fn request<R: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        (method, part): (&str, ControlPart),
        message: &impl Serialize,
    ) -> Result<R, PeerError> {
        let client = self.client(peer).await?;
        let invalid = |e: serde_json::Error| PeerError::Invalid(e.to_string());
        let params = Params(serde_json::value::to_raw_value(&[message]).map_err(invalid)?);
        let sent = params.0.get().len() + FRAME_BYTES + method.len();
        let reply: Result<Box<RawValue>, Error> = client.request(method, params).await;
        let received = reply.as_ref().map_or(0, |reply| reply.get().len() + FRAME_BYTES);
        self.usage.note(part, sent, received);
        let reply = match reply {
            Ok(reply) => reply,
            Err(error) => {
                if !matches!(error, Error::Call(_)) {
                    self.forget(peer, &client).await;
                }
                return Err(to_peer_error(error));
            }
        };
        serde_json::from_str(reply.get()).map_err(invalid)
    }

    /// Drops a connection that failed, unless another took its place.
    async fn forget(&self, peer: SocketAddr, client: &Arc<Client>) {
        let slot = self.lock().get(&peer).cloned();
        let Some(slot) = slot else { return };
        let mut slot = slot.lock().await;
        if slot.as_ref().is_some_and(|held| Arc::ptr_eq(held, client)) {
            *slot = None;
        }
    }
}

/// Parameters that are encoded already.
struct Params(Box<RawValue>);

impl ToRpcParams for Params {
    fn to_rpc_params(self) -> Result<Option<Box<RawValue>>, serde_json::Error> {
        Ok(Some(self.0))
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
            PeerMessage::Exchange(exchange) => {
                let method = (EXCHANGE, ControlPart::Heartbeats);
                let wire: WireExchange =
                    self.request(peer, method, &WireExchange::from(&exchange)).await?;
                let reply = Exchange::try_from(wire).map_err(PeerError::Invalid)?;
                Ok(PeerReply::Exchange(reply))
            }
            PeerMessage::Heartbeat(beat) => {
                let method = (HEARTBEAT, ControlPart::Heartbeats);
                let wire: WireHeartbeat =
                    self.request(peer, method, &WireHeartbeat::from(&beat)).await?;
                Ok(PeerReply::Heartbeat(Heartbeat::from(wire)))
            }
            PeerMessage::Lease(ask) => {
                let method = (LEASE, ControlPart::Other);
                let wire: WireGrant = self.request(peer, method, &WireAsk::from(&ask)).await?;
                let grant = wire.try_into().map_err(PeerError::Invalid)?;
                Ok(PeerReply::Lease(grant))
            }
            PeerMessage::Settings(query) => {
                let method = (SETTINGS, ControlPart::Settings);
                let wire: WireBatch = self.request(peer, method, &WireQuery::from(&query)).await?;
                let batch = SettingsBatch::try_from(wire).map_err(PeerError::Invalid)?;
                Ok(PeerReply::Settings(batch))
            }
            PeerMessage::Suspects(suspects) => {
                let method = (SUSPECTS, ControlPart::Other);
                let wire = WireSuspects::from(suspects.as_slice());
                let wire: WireSuspects = self.request(peer, method, &wire).await?;
                let known = wire.try_into().map_err(PeerError::Invalid)?;
                Ok(PeerReply::Suspects(known))
            }
        }
    }

    fn usage(&self) -> Arc<ControlUsage> {
        Arc::clone(&self.usage)
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

#[async_trait]
impl Greeter for RpcPeers {
    async fn greet(&self, peer: SocketAddr, hello: &VmHello) -> Result<VmHello, PeerError> {
        let method = (HELLO, ControlPart::Heartbeats);
        let reply: WireHello = self.request(peer, method, &WireHello::from(hello)).await?;
        Ok(reply.into())
    }
}

#[async_trait]
impl NewsPeers for RpcPeers {
    async fn ask_news(&self, peer: SocketAddr, query: &NewsQuery) -> Result<NewsReply, PeerError> {
        let method = (NEWS, ControlPart::Settings);
        let reply: WireNewsReply = self.request(peer, method, &WireNewsQuery::from(query)).await?;
        Ok(read_reply(reply))
    }
}

impl Debug for RpcPeers {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("RpcPeers").field("clients", &self.lock().len()).finish()
    }
}
