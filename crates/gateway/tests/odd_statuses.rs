//! Servers in trouble whose answers have a status that HTTP does not have.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cuminpick_platform::platform_side::seal_of;
use cuminpick_platform::platform_side::sealed_headers;
use cuminpick_platform::store::SERVER_KIND;
use hyper::StatusCode;
use support::KEY;
use support::Site;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// Statuses that are no final answer to a request.
const STATUSES: [&str; 14] = [
    "000", "001", "042", "099", "101", "199", "600", "700", "999", "0", "20", "2000", "2x0", "-20",
];
/// Time after a failure by which a server gets requests again.
const AVOIDANCE_TIME: Duration = Duration::from_millis(900);
/// Attempt id of all requests, which the servers in trouble state in their answers.
const ATTEMPT: &str = "same";

/// Starts a server that answers each request with `status`, signed and complete; returns its address
/// and the number of requests that it gets.
async fn start_server(status: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let requests = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&requests);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let counter = Arc::clone(&counter);
            tokio::spawn(async move {
                let mut request = Vec::new();
                let mut buffer = [0; 4096];
                while !request.ends_with(b"the body") {
                    match stream.read(&mut buffer).await {
                        Ok(0) | Err(_) => return,
                        Ok(read) => request.extend_from_slice(&buffer[..read]),
                    }
                }
                counter.fetch_add(1, Ordering::Relaxed);
                let headers = sealed_headers(ATTEMPT, "seal");
                let lines = headers
                    .iter()
                    .map(|(name, value)| format!("{name}: {}\r\n", value.to_str().unwrap()));
                let lines: String = lines.collect();
                let body = "id: 1\ndata: a\n\n";
                let head = format!("HTTP/1.1 {status} X\r\n{lines}Content-Length: {}", body.len());
                let _ = stream.write_all(format!("{head}\r\n\r\n{body}").as_bytes()).await;
                let _ = stream.read(&mut buffer).await;
            });
        }
    });
    (address, requests)
}

/// Guards against an answer of a server in trouble that reaches the caller although its status is that of
/// no answer, such as 000 or 999.
#[tokio::test(flavor = "multi_thread")]
async fn status_000() {
    let site = Site::with_sizes(1, 1, 1).await;
    for id in ["model-0", "booking-1"] {
        site.store.remove(SERVER_KIND, id);
    }
    for status in STATUSES {
        let (address, requests) = start_server(status).await;
        for service in ["model", "booking"] {
            site.register_server(service, &format!("{service}-odd"), address);
        }
        site.wait_propagated().await;
        for path in ["/book/x", "/look/x", "/draft/stream/3"] {
            let answer = site.call(path, ATTEMPT).await;
            let what = format!("{status} {path}: {answer:?}");
            // The request may have run, so that the answer must not say that it did not.
            assert_eq!(answer.status, Some(StatusCode::BAD_GATEWAY), "{what}");
            assert!(answer.complete && seal_of(&answer.headers).is_none(), "{what}");
            assert_eq!(requests.swap(0, Ordering::Relaxed), 1, "{what}");
        }
        for service in ["model", "booking"] {
            site.store.remove(SERVER_KIND, &format!("{service}-odd"));
        }
        site.wait_propagated().await;
    }
}

/// Guards against a failure for callers whose request another server can run.
#[tokio::test(flavor = "multi_thread")]
async fn other_server() {
    let site = Site::with_sizes(1, 1, 1).await;
    for status in ["000", "101", "999"] {
        let (address, requests) = start_server(status).await;
        for service in ["model", "booking"] {
            site.register_server(service, &format!("{service}-odd"), address);
        }
        site.wait_propagated().await;
        for number in 0..12 {
            let path = if number % 2 == 0 { "/look/x" } else { "/draft/stream/3" };
            let answer = site.call_at(0, path, ATTEMPT, Some(KEY)).await;
            assert_eq!(answer.status, Some(StatusCode::OK), "{status} {path}: {answer:?}");
            assert!(answer.complete, "{status} {path}");
            tokio::time::sleep(AVOIDANCE_TIME / 3).await;
        }
        assert!(requests.load(Ordering::Relaxed) > 0, "{status}: no request reached the server");
        for service in ["model", "booking"] {
            site.store.remove(SERVER_KIND, &format!("{service}-odd"));
        }
        site.wait_propagated().await;
    }
}
