//! Answers peers' messages.

use super::wire::{
    HEARTBEAT, SETTINGS, SUSPECTS, WireBatch, WireHeartbeat, WireQuery, WireSuspects,
};
use jsonrpsee::{
    RpcModule,
    server::{Server, ServerConfig, ServerHandle},
    types::{ErrorObjectOwned, Params},
};
use std::{io, net::SocketAddr, sync::Arc};
use steer::{EntryNode, PeerMessage, PeerReply, SettingsQuery};

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
        .register_method(HEARTBEAT, |params, node, _| answer_heartbeat(&params, node))
        .expect("each method is registered once");
    module
        .register_method(SETTINGS, |params, node, _| answer_settings(&params, node))
        .expect("each method is registered once");
    module
        .register_method(SUSPECTS, |params, node, _| answer_suspects(&params, node))
        .expect("each method is registered once");
    module
}

fn answer_heartbeat(
    params: &Params<'_>,
    node: &EntryNode,
) -> Result<WireHeartbeat, ErrorObjectOwned> {
    let beat: WireHeartbeat = params.one()?;
    match node.answer_peer(PeerMessage::Heartbeat(beat.into())) {
        Some(PeerReply::Heartbeat(own)) => Ok(WireHeartbeat::from(&own)),
        _ => Err(refuse("unknown fleet or older incarnation")),
    }
}

fn answer_settings(params: &Params<'_>, node: &EntryNode) -> Result<WireBatch, ErrorObjectOwned> {
    let query: WireQuery = params.one()?;
    let query = SettingsQuery::try_from(query).map_err(|e| refuse(&e))?;
    match node.answer_peer(PeerMessage::Settings(query)) {
        Some(PeerReply::Settings(batch)) => Ok(WireBatch::from(&batch)),
        _ => Err(refuse("no settings")),
    }
}

fn answer_suspects(
    params: &Params<'_>,
    node: &EntryNode,
) -> Result<WireSuspects, ErrorObjectOwned> {
    let wire: WireSuspects = params.one()?;
    let suspects = wire.try_into().map_err(|e: String| refuse(&e))?;
    match node.answer_peer(PeerMessage::Suspects(suspects)) {
        Some(PeerReply::Suspects(known)) => Ok(WireSuspects::from(known.as_slice())),
        _ => Err(refuse("no suspects")),
    }
}

fn refuse(reason: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(REFUSED, reason.to_owned(), None::<()>)
}
