//! Tests of the HTTP interface for operators and of the fields that the status page reads.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fixture;

use adapters::{StatusView, handle_operator};
use fixture::{entry_node, entry_vm};
use http::{Request, Response, header::CONTENT_TYPE};
use http_body_util::BodyExt;
use serde_json::Value;
use std::{collections::BTreeSet, fmt::Write, net::SocketAddr, sync::Arc};
use steer::{
    Body, EntryNode, Heartbeat, PoolKey, SettingsDocument, SettingsPath, VmState, empty_body,
};

const UNREACHABLE: &str = "127.0.0.1:9";

/// Creates an entry VM with a rejected document and a peer in Porto that has different settings.
fn entry_node_with_peer() -> Arc<EntryNode> {
    let node = entry_node(UNREACHABLE.parse().unwrap());
    let vm = entry_vm(5, "porto", "por-a");
    let key = PoolKey::new("briefs", "por-a");
    let room = node.heartbeat().room[&PoolKey::new("briefs", "lis-a")];
    let beat =
        Heartbeat { room: [(key, room)].into(), state: VmState::Serving, vm, ..node.heartbeat() };
    assert!(node.accept_heartbeat(Heartbeat { digest: 7, ..beat }));
    let bad = SettingsDocument {
        path: SettingsPath::Team("media".into()),
        text: "{ \"servces\": {} }".into(),
        version: 99,
    };
    assert!(!node.offer_settings(&bad));
    node
}

async fn send(node: &Arc<EntryNode>, method: &str, path: &str) -> (Response<()>, String) {
    let request = Request::builder().method(method).uri(path).body(empty_body()).unwrap();
    let from: SocketAddr = UNREACHABLE.parse().unwrap();
    let (head, body): (_, Body) =
        handle_operator(Arc::clone(node), request, from).await.into_parts();
    let bytes = body.collect().await.unwrap().to_bytes();
    (Response::from_parts(head, ()), String::from_utf8(bytes.to_vec()).unwrap())
}

#[tokio::test(start_paused = true)]
async fn answers_each_path_with_its_status() {
    let node = entry_node_with_peer();
    let mut table = String::new();
    let paths = [
        ("GET", "/"),
        ("GET", "/status"),
        ("HEAD", "/status"),
        ("PUT", "/status"),
        ("DELETE", "/"),
        ("GET", "/settings"),
        ("GET", "/.well-known/ragwortswitch/lookup?block=10.1.0.0/16"),
        ("GET", "/explain"),
        ("GET", "/explain?service=briefs"),
        ("GET", "/explain?service=briefs&block=10.1"),
        ("GET", "/explain?service=breifs&block=10.1.0.0/16"),
        ("GET", "/explain?service=briefs&class=raed&block=10.1.0.0%2F16"),
        ("GET", "/explain?service=briefs&block=10.1.0.0%2F16"),
    ];
    for (method, path) in paths {
        let (head, text) = send(&node, method, path).await;
        let kind = head.headers()[CONTENT_TYPE].to_str().unwrap();
        let detail = serde_json::from_str::<Value>(&text).unwrap_or_default();
        let detail = detail["detail"].as_str().unwrap_or_default().to_owned();
        writeln!(table, "{method} {path}: {} {kind} {detail}", head.status().as_u16()).unwrap();
    }
    insta::assert_snapshot!(table);
}

#[tokio::test(start_paused = true)]
async fn status_shows_vms_room_versions_drains_and_refusals() {
    let (_, text) = send(&entry_node_with_peer(), "GET", "/status").await;
    insta::assert_snapshot!(text);
}

#[tokio::test(start_paused = true)]
async fn explains_home_shares_drains_room_and_choice() {
    let path = "/explain?service=briefs&block=10.1.0.0/16";
    let (_, text) = send(&entry_node_with_peer(), "GET", path).await;
    insta::assert_snapshot!(text);
}

/// Finds the field accesses in the page's script on variables that hold parts of the status.
fn fields_read(page: &str) -> BTreeSet<String> {
    const HOLDERS: [&str; 10] =
        ["known", "live", "pool", "share", "shift", "status", "use", "view", "vm", "window"];
    let mut fields = BTreeSet::new();
    for holder in HOLDERS {
        for (start, _) in page.match_indices(&format!("{holder}.")) {
            let before = page[..start].chars().next_back();
            if before.is_some_and(|c| c.is_alphanumeric() || "/.".contains(c)) {
                continue;
            }
            let rest = &page[start + holder.len() + 1..];
            let end = rest.find(|c: char| !c.is_alphanumeric() && c != '_').unwrap();
            fields.insert(format!("{holder}.{}", &rest[..end]));
        }
    }
    fields
}

#[tokio::test(start_paused = true)]
async fn the_page_reads_only_fields_that_the_status_has() {
    let node = entry_node_with_peer();
    let (_, page) = send(&node, "GET", "/").await;
    let (_, text) = send(&node, "GET", "/status").await;
    let view: StatusView = serde_json::from_str(&text).unwrap();
    let status: Value = serde_json::from_str(&text).unwrap();
    let first = |value: &Value| match value {
        Value::Array(list) => list[0].clone(),
        Value::Object(map) => map.values().next().unwrap().clone(),
        other => panic!("{other} is no list"),
    };
    let fields = fields_read(&page);
    for field in &fields {
        let (holder, name) = field.split_once('.').unwrap();
        let held = match holder {
            "known" => status["knowledge"].clone(),
            "live" => first(&status["shifts"])["live"].clone(),
            "pool" => first(&status["room"]),
            "share" => first(&status["shares"]),
            "shift" => first(&status["shifts"]),
            "use" => first(&status["control"]),
            "view" => first(&status["refused"]),
            "vm" => first(&status["vms"]),
            "window" => first(&status["maintenance"]),
            _ => status.clone(),
        };
        assert!(held.get(name).is_some(), "{field} is not in {held}");
    }
    assert!(!view.shifts.is_empty() && !view.drains.is_empty());
    insta::assert_snapshot!(fields.into_iter().collect::<Vec<_>>().join("\n"));
}

#[tokio::test(start_paused = true)]
async fn the_page_loads_nothing_from_elsewhere() {
    let (head, page) = send(&entry_node_with_peer(), "GET", "/").await;
    for part in ["http:", "https:", "//", " src=", "@import", "url(", "<link", "innerHTML"] {
        assert!(!page.contains(part), "{part}");
    }
    let policy = head.headers()["content-security-policy"].to_str().unwrap();
    assert!(policy.contains("default-src 'none'") && policy.contains("connect-src 'self'"));
}
