//! Membership table: the entries and backend servers known to a process.
//!
//! A member's record carries an incarnation, new for every start of the process, and a
//! sequence number that only the member raises. An observer that finds the member dead
//! publishes the record with the same sequence and the state [`MemberState::Gone`]. Of two
//! records the one with the higher (incarnation, sequence, state) wins, so a member that is
//! wrongly marked gone refutes this by raising its sequence.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::FastMap;
use crate::ids::MemberId;
use crate::ids::ServiceName;
use crate::ids::ZoneName;
use crate::ids::hash_parts;

/// Hash buckets of members that anti-entropy compares.
pub const MEMBER_BUCKETS: usize = 64;
/// Time for which a gone member is kept, so that an outdated record cannot revive it.
pub const GONE_RETENTION: Duration = Duration::from_secs(600);

/// Lifecycle state of a member; a later state wins within one sequence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// Running and taking new requests.
    Live,
    /// Shutting down: finishes its requests and takes no new ones.
    Leaving,
    /// Has left or was found dead.
    Gone,
}

/// Description that a member publishes of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Identity, unique in the fleet.
    pub id: MemberId,
    /// IP and port of its gRPC server.
    pub address: String,
    /// Availability zone that the member runs in.
    pub zone: ZoneName,
    /// Service of a backend server; `None` for an entry.
    pub service: Option<ServiceName>,
    /// Start of the process, in milliseconds since the Unix epoch; new for every start.
    pub incarnation: u64,
    /// Raised by the member with every change of its record.
    pub sequence: u64,
    /// Lifecycle state; another member may set it to [`MemberState::Gone`].
    pub state: MemberState,
}

impl MemberRecord {
    /// Returns the key that orders records of one member; the highest is the newest.
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

/// Newest record of a member and what this process observed of it.
#[derive(Debug, Clone)]
pub struct KnownMember {
    /// Newest record that this process knows.
    pub record: MemberRecord,
    /// Time of the member's last announcement to this process; `None` if there was none.
    pub last_heard: Option<Duration>,
    changed_at: Duration,
}

/// All known members by id, with a hash for each bucket of them.
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
    /// Applies a record; returns whether it was newer than the known one.
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

    /// Records an announcement by the member itself; unknown members are ignored.
    pub fn record_contact(&mut self, now: Duration, id: &str) {
        if let Some(known) = self.members.get_mut(id) {
            known.last_heard = Some(now);
        }
    }

    /// Marks a member gone under its known sequence and returns the new record.
    ///
    /// Returns `None` if the member is unknown or already gone.
    pub fn mark_gone(&mut self, now: Duration, id: &str) -> Option<MemberRecord> {
        let mut record = self.members.get(id)?.record.clone();
        record.state = MemberState::Gone;
        self.merge(now, record.clone()).then_some(record)
    }

    /// Returns members that last announced themselves more than `silence` ago.
    ///
    /// Gone members and those that never announced themselves here are left out.
    pub fn silent_members(&self, now: Duration, silence: Duration) -> Vec<MemberId> {
        self.members
            .values()
            .filter(|known| known.record.state != MemberState::Gone)
            .filter(|known| known.last_heard.is_some_and(|heard| heard + silence < now))
            .map(|known| known.record.id.clone())
            .collect()
    }

    /// Removes members that have been gone for more than [`GONE_RETENTION`].
    pub fn remove_expired(&mut self, now: Duration) {
        let buckets = &mut self.buckets;
        self.members.retain(|id, known| {
            let expired =
                known.record.state == MemberState::Gone && known.changed_at + GONE_RETENTION < now;
            if expired {
                buckets[member_bucket(id)] ^= known.record.hash();
            }
            !expired
        });
    }

    /// Returns the newest record of a member and the observations of it.
    pub fn get(&self, id: &str) -> Option<&KnownMember> {
        self.members.get(id)
    }

    /// Iterates over the records of all members.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|known| &known.record)
    }

    /// Iterates over the records of live entries.
    pub fn live_entries(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records()
            .filter(|record| record.service.is_none() && record.state == MemberState::Live)
    }

    /// Returns the number of known members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether no member is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the hash of each bucket; equal tables have equal hashes.
    pub fn bucket_hashes(&self) -> [u64; MEMBER_BUCKETS] {
        self.buckets
    }
}

/// Returns the bucket of a member, below [`MEMBER_BUCKETS`].
pub fn member_bucket(id: &str) -> usize {
    (hash_parts(&[id.as_bytes()]) % MEMBER_BUCKETS as u64) as usize
}

/// Returns the `count` ids with the highest rendezvous hash for `key`, highest first.
pub fn select_by_rendezvous<'a>(
    key: &[u8],
    ids: impl Iterator<Item = &'a str>,
    count: usize,
) -> Vec<&'a str> {
    let mut hashed_ids: Vec<(u64, &str)> =
        ids.map(|id| (hash_parts(&[key, id.as_bytes()]), id)).collect();
    hashed_ids.sort_unstable_by(|left, right| right.cmp(left));
    hashed_ids.truncate(count);
    hashed_ids.into_iter().map(|(_, id)| id).collect()
}
