//! JSON-RPC server for messages of peers.

use super::{
    rpc_peers::FRAME_OVERHEAD_BYTES,
    wire::{EXCHANGE, HEARTBEAT, SETTINGS, WireHeartbeat, WireSettingsBatch, WireSettingsQuery},
    wire_exchange::WireExchange,
    wire_lease::{LEASE, WireLeaseGrant, WireLeaseRequest},
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

/// JSON-RPC error code of a rejected message.
const REJECTED_CODE: i32 = -32001;
/// Largest message in bytes; a settings document can take up to a megabyte.
const MAX_MESSAGE_BYTES: u32 = 4 << 20;

/// Serves messages of peers until the handle is dropped.
///
/// # Errors
///
/// If the address can't be bound.
pub async fn serve_peers(node: Arc<EntryNode>, address: SocketAddr) -> io::Result<ServerHandle> {
    let config = ServerConfig::builder()
        .max_connections(10_000)
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .build();
    let server = Server::builder().set_config(config).build(address).await?;
    Ok(server.start(build_module(node)))
}

fn build_module(node: Arc<EntryNode>) -> RpcModule<Arc<EntryNode>> {
    let mut module = RpcModule::new(node);
    module
        .register_method(EXCHANGE, |params, node, _| handle_exchange(&params, node))
        .expect("each method is registered once");
    module
        .register_method(HEARTBEAT, |params, node, _| handle_heartbeat(&params, node))
        .expect("each method is registered once");
    module
        .register_method(LEASE, |params, node, _| handle_lease(&params, node))
        .expect("each method is registered once");
    module
        .register_method(SETTINGS, |params, node, _| handle_settings(&params, node))
        .expect("each method is registered once");
    module
        .register_method(SUSPECTS, |params, node, _| handle_suspects(&params, node))
        .expect("each method is registered once");
    module
}

fn handle_exchange(
    params: &Params<'_>,
    node: &EntryNode,
) -> Result<WireExchange, ErrorObjectOwned> {
    let wire: WireExchange = params.one()?;
    let exchange = Exchange::try_from(wire).map_err(|e| rejected(&e))?;
    match node.answer_peer(PeerMessage::Exchange(exchange)) {
        Ok(PeerReply::Exchange(own)) => {
            let reply = WireExchange::from(&own);
            record_traffic(node, ControlPart::Heartbeats, params, &reply);
            Ok(reply)
        }
        Ok(other) => Err(rejected(&format!("no exchange: {other:?}"))),
        Err(rejection) => Err(rejected(&rejection.to_string())),
    }
}

fn handle_heartbeat(
    params: &Params<'_>,
    node: &EntryNode,
) -> Result<WireHeartbeat, ErrorObjectOwned> {
    let heartbeat: WireHeartbeat = params.one()?;
    match node.answer_peer(PeerMessage::Heartbeat(heartbeat.into())) {
        Ok(PeerReply::Heartbeat(own)) => {
            let reply = WireHeartbeat::from(&own);
            record_traffic(node, ControlPart::Heartbeats, params, &reply);
            Ok(reply)
        }
        Ok(other) => Err(rejected(&format!("no heartbeat: {other:?}"))),
        Err(rejection) => Err(rejected(&rejection.to_string())),
    }
}

fn handle_lease(params: &Params<'_>, node: &EntryNode) -> Result<WireLeaseGrant, ErrorObjectOwned> {
    let request: WireLeaseRequest = params.one()?;
    match node.answer_peer(PeerMessage::Lease(request.into())) {
        Ok(PeerReply::Lease(grant)) => {
            let reply = WireLeaseGrant::from(grant);
            record_traffic(node, ControlPart::Other, params, &reply);
            Ok(reply)
        }
        Ok(other) => Err(rejected(&format!("no lease: {other:?}"))),
        Err(rejection) => Err(rejected(&rejection.to_string())),
    }
}

fn handle_settings(
    params: &Params<'_>,
    node: &EntryNode,
) -> Result<WireSettingsBatch, ErrorObjectOwned> {
    let query: WireSettingsQuery = params.one()?;
    let query = SettingsQuery::try_from(query).map_err(|e| rejected(&e))?;
    match node.answer_peer(PeerMessage::Settings(query)) {
        Ok(PeerReply::Settings(batch)) => {
            let reply = WireSettingsBatch::from(&batch);
            record_traffic(node, ControlPart::Settings, params, &reply);
            Ok(reply)
        }
        Ok(other) => Err(rejected(&format!("no settings: {other:?}"))),
        Err(rejection) => Err(rejected(&rejection.to_string())),
    }
}

fn handle_suspects(
    params: &Params<'_>,
    node: &EntryNode,
) -> Result<WireSuspects, ErrorObjectOwned> {
    let wire: WireSuspects = params.one()?;
    let suspects = wire.try_into().map_err(|e: String| rejected(&e))?;
    match node.answer_peer(PeerMessage::Suspects(suspects)) {
        Ok(PeerReply::Suspects(known)) => Ok(WireSuspects::from(known.as_slice())),
        _ => Err(rejected("no suspects")),
    }
}

/// Adds the sizes of a received message and its reply to the control traffic.
fn record_traffic(
    node: &EntryNode,
    part: ControlPart,
    params: &Params<'_>,
    reply: &impl Serialize,
) {
    let sent = serde_json::to_string(reply).map_or(0, |text| text.len());
    let received = params.as_str().map_or(0, str::len);
    node.incoming_control().record(
        part,
        sent + FRAME_OVERHEAD_BYTES,
        received + FRAME_OVERHEAD_BYTES,
    );
}

fn rejected(reason: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(REJECTED_CODE, reason.to_owned(), None::<()>)
}
