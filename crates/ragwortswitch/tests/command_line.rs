//! Tests exit codes and output of the commands against a platform and an entry VM on loopback.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fixture;

use adapters::{ConnectionPool, Listener, ListenerLimits, handle_operator};
use fixture::{documents, empty_node, entry_node};
use http::{Method, StatusCode};
use lab::PlatformStandIn;
use std::{
    fmt::Write,
    fs,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU8, Ordering},
    },
};
use steer::{SettingsPath, watch_settings};
use tokio::process::Command;

/// Runs the binary and appends the command, its exit code and its output to `table`.
async fn record_run(table: &mut String, directory: &Path, args: &str) {
    let output = Command::new(env!("CARGO_BIN_EXE_ragwortswitch"))
        .args(args.split_whitespace())
        .current_dir(directory)
        .env_remove("RAGWORT_PLATFORM")
        .env_remove("RAGWORT_VM")
        .env("USER", "ana")
        .output()
        .await
        .unwrap();
    writeln!(table, "$ ragwortswitch {args}\nexit code {}", output.status.code().unwrap()).unwrap();
    for text in [output.stdout, output.stderr] {
        let text = String::from_utf8(text).unwrap();
        text.lines().for_each(|line| writeln!(table, "  {line}").unwrap());
        let wide = ["--json", "diff", "put"].iter().any(|part| args.contains(part));
        assert!(wide || text.lines().all(|line| line.chars().count() <= 80), "{text}");
    }
}

fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

/// Creates a directory for the test with a copy of the `vitrine` example.
fn scratch_directory(test: &str) -> PathBuf {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    fs::create_dir_all(directory.join("teams")).unwrap();
    for file in ["fleet.jsonc", "teams/briefs.jsonc", "teams/media.jsonc", "teams/payouts.jsonc"] {
        fs::copy(examples().join("vitrine").join(file), directory.join(file)).unwrap();
    }
    directory
}

/// Writes a copy of a file with one text replaced.
fn copy_with_change(directory: &Path, file: &str, copy: &str, from: &str, to: &str) {
    let text = fs::read_to_string(directory.join(file)).unwrap();
    assert!(text.contains(from), "{from}");
    fs::write(directory.join(copy), text.replacen(from, to, 1)).unwrap();
}

#[tokio::test]
async fn explains_its_use_and_refuses_misuse() {
    let mut table = String::new();
    let directory = scratch_directory("use");
    for args in [
        "",
        "--help",
        "--version",
        "entry --help",
        "check --help",
        "settings --help",
        "status --help",
        "explain --help",
        "lookup --help",
        "status --version",
        "chekc",
        "--wrong",
        "entry",
        "entry a.jsonc b.jsonc",
        "entry a.jsonc --threads 0",
        "entry missing.jsonc",
        "check",
        "check --schema=other",
        "check --path teams/a/b fleet.jsonc",
        "check --path fleet fleet.jsonc teams/media.jsonc",
        "settings",
        "settings list",
        "settings list --platform nowhere",
        "settings get teams/ --platform 127.0.0.1:9",
        "settings put fleet --platform 127.0.0.1:9",
        "settings diff fleet --from 3 --platform 127.0.0.1:9",
        "settings get fleet extra --platform 127.0.0.1:9",
        "settings list --platform 127.0.0.1:9",
        "status",
        "status now --vm 127.0.0.1:9",
        "status --vm 127.0.0.1:9",
        "explain --vm 127.0.0.1:9 --service briefs",
        "explain --vm 127.0.0.1:9 --block 10.1.0.0/16",
        "explain --vm 127.0.0.1:9 --service briefs --block 10.1",
        "lookup --vm 127.0.0.1:9",
    ] {
        record_run(&mut table, &directory, args).await;
    }
    insta::assert_snapshot!(table);
}

#[tokio::test]
async fn checks_files_together() {
    let directory = scratch_directory("check");
    copy_with_change(
        &directory,
        "teams/media.jsonc",
        "teams/payouts.jsonc",
        "media.vitrine",
        "other.vitrine",
    );
    copy_with_change(&directory, "fleet.jsonc", "bad.jsonc", "\"lis-b\"", "\"por-a\"");
    let process = r#"{
  "callers": "127.0.0.1:8080", "handoff": "127.0.0.1:8080", "operators": "0.0.0.0:8082",
  "peers": "127.0.0.1:8083", "platform": "127.0.0.1:7000", "fleet": "vitrine",
  "log": { "level": "inof" }, "name": "entry-1", "region": "lisboa", "zone": "lis-a" }"#;
    fs::write(directory.join("entry.jsonc"), process).unwrap();
    let mut table = String::new();
    for args in [
        "check fleet.jsonc teams/briefs.jsonc teams/media.jsonc",
        "check fleet.jsonc teams/briefs.jsonc teams/media.jsonc --json",
        "check teams/briefs.jsonc",
        "check fleet.jsonc teams/payouts.jsonc teams/media.jsonc",
        "check --path fleet bad.jsonc",
        "check --path fleet bad.jsonc --json",
        "check fleet.jsonc ./fleet.jsonc",
        "check entry.jsonc",
        "check missing.jsonc",
    ] {
        record_run(&mut table, &directory, args).await;
    }
    insta::assert_snapshot!(table);
}

#[tokio::test]
async fn writes_the_schemas_of_all_settings() {
    let mut table = String::new();
    record_run(&mut table, &scratch_directory("schema"), "check --schema --json").await;
    insta::assert_snapshot!(table);
}

/// Returns a loopback address whose port the system assigns when it is bound. Each call uses its
/// own IP address.
///
/// The address is bound only once: a process that another test starts holds a copy of a closed
/// listener until it executes its program, and until then the port can't be bound again.
fn unbound_address() -> SocketAddr {
    static CALLS: AtomicU8 = AtomicU8::new(1);
    let call = CALLS.fetch_add(1, Ordering::Relaxed);
    (Ipv4Addr::new(127, 0, call, 5), 0).into()
}

/// Starts a platform with the settings of the example, and returns its address.
async fn start_platform() -> (SocketAddr, Arc<PlatformStandIn>) {
    let platform = PlatformStandIn::new();
    for document in documents() {
        platform.put(&document.path.to_platform(), &document.text, "bia");
    }
    let address = platform.serve(unbound_address()).await.unwrap();
    (address, platform)
}

#[tokio::test]
async fn a_put_replaces_one_version_and_a_lost_race_loses_nothing() {
    let (address, platform) = start_platform().await;
    let directory = scratch_directory("put");
    copy_with_change(&directory, "teams/media.jsonc", "new.jsonc", "5000", "4000");
    copy_with_change(
        &directory,
        "teams/media.jsonc",
        "wide.jsonc",
        "\"media\": {",
        "\"briefs\": {",
    );
    copy_with_change(&directory, "teams/media.jsonc", "typo.jsonc", "\"slots\"", "\"slot\"");
    let theirs = fs::read_to_string(directory.join("teams/media.jsonc")).unwrap();
    let theirs = theirs.replacen("65536", "32768", 1);
    copy_with_change(
        &directory,
        "fleet.jsonc",
        "narrow.jsonc",
        "\"services\": [\"briefs\"]",
        "\"services\": []",
    );
    let mut table = String::new();
    for args in [
        "settings list",
        "settings get teams/none",
        "settings diff teams/media new.jsonc",
        "settings put teams/media typo.jsonc",
        "settings put teams/media wide.jsonc",
        "settings put teams/media teams/media.jsonc",
        "settings put teams/media new.jsonc --replaces 3 --author ana",
        "settings put teams/media new.jsonc --replaces 3 --json",
        "settings history teams/media",
        "settings diff teams/media --from 3 --to 5",
        "settings diff teams/media --from 3 --to 4",
    ] {
        record_run(&mut table, &directory, &format!("{args} --platform {address}")).await;
    }
    platform.put(&SettingsPath::Team("media".into()).to_platform(), &theirs, "caio");
    for args in [
        "settings put teams/media new.jsonc --replaces 5",
        "settings put teams/new teams/media.jsonc --replaces 0",
        "settings put fleet narrow.jsonc",
        "settings history fleet --json",
    ] {
        record_run(&mut table, &directory, &format!("{args} --platform {address}")).await;
    }
    insta::assert_snapshot!(table.replace(&address.to_string(), "PLATFORM"));
}

/// Starts a proxy that forwards requests to the platform, but replaces the response to the first
/// write with an error after the write took effect. If `rival` is given, another author then
/// writes to it. Returns the proxy's address.
async fn start_lossy_proxy(
    platform_address: SocketAddr,
    rival: Option<Arc<PlatformStandIn>>,
) -> SocketAddr {
    let pool = ConnectionPool::new();
    let lost = Arc::new(AtomicBool::new(false));
    let listener = Listener::bind(unbound_address(), ListenerLimits::default()).await.unwrap();
    let proxy_address = listener.address().unwrap();
    tokio::spawn(listener.serve(move |request, _| {
        let (pool, lost, rival) = (Arc::clone(&pool), Arc::clone(&lost), rival.clone());
        async move {
            let is_write = request.method() == Method::PUT;
            let mut response = pool.send(platform_address, request).await.unwrap();
            if is_write && !lost.swap(true, Ordering::Relaxed) {
                *response.status_mut() = StatusCode::BAD_GATEWAY;
                if let Some(platform) = rival {
                    platform.put("settings/teams/media", "{ \"services\": {} }", "caio");
                }
            }
            response
        }
    }));
    proxy_address
}

#[tokio::test]
async fn a_lost_answer_is_settled_by_reading_back() {
    let directory = scratch_directory("lost");
    copy_with_change(&directory, "teams/media.jsonc", "new.jsonc", "5000", "4000");
    let mut table = String::new();
    for raced in [false, true] {
        let (platform_address, platform) = start_platform().await;
        let rival = raced.then(|| Arc::clone(&platform));
        let proxy_address = start_lossy_proxy(platform_address, rival).await;
        for args in ["settings put teams/media new.jsonc", "settings history teams/media"] {
            let mut part = String::new();
            record_run(&mut part, &directory, &format!("{args} --platform {proxy_address}")).await;
            table += &part.replace(&proxy_address.to_string(), "PLATFORM");
        }
    }
    insta::assert_snapshot!(table);
}

#[tokio::test]
async fn shows_status_explanation_and_lookup() {
    let node = entry_node("127.0.0.1:9".parse().unwrap());
    let listener = Listener::bind(unbound_address(), ListenerLimits::default()).await.unwrap();
    let vm = listener.address().unwrap();
    tokio::spawn(listener.serve(move |r, peer| handle_operator(Arc::clone(&node), r, peer)));
    let directory = scratch_directory("status");
    let mut table = String::new();
    for args in [
        "status",
        "status --all",
        "explain --service briefs --block 10.1.0.0/24 --class read",
        "explain --service payouts --block 192.168.0.0/24",
        "explain --service brief --block 10.1.0.0/24",
        "lookup --block 10.1.0.0/24",
        "lookup --block 10.1.0.0/24 --json",
    ] {
        record_run(&mut table, &directory, &format!("{args} --vm {vm}")).await;
    }
    insta::assert_snapshot!(table.replace(&vm.to_string(), "VM"));
}

#[tokio::test]
async fn a_new_entry_vm_finds_the_last_good_version_behind_a_bad_one() {
    let (address, platform) = start_platform().await;
    let path = SettingsPath::Team("media".into());
    platform.put(&path.to_platform(), "{ \"services\": {", "caio");
    platform.put(
        &path.to_platform(),
        "{ \"services\": {}, \"drains\": [{ \"zone\": \"x\" }] }",
        "caio",
    );
    let node = empty_node(address, false);
    let watcher = Arc::clone(&node);
    let watch = tokio::spawn(async move { watch_settings(&watcher).await });
    let mut snapshot = node.watch_snapshot();
    snapshot.wait_for(|s| s.service(&"media".into()).is_some()).await.unwrap();
    watch.abort();
    let (versions, refused) = node.with_tree(|tree| {
        let versions: Vec<String> = tree.versions().map(|(p, v)| format!("{p}@{v}")).collect();
        let refused: Vec<String> = tree.refused().map(|(p, v, _)| format!("{p}@{v}")).collect();
        (versions, refused)
    });
    insta::assert_snapshot!(format!(
        "in force: {}\nrefused: {}",
        versions.join(" "),
        refused.join(" ")
    ));
}
