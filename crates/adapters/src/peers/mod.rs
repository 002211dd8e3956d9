//! Communication between entry VMs: messages over jsonrpsee and forwarded requests over hyper.

mod fleet_server;
mod rpc_peers;
mod rpc_server;
mod wire;
mod wire_exchange;
mod wire_hello;
mod wire_lease;
mod wire_suspects;
mod wire_update;

pub use self::{fleet_server::serve_fleet, rpc_peers::RpcPeers, rpc_server::serve_peers};
