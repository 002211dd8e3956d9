//! JSON-RPC server for hello messages and relayed store updates of routers.

use super::{
    wire_hello::{HELLO, WireHello},
    wire_update::{
        FETCH_PAGE, FETCH_PART, QUERY_UPDATES, WirePage, WirePageQuery, WirePartQuery,
        WireUpdateQuery, WireUpdateReply, encode_reply,
    },
};
use jsonrpsee::{
    RpcModule,
    server::{Server, ServerConfig, ServerHandle},
    types::{ErrorObjectOwned, Params},
};
use std::{io, net::SocketAddr, sync::Arc, time::Duration};
use steer::{ObjectCache, PageQuery, PartQuery, Router, UpdateQuery, VmHello};

/// JSON-RPC error code for objects that this VM doesn't have.
const MISSING_CODE: i32 = -32002;
/// Largest request in bytes; a hello message lists up to a few hundred VMs.
const MAX_REQUEST_BYTES: u32 = 64 << 10;
/// Largest response in bytes; it may hold the registrations of a few thousand targets.
const MAX_RESPONSE_BYTES: u32 = 8 << 20;
/// Maximum time for which a long poll is held open.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// Maximum number of concurrent connections of other VMs.
const MAX_CONNECTIONS: u32 = 1_000;

/// Serves hello messages and queries for store updates until the handle is dropped.
///
/// # Errors
///
/// If the address can't be bound.
pub async fn serve_fleet(
    router: Arc<Router>,
    cache: Arc<ObjectCache>,
    address: SocketAddr,
) -> io::Result<ServerHandle> {
    let config = ServerConfig::builder()
        .max_connections(MAX_CONNECTIONS)
        .max_request_body_size(MAX_REQUEST_BYTES)
        .max_response_body_size(MAX_RESPONSE_BYTES)
        .build();
    let server = Server::builder().set_config(config).build(address).await?;
    let mut module = RpcModule::new((router, cache));
    module
        .register_method(HELLO, |params, (router, _), _| handle_hello(&params, router))
        .expect("the method is registered once");
    module
        .register_async_method(QUERY_UPDATES, |params, context, _| async move {
            handle_updates(&params, &context.1).await
        })
        .expect("the method is registered once");
    module
        .register_method(FETCH_PART, |params, (_, cache), _| handle_part(&params, cache))
        .expect("the method is registered once");
    module
        .register_method(FETCH_PAGE, |params, (_, cache), _| handle_page(&params, cache))
        .expect("the method is registered once");
    Ok(server.start(module))
}

fn handle_part(params: &Params<'_>, cache: &ObjectCache) -> Result<String, ErrorObjectOwned> {
    let query = PartQuery::from(params.one::<WirePartQuery>()?);
    let missing = || ErrorObjectOwned::owned(MISSING_CODE, "no such version", None::<()>);
    cache.part(&query).ok_or_else(missing)
}

fn handle_page(params: &Params<'_>, cache: &ObjectCache) -> Result<WirePage, ErrorObjectOwned> {
    let query = PageQuery::from(params.one::<WirePageQuery>()?);
    let missing = || ErrorObjectOwned::owned(MISSING_CODE, "no objects of the kind", None::<()>);
    cache.page(&query).map(WirePage::from).ok_or_else(missing)
}

fn handle_hello(params: &Params<'_>, router: &Router) -> Result<WireHello, ErrorObjectOwned> {
    let hello = VmHello::from(params.one::<WireHello>()?);
    let peer = hello.vm.clone();
    router.record_hello(hello);
    Ok(WireHello::from(&router.hello_to(&peer)))
}

async fn handle_updates(
    params: &Params<'_>,
    cache: &ObjectCache,
) -> Result<WireUpdateReply, ErrorObjectOwned> {
    let mut query = UpdateQuery::from(params.one::<WireUpdateQuery>()?);
    query.wait = query.wait.min(MAX_WAIT);
    Ok(encode_reply(cache.answer(&query).await))
}
