//! Messages between entry VMs over jsonrpsee, and requests handed over by hyper.

mod rpc_peers;
mod rpc_server;
mod wire;
mod wire_exchange;
mod wire_lease;
mod wire_suspects;

pub use self::{rpc_peers::RpcPeers, rpc_server::serve_peers};
