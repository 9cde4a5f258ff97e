//! Chooses a unit, and a server of it, for an attempt at a service with several units.

use std::time::Duration;

use cuminpick::admission::GroupLoad;
use cuminpick::balance::BalanceChoice;
use cuminpick::balance::BalanceQuery;
use cuminpick::balance::ChoiceError;
use cuminpick::groups::UnitName;
use cuminpick::ids::ChoiceRng;
use cuminpick::units::UnitCapacity;
use cuminpick::units::UnitState;
use cuminpick::units::choose_unit;
use cuminpick::units::unit_capacity;

use crate::service_rate::on_time_demand;
use crate::state::Gateway;
use crate::unit_tracking::unit_at;

/// Time after which a stream that may not be sent again may be the probe of a lost unit: other
/// streams have been probes before, if there are any.
const OVERDUE_PROBE_AGE: Duration = Duration::from_secs(10);

/// Whether a request may be the probe of a lost unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeRule {
    /// It may not: its answer would not show that the unit serves streams.
    Never,
    /// It may be when a probe is due: it may be sent again.
    WhenDue,
    /// It may be once the unit has been lost for [`OVERDUE_PROBE_AGE`].
    WhenOverdue,
}

/// A unit that has servers, as known to this gateway.
#[derive(Debug, Clone)]
pub struct UnitView {
    /// Name of the unit.
    pub unit: UnitName,
    /// Whether it gets no streams but probes.
    pub is_lost: bool,
    /// What it can take.
    pub capacity: UnitCapacity,
    /// Streams that run there, over all gateways.
    pub streams: u32,
    /// Those of this gateway among them.
    pub own_streams: u32,
    /// Smoothed time between events, if known.
    pub event_gap: Option<Duration>,
}

/// Returns the units of a service that have servers, in order of their names.
pub fn unit_views(gateway: &Gateway, service: &str, now: Duration) -> Vec<UnitView> {
    let table = gateway.routing_table();
    let spec = table.as_ref().and_then(|table| table.service(service));
    let model = spec.and_then(|spec| spec.engine.as_ref());
    let target = table.as_ref().and_then(|table| table.shortest_event_gap(service));
    let groups = gateway.groups.borrow();
    let servers = groups.servers(service);
    let group_of = |address| servers.and_then(|servers| servers.get(&address));
    let loads = gateway.balance.borrow().unit_loads(service, group_of);
    let demand = on_time_demand(gateway, service, now);
    let all_ranks: usize = loads.values().map(|load| load.ranks).sum();
    let gates = gateway.gates.borrow();
    let gate = gates.get(service);
    let mut views: Vec<UnitView> = loads
        .into_iter()
        .filter(|(_, load)| load.ranks > 0)
        .map(|(group, load)| {
            let unit = group.cloned();
            let state = gate.and_then(|gate| gate.units.get(&unit));
            let event_gap = state.and_then(|state| state.recent_gap(now));
            let (ranks, slots, streams) = (load.ranks, load.slots, load.streams);
            let group_load = GroupLoad { ranks, slots, streams, event_gap };
            let capacity = match (model, target) {
                (Some(model), Some(target)) => {
                    let part = load.ranks as f64 / all_ranks.max(1) as f64;
                    let demand = demand.map(|demand| demand.part(part));
                    // Servers without a group may be ranks of one that has not formed yet.
                    let is_starting =
                        unit.is_none() || state.is_some_and(|state| state.is_starting(now));
                    unit_capacity(model, &group_load, target, is_starting, demand)
                }
                _ => UnitCapacity { total: u32::MAX, overdue: u32::MAX, ranks },
            };
            let is_lost = state.is_some_and(|state| state.is_lost(now));
            UnitView { unit, is_lost, capacity, streams, own_streams: load.own_streams, event_gap }
        })
        .collect();
    views.sort_by(|left, right| left.unit.cmp(&right.unit));
    views
}

/// Chooses a server: of a lost unit if a probe is due and the request may be one, otherwise of a
/// unit that serves, drawn in proportion to its free places.
pub fn choose_in_units(
    gateway: &Gateway,
    query: &BalanceQuery<'_>,
    rng: &mut ChoiceRng,
    probe_rule: ProbeRule,
) -> Result<BalanceChoice, ChoiceError> {
    let now = gateway.now();
    let views = unit_views(gateway, query.service, now);
    let (lost, serving): (Vec<UnitView>, Vec<UnitView>) =
        views.into_iter().partition(|view| view.is_lost);
    if serving.is_empty() {
        let choice = match last_probed(gateway, query.service, &lost) {
            Some(unit) => choose_in_unit(gateway, query, rng, &unit),
            None => Err(ChoiceError::AllTried),
        };
        return choice.or_else(|_| gateway.balance.borrow().choose(now, query, rng));
    }
    if let Some(choice) = choose_probe(gateway, query, rng, &lost, probe_rule) {
        return Ok(choice);
    }
    let tried = tried_units(gateway, query);
    let is_preferred = |view: &UnitView| view.capacity.total > 0 && !tried.contains(&view.unit);
    let (preferred, others): (Vec<UnitView>, Vec<UnitView>) =
        serving.into_iter().partition(is_preferred);
    let choice = draw_server(gateway, query, rng, preferred);
    choice.or_else(|failure| {
        let choice = draw_server(gateway, query, rng, others);
        choice.map_err(|later| if later == ChoiceError::AllTried { failure } else { later })
    })
}

/// Returns the units of the servers that were tried. A connection that broke may be the first sign
/// that their group is lost, so units without such a server are preferred.
fn tried_units(gateway: &Gateway, query: &BalanceQuery<'_>) -> Vec<UnitName> {
    let balance = gateway.balance.borrow();
    let locations = query.excluded.iter().filter_map(|server| balance.location_of(server));
    locations.map(|(service, address)| unit_at(gateway, &service, address)).collect()
}

/// Chooses a server of one of the units, drawn in proportion to their free places; of the others if
/// that one has none.
fn draw_server(
    gateway: &Gateway,
    query: &BalanceQuery<'_>,
    rng: &mut ChoiceRng,
    mut units: Vec<UnitView>,
) -> Result<BalanceChoice, ChoiceError> {
    let mut failure = ChoiceError::AllTried;
    while !units.is_empty() {
        let capacities: Vec<UnitCapacity> =
            units.iter().map(|view| view.capacity.clone()).collect();
        let drawn = choose_unit(&capacities, rng.next_bits()).unwrap_or(0);
        let view = units.swap_remove(drawn);
        match choose_in_unit(gateway, query, rng, &view.unit) {
            Ok(choice) => return Ok(choice),
            Err(ChoiceError::AllTried | ChoiceError::NoneAvailable) => {}
            Err(error) => failure = error,
        }
    }
    Err(failure)
}

fn choose_in_unit(
    gateway: &Gateway,
    query: &BalanceQuery<'_>,
    rng: &mut ChoiceRng,
    unit: &UnitName,
) -> Result<BalanceChoice, ChoiceError> {
    let groups = gateway.groups.borrow();
    let servers = groups.servers(query.service);
    let group_of = |address| servers.and_then(|servers| servers.get(&address));
    let balance = gateway.balance.borrow();
    balance.choose_among(gateway.now(), query, rng, |address| group_of(address) == unit.as_ref())
}

/// Chooses a server of a lost unit to which a probe is due.
fn choose_probe(
    gateway: &Gateway,
    query: &BalanceQuery<'_>,
    rng: &mut ChoiceRng,
    lost: &[UnitView],
    probe_rule: ProbeRule,
) -> Option<BalanceChoice> {
    let now = gateway.now();
    let gateways = gateway.balance.borrow().live_gateways();
    let min_age = match probe_rule {
        ProbeRule::Never => return None,
        ProbeRule::WhenDue => Duration::ZERO,
        ProbeRule::WhenOverdue => OVERDUE_PROBE_AGE,
    };
    let is_due = |state: &UnitState| {
        let is_old_enough = state.loss().is_some_and(|loss| now >= loss.since + min_age);
        is_old_enough && state.is_probe_due(now, gateways)
    };
    let due = {
        let gates = gateway.gates.borrow();
        let units = &gates.get(query.service)?.units;
        lost.iter().find(|view| units.get(&view.unit).is_some_and(is_due))?
    };
    let choice = choose_in_unit(gateway, query, rng, &due.unit).ok()?;
    let mut gates = gateway.gates.borrow_mut();
    gates.get_mut(query.service)?.unit(&due.unit).record_probe(now);
    Some(choice)
}

/// Returns the unit for which the gate admitted the last probe while all units are lost.
fn last_probed(gateway: &Gateway, service: &str, lost: &[UnitView]) -> Option<UnitName> {
    let gates = gateway.gates.borrow();
    let units = &gates.get(service)?.units;
    let probed = lost.iter().filter_map(|view| {
        let probed_at = units.get(&view.unit)?.last_probe_at()?;
        Some((probed_at, view.unit.clone()))
    });
    probed.max().map(|(_, unit)| unit)
}
