//! Holds streams back that would make a group's passes too slow.

use std::rc::Rc;
use std::time::Duration;

use cuminpick::admission::GateRequest;
use cuminpick::admission::GateVerdict;
use cuminpick::admission::GroupLoad;
use cuminpick::admission::StreamGate;
use cuminpick::admission::stream_limit;
use cuminpick::breaker::BreakerState;
use cuminpick::breaker::CircuitBreaker;
use cuminpick::ids::FastMap;
use cuminpick::ids::RequestId;
use slog::o;
use tokio::sync::oneshot;

use crate::state::Gateway;

/// Interval at which waiting streams are looked at; a pass takes 40 ms or more.
const PUMP_INTERVAL: Duration = Duration::from_millis(10);

/// Gate of one service with those who wait at it.
#[derive(Default)]
pub struct ServiceGate {
    gate: StreamGate,
    breaker: CircuitBreaker,
    waiters: FastMap<RequestId, oneshot::Sender<Option<Duration>>>,
}

/// Waits until a stream is let in; returns when to come back if it is refused.
pub async fn wait_at_gate(
    gateway: &Rc<Gateway>,
    service: &str,
    asking: GateRequest,
) -> Option<Duration> {
    let (sender, verdict) = oneshot::channel();
    let request = asking.request;
    let waiting = {
        let mut gates = gateway.gates.borrow_mut();
        let gate = gates.entry(service.to_string()).or_default();
        if !gate.gate.ask(asking) {
            return Some(gate.gate.retry_after());
        }
        gate.waiters.insert(request, sender);
        gate.gate.waiting()
    };
    let place = GatePlace { gateway: Rc::clone(gateway), service: service.to_string(), request };
    pump_service(gateway, service);
    let verdict = verdict.await.unwrap_or_default();
    drop(place);
    if waiting > 1 || verdict.is_some() {
        gateway.journal.note(
            "gate-passed",
            None,
            o!("service" => service.to_string(), "waiting" => waiting,
               "refused" => verdict.is_some()),
        );
    }
    verdict
}

/// Place at a gate that is given up when the caller leaves.
struct GatePlace {
    gateway: Rc<Gateway>,
    service: String,
    request: RequestId,
}

impl Drop for GatePlace {
    fn drop(&mut self) {
        if let Some(gate) = self.gateway.gates.borrow_mut().get_mut(&self.service)
            && gate.waiters.remove(&self.request).is_some()
        {
            gate.gate.forget(self.request);
        }
    }
}

/// Notes that a server of a service turned a stream away.
pub fn note_refusal(gateway: &Gateway, service: &str) {
    let now = gateway.now();
    let mut gates = gateway.gates.borrow_mut();
    if gates.entry(service.to_string()).or_default().breaker.note_refusal(now) {
        gateway.journal.warn("service-turns-away", o!("service" => service.to_string()));
    }
}

/// Notes that a server of a service serves a stream.
pub fn note_success(gateway: &Gateway, service: &str) {
    let mut gates = gateway.gates.borrow_mut();
    if gates.entry(service.to_string()).or_default().breaker.note_success() {
        gateway.journal.note("service-back", None, o!("service" => service.to_string()));
    }
}

/// Looks at all gates at intervals.
pub async fn pump_gates(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(PUMP_INTERVAL).await;
        let waiting: Vec<String> = {
            let gates = gateway.gates.borrow();
            let busy = gates.iter().filter(|(_, gate)| gate.gate.waiting() > 0);
            busy.map(|(service, _)| service.clone()).collect()
        };
        for service in waiting {
            pump_service(&gateway, &service);
        }
    }
}

/// Decides on the streams that wait for a service.
fn pump_service(gateway: &Rc<Gateway>, service: &str) {
    let now = gateway.now();
    let room = room_for(gateway, service, now);
    let mut gates = gateway.gates.borrow_mut();
    let Some(gate) = gates.get_mut(service) else {
        return;
    };
    let room = match gate.breaker.state(now) {
        BreakerState::Closed => room,
        BreakerState::Probing => room.min(1),
        BreakerState::Open => 0,
    };
    for verdict in gate.gate.pump(now, room) {
        let (request, answer) = match verdict {
            GateVerdict::Admit(request) => {
                if gate.breaker.state(now) == BreakerState::Probing {
                    gate.breaker.note_probe(now);
                }
                (request, None)
            }
            GateVerdict::Refuse(request, retry) => (request, Some(retry)),
        };
        if let Some(waiter) = gate.waiters.remove(&request) {
            // A caller that left has taken its place back already.
            let _ = waiter.send(answer);
        }
    }
}

/// Returns how many further streams a service has room for.
fn room_for(gateway: &Gateway, service: &str, now: Duration) -> u32 {
    let Some(table) = gateway.table() else {
        return u32::MAX;
    };
    let model = table.service(service).and_then(|spec| spec.engine.as_ref());
    let (Some(model), Some(target)) = (model, table.shortest_gap(service)) else {
        return u32::MAX;
    };
    let (streams, ranks) = {
        let balance = gateway.balance.borrow();
        (balance.service_load(service).0, balance.in_force(service))
    };
    let pause = gateway.pauses.borrow().get(service).and_then(|meter| meter.mean(now));
    let load = GroupLoad { ranks, streams, pause };
    stream_limit(model, &load, target).map_or(u32::MAX, |limit| limit.saturating_sub(streams))
}
