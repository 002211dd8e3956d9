//! Client for messages and forwarded requests to other entry VMs.

use super::{
    wire::{EXCHANGE, HEARTBEAT, SETTINGS, WireHeartbeat, WireSettingsBatch, WireSettingsQuery},
    wire_exchange::WireExchange,
    wire_hello::{HELLO, WireHello},
    wire_lease::{LEASE, WireLeaseGrant, WireLeaseRequest},
    wire_suspects::{SUSPECTS, WireSuspects},
    wire_update::{
        FETCH_PAGE, FETCH_PART, QUERY_UPDATES, WirePage, WirePageQuery, WirePartQuery,
        WireUpdateQuery, WireUpdateReply, decode_reply,
    },
};
use crate::{
    Acceptance, ConnectionPool, http::CROSSED, set_framing, strip_hop_headers, to_origin_form,
};
use async_trait::async_trait;
use http::{Request, Response, response::Parts};
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
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};
use steer::{
    Body, ControlPart, ControlUsage, Exchange, Heartbeat, HelloPeers, ObjectPage, PageQuery,
    PartQuery, PeerError, PeerMessage, PeerReply, Peers, REQUEST_ID_HEADER, SendError,
    SettingsBatch, UpdatePeers, UpdateQuery, UpdateReply, VmHello,
};
use tokio::time::timeout;

/// Bytes of a message besides its parameters or result: JSON-RPC envelope and WebSocket header.
pub(super) const FRAME_OVERHEAD_BYTES: usize = 56;
/// Largest reply of a peer in bytes; replies with settings or updates have several pages of the store.
const MAX_REPLY_BYTES: u32 = 10 << 20;
/// Timeout for connecting to a peer, and for each of its replies to a message.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for each reply to a hello, and to a request for a part or a page. The flows that send
/// them wait a little longer.
const HELLO_TIMEOUT: Duration = Duration::from_millis(750);
/// Time for the reply to a long poll to arrive.
const POLL_GRACE: Duration = Duration::from_millis(250);
/// Number of missing replies in a row after which a connection is replaced, as it may be silent for
/// good while a new one works. A single one may be due to a slow peer.
const MAX_MISSED: u32 = 2;
/// Limit of the client on the time of a call. Each call has a shorter one.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(30);

/// The client of a peer. The lock is held while connecting, so that there is at most one connection
/// per peer.
type ClientSlot = Arc<tokio::sync::Mutex<Option<Arc<PeerClient>>>>;
type ClientSlots = BTreeMap<SocketAddr, ClientSlot>;

/// The connection to a peer.
#[derive(Debug)]
struct PeerClient {
    inner: Client,
    /// Number of replies in a row that did not arrive in time.
    missed: AtomicU32,
}

/// Limits on the reply to a call.
#[derive(Clone, Copy, Debug)]
struct ReplyLimit {
    /// Number of missing replies in a row after which the connection is replaced.
    max_missed: u32,
    time: Duration,
}

/// Sends messages over one WebSocket per peer, and forwards requests over HTTP.
pub struct RpcPeers {
    clients: Mutex<ClientSlots>,
    pool: Arc<ConnectionPool>,
    usage: Arc<ControlUsage>,
}

impl RpcPeers {
    /// Creates the adapter; forwarded requests use the connection pool.
    ///
    /// ```
    /// let peers = adapters::RpcPeers::new(adapters::ConnectionPool::new());
    /// assert!(format!("{peers:?}").contains("clients: 0"));
    /// ```
    pub fn new(pool: Arc<ConnectionPool>) -> Self {
        Self { clients: Mutex::default(), pool, usage: Arc::default() }
    }

    fn lock(&self) -> MutexGuard<'_, ClientSlots> {
        self.clients.lock().expect("no thread panics while it holds the clients")
    }

    /// Returns the client of a peer, connecting first if there is no open connection.
    async fn client(&self, peer: SocketAddr) -> Result<Arc<PeerClient>, PeerError> {
        let slot = Arc::clone(self.lock().entry(peer).or_default());
        let mut slot = slot.lock().await;
        if let Some(client) = slot.as_ref().filter(|client| client.inner.is_connected()) {
            return Ok(Arc::clone(client));
        }
        let unreachable = |e: String| PeerError::Unreachable(e);
        let url = Url::parse(&format!("ws://{peer}")).map_err(|e| unreachable(e.to_string()))?;
        let (sender, receiver) = WsTransportClientBuilder::default()
            .connection_timeout(PEER_TIMEOUT)
            .max_response_size(MAX_REPLY_BYTES)
            .build(url)
            .await
            .map_err(|e| unreachable(e.to_string()))?;
        let builder = ClientBuilder::new().request_timeout(CLIENT_TIMEOUT);
        let inner = builder.build_with_tokio(sender, receiver);
        let client = Arc::new(PeerClient { inner, missed: AtomicU32::new(0) });
        *slot = Some(Arc::clone(&client));
        Ok(client)
    }

    /// Sends a message, and adds its size and the size of its reply to the control traffic.
    async fn request<R: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        (method, part): (&str, ControlPart),
        message: &impl Serialize,
        limit: ReplyLimit,
    ) -> Result<R, PeerError> {
        let client = self.client(peer).await?;
        let invalid = |e: serde_json::Error| PeerError::Invalid(e.to_string());
        let params = RawParams(serde_json::value::to_raw_value(&[message]).map_err(invalid)?);
        let sent = params.0.get().len() + FRAME_OVERHEAD_BYTES + method.len();
        let reply = timeout(limit.time, client.inner.request(method, params)).await;
        let Ok(reply): Result<Result<Box<RawValue>, Error>, _> = reply else {
            self.usage.record(part, sent, 0);
            if client.missed.fetch_add(1, Ordering::Relaxed) + 1 >= limit.max_missed {
                self.remove_client(peer, &client).await;
            }
            return Err(PeerError::NoReply);
        };
        client.missed.store(0, Ordering::Relaxed);
        let received = reply.as_ref().map_or(0, |reply| reply.get().len() + FRAME_OVERHEAD_BYTES);
        self.usage.record(part, sent, received);
        let reply = match reply {
            Ok(reply) => reply,
            Err(error) => {
                if !matches!(error, Error::Call(_)) {
                    self.remove_client(peer, &client).await;
                }
                return Err(to_peer_error(error));
            }
        };
        serde_json::from_str(reply.get()).map_err(invalid)
    }

    /// Removes the client of a failed connection, unless it has been replaced already.
    async fn remove_client(&self, peer: SocketAddr, client: &Arc<PeerClient>) {
        let slot = self.lock().get(&peer).cloned();
        let Some(slot) = slot else { return };
        let mut slot = slot.lock().await;
        if slot.as_ref().is_some_and(|current| Arc::ptr_eq(current, client)) {
            *slot = None;
        }
    }
}

/// Parameters that are already encoded.
struct RawParams(Box<RawValue>);

impl ToRpcParams for RawParams {
    fn to_rpc_params(self) -> Result<Option<Box<RawValue>>, serde_json::Error> {
        Ok(Some(self.0))
    }
}

fn to_peer_error(error: Error) -> PeerError {
    match error {
        Error::Call(rejection) => PeerError::Refused(rejection.message().to_owned()),
        Error::RequestTimeout => PeerError::NoReply,
        Error::ParseError(e) => PeerError::Invalid(e.to_string()),
        other => PeerError::Unreachable(other.to_string()),
    }
}

#[async_trait]
impl Peers for RpcPeers {
    async fn call(&self, peer: SocketAddr, message: PeerMessage) -> Result<PeerReply, PeerError> {
        // A call is not repeated over the same connection.
        let limit = ReplyLimit { max_missed: 1, time: PEER_TIMEOUT };
        match message {
            PeerMessage::Exchange(exchange) => {
                let method = (EXCHANGE, ControlPart::Heartbeats);
                let wire: WireExchange =
                    self.request(peer, method, &WireExchange::from(&exchange), limit).await?;
                let reply = Exchange::try_from(wire).map_err(PeerError::Invalid)?;
                Ok(PeerReply::Exchange(reply))
            }
            PeerMessage::Heartbeat(heartbeat) => {
                let method = (HEARTBEAT, ControlPart::Heartbeats);
                let wire: WireHeartbeat =
                    self.request(peer, method, &WireHeartbeat::from(&heartbeat), limit).await?;
                Ok(PeerReply::Heartbeat(Heartbeat::from(wire)))
            }
            PeerMessage::Lease(request) => {
                let method = (LEASE, ControlPart::Other);
                let wire: WireLeaseGrant =
                    self.request(peer, method, &WireLeaseRequest::from(&request), limit).await?;
                let grant = wire.try_into().map_err(PeerError::Invalid)?;
                Ok(PeerReply::Lease(grant))
            }
            PeerMessage::Settings(query) => {
                let method = (SETTINGS, ControlPart::Settings);
                let wire: WireSettingsBatch =
                    self.request(peer, method, &WireSettingsQuery::from(&query), limit).await?;
                let batch = SettingsBatch::try_from(wire).map_err(PeerError::Invalid)?;
                Ok(PeerReply::Settings(batch))
            }
            PeerMessage::Suspects(suspects) => {
                let method = (SUSPECTS, ControlPart::Other);
                let wire = WireSuspects::from(suspects.as_slice());
                let wire: WireSuspects = self.request(peer, method, &wire, limit).await?;
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
        set_framing(&mut request);
        let id = request.headers().get(REQUEST_ID_HEADER).cloned();
        let check = |head: &Parts| {
            let is_own = head.headers.get(REQUEST_ID_HEADER) == id.as_ref();
            if is_own { Ok(Acceptance::Head) } else { Err(CROSSED) }
        };
        let mut response = self.pool.send_checked(peer, request, check).await?;
        strip_hop_headers(response.headers_mut());
        Ok(response)
    }
}

#[async_trait]
impl HelloPeers for RpcPeers {
    async fn send_hello(&self, peer: SocketAddr, hello: &VmHello) -> Result<VmHello, PeerError> {
        let method = (HELLO, ControlPart::Heartbeats);
        let limit = ReplyLimit { max_missed: MAX_MISSED, time: HELLO_TIMEOUT };
        let reply: WireHello = self.request(peer, method, &WireHello::from(hello), limit).await?;
        Ok(reply.into())
    }
}

#[async_trait]
impl UpdatePeers for RpcPeers {
    async fn poll_updates(
        &self,
        peer: SocketAddr,
        query: &UpdateQuery,
    ) -> Result<UpdateReply, PeerError> {
        let method = (QUERY_UPDATES, ControlPart::Settings);
        let limit = ReplyLimit { max_missed: MAX_MISSED, time: query.wait + POLL_GRACE };
        let reply: WireUpdateReply =
            self.request(peer, method, &WireUpdateQuery::from(query), limit).await?;
        Ok(decode_reply(reply))
    }

    async fn fetch_part(&self, peer: SocketAddr, query: &PartQuery) -> Result<String, PeerError> {
        let method = (FETCH_PART, ControlPart::Settings);
        let limit = ReplyLimit { max_missed: MAX_MISSED, time: HELLO_TIMEOUT };
        self.request(peer, method, &WirePartQuery::from(query), limit).await
    }

    async fn fetch_page(
        &self,
        peer: SocketAddr,
        query: &PageQuery,
    ) -> Result<ObjectPage, PeerError> {
        let method = (FETCH_PAGE, ControlPart::Settings);
        let limit = ReplyLimit { max_missed: MAX_MISSED, time: HELLO_TIMEOUT };
        let page: WirePage = self.request(peer, method, &WirePageQuery::from(query), limit).await?;
        Ok(page.into())
    }
}

impl Debug for RpcPeers {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("RpcPeers").field("clients", &self.lock().len()).finish()
    }
}
