//! Which entries watch the platform's object API: a few in each availability zone.
//!
//! The others receive configuration by gossip.

use crate::member::MemberTable;
use crate::member::select_by_rendezvous;

/// Number of entries in a zone that watch the platform.
pub const WATCHERS_PER_ZONE: usize = 2;

/// Returns whether the entry `id` in `zone` watches the platform.
///
/// This also holds while no live entry of the zone is known.
pub fn is_watcher(members: &MemberTable, id: &str, zone: &str) -> bool {
    let zone_entries = members
        .live_entries()
        .filter(|record| record.zone == zone)
        .map(|record| record.id.as_str());
    let watchers = select_by_rendezvous(zone.as_bytes(), zone_entries, WATCHERS_PER_ZONE);
    watchers.is_empty() || watchers.contains(&id)
}
