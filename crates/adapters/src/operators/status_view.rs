//! The status of an entry VM.

use serde::Serialize;
use std::collections::BTreeMap;
use steer::{EntryNode, PoolRoom};

/// A VM as `status` shows it.
#[derive(Debug, Serialize)]
struct VmView {
    state: String,
    zone: String,
}

/// A pool as `status` shows it.
#[derive(Debug, Serialize)]
struct RoomView {
    free: u32,
    owner: String,
    queued: u32,
    slots: u32,
}

/// A settings document that was refused.
#[derive(Debug, Serialize)]
struct RefusedView {
    problems: Vec<String>,
    version: u64,
}

/// The status of an entry VM and what it knows about its peers.
#[derive(Debug, Serialize)]
pub struct StatusView {
    refused: BTreeMap<String, RefusedView>,
    room: BTreeMap<String, RoomView>,
    under_way: usize,
    versions: BTreeMap<String, u64>,
    vm: String,
    vms: BTreeMap<String, VmView>,
}

impl StatusView {
    /// Reads the status.
    pub fn new(node: &EntryNode) -> Self {
        let own = node.heartbeat();
        let mut vms = BTreeMap::new();
        let mut room = BTreeMap::new();
        let peers = node.peers();
        let beats = peers.iter().map(|p| (&p.vm, p.state, &p.room));
        for (vm, state, pools) in beats.chain([(&own.vm, own.state, &own.room)]) {
            let view = VmView { state: state.to_string(), zone: vm.zone.to_string() };
            vms.insert(vm.name.to_string(), view);
            for (key, pool) in pools {
                let PoolRoom { free, queued, slots } = *pool;
                let owner = vm.name.to_string();
                room.insert(format!("{key} by {owner}"), RoomView { free, owner, queued, slots });
            }
        }
        let (versions, refused) = node.with_tree(|tree| {
            let versions = tree.versions().map(|(path, v)| (path.to_string(), v)).collect();
            let refused = tree.refused().map(|(path, version, problems)| {
                let problems = problems.iter().map(ToString::to_string).collect();
                (path.to_string(), RefusedView { problems, version })
            });
            (versions, refused.collect())
        });
        let under_way = node.work().len();
        Self { refused, room, under_way, versions, vm: own.vm.name.to_string(), vms }
    }
}
