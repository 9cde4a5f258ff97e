//! Health, readiness, metrics and status over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use rouille::Request;
use rouille::Response;

use crate::metrics::Metrics;

/// Threads that answer operators' requests.
const ADMIN_THREADS: usize = 2;

/// What a daemon tells operators.
pub trait AdminSource: Send + Sync {
    /// Whether the process takes new work; the balancer in front asks this.
    fn ready(&self) -> bool;

    /// State as a JSON object.
    fn status(&self) -> serde_json::Value;
}

/// Serves operators on `address` in threads of its own.
pub fn serve_admin(
    address: SocketAddr,
    metrics: Arc<Metrics>,
    source: Arc<dyn AdminSource>,
) -> eyre::Result<()> {
    let handle = move |request: &Request| answer(request, &metrics, source.as_ref());
    let server = rouille::Server::new(address, handle)
        .map_err(|error| {
            eyre::eyre!("cannot serve operators on {address}: {error}; change `admin`")
        })?
        .pool_size(ADMIN_THREADS);
    thread::Builder::new().name("admin".to_string()).spawn(move || server.run())?;
    Ok(())
}

fn answer(request: &Request, metrics: &Metrics, source: &dyn AdminSource) -> Response {
    match request.url().as_str() {
        "/healthz" => Response::text("ok\n"),
        "/readyz" if source.ready() => Response::text("ready\n"),
        "/readyz" => Response::text("not ready\n").with_status_code(503),
        "/metrics" => Response::text(metrics.render()),
        "/status" => {
            let status = source.status().to_string();
            Response::from_data("application/json", status)
        }
        _ => Response::text("try /healthz, /readyz, /metrics or /status\n").with_status_code(404),
    }
}
