//! Answers greetings of other VMs, and passes news of the store on to them.

use super::{
    wire_hello::{HELLO, WireHello},
    wire_news::{NEWS, WireNewsQuery, WireNewsReply, write_reply},
};
use jsonrpsee::{
    RpcModule,
    server::{Server, ServerConfig, ServerHandle},
    types::{ErrorObjectOwned, Params},
};
use std::{io, net::SocketAddr, sync::Arc, time::Duration};
use steer::{NewsBoard, NewsQuery, Router, VmHello};

/// Largest message in bytes: greetings name a few hundred VMs.
const MAX_MESSAGE: u32 = 64 << 10;
/// Largest answer in bytes: all registrations of a few thousand targets.
const MAX_ANSWER: u32 = 8 << 20;
/// Longest time for which an answer is held back until there is news.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// Most VMs that greet this one at a time.
const MAX_PEERS: u32 = 1_000;

/// Answers greetings, and questions for news, until the handle is dropped.
///
/// # Errors
///
/// Where the address can't be bound.
pub async fn serve_fleet(
    router: Arc<Router>,
    board: Arc<NewsBoard>,
    address: SocketAddr,
) -> io::Result<ServerHandle> {
    let config = ServerConfig::builder()
        .max_connections(MAX_PEERS)
        .max_request_body_size(MAX_MESSAGE)
        .max_response_body_size(MAX_ANSWER)
        .build();
    let server = Server::builder().set_config(config).build(address).await?;
    let mut module = RpcModule::new((router, board));
    module
        .register_method(HELLO, |params, (router, _), _| answer_hello(&params, router))
        .expect("the method is registered once");
    module
        .register_async_method(NEWS, |params, context, _| async move {
            answer_news(&params, &context.1).await
        })
        .expect("the method is registered once");
    Ok(server.start(module))
}

fn answer_hello(params: &Params<'_>, router: &Router) -> Result<WireHello, ErrorObjectOwned> {
    let hello = VmHello::from(params.one::<WireHello>()?);
    let region = hello.vm.region.clone();
    router.fleet().note_hello(hello);
    Ok(WireHello::from(&router.fleet().hello_to(&region)))
}

async fn answer_news(
    params: &Params<'_>,
    board: &NewsBoard,
) -> Result<WireNewsReply, ErrorObjectOwned> {
    let mut query = NewsQuery::from(params.one::<WireNewsQuery>()?);
    query.wait = query.wait.min(MAX_WAIT);
    Ok(write_reply(board.answer(&query).await))
}
