//! Handles records of the store that cannot be read or used: each is logged with its name and
//! counted, and no other is affected.

use std::time::Duration;

use cuminpick::excerpt::excerpt;
use cuminpick_platform::store::EVACUATION_KIND;
use cuminpick_platform::store::ObjectKind;
use cuminpick_platform::store::SERVER_KIND;
use cuminpick_platform::store::UnreadableEntry;
use slog::o;

use crate::state::Gateway;

/// Minimum interval between listings that are due because a change names no object. Its writer may
/// repeat it with each heartbeat, and a listing of 4,800 servers takes 2 MB.
const NAMELESS_LISTING_INTERVAL: Duration = Duration::from_secs(10);

/// Records of one answer that are logged by themselves.
const MAX_LOGGED_RECORDS: usize = 16;
/// Longest name or error of a record in the log.
const MAX_LOGGED_BYTES: usize = 300;

/// Changes that name no object, and so may have changed any.
#[derive(Debug, Default)]
pub struct NamelessChanges {
    listing: Option<Duration>,
}

impl NamelessChanges {
    /// Returns when the kind has to be listed because of a change at `now`.
    pub fn next_listing(&mut self, now: Duration) -> Duration {
        let next = self.listing.map_or(now, |last| now.max(last + NAMELESS_LISTING_INTERVAL));
        self.listing = Some(next);
        next
    }
}

/// Applies entries that cannot be read: their servers get nothing new, and their zones stay taken
/// out.
pub fn apply_unreadable_entries(gateway: &Gateway, kind: ObjectKind, entries: &[UnreadableEntry]) {
    let mut log = RecordLog::new(gateway, kind);
    for entry in entries {
        log.log_unreadable(entry);
        match (kind, &entry.name) {
            (SERVER_KIND, Some(name)) => discard_server(gateway, name),
            (EVACUATION_KIND, Some(name)) => {
                gateway.balance.borrow_mut().set_zone_out(name, true);
            }
            _ => {}
        }
    }
}

/// Logs and counts the records of one answer that cannot be read or used. Of many only the first are
/// logged by themselves, and how many others there are.
pub struct RecordLog<'a> {
    gateway: &'a Gateway,
    kind: ObjectKind,
    records: usize,
}

impl<'a> RecordLog<'a> {
    /// Creates the log of an answer.
    pub fn new(gateway: &'a Gateway, kind: ObjectKind) -> RecordLog<'a> {
        RecordLog { gateway, kind, records: 0 }
    }

    /// Logs an entry that cannot be read.
    pub fn log_unreadable(&mut self, entry: &UnreadableEntry) {
        if self.count_record() {
            let name = excerpt(entry.name.as_deref().unwrap_or_default(), MAX_LOGGED_BYTES);
            let error = excerpt(&entry.detail, MAX_LOGGED_BYTES);
            let details = o!("kind" => self.kind, "name" => name, "error" => error);
            self.gateway.journal.warn("record-unreadable", details);
        }
    }

    /// Logs a record that can be read but not used; `error` names it.
    pub fn log_unusable(&mut self, error: &dyn std::error::Error) {
        if self.count_record() {
            let detail = excerpt(&error.to_string(), MAX_LOGGED_BYTES);
            let details = o!("kind" => self.kind, "error" => detail);
            self.gateway.journal.warn("record-ignored", details);
        }
    }

    /// Counts a record; returns whether it is logged by itself.
    fn count_record(&mut self) -> bool {
        self.gateway.metrics.count_unreadable(self.kind);
        self.records += 1;
        self.records <= MAX_LOGGED_RECORDS
    }
}

impl Drop for RecordLog<'_> {
    fn drop(&mut self) {
        let others = self.records.saturating_sub(MAX_LOGGED_RECORDS);
        if others > 0 {
            let details = o!("kind" => self.kind, "others" => others);
            self.gateway.journal.warn("records-unusable", details);
        }
    }
}

/// Removes a server whose record names no server to use.
pub fn discard_server(gateway: &Gateway, name: &str) {
    gateway.balance.borrow_mut().discard(name);
    gateway.silence_detector.borrow_mut().remove(name);
}
