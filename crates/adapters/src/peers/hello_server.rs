//! Answers greetings of other VMs.

use super::wire_hello::{HELLO, WireHello};
use jsonrpsee::{
    RpcModule,
    server::{Server, ServerConfig, ServerHandle},
    types::{ErrorObjectOwned, Params},
};
use std::{io, net::SocketAddr, sync::Arc};
use steer::Router;

/// Largest greeting in bytes; they have about two hundred.
const MAX_GREETING: u32 = 16 << 10;
/// Most VMs that greet this one at a time.
const MAX_PEERS: u32 = 1_000;

/// Answers greetings until the handle is dropped.
///
/// # Errors
///
/// Where the address can't be bound.
pub async fn serve_greetings(router: Arc<Router>, address: SocketAddr) -> io::Result<ServerHandle> {
    let config = ServerConfig::builder()
        .max_connections(MAX_PEERS)
        .max_request_body_size(MAX_GREETING)
        .max_response_body_size(MAX_GREETING)
        .build();
    let server = Server::builder().set_config(config).build(address).await?;
    let mut module = RpcModule::new(router);
    module
        .register_method(HELLO, |params, router, _| answer_hello(&params, router))
        .expect("the method is registered once");
    Ok(server.start(module))
}

fn answer_hello(params: &Params<'_>, router: &Router) -> Result<WireHello, ErrorObjectOwned> {
    let wire: WireHello = params.one()?;
    router.fleet().note_hello(wire.into());
    Ok(WireHello::from(&router.fleet().hello()))
}
