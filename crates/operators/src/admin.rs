//! Admin server of a daemon: health, readiness, metrics and status over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use rouille::Request;
use rouille::Response;

use crate::metrics::Metrics;

/// Number of threads that answer requests.
const ADMIN_THREADS: usize = 2;

/// Source of a daemon's readiness and status.
pub trait AdminSource: Send + Sync {
    /// Returns whether the process accepts requests; read by the load balancer in front of it.
    fn ready(&self) -> bool;

    /// Returns the status as a JSON object.
    fn status(&self) -> serde_json::Value;
}

/// Starts the admin server on `address`, in threads of its own; fails if it cannot listen there.
pub fn serve_admin(
    address: SocketAddr,
    metrics: Arc<Metrics>,
    source: Arc<dyn AdminSource>,
) -> eyre::Result<()> {
    let handler = move |request: &Request| respond(request, &metrics, source.as_ref());
    let server = rouille::Server::new(address, handler)
        .map_err(|error| {
            eyre::eyre!("cannot serve operators on {address}: {error}; change `admin`")
        })?
        .pool_size(ADMIN_THREADS);
    thread::Builder::new().name("admin".to_string()).spawn(move || server.run())?;
    Ok(())
}

fn respond(request: &Request, metrics: &Metrics, source: &dyn AdminSource) -> Response {
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
