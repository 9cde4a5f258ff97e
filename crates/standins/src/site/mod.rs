//! Stand-ins for the users' platform: its metadata store, model engines and plain services.
//!
//! They speak the platform's protocol through the opposite side of the platform adapter,
//! [`cuminpick_platform::platform_side`].
//!
//! - [`store`] keeps objects;
//! - [`engine`] runs requests and records each run in a ledger;
//! - [`group`] makes passes in lock-step and checks that all ranks use the same map;
//! - [`flood`] sends endless answers;
//! - [`proxy`] injects network faults between two parties;
//! - [`nodes`] starts the daemons of the simulated VMs;
//! - [`caller`] sends requests to them.

pub mod caller;
pub mod engine;
pub mod flood;
pub mod group;
pub mod nodes;
pub mod proxy;
pub mod store;

use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Uri;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

/// An HTTP request whose body has been read in full.
#[derive(Debug, Clone)]
pub struct SiteRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Request headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Body of an answer; an error in it closes the connection mid-answer.
pub type SiteBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// Returns an answer whose body is known in full.
pub fn full_answer(
    status: StatusCode,
    headers: HeaderMap,
    body: impl Into<Bytes>,
) -> Response<SiteBody> {
    let body = http_body_util::Full::new(body.into()).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Returns an answer with a JSON body.
pub fn json_answer(status: StatusCode, body: &Value) -> Response<SiteBody> {
    full_answer(status, HeaderMap::new(), body.to_string())
}

/// Serves HTTP connections until the future is dropped, which closes all of them. If the
/// handler returns `None`, the connection is closed without an answer.
pub async fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(SiteRequest) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Option<Response<SiteBody>>> + Send + 'static,
{
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        while connections.try_join_next().is_some() {}
        let handler = handler.clone();
        connections.spawn(async move {
            let service = service_fn(move |request| {
                let handler = handler.clone();
                async move {
                    let answer = match read_request(request).await {
                        Some(request) => handler(request).await,
                        None => None,
                    };
                    answer.ok_or(DroppedAnswer)
                }
            });
            // Errors are expected: handlers close connections on purpose.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// Error that makes the server close the connection without an answer.
#[derive(Debug)]
struct DroppedAnswer;

impl std::fmt::Display for DroppedAnswer {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("the stand-in closes the connection without an answer")
    }
}

impl std::error::Error for DroppedAnswer {}

async fn read_request(request: Request<Incoming>) -> Option<SiteRequest> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    Some(SiteRequest { method: parts.method, uri: parts.uri, headers: parts.headers, body })
}

/// Listens on a free port of `ip`; returns the listener and its address.
pub async fn listen(ip: std::net::IpAddr) -> std::io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(SocketAddr::new(ip, 0)).await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}
