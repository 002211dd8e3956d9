//! Checks what a client sees of a response whose connection is faulty.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use soak::{LinkFault, Proxy};
use std::{fmt::Write, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

/// Time for data to pass through the proxy.
const PASS_TIME: Duration = Duration::from_millis(50);
/// Time after which a connection counts as still open.
const READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Sends `first`, begins a fault, sends `second`, closes the server's side, and ends the fault.
/// Describes what the client has received during the fault and after it.
async fn receive(fault: LinkFault) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let proxy = Proxy::start(listener.local_addr().unwrap()).await.unwrap();
    let mut client = TcpStream::connect(proxy.address()).await.unwrap();
    let (mut server, _) = listener.accept().await.unwrap();
    server.write_all(b"first ").await.unwrap();
    sleep(PASS_TIME).await;
    proxy.set_fault(fault);
    sleep(PASS_TIME).await;
    // Fails if the fault has closed the connection.
    let _ = server.write_all(b"second").await;
    drop(server);
    let during = read(&mut client).await;
    proxy.set_fault(LinkFault::None);
    format!("{during}, then {}", read(&mut client).await)
}

/// Reads until the connection ends or nothing more arrives.
async fn read(client: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let end = match timeout(READ_TIMEOUT, client.read_to_end(&mut bytes)).await {
        Ok(Ok(_)) => "closed".to_owned(),
        Ok(Err(error)) => format!("{:?}", error.kind()),
        Err(_) => "open".to_owned(),
    };
    format!("{:?} {end}", String::from_utf8(bytes).unwrap())
}

#[tokio::test]
async fn a_response_with_lost_bytes_never_looks_complete() {
    let delay = LinkFault::Delay(Duration::from_millis(20));
    let faults = [
        LinkFault::None,
        LinkFault::Deaf,
        delay,
        LinkFault::Mute,
        LinkFault::Reset,
        LinkFault::Silent,
    ];
    let mut table = String::new();
    for fault in faults {
        writeln!(table, "{fault:?}: {}", receive(fault).await).unwrap();
    }
    insta::assert_snapshot!(table);
}

#[tokio::test]
async fn a_connection_opened_during_a_reset_is_reset() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let proxy = Proxy::start(listener.local_addr().unwrap()).await.unwrap();
    proxy.set_fault(LinkFault::Reset);
    let mut client = TcpStream::connect(proxy.address()).await.unwrap();
    insta::assert_snapshot!(read(&mut client).await, @r#""" ConnectionReset"#);
}
