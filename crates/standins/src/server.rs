//! HTTP server of the engine and booking stand-ins, which can go down and restart.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::BoxBody;
use hyper::Request;
use hyper::Response;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;

/// Error that closes the connection in the middle of an answer or before it.
#[derive(Debug)]
pub struct CutError(&'static str);

impl std::fmt::Display for CutError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(self.0)
    }
}

impl std::error::Error for CutError {}

/// Body of an answer; an error in it closes the connection mid-answer.
pub type AnswerBody = BoxBody<Bytes, CutError>;
/// Future of an answer; `None` closes the connection without an answer.
pub type AnswerFuture = Pin<Box<dyn Future<Output = Option<Response<AnswerBody>>> + Send>>;

/// HTTP request whose body has been read in full.
pub struct StandinRequest {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Request headers.
    pub headers: hyper::HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl StandinRequest {
    /// Returns a header's value; `None` if it is absent or not text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Parses the body as JSON; null if it is invalid.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Behaviour of a stand-in server.
pub trait StandinService: Send + Sync + 'static {
    /// Answers a request.
    fn answer(self: Arc<Self>, request: StandinRequest) -> AnswerFuture;

    /// Returns a receiver of whether the server is down. When it becomes true, all connections
    /// are closed.
    fn down(&self) -> watch::Receiver<bool>;
}

/// Serves until the process exits. While the service is down, nothing listens on `address`.
pub async fn serve(address: SocketAddr, service: Arc<dyn StandinService>) -> eyre::Result<()> {
    let mut down = service.down();
    loop {
        let listener = listen(address).await?;
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        connections.spawn(serve_connection(stream, Arc::clone(&service)));
                    }
                }
                Some(_) = connections.join_next() => {}
                _ = down.wait_for(|down| *down) => break,
            }
        }
        drop(listener);
        drop(connections);
        down.wait_for(|down| !*down).await?;
    }
}

/// Listens on `address`, and retries until it is free.
async fn listen(address: SocketAddr) -> eyre::Result<TcpListener> {
    loop {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        if socket.bind(&address.into()).is_ok() {
            socket.listen(1024)?;
            socket.set_nonblocking(true)?;
            return Ok(TcpListener::from_std(socket.into())?);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn serve_connection(stream: TcpStream, service: Arc<dyn StandinService>) {
    let _ = stream.set_nodelay(true);
    let http_service = service_fn(move |request: Request<Incoming>| {
        let service = Arc::clone(&service);
        async move {
            let (parts, body) = request.into_parts();
            let Ok(body) = body.collect().await else {
                return Err(CutError(
                    "the connection closed before the whole request was received",
                ));
            };
            let request = StandinRequest {
                method: parts.method.to_string(),
                path: parts.uri.path_and_query().map_or_else(String::new, ToString::to_string),
                headers: parts.headers,
                body: body.to_bytes(),
            };
            service
                .answer(request)
                .await
                .ok_or(CutError("the stand-in closes the connection without an answer"))
        }
    });
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), http_service).await;
}

/// Returns an answer whose body is known in full.
pub fn full_answer(
    status: u16,
    content_type: &str,
    body: impl Into<Bytes>,
) -> Response<AnswerBody> {
    let body = Full::new(body.into()).map_err(|never: Infallible| match never {});
    let mut response = Response::new(BodyExt::boxed(body));
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    if let Ok(value) = content_type.parse() {
        response.headers_mut().insert("content-type", value);
    }
    response
}

/// Returns an answer with a JSON body.
pub fn json_answer<T: Serialize>(status: u16, value: &T) -> Response<AnswerBody> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    full_answer(status, "application/json", text)
}

/// Part of a streamed answer.
pub enum StreamPart {
    /// Bytes of an event.
    Event(Bytes),
    /// End of a complete answer; if the channel closes without it, the answer is cut.
    End,
}

/// Returns an event stream from a channel.
pub fn stream_answer(parts: mpsc::Receiver<StreamPart>) -> Response<AnswerBody> {
    let frames = ReceiverStream::new(parts)
        .map(Some)
        .chain(tokio_stream::once(None))
        .take_while(|part| !matches!(part, Some(StreamPart::End)))
        .map(|part| match part {
            Some(StreamPart::Event(event)) => Ok(Frame::data(event)),
            _ => Err(CutError("the stand-in server crashed during the answer")),
        });
    let mut response = Response::new(BodyExt::boxed(StreamBody::new(frames)));
    if let Ok(value) = "text/event-stream".parse() {
        response.headers_mut().insert("content-type", value);
    }
    response
}
