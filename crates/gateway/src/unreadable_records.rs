//! Handles records of the store that cannot be read or used: each is logged with its name and
//! counted, and no other is affected.

use std::time::Duration;

use cuminpick_platform::store::EVACUATION_KIND;
use cuminpick_platform::store::ObjectKind;
use cuminpick_platform::store::SERVER_KIND;
use cuminpick_platform::store::UnreadableEntry;
use slog::o;

use crate::state::Gateway;

/// Minimum interval between listings that are due because a change names no object. Its writer may
/// repeat it with each heartbeat, and a listing of 4,800 servers takes 2 MB.
const NAMELESS_LISTING_INTERVAL: Duration = Duration::from_secs(10);

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
    for entry in entries {
        log_unreadable_entry(gateway, kind, entry);
        match (kind, &entry.name) {
            (SERVER_KIND, Some(name)) => discard_server(gateway, name),
            (EVACUATION_KIND, Some(name)) => {
                gateway.balance.borrow_mut().set_zone_out(name, true);
            }
            _ => {}
        }
    }
}

/// Logs and counts an entry that cannot be read.
pub fn log_unreadable_entry(gateway: &Gateway, kind: ObjectKind, entry: &UnreadableEntry) {
    gateway.metrics.count_unreadable(kind);
    gateway.journal.warn(
        "record-unreadable",
        o!("kind" => kind, "name" => entry.name.clone().unwrap_or_default(),
           "error" => entry.detail.clone()),
    );
}

/// Logs and counts a record that can be read but not used; `error` names it.
pub fn log_unusable_record(gateway: &Gateway, kind: ObjectKind, error: &dyn std::error::Error) {
    gateway.metrics.count_unreadable(kind);
    let detail = error.to_string();
    gateway.journal.warn("record-ignored", o!("kind" => kind, "error" => detail));
}

/// Removes a server whose record names no server to use.
pub fn discard_server(gateway: &Gateway, name: &str) {
    gateway.balance.borrow_mut().discard(name);
    gateway.silence_detector.borrow_mut().remove(name);
}
