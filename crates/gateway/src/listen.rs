//! Accepts connections: callers' requests on one listener, and the platform's readiness
//! checks and requests for metrics on another.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cuminpick::routing::CallerLimits;
use cuminpick_platform::call::set_socket_options;
use cuminpick_platform::headers::READINESS_PATH;
use cuminpick_platform::read_hook::HookedStream;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use slog::o;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::answer::AnswerBody;
use crate::answer::complete_answer;
use crate::framing::HeadBytes;
use crate::serve::serve_request;
use crate::state::Gateway;

/// Connections that the kernel queues until they are accepted.
const BACKLOG: i32 = 1024;
/// Pause after an error of `accept`, such as too many open files.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// Smallest buffer for a head that the HTTP library accepts.
const MIN_HEAD_BUFFER_BYTES: usize = 8 * 1024;
/// Path of the metrics on the readiness listener.
const METRICS_PATH: &str = "/metrics";

/// Opens a listener on `address`, also while old connections of that address linger.
pub fn bind_listener(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    TcpListener::from_std(socket.into())
}

/// Accepts callers' connections for as long as the process runs.
pub async fn accept_callers(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_caller(Rc::clone(&gateway), stream));
            }
            Err(error) => {
                let detail = error.to_string();
                gateway.journal.warn("accept-failed", o!("error" => detail));
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Serves the requests of one connection.
async fn serve_caller(gateway: Rc<Gateway>, stream: TcpStream) {
    if set_socket_options(&stream).is_err() {
        // The connection is closed already.
        return;
    }
    let limits = gateway.routing_table().map_or_else(CallerLimits::default, |table| table.limits());
    let head = HeadBytes::default();
    let service = {
        let gateway = Rc::clone(&gateway);
        let head = head.clone();
        service_fn(move |request: Request<Incoming>| {
            let gateway = Rc::clone(&gateway);
            let head = head.clone();
            async move {
                let mut response = serve_request(Rc::clone(&gateway), request, head).await;
                if gateway.leaving_since.get().is_some() {
                    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, Infallible>(response)
            }
        })
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_head_bytes.max(MIN_HEAD_BUFFER_BYTES))
        .serve_connection(TokioIo::new(HookedStream::new(stream, head)), service);
    // Connection errors come from the caller; each request logs its own outcome.
    let _ = connection.await;
}

/// Answers the platform's readiness checks, and serves metrics.
pub async fn serve_readiness(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let gateway = Rc::clone(&gateway);
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let answer = readiness_answer(&gateway, request.uri().path());
                async move { Ok::<_, Infallible>(answer) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            let _ = connection.await;
        });
    }
}

fn readiness_answer(gateway: &Gateway, path: &str) -> Response<AnswerBody> {
    let (status, body) = match path {
        READINESS_PATH if gateway.is_ready() => (StatusCode::OK, "ready\n".to_string()),
        READINESS_PATH => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_string()),
        METRICS_PATH => (StatusCode::OK, gateway.metrics.render()),
        _ => (StatusCode::NOT_FOUND, String::new()),
    };
    complete_answer(status, HeaderMap::new(), Bytes::from(body))
}
