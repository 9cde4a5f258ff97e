//! The few entries to which an agent announces itself.

use std::time::Duration;

use crate::ids::FastMap;
use crate::ids::MemberId;
use crate::ids::ZoneName;
use crate::member::MemberRecord;
use crate::member::MemberState;
use crate::member::select_by_rendezvous;

/// Entries to which an agent announces itself.
pub const ASSIGNED_ENTRIES: usize = 3;
/// Time for which an entry that failed is passed over.
const FAILED_PAUSE: Duration = Duration::from_secs(3);

/// Entries that an agent knows, and which of them it announces to.
#[derive(Debug, Clone)]
pub struct EntryAssignment {
    id: MemberId,
    zone: ZoneName,
    entries: FastMap<MemberId, MemberRecord>,
    failed: FastMap<MemberId, Duration>,
}

impl EntryAssignment {
    /// Starts without entries, for the agent `id` in `zone`.
    pub fn new(id: &str, zone: &str) -> EntryAssignment {
        EntryAssignment {
            id: id.to_string(),
            zone: zone.to_string(),
            entries: FastMap::default(),
            failed: FastMap::default(),
        }
    }

    /// Takes in a record of an entry.
    pub fn record_entry(&mut self, record: MemberRecord) {
        if record.service.is_some() {
            return;
        }
        let known = self.entries.get(&record.id);
        if known.is_some_and(|known| known.freshness() >= record.freshness()) {
            return;
        }
        if record.state == MemberState::Live {
            self.failed.remove(&record.id);
        }
        self.entries.insert(record.id.clone(), record);
    }

    /// Notes that an entry could not be reached or did not reply.
    pub fn record_failure(&mut self, now: Duration, id: &str) {
        self.failed.insert(id.to_string(), now);
    }

    /// Returns the entries to announce to: one in the own zone, the rest elsewhere.
    pub fn assigned_entries(&self, now: Duration) -> Vec<MemberRecord> {
        let usable = |record: &&MemberRecord| {
            let failed = self.failed.get(&record.id);
            record.state == MemberState::Live && failed.is_none_or(|at| *at + FAILED_PAUSE < now)
        };
        let near = self.entries.values().filter(usable).filter(|record| record.zone == self.zone);
        let near = self.nearest(near, 1);
        let others = self.entries.values().filter(usable).filter(|r| r.zone != self.zone);
        let mut homes = near;
        homes.extend(self.nearest(others, ASSIGNED_ENTRIES - homes.len()));
        if homes.len() < ASSIGNED_ENTRIES {
            let rest = self.entries.values().filter(usable);
            let rest = rest.filter(|record| homes.iter().all(|home| home.id != record.id));
            let rest = self.nearest(rest, ASSIGNED_ENTRIES - homes.len());
            homes.extend(rest);
        }
        homes
    }

    /// Whether no entry is usable, so that the platform's list should be read.
    pub fn has_no_usable_entry(&self, now: Duration) -> bool {
        self.assigned_entries(now).is_empty()
    }

    fn nearest<'a>(
        &self,
        records: impl Iterator<Item = &'a MemberRecord>,
        count: usize,
    ) -> Vec<MemberRecord> {
        let ids: Vec<&str> = records.map(|record| record.id.as_str()).collect();
        let nearest = select_by_rendezvous(self.id.as_bytes(), ids.into_iter(), count);
        nearest.into_iter().filter_map(|id| self.entries.get(id)).cloned().collect()
    }
}
