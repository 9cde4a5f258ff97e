//! Size of the updates that gateways send each other on their demand.

use cuminpick::demand_meter::OwnDemand;
use cuminpick::demand_meter::SEND_INTERVALS;
use cuminpick::demand_meter::entry_limit;
use cuminpick::updates::DemandEntry;
use cuminpick::updates::DemandUpdate;
use cuminpick::updates::UpdateMessage;
use cuminpick::updates::update_interval;

/// Returns the bytes of an update of a gateway with a full queue of 600 organisations in three
/// priorities.
fn update_bytes(gateways: usize) -> usize {
    let (from, service) = ("gateway-000".to_string(), "model".to_string());
    let entries = (0..600).map(|index| DemandEntry {
        priority: (index % 3) as u8,
        organisation: Some(u32::MAX - index),
        waiting: if index < 200 { 2 } else { 1 },
        arrived: 1,
    });
    let listed = entry_limit(gateways, from.len() + service.len(), 3);
    let own = OwnDemand { entries: entries.collect(), listed, ..OwnDemand::default() };
    let update = DemandUpdate { from, service, entries: own.listed_entries() };
    postcard::to_stdvec(&UpdateMessage::Demand(update)).unwrap().len()
}

/// The exchange must not take the bandwidth of a gateway.
#[test]
fn bounded_bandwidth() {
    for gateways in [16, 24, 350] {
        let seconds = (update_interval(gateways) * SEND_INTERVALS).as_secs_f64();
        let rate = (gateways - 1) as f64 * update_bytes(gateways) as f64 / seconds;
        assert!(rate <= 8_192.0, "{gateways}: {rate} bytes per second");
    }
}

/// A fragmented update would be lost with any of its fragments.
#[test]
fn one_packet() {
    assert!(update_bytes(2) < 1_400, "{} bytes", update_bytes(2));
}
