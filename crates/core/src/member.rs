//! The entries and backend servers that a process knows.
//!
//! A member's record carries its incarnation (a new one for every start) and a
//! sequence that the member alone raises, except that an observer that finds it
//! dead marks the same sequence as gone. The higher (incarnation, sequence,
//! state) wins, so a member that is wrongly marked gone refutes it by raising
//! its sequence.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::FastMap;
use crate::ids::MemberId;
use crate::ids::ServiceName;
use crate::ids::ZoneName;
use crate::ids::hash_parts;

/// Buckets in which members are hashed for anti-entropy.
pub const MEMBER_BUCKETS: usize = 64;
/// Time for which a gone member is remembered, so that old news cannot revive it.
pub const GONE_RETENTION: Duration = Duration::from_secs(600);

/// Life of a member as far as is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// Takes part.
    Live,
    /// Finishes what it has and takes nothing new.
    Leaving,
    /// Has left or was found dead.
    Gone,
}

/// What a member says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Identity.
    pub id: MemberId,
    /// IP and port of its tonic server.
    pub address: String,
    /// Availability zone.
    pub zone: ZoneName,
    /// Service offered; `None` for an entry.
    pub service: Option<ServiceName>,
    /// New for every start of the process; wall milliseconds of the start.
    pub incarnation: u64,
    /// Raised by the member with every change of the record.
    pub sequence: u64,
    /// Life.
    pub state: MemberState,
}

impl MemberRecord {
    /// Order of news about one member.
    pub fn freshness(&self) -> (u64, u64, MemberState) {
        (self.incarnation, self.sequence, self.state)
    }

    fn hash(&self) -> u64 {
        hash_parts(&[
            self.id.as_bytes(),
            &self.incarnation.to_le_bytes(),
            &self.sequence.to_le_bytes(),
            &[self.state as u8],
        ])
    }
}

/// A member with what this process adds to its record.
#[derive(Debug, Clone)]
pub struct KnownMember {
    /// Newest record.
    pub record: MemberRecord,
    /// When this process last heard the member itself.
    pub last_heard: Option<Duration>,
    changed_at: Duration,
}

/// Members by id.
#[derive(Debug, Clone)]
pub struct MemberTable {
    members: FastMap<MemberId, KnownMember>,
    buckets: [u64; MEMBER_BUCKETS],
}

impl Default for MemberTable {
    fn default() -> MemberTable {
        MemberTable { members: FastMap::default(), buckets: [0; MEMBER_BUCKETS] }
    }
}

impl MemberTable {
    /// Takes in a record; returns whether it was news.
    pub fn merge(&mut self, now: Duration, record: MemberRecord) -> bool {
        let bucket = member_bucket(&record.id);
        let last_heard = match self.members.get(&record.id) {
            Some(known) if known.record.freshness() >= record.freshness() => return false,
            Some(known) => {
                self.buckets[bucket] ^= known.record.hash();
                known.last_heard
            }
            None => None,
        };
        self.buckets[bucket] ^= record.hash();
        let id = record.id.clone();
        self.members.insert(id, KnownMember { record, last_heard, changed_at: now });
        true
    }

    /// Notes that the member itself was heard.
    pub fn record_contact(&mut self, now: Duration, id: &str) {
        if let Some(known) = self.members.get_mut(id) {
            known.last_heard = Some(now);
        }
    }

    /// Marks a member gone as of the record known; returns the new record.
    pub fn mark_gone(&mut self, now: Duration, id: &str) -> Option<MemberRecord> {
        let mut record = self.members.get(id)?.record.clone();
        record.state = MemberState::Gone;
        self.merge(now, record.clone()).then_some(record)
    }

    /// Returns members heard directly before `now - silence` and not since.
    pub fn silent_members(&self, now: Duration, silence: Duration) -> Vec<MemberId> {
        self.members
            .values()
            .filter(|known| known.record.state != MemberState::Gone)
            .filter(|known| known.last_heard.is_some_and(|heard| heard + silence < now))
            .map(|known| known.record.id.clone())
            .collect()
    }

    /// Forgets members that have been gone for [`GONE_RETENTION`].
    pub fn remove_expired(&mut self, now: Duration) {
        let buckets = &mut self.buckets;
        self.members.retain(|id, known| {
            let old =
                known.record.state == MemberState::Gone && known.changed_at + GONE_RETENTION < now;
            if old {
                buckets[member_bucket(id)] ^= known.record.hash();
            }
            !old
        });
    }

    /// Returns what is known of a member.
    pub fn get(&self, id: &str) -> Option<&KnownMember> {
        self.members.get(id)
    }

    /// Lists all records.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|known| &known.record)
    }

    /// Lists live entries.
    pub fn live_entries(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records()
            .filter(|record| record.service.is_none() && record.state == MemberState::Live)
    }

    /// Returns the number of members known.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no member is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns one hash for each bucket of members, equal for equal tables.
    pub fn bucket_hashes(&self) -> [u64; MEMBER_BUCKETS] {
        self.buckets
    }
}

/// Returns the bucket of a member.
pub fn member_bucket(id: &str) -> usize {
    (hash_parts(&[id.as_bytes()]) % MEMBER_BUCKETS as u64) as usize
}

/// Returns the `count` members of `ids` with the highest rendezvous hash for `key`.
pub fn select_by_rendezvous<'a>(
    key: &[u8],
    ids: impl Iterator<Item = &'a str>,
    count: usize,
) -> Vec<&'a str> {
    let mut ranked: Vec<(u64, &str)> =
        ids.map(|id| (hash_parts(&[key, id.as_bytes()]), id)).collect();
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, id)| id).collect()
}
