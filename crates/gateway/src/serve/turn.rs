//! Turns of the requests that wait while no server of their service takes one.

use std::rc::Rc;
use std::time::Duration;

use cuminpick::capacity_queue::CapacityQueue;
use cuminpick::capacity_queue::TurnRequest;
use cuminpick::ids::RequestId;
use cuminpick::ids::ServiceName;

use crate::state::Gateway;

/// Returns whether requests of a service wait for their turn.
pub(super) fn is_contended(gateway: &Gateway, service: &str) -> bool {
    gateway.capacity_queues.borrow().get(service).is_some_and(CapacityQueue::is_contended)
}

/// Place of a request among those that wait; it is given up when dropped.
pub(super) struct CapacityTurn {
    gateway: Rc<Gateway>,
    service: ServiceName,
    request: RequestId,
    served: bool,
}

impl CapacityTurn {
    /// Joins the waiting requests of a service. If the request would not get a server in time,
    /// returns the expected wait instead.
    pub(super) fn join(
        gateway: &Rc<Gateway>,
        service: &str,
        turn_request: &TurnRequest,
    ) -> Result<CapacityTurn, Duration> {
        let mut queues = gateway.capacity_queues.borrow_mut();
        queues.entry(service.to_string()).or_default().join(gateway.now(), turn_request)?;
        Ok(CapacityTurn {
            gateway: Rc::clone(gateway),
            service: service.to_string(),
            request: turn_request.request,
            served: false,
        })
    }

    /// Gives up the place, since the request got a server.
    pub(super) fn record_served(mut self) {
        self.served = true;
    }

    /// Returns whether it is the request's turn to look for a server.
    pub(super) fn has_come(&self) -> bool {
        let queues = self.gateway.capacity_queues.borrow();
        queues.get(&self.service).is_some_and(|queue| queue.is_in_turn(self.request))
    }
}

impl Drop for CapacityTurn {
    fn drop(&mut self) {
        let now = self.gateway.now();
        if let Some(queue) = self.gateway.capacity_queues.borrow_mut().get_mut(&self.service) {
            queue.leave(now, self.request, self.served);
        }
        self.gateway.capacity_changed.notify_waiters();
    }
}
