//! Serves the metrics of a single-threaded daemon over HTTP.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

/// URL path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Delay after a failed `accept`, for example with too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Serves the text that `render` returns; runs until its task is aborted.
///
/// An error means that `address` could not be listened on. Must run in a `LocalSet`.
pub async fn serve_metrics(
    address: SocketAddr,
    render: impl Fn() -> String + 'static,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    let render = Rc::new(render);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let render = Rc::clone(&render);
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let response = respond(request.uri().path(), render.as_ref());
                async move { Ok::<_, Infallible>(response) }
            });
            // A client that loses its connection polls again.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

fn respond(path: &str, render: &dyn Fn() -> String) -> Response<Full<Bytes>> {
    if path == METRICS_PATH {
        return Response::new(Full::new(Bytes::from(render())));
    }
    let mut response = Response::new(Full::new(Bytes::from_static(b"try /metrics\n")));
    *response.status_mut() = StatusCode::NOT_FOUND;
    response
}
