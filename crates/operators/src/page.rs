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

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Pause after an error of `accept`, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Serves what `render` returns until the local task is ended.
pub async fn serve_metrics(
    address: SocketAddr,
    render: impl Fn() -> String + 'static,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    let render = Rc::new(render);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let render = Rc::clone(&render);
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let answer = page(request.uri().path(), render.as_ref());
                async move { Ok::<_, Infallible>(answer) }
            });
            // The reader of a page that breaks off asks again.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

fn page(path: &str, render: &dyn Fn() -> String) -> Response<Full<Bytes>> {
    if path == METRICS_PATH {
        return Response::new(Full::new(Bytes::from(render())));
    }
    let mut answer = Response::new(Full::new(Bytes::from_static(b"try /metrics\n")));
    *answer.status_mut() = StatusCode::NOT_FOUND;
    answer
}
