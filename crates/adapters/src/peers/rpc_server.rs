//! Answers peers' messages.

use super::{
    rpc_peers::FRAME_BYTES,
    wire::{EXCHANGE, HEARTBEAT, SETTINGS, WireBatch, WireHeartbeat, WireQuery},
    wire_exchange::WireExchange,
    wire_lease::{LEASE, WireAsk, WireGrant},
    wire_suspects::{SUSPECTS, WireSuspects},
};
use jsonrpsee::{
    RpcModule,
    server::{Server, ServerConfig, ServerHandle},
    types::{ErrorObjectOwned, Params},
};
use serde::Serialize;
use std::{io, net::SocketAddr, sync::Arc};
use steer::{ControlPart, EntryNode, Exchange, PeerMessage, PeerReply, SettingsQuery};

/// JSON-RPC error code of a message that is refused.
const REFUSED: i32 = -32001;
/// Largest message in bytes; a settings document has up to a megabyte.
const MAX_MESSAGE: u32 = 4 << 20;

/// Answers peers' messages until the handle is dropped.
///
/// # Errors
///
/// Where the address can't be bound.
pub async fn serve_peers(node: Arc<EntryNode>, address: SocketAddr) -> io::Result<ServerHandle> {
    let config = ServerConfig::builder()
        .max_connections(10_000)
        .max_request_body_size(MAX_MESSAGE)
        .max_response_body_size(MAX_MESSAGE)
        .build();
    let server = Server::builder().set_config(config).build(address).await?;
    Ok(server.start(to_module(node)))
}

fn to_module(node: Arc<EntryNode>) -> RpcModule<Arc<EntryNode>> {
    let mut module = RpcModule::new(node);
    module
        .register_method(EXCHANGE, |params, node, _| answer_exchange(&params, node))
        .expect("each method is registered once");
    module
        .register_method(HEARTBEAT, |params, node, _| answer_heartbeat(&params, node))
        .expect("each method is registered once");
    module
        .register_method(LEASE, |params, node, _| answer_lease(&params, node))
        .expect("each method is registered once");
    module
        .register_method(SETTINGS, |params, node, _| answer_settings(&params, node))
        .expect("each method is registered once");
    module
        .register_method(SUSPECTS, |params, node, _| answer_suspects(&params, node))
        .expect("each method is registered once");
    module
}

fn answer_exchange(
    params: &Params<'_>,
    node: &EntryNode,
) -> Result<WireExchange, ErrorObjectOwned> {
    let wire: WireExchange = params.one()?;
    let exchange = Exchange::try_from(wire).map_err(|e| refuse(&e))?;
    match node.answer_peer(PeerMessage::Exchange(exchange)) {
        Ok(PeerReply::Exchange(own)) => {
            let reply = WireExchange::from(&own);
            note(node, ControlPart::Heartbeats, params, &reply);
            Ok(reply)
        }
        Ok(other) => Err(refuse(&format!("no exchange: {other:?}"))),
        Err(rejection) => Err(refuse(&rejection.to_string())),
    }
}

fn answer_heartbeat(
    params: &Params<'_>,
    node: &EntryNode,
) -> Result<WireHeartbeat, ErrorObjectOwned> {
    let beat: WireHeartbeat = params.one()?;
    match node.answer_peer(PeerMessage::Heartbeat(beat.into())) {
        Ok(PeerReply::Heartbeat(own)) => {
            let reply = WireHeartbeat::from(&own);
            note(node, ControlPart::Heartbeats, params, &reply);
            Ok(reply)
        }
        Ok(other) => Err(refuse(&format!("no heartbeat: {other:?}"))),
        Err(rejection) => Err(refuse(&rejection.to_string())),
    }
}

fn answer_lease(params: &Params<'_>, node: &EntryNode) -> Result<WireGrant, ErrorObjectOwned> {
    let ask: WireAsk = params.one()?;
    match node.answer_peer(PeerMessage::Lease(ask.into())) {
        Ok(PeerReply::Lease(grant)) => {
            let reply = WireGrant::from(grant);
            note(node, ControlPart::Other, params, &reply);
            Ok(reply)
        }
        Ok(other) => Err(refuse(&format!("no lease: {other:?}"))),
        Err(rejection) => Err(refuse(&rejection.to_string())),
    }
}

fn answer_settings(params: &Params<'_>, node: &EntryNode) -> Result<WireBatch, ErrorObjectOwned> {
    let query: WireQuery = params.one()?;
    let query = SettingsQuery::try_from(query).map_err(|e| refuse(&e))?;
    match node.answer_peer(PeerMessage::Settings(query)) {
        Ok(PeerReply::Settings(batch)) => {
            let reply = WireBatch::from(&batch);
            note(node, ControlPart::Settings, params, &reply);
            Ok(reply)
        }
        Ok(other) => Err(refuse(&format!("no settings: {other:?}"))),
        Err(rejection) => Err(refuse(&rejection.to_string())),
    }
}

fn answer_suspects(
    params: &Params<'_>,
    node: &EntryNode,
) -> Result<WireSuspects, ErrorObjectOwned> {
    let wire: WireSuspects = params.one()?;
    let suspects = wire.try_into().map_err(|e: String| refuse(&e))?;
    match node.answer_peer(PeerMessage::Suspects(suspects)) {
        Ok(PeerReply::Suspects(known)) => Ok(WireSuspects::from(known.as_slice())),
        _ => Err(refuse("no suspects")),
    }
}

/// Counts the bytes of a message and of its reply.
fn note(node: &EntryNode, part: ControlPart, params: &Params<'_>, reply: &impl Serialize) {
    let sent = serde_json::to_string(reply).map_or(0, |text| text.len());
    let received = params.as_str().map_or(0, str::len);
    node.control().note(part, sent + FRAME_BYTES, received + FRAME_BYTES);
}

fn refuse(reason: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(REFUSED, reason.to_owned(), None::<()>)
}
