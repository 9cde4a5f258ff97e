//! Retries of streams that are given up for their missing first event. The retry is taken from the
//! budget before the attempt is given up: without one, the stream would be lost although its
//! server may still answer.

use cuminpick::event_stream::EventNumber;

use super::Exchange;
use crate::first_event::FirstEventWatch;

impl Exchange {
    /// Returns the watch of an attempt that continues the stream after the event `after`. Only
    /// the first event of all has a target.
    pub(super) fn watch_first_event<'a>(
        &'a self,
        server: &'a str,
        after: Option<EventNumber>,
    ) -> FirstEventWatch<'a> {
        let first_sent = self.arrived.checked_sub(self.elapsed_before_arrival);
        let target_at = first_sent.unwrap_or(self.arrived) + self.route.target_latency;
        let target_at = (after == self.caller_last_event).then_some(target_at);
        FirstEventWatch::new(&self.gateway, &self.service, server, self.attempt_id(), target_at)
    }

    /// Takes the retry of an attempt at `server` that is to be given up; returns false if none is
    /// left or no other server would get it.
    pub(super) fn reserve_retry(&self, server: &str) -> bool {
        let is_reserved = self.has_other_server(server) && self.try_take_retry();
        if is_reserved {
            self.retry_prepaid.set(true);
        }
        is_reserved
    }

    /// Takes a retry from the budget if the next attempt is one and has none reserved; returns
    /// false if none is left.
    pub(super) fn take_retry_budget(&self) -> bool {
        let is_paid = self.retry_prepaid.take() || !self.retry_state.counts_as_retry();
        is_paid || self.try_take_retry()
    }

    fn try_take_retry(&self) -> bool {
        let gateways = self.gateway.balance.borrow().live_or_registered_gateways();
        self.gateway.retry_budget.borrow_mut().try_take(self.gateway.now(), &self.service, gateways)
    }
}
