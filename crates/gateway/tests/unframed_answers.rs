//! Answers with neither a length nor chunks, which end with their connection.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cuminpick::routing::ServerRecord;
use cuminpick::routing::ServerState;
use cuminpick_platform::platform_side::encode_server;
use cuminpick_platform::platform_side::sealed_headers;
use cuminpick_platform::store::SERVER_KIND;
use cuminpick_standins::site::caller::CallResult;
use cuminpick_standins::site::caller::stream_text;
use hyper::StatusCode;
use socket2::SockRef;
use support::KEY;
use support::Site;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

const ATTEMPT: &str = "same";
const STREAM_PATH: &str = "/draft/stream/3";
const PLAIN_PATH: &str = "/look/x";
/// Deadline of each request.
const DEADLINE: Duration = Duration::from_millis(1_500);

/// How the server ends its connection.
#[derive(Debug, Clone, Copy, PartialEq)]
enum ConnectionEnd {
    Closed,
    Reset,
    Open,
}

/// Answers each request with `body` and ends the connection as told.
async fn serve(listener: TcpListener, body: String, end: ConnectionEnd) {
    let headers = sealed_headers(ATTEMPT, "seal");
    let headers =
        headers.iter().map(|(name, value)| format!("{name}: {}\r\n", value.to_str().unwrap()));
    let answer = format!("HTTP/1.1 200 OK\r\n{}\r\n{body}", headers.collect::<String>());
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(answer_request(stream, answer.clone(), end));
    }
}

async fn answer_request(mut stream: TcpStream, answer: String, end: ConnectionEnd) {
    let mut buffer = [0; 4_096];
    if stream.read(&mut buffer).await.unwrap_or(0) == 0 {
        return;
    }
    stream.write_all(answer.as_bytes()).await.unwrap();
    // The gateway reads the answer before the connection ends.
    tokio::time::sleep(Duration::from_millis(50)).await;
    match end {
        ConnectionEnd::Closed => stream.shutdown().await.unwrap(),
        ConnectionEnd::Reset => SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap(),
        ConnectionEnd::Open => tokio::time::sleep(2 * DEADLINE).await,
    }
}

async fn call(path: &str, body: &str, end: ConnectionEnd) -> CallResult {
    let site = Site::with_sizes(1, 0, 1).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    tokio::spawn(serve(listener, body.to_string(), end));
    site.store.remove(SERVER_KIND, "booking-0");
    site.register_server("model", "unframed-model", address);
    site.register_server("booking", "unframed-booking", address);
    site.wait_propagated().await;
    site.call_with(path, ATTEMPT, Some(KEY), DEADLINE).await
}

fn is_whole(answer: &CallResult, body: &str) -> bool {
    answer.status == Some(StatusCode::OK) && answer.complete && answer.body == body
}

/// Guards against answers that are taken for truncated, or the other way round: one whose
/// connection closes in order is whole, and one whose connection is reset, or stays open
/// beyond the deadline, is not.
#[tokio::test(flavor = "multi_thread")]
async fn plain_answers() {
    let answer = call(PLAIN_PATH, "all of it", ConnectionEnd::Closed).await;
    assert!(is_whole(&answer, "all of it"), "{answer:?}");
    for end in [ConnectionEnd::Reset, ConnectionEnd::Open] {
        let answer = call(PLAIN_PATH, "some of it", end).await;
        assert!(answer.status != Some(StatusCode::OK) || !answer.complete, "{end:?} {answer:?}");
        assert!(answer.took < DEADLINE + Duration::from_millis(500), "{end:?} {answer:?}");
    }
}

/// The same for streams; one that ends inside an event or before the first was broken off, and
/// the caller gets no part of that event.
#[tokio::test(flavor = "multi_thread")]
async fn streams() {
    let whole = stream_text(3);
    let answer = call(STREAM_PATH, &whole, ConnectionEnd::Closed).await;
    assert!(is_whole(&answer, &whole), "{answer:?}");
    let two = stream_text(2);
    for (body, end) in [
        (&whole[..whole.len() - 3], ConnectionEnd::Closed),
        ("", ConnectionEnd::Closed),
        (&two, ConnectionEnd::Reset),
        (&two, ConnectionEnd::Open),
    ] {
        let answer = call(STREAM_PATH, body, end).await;
        assert!(!answer.complete || answer.status != Some(StatusCode::OK), "{end:?} {answer:?}");
        let is_refusal = answer.status != Some(StatusCode::OK) && !answer.body.contains("event");
        assert!(is_refusal || two.starts_with(&answer.body), "{end:?} {answer:?}");
        assert!(answer.took < DEADLINE + Duration::from_millis(500), "{end:?} {answer:?}");
    }
}

/// How a server ends after it has sent a part of its answer.
#[derive(Debug, Clone, Copy, PartialEq)]
enum ServerEnd {
    /// It stops listening and its connections close, as when a process is killed.
    Killed,
    /// The same, but its connections are reset.
    KilledWithReset,
    /// It listens again at once, as another incarnation that registers.
    Restarted,
    /// Its connections close, and its VM no longer answers attempts to connect.
    Frozen,
}

/// Answers one request with `body`, and ends as told; counts the requests.
async fn serve_once(
    listener: TcpListener,
    body: String,
    end: ServerEnd,
    requests: Arc<AtomicUsize>,
    register: impl Fn() + Send + 'static,
) {
    let address = listener.local_addr().unwrap();
    let headers = sealed_headers(ATTEMPT, "seal");
    let headers =
        headers.iter().map(|(name, value)| format!("{name}: {}\r\n", value.to_str().unwrap()));
    let answer = format!("HTTP/1.1 200 OK\r\n{}\r\n{body}", headers.collect::<String>());
    let mut buffer = [0; 4_096];
    let mut stream = loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        if stream.read(&mut buffer).await.unwrap_or(0) > 0 {
            break stream;
        }
    };
    requests.fetch_add(1, Ordering::Relaxed);
    stream.write_all(answer.as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    if end == ServerEnd::KilledWithReset {
        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
    }
    if end == ServerEnd::Frozen {
        let queued = fill_queue(address).await;
        drop(stream);
        tokio::time::sleep(2 * DEADLINE).await;
        drop((listener, queued));
        return;
    }
    drop(listener);
    drop(stream);
    if end == ServerEnd::Restarted {
        // No process starts faster.
        tokio::time::sleep(Duration::from_millis(5)).await;
        let listener = TcpListener::bind(address).await.unwrap();
        register();
        let mut connections = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            connections.push(stream);
        }
    }
}

/// Connects to a listener that accepts nothing until its queue is full, so that further attempts to
/// connect are not answered.
async fn fill_queue(address: SocketAddr) -> Vec<TcpStream> {
    let mut queued = Vec::new();
    let attempt = || tokio::time::timeout(Duration::from_millis(50), TcpStream::connect(address));
    while let Ok(stream) = attempt().await {
        queued.push(stream.unwrap());
    }
    queued
}

/// Starts a server of `service` that ends after `body`, beside others, and sends requests until
/// it got one. Returns the answer to that request.
async fn call_ending(
    others: usize,
    service: &str,
    path: &str,
    body: &str,
    end: ServerEnd,
) -> CallResult {
    let site = Site::with_sizes(1, others, others).await;
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseaddr(true).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(if end == ServerEnd::Frozen { 1 } else { 64 }).unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    let requests = Arc::new(AtomicUsize::new(0));
    let store = site.store.clone();
    let record = ServerRecord {
        id: "ending".to_string(),
        service: service.to_string(),
        address,
        zone: "zone-0".to_string(),
        slots: 8,
        state: ServerState::Ready,
        cold_remaining: Duration::ZERO,
        started_ms: 1_000,
    };
    let restarted = ServerRecord { started_ms: 2_000, ..record.clone() };
    store.put(SERVER_KIND, "ending", encode_server(&record));
    let register = move || store.put(SERVER_KIND, "ending", encode_server(&restarted));
    tokio::spawn(serve_once(listener, body.to_string(), end, Arc::clone(&requests), register));
    site.wait_propagated().await;
    for _ in 0..40 {
        let answer = site.call_with(path, ATTEMPT, Some(KEY), DEADLINE).await;
        if requests.load(Ordering::Relaxed) > 0 {
            return answer;
        }
    }
    panic!("the ending server got no request: {}", site.all_logs());
}

/// Guards against a stream that ends as complete because its server was killed between two events:
/// another server continues it, also after its last event, and no event is lost or repeated.
#[tokio::test(flavor = "multi_thread")]
async fn killed_servers() {
    let whole = stream_text(3);
    for end in
        [ServerEnd::Killed, ServerEnd::KilledWithReset, ServerEnd::Restarted, ServerEnd::Frozen]
    {
        for events in 0..=3 {
            let body = stream_text(events);
            let answer = call_ending(1, "model", STREAM_PATH, &body, end).await;
            assert!(is_whole(&answer, &whole), "{end:?} after {events}: {answer:?}");
        }
    }
}

/// Guards against a stream that looks complete although no server can continue it.
#[tokio::test(flavor = "multi_thread")]
async fn lone_servers() {
    for end in [ServerEnd::Killed, ServerEnd::KilledWithReset] {
        for events in 1..=3 {
            let body = stream_text(events);
            let answer = call_ending(0, "model", STREAM_PATH, &body, end).await;
            assert!(!answer.complete, "{end:?} after {events}: {answer:?}");
            assert!(answer.took < DEADLINE + Duration::from_millis(500), "{end:?} {answer:?}");
        }
    }
}

/// Guards against plain answers that look complete although their server was killed before it had
/// sent all of them. Only a request that may be repeated is sent to another server.
#[tokio::test(flavor = "multi_thread")]
async fn killed_plain_servers() {
    for end in [ServerEnd::Killed, ServerEnd::KilledWithReset] {
        let answer = call_ending(1, "booking", PLAIN_PATH, "some of it", end).await;
        assert!(answer.status == Some(StatusCode::OK) && answer.complete, "{end:?} {answer:?}");
        assert!(!answer.body.contains("some of it"), "{end:?} {answer:?}");
        let answer = call_ending(1, "booking", "/book/x", "some of it", end).await;
        let has_failed = answer.status.is_none_or(|status| status.as_u16() >= 500);
        assert!(has_failed && answer.status != Some(StatusCode::SERVICE_UNAVAILABLE), "{answer:?}");
    }
}

/// Guards against ends that wait for longer than the probe of a server that runs.
#[tokio::test(flavor = "multi_thread")]
async fn confirmed_ends() {
    let whole = stream_text(3);
    for (path, body, limit) in [(STREAM_PATH, whole.as_str(), 250), (PLAIN_PATH, "all", 200)] {
        let mut times = Vec::new();
        for _ in 0..3 {
            let answer = call(path, body, ConnectionEnd::Closed).await;
            assert!(is_whole(&answer, body), "{answer:?}");
            times.push(answer.took);
        }
        let fastest = times.iter().min().unwrap();
        assert!(*fastest < Duration::from_millis(limit), "{path} {times:?}");
    }
}
