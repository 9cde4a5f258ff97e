//! Demand for capacity, exchanged with the other gateways while it exceeds the capacity, and the
//! part of the capacity that this gateway may use meanwhile.

use std::time::Duration;

use cuminpick::admission::StreamGate;
use cuminpick::demand_meter::SEND_INTERVALS;
use cuminpick::demand_shares::AllotmentBasis;
use cuminpick::demand_shares::DemandAllotment;
use cuminpick::demand_shares::DemandTable;
use cuminpick::ids::FastMap;
use cuminpick::ids::ServiceName;
use cuminpick::updates::DemandUpdate;
use cuminpick::updates::update_interval;
use slog::o;

use crate::state::Gateway;

/// Time without a limit after which the end of a shortage is logged; within it, demand may
/// fit in one interval and exceed the capacity in the next.
const SHORTAGE_END: Duration = Duration::from_secs(1);

/// Time after the start of the process within which registered gateways count although they were
/// not heard yet; those that are alive are heard well before.
const START_PERIOD: Duration = Duration::from_secs(2);
/// Number of other gateways from which on the silence of all is taken for a fault of the exchange
/// and not for the loss of each.
const MIN_SILENT_GATEWAYS: usize = 3;

/// How the capacity of a service is divided, as it appears in logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum DivisionState {
    /// All demand fits.
    #[default]
    Fits,
    /// By the demand of all gateways.
    Shared,
    /// By an even share, since no other gateway is heard.
    OwnView,
}

impl DivisionState {
    fn describe(self) -> &'static str {
        match self {
            DivisionState::Fits => "fits",
            DivisionState::Shared => "shared",
            DivisionState::OwnView => "own-view",
        }
    }
}

/// Exchange for one service.
#[derive(Default)]
struct ServiceExchange {
    allotment: Option<DemandAllotment>,
    state: DivisionState,
    /// When an allotment last limited streams.
    limited_at: Duration,
    /// When the demand is told next.
    next_update: Duration,
    /// Whether the other gateways count demand of this one.
    is_told: bool,
}

/// Demand of the other gateways, and what follows from it for each service.
#[derive(Default)]
pub struct DemandExchange {
    table: DemandTable,
    services: FastMap<ServiceName, ServiceExchange>,
}

impl DemandExchange {
    /// Returns the present allotment of this gateway; computes it if the last one has expired.
    /// `capacity` is the number of free places over all gateways.
    pub fn allotment(
        &mut self,
        gateway: &Gateway,
        service: &str,
        stream_gate: &mut StreamGate,
        capacity: u32,
    ) -> &mut DemandAllotment {
        let now = gateway.now();
        let exchange = self.services.entry(service.to_string()).or_default();
        let is_due = exchange.allotment.as_ref().is_none_or(|last| last.expires_at <= now);
        if capacity == u32::MAX {
            exchange.allotment = Some(DemandAllotment::unlimited(now));
        } else if is_due {
            let gateways = count_gateways(gateway);
            let running = gateway.balance.borrow().service_load(service).own_in_flight;
            let mut own = stream_gate.own_demand(now, gateways, name_bytes(gateway, service));
            own.running = running;
            let random = gateway.random_share();
            let allotment = self.table.allotment(now, service, capacity, &own, gateways, random);
            exchange.record_state(gateway, service, &allotment, gateways);
            exchange.allotment = Some(allotment);
        }
        exchange.allotment.get_or_insert_with(|| DemandAllotment::unlimited(now))
    }
}

impl ServiceExchange {
    /// Logs how the capacity is divided when that changes, and sets the metrics.
    fn record_state(
        &mut self,
        gateway: &Gateway,
        service: &str,
        allotment: &DemandAllotment,
        gateways: usize,
    ) {
        let now = gateway.now();
        let basis = &allotment.basis;
        let state = match (allotment.is_limiting(), basis.heard) {
            (false, _) => DivisionState::Fits,
            (true, 0) if gateways > 1 => DivisionState::OwnView,
            (true, _) => DivisionState::Shared,
        };
        if state != DivisionState::Fits {
            self.limited_at = now;
            gateway.metrics.set_state("demand", basis.demand);
            gateway.metrics.set_state("demand_places", basis.places);
        }
        let is_over = now >= self.limited_at + SHORTAGE_END;
        if state == self.state || (state == DivisionState::Fits && !is_over) {
            return;
        }
        self.state = state;
        gateway.metrics.set_state("demand_limited", f64::from(state != DivisionState::Fits));
        gateway.journal.note(
            "demand-division",
            None,
            o!("service" => service.to_string(), "state" => state.describe(),
               "gateways" => gateways, "basis" => describe_basis(basis)),
        );
    }
}

/// Returns the figures behind an allotment, as they appear in logs.
fn describe_basis(basis: &AllotmentBasis) -> String {
    let age = basis.demand_age.map_or("none".to_string(), |age| age.as_millis().to_string());
    let AllotmentBasis { places, demand, own_demand, heard, .. } = basis;
    format!("places {places:.1} demand {demand:.1} own {own_demand:.1} heard {heard} age_ms {age}")
}

/// Returns what an allotment gave to a priority, -1 if it was not limited, and the demand on which
/// it is based, as they appear in logs.
pub fn describe_allotment(gateway: &Gateway, service: &str, priority: u8) -> (i64, String) {
    let exchange = gateway.demand.borrow();
    let allotment = exchange.services.get(service).and_then(|exchange| exchange.allotment.as_ref());
    let places = allotment.and_then(|allotment| allotment.places(priority));
    let basis = allotment.map(|allotment| describe_basis(&allotment.basis)).unwrap_or_default();
    (places.map_or(-1, i64::from), basis)
}

/// Returns the number of gateways between which capacity is divided, including this one: those
/// that are heard. A gateway that hears none, since it has just started or since nothing reaches
/// it, counts those that are registered.
fn count_gateways(gateway: &Gateway) -> usize {
    let balance = gateway.balance.borrow();
    let (live, registered) = (balance.live_gateways(), balance.live_or_registered_gateways());
    let is_cut_off = live == 1 && registered > MIN_SILENT_GATEWAYS;
    if gateway.now() < START_PERIOD || is_cut_off { registered } else { live }
}

fn name_bytes(gateway: &Gateway, service: &str) -> usize {
    gateway.settings.node.len() + service.len()
}

/// Records that an update of any kind came from another gateway.
pub fn record_contact(gateway: &Gateway, from: &str) {
    gateway.demand.borrow_mut().table.record_contact(gateway.now(), from);
}

/// Records the demand of another gateway. That for a service which is not configured is ignored.
pub fn apply_demand_update(gateway: &Gateway, update: DemandUpdate) {
    let is_known =
        gateway.routing_table().is_some_and(|table| table.service(&update.service).is_some());
    if is_known {
        gateway.demand.borrow_mut().table.apply(gateway.now(), update);
    }
}

/// Returns the demand to send to the other gateways now; empty while all of it is met.
pub fn take_demand_updates(gateway: &Gateway) -> Vec<DemandUpdate> {
    let now = gateway.now();
    let gateways = count_gateways(gateway);
    let mut gates = gateway.gates.borrow_mut();
    let mut demand = gateway.demand.borrow_mut();
    let mut updates = Vec::new();
    for (service, gate) in gates.iter_mut() {
        let name_bytes = name_bytes(gateway, service);
        let own = gate.stream_gate_mut().own_demand(now, gateways, name_bytes);
        let exchange = demand.services.entry(service.clone()).or_default();
        let entries = if own.is_unmet { own.listed_entries() } else { Vec::new() };
        let is_due =
            if entries.is_empty() { exchange.is_told } else { exchange.next_update <= now };
        if !is_due {
            continue;
        }
        exchange.is_told = !entries.is_empty();
        if exchange.is_told {
            // This is called once in an interval, at about the same time.
            let interval = update_interval(gateways);
            exchange.next_update = now + interval * SEND_INTERVALS - interval / 2;
        }
        let from = gateway.settings.node.clone();
        updates.push(DemandUpdate { from, service: service.clone(), entries });
    }
    updates
}
