//! Holds requests that arrive before a gateway that starts knows configuration and servers.

use std::rc::Rc;
use std::time::Duration;

use cuminpick::routing::RoutingTable;
use slog::o;
use tokio::time::Instant;

use crate::state::Gateway;

/// Most requests that wait for the configuration; those of a few hundred milliseconds.
const MAX_STARTING_REQUESTS: usize = 512;
/// Longest wait for the configuration; listing it takes a tenth of that.
const MAX_START_WAIT: Duration = Duration::from_secs(1);
/// Part of the time that a caller gives a request that it may wait for the configuration.
const START_WAIT_SHARE: f64 = 0.1;

/// Counts a request as waiting until it is dropped.
struct StartingRequest<'a>(&'a Gateway);

impl<'a> StartingRequest<'a> {
    /// Counts a request, unless too many wait.
    fn begin(gateway: &'a Gateway) -> Option<StartingRequest<'a>> {
        let waiting = gateway.starting_requests.get();
        (waiting < MAX_STARTING_REQUESTS).then(|| {
            gateway.starting_requests.set(waiting + 1);
            StartingRequest(gateway)
        })
    }
}

impl Drop for StartingRequest<'_> {
    fn drop(&mut self) {
        self.0.starting_requests.set(self.0.starting_requests.get() - 1);
    }
}

/// Returns the configuration by which a request is served, and waits for it for a part of
/// `time_left`, the time that the caller gives the request. Returns `None` if it does not become
/// known by then, if too many requests wait, or if the gateway is shutting down.
pub async fn await_serving_table(
    gateway: &Gateway,
    attempt: &str,
    time_left: Option<Duration>,
) -> Option<Rc<RoutingTable>> {
    if let Some(table) = gateway.serving_table() {
        return Some(table);
    }
    if gateway.leaving_since.get().is_some() {
        return None;
    }
    let Some(_starting) = StartingRequest::begin(gateway) else {
        gateway.journal.note("start-wait-full", Some(attempt), o!());
        return None;
    };
    let started = Instant::now();
    let share = time_left.map(|left| left.mul_f64(START_WAIT_SHARE));
    let deadline = started + share.unwrap_or(MAX_START_WAIT).min(MAX_START_WAIT);
    loop {
        let changed = gateway.capacity_changed.notified();
        let table = gateway.serving_table();
        if table.is_some() || Instant::now() >= deadline {
            let waited_ms = started.elapsed().as_millis() as u64;
            let fields = o!("waited_ms" => waited_ms, "known" => table.is_some());
            gateway.journal.note("start-waited", Some(attempt), fields);
            return table;
        }
        // Without some of the listings the configuration counts from a certain time on.
        let listing_wait = gateway.listing_time_left().map(|left| Instant::now() + left);
        let until = listing_wait.map_or(deadline, |until| until.min(deadline));
        let _ = tokio::time::timeout_at(until, changed).await;
    }
}
