//! Demand for capacity, exchanged with the other gateways while it exceeds the capacity.

use cuminpick::updates::DemandUpdate;

use crate::state::Gateway;

/// Records the demand of another gateway.
pub fn apply_demand_update(_gateway: &Gateway, _update: DemandUpdate) {}

/// Returns the demand to send to the other gateways now; empty while all of it is met.
pub fn take_demand_updates(_gateway: &Gateway) -> Vec<DemandUpdate> {
    Vec::new()
}
