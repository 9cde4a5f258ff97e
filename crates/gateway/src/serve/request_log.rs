//! Records how each request ended.

use std::rc::Rc;
use std::time::Duration;

use cuminpick::refusal::Refusal;
use slog::o;

use crate::answer::refusal_status;
use crate::state::Gateway;
use crate::state::OpenRequestGuard;

/// Records the outcome of one request in the log and metrics. If it is dropped before an
/// outcome is recorded, the caller has left.
pub struct RequestLog {
    gateway: Rc<Gateway>,
    /// Identifier that the caller gave to this attempt; empty until it is known.
    pub(super) request_id: String,
    /// Name of the route; empty until it is known.
    pub(super) route: String,
    arrived: Duration,
    ended: bool,
    _open: OpenRequestGuard,
}

impl RequestLog {
    pub(super) fn begin(gateway: &Rc<Gateway>) -> RequestLog {
        RequestLog {
            gateway: Rc::clone(gateway),
            request_id: String::new(),
            route: String::new(),
            arrived: gateway.now(),
            ended: false,
            _open: OpenRequestGuard::begin(gateway),
        }
    }

    /// Returns the time since the request arrived.
    pub fn age(&self) -> Duration {
        self.gateway.now().saturating_sub(self.arrived)
    }

    /// Records how the request ended; `status` is 0 if no answer was sent.
    pub fn record_end(&mut self, outcome: &'static str, status: u16, detail: &str) {
        self.ended = true;
        let age = self.age();
        self.gateway.metrics.count_request(&self.route, outcome);
        self.gateway.metrics.record_latency("request", &self.route, age);
        self.gateway.journal.note(
            "request-ended",
            Some(&self.request_id),
            o!("outcome" => outcome, "status" => status, "detail" => detail.to_string(),
               "route" => self.route.clone(), "after_ms" => age.as_millis() as u64),
        );
    }

    /// Records that the gateway itself refused the request.
    pub fn record_refusal(&mut self, refusal: &Refusal) {
        self.gateway.metrics.count_refusal(refusal.kind.name());
        self.record_end("refused", refusal_status(refusal).as_u16(), refusal.kind.name());
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        if !self.ended {
            self.record_end("caller-left", 0, "the caller closed its connection");
        }
    }
}
