//! Which few entries an agent announces itself to.
//!
//! Entries are chosen by rendezvous hash of the agent's id among those that are live and
//! reachable: preferably one in the agent's zone and the others in other zones.

use std::time::Duration;

use crate::ids::FastMap;
use crate::ids::MemberId;
use crate::ids::ZoneName;
use crate::member::MemberRecord;
use crate::member::MemberState;
use crate::member::select_by_rendezvous;

/// Number of entries that an agent announces itself to.
pub const ASSIGNED_ENTRIES: usize = 3;
/// Time for which an entry is not chosen after a failure.
const FAILURE_BACKOFF: Duration = Duration::from_secs(3);

/// Entries known to an agent, and the recent failures of them.
#[derive(Debug, Clone)]
pub struct EntryAssignment {
    id: MemberId,
    zone: ZoneName,
    entries: FastMap<MemberId, MemberRecord>,
    failed_at: FastMap<MemberId, Duration>,
}

impl EntryAssignment {
    /// Creates an assignment without entries for the agent `id` in `zone`.
    pub fn new(id: &str, zone: &str) -> EntryAssignment {
        EntryAssignment {
            id: id.to_string(),
            zone: zone.to_string(),
            entries: FastMap::default(),
            failed_at: FastMap::default(),
        }
    }

    /// Records an entry; older records and records of backend servers are ignored.
    ///
    /// A newer record of a live entry clears its failure.
    pub fn record_entry(&mut self, record: MemberRecord) {
        if record.service.is_some() {
            return;
        }
        let known = self.entries.get(&record.id);
        if known.is_some_and(|known| known.freshness() >= record.freshness()) {
            return;
        }
        if record.state == MemberState::Live {
            self.failed_at.remove(&record.id);
        }
        self.entries.insert(record.id.clone(), record);
    }

    /// Records that an entry could not be reached or did not reply.
    pub fn record_failure(&mut self, now: Duration, id: &str) {
        self.failed_at.insert(id.to_string(), now);
    }

    /// Returns the entries to announce to: one in the agent's zone and the rest elsewhere.
    ///
    /// If other zones have too few usable entries, more are taken from the agent's zone.
    pub fn assigned_entries(&self, now: Duration) -> Vec<MemberRecord> {
        let usable = |record: &&MemberRecord| {
            let failure = self.failed_at.get(&record.id);
            record.state == MemberState::Live
                && failure.is_none_or(|at| *at + FAILURE_BACKOFF < now)
        };
        let in_zone =
            self.entries.values().filter(usable).filter(|record| record.zone == self.zone);
        let in_zone = self.top_ranked(in_zone, 1);
        let elsewhere =
            self.entries.values().filter(usable).filter(|record| record.zone != self.zone);
        let mut assigned = in_zone;
        assigned.extend(self.top_ranked(elsewhere, ASSIGNED_ENTRIES - assigned.len()));
        if assigned.len() < ASSIGNED_ENTRIES {
            let rest = self.entries.values().filter(usable);
            let rest = rest.filter(|record| assigned.iter().all(|entry| entry.id != record.id));
            let rest = self.top_ranked(rest, ASSIGNED_ENTRIES - assigned.len());
            assigned.extend(rest);
        }
        assigned
    }

    fn top_ranked<'a>(
        &self,
        records: impl Iterator<Item = &'a MemberRecord>,
        count: usize,
    ) -> Vec<MemberRecord> {
        let ids: Vec<&str> = records.map(|record| record.id.as_str()).collect();
        let top_ranked = select_by_rendezvous(self.id.as_bytes(), ids.into_iter(), count);
        top_ranked.into_iter().filter_map(|id| self.entries.get(id)).cloned().collect()
    }
}
