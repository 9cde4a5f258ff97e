//! The server refuses requests that are malformed, too large, too slow or too many.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use cuminpick::refusal::Refusal;
use cuminpick_callers::AnswerBody;
use cuminpick_callers::CallerAnswer;
use cuminpick_callers::CallerHandler;
use cuminpick_callers::CallerRequest;
use cuminpick_callers::CallerServer;
use cuminpick_callers::ServerLimits;
use cuminpick_callers::server::AnswerFuture;
use tokio::sync::watch;

struct EchoHandler;

impl CallerHandler for EchoHandler {
    fn next_request_id(&self) -> String {
        "0000000000000001".to_string()
    }

    fn handle(&self, request_id: String, request: CallerRequest) -> AnswerFuture {
        Box::pin(async move {
            let body = AnswerBody::Full(request.body);
            CallerAnswer { request_id, status: 200, headers: Vec::new(), body }
        })
    }

    fn record_refusal(&self, _: &str, _: &Refusal) {}
}

/// Starts a server with low limits; it runs until the test process exits.
fn start_server(max_connections: usize) -> SocketAddr {
    let limits = ServerLimits {
        max_connections,
        max_body_bytes: 1_000,
        read_timeout: Duration::from_millis(200),
    };
    let (address_sender, address_receiver) = std::sync::mpsc::channel();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            let any_port = "127.0.0.1:0".parse().unwrap();
            let server = CallerServer::bind(any_port, limits, Arc::new(EchoHandler)).unwrap();
            address_sender.send(server.local_addr().unwrap()).unwrap();
            let (_close, closing) = watch::channel(false);
            server.serve(closing).await;
        });
    });
    address_receiver.recv().unwrap()
}

fn exchange(address: SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(request).unwrap();
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

fn post(headers: &str, body: &str) -> Vec<u8> {
    format!("POST /v1/work HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{headers}\r\n{body}")
        .into_bytes()
}

const NAME_HEADERS: &str = "cuminpick-class: drafting\r\ncuminpick-organisation: a\r\n";

#[test]
fn valid_request() {
    let address = start_server(8);
    let answer = exchange(address, &post(&format!("{NAME_HEADERS}content-length: 5\r\n"), "hello"));
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("cuminpick-request-id: 0000000000000001"));
    assert!(answer.ends_with("hello"));
}

#[test]
fn refused_requests() {
    let address = start_server(8);
    let large = format!("{NAME_HEADERS}content-length: 1001\r\n");
    let chunked = format!("{NAME_HEADERS}transfer-encoding: chunked\r\n");
    let chunks = format!("3e8\r\n{}\r\n3e8\r\n{}\r\n0\r\n\r\n", "x".repeat(1000), "x".repeat(1000));
    let cases: Vec<(&str, Vec<u8>, &str, &str)> = vec![
        ("no class", post("content-length: 0\r\n", ""), "400", "malformed"),
        ("bad name", post("cuminpick-class: a b\r\n", ""), "400", "malformed"),
        (
            "two classes",
            post(&format!("{NAME_HEADERS}cuminpick-class: b\r\n"), ""),
            "400",
            "malformed",
        ),
        (
            "bad deadline",
            post(&format!("{NAME_HEADERS}cuminpick-deadline-ms: x\r\n"), ""),
            "400",
            "malformed",
        ),
        ("large length", post(&large, ""), "413", "too-large"),
        ("large chunks", post(&chunked, &chunks), "413", "too-large"),
        (
            "wrong path",
            b"POST /x HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n".to_vec(),
            "400",
            "malformed",
        ),
        (
            "slow body",
            post(&format!("{NAME_HEADERS}content-length: 5\r\n"), "he"),
            "408",
            "too-slow",
        ),
    ];
    for (name, request, status, kind) in cases {
        let answer = exchange(address, &request);
        assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{name}: {answer}");
        assert!(answer.contains(&format!("\"kind\":\"{kind}\"")), "{name}: {answer}");
        assert!(answer.contains("\"ran\":\"no\""), "{name}: {answer}");
        assert!(answer.contains("\"remedy\":"), "{name}: {answer}");
    }
}

#[test]
fn closed_connections() {
    let address = start_server(8);
    let endless = [b"GET / HTTP/1.1\r\nx: ".to_vec(), vec![b'y'; 100_000]].concat();
    for request in [&b"not http at all\r\n\r\n"[..], &endless, b"POST /v1/work HT"] {
        let answer = exchange(address, request);
        assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 4"), "{answer}");
    }
    let valid = exchange(address, &post(&format!("{NAME_HEADERS}content-length: 2\r\n"), "ok"));
    assert!(valid.ends_with("ok"), "the server must keep serving");
}

#[test]
fn too_many_connections() {
    let address = start_server(2);
    let held: Vec<TcpStream> = (0..2)
        .map(|_| {
            let mut stream = TcpStream::connect(address).unwrap();
            stream.write_all(&post(&format!("{NAME_HEADERS}content-length: 5\r\n"), "he")).unwrap();
            stream
        })
        .collect();
    let answer = exchange(address, &post(&format!("{NAME_HEADERS}content-length: 0\r\n"), ""));
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("retry-after: 1"));
    drop(held);
}
