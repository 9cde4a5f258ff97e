//! Decides for how long servers without a record in the platform's store are kept.
//!
//! A record that is removed while the store serves means that its server is gone. While the
//! store is unavailable servers cannot renew their records, which then expire; the servers are
//! registered again soon after its return. A server without a record is therefore kept for
//! [`LAPSED_RECORD_GRACE`] in which the store serves, counted from the end of the outage in
//! which the record may have expired. Only an outage extends that time. A server is dropped by an
//! answer of the store that was received after its time, since a process whose calls are delayed
//! or cut off may not know yet that the record has returned.

use std::time::Duration;

use crate::ids::FastMap;
use crate::ids::ServerId;
use crate::store_contact::StoreOutage;

/// Time after the return of the store for which servers without a record are kept; the platform
/// promises that live servers are registered again within about two seconds.
const LAPSED_RECORD_GRACE: Duration = Duration::from_millis(2_000);

/// Servers whose records may have expired in an outage of the store.
#[derive(Debug, Clone, Default)]
pub struct LapsedRecords {
    /// Until when a server that is found without a record may have lost it in the last outage.
    window_end: Duration,
    /// Start of the current outage of the store.
    lost_at: Option<Duration>,
    /// Until when each server without a record is kept.
    kept_until: FastMap<ServerId, Duration>,
}

impl LapsedRecords {
    /// Records that the store has been unavailable since `since`.
    pub fn record_loss(&mut self, since: Duration) {
        self.lost_at.get_or_insert(since);
    }

    /// Records the end of an outage. Servers that were without a record before it get the time
    /// back that they lost by it.
    pub fn record_outage(&mut self, outage: StoreOutage) {
        self.lost_at = None;
        let StoreOutage { since, until } = outage;
        let full_end = until + LAPSED_RECORD_GRACE;
        let length = until.saturating_sub(since);
        for kept_until in self.kept_until.values_mut().filter(|kept_until| since < **kept_until) {
            let extended =
                if length < LAPSED_RECORD_GRACE { *kept_until + length } else { full_end };
            *kept_until = extended.min(full_end);
        }
        self.window_end = self.window_end.max(full_end);
    }

    /// Records that the store came back from an older copy at `now`, in which records of live
    /// servers may be missing.
    pub fn record_restore(&mut self, now: Duration) {
        self.lost_at = None;
        self.window_end = now + LAPSED_RECORD_GRACE;
        self.kept_until.values_mut().for_each(|kept_until| *kept_until = self.window_end);
    }

    /// Returns the time for which a server that is found without a record now is kept; zero if
    /// the record cannot have expired in an outage.
    pub fn grace_left(&self, now: Duration) -> Duration {
        self.window_end.saturating_sub(now)
    }

    /// Records that a server has no record, and returns whether it is kept for now.
    pub fn keeps(&mut self, now: Duration, id: &str) -> bool {
        let known = self.kept_until.get(id).copied();
        let kept_until = known.unwrap_or(self.window_end);
        let is_kept = now < kept_until;
        if !is_kept {
            self.kept_until.remove(id);
        } else if known.is_none() {
            self.kept_until.insert(id.to_string(), kept_until);
        }
        is_kept
    }

    /// Records that a server has a record, or is not used any more.
    pub fn forget(&mut self, id: &str) {
        self.kept_until.remove(id);
    }

    /// Returns the number of servers that are kept without a record.
    pub fn len(&self) -> usize {
        self.kept_until.len()
    }

    /// Returns whether no server is kept without a record.
    pub fn is_empty(&self) -> bool {
        self.kept_until.is_empty()
    }

    /// Returns when the records have to be read to decide whether a server is dropped; `None` if
    /// none is kept without a record, or while the store is unavailable.
    pub fn next_expiry(&self) -> Option<Duration> {
        let expiry = self.kept_until.values().min().copied();
        expiry.filter(|_| self.lost_at.is_none())
    }

    /// Removes and returns the servers whose records did not return in time, as the store
    /// answered at `now`; none while the store is unavailable, since no record can return then.
    pub fn take_expired(&mut self, now: Duration) -> Vec<ServerId> {
        if self.lost_at.is_some() {
            return Vec::new();
        }
        self.kept_until.extract_if(|_, kept_until| now >= *kept_until).map(|(id, _)| id).collect()
    }
}
