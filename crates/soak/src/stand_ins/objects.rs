//! Store objects that the operator and the targets write.

use super::SoakTarget;
use crate::soak_fleet::SERVICES;
use serde_json::{Value, json};

/// Builds a configuration whose route `moved` leads to the given service, and with some routes that
/// no caller uses.
pub(crate) fn configuration(version: u32, moved: &str, unused: usize) -> Value {
    let route = |name: &str, kind: &str, service: &str, attempts: u32| {
        json!({ "name": name, "host": "soak.example", "path_prefix": format!("/{name}/"),
                "kind": kind, "timeout_s": 4, "attempts": attempts, "service": service,
                "sticky": true, "target_latency_s": 1.0 })
    };
    let mut routes = vec![
        route("moved", "safe", moved, 2),
        route("once", "unsafe", SERVICES[0], 2),
        route("read", "safe", SERVICES[0], 3),
        route("upload", "upload", SERVICES[1], 2),
    ];
    routes.extend((0..unused).map(|i| route(&format!("unused-{i}"), "safe", SERVICES[0], 2)));
    let rules = SERVICES.map(|name| json!({ "name": name, "cold_per_s": 50.0 }));
    json!({ "version": format!("{version:08x}"), "routes": routes, "services": rules,
            "limits": { "max_body_bytes": 1 << 20 } })
}

/// Builds the registration of a target: its spec and its status.
pub(crate) fn registration(target: &SoakTarget, state: &str) -> (Value, Value) {
    let info = json!({ "service": target.service(), "version": "v1", "zone": target.zone(),
                       "slots": 8 });
    let spec = json!({ "address": target.address(), "born": 1, "info": info });
    (spec, json!({ "state": state, "seq_no": 1, "cold_remaining_s": 0 }))
}
