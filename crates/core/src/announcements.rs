//! Remembers what servers announced in their answers: that they leave, or want a pause.
//!
//! An announcement holds for one incarnation of a server: neither a later one under the same
//! id nor another server at its address is affected. It outlives the server's record, which
//! may be missing for a moment after the store was away.

use std::time::Duration;

use crate::crash_detection::ServerIncarnation;
use crate::ids::FastMap;
use crate::ids::ServerId;

/// Servers whose announcements are kept, the oldest out first; the largest site has 4,800.
pub const MAX_ANNOUNCEMENTS: usize = 16_384;

#[derive(Debug, Clone, Copy)]
struct Announcement {
    started_ms: u64,
    heard_at: Duration,
    leaving_since: Option<Duration>,
    paused_until: Duration,
}

/// Latest announcements of each server.
#[derive(Debug, Clone, Default)]
pub struct AnnouncementLog {
    announcements: FastMap<ServerId, Announcement>,
}

impl AnnouncementLog {
    /// Records that an incarnation of a server announced that it leaves; returns whether that
    /// is new.
    pub fn record_leaving(&mut self, now: Duration, incarnation: &ServerIncarnation) -> bool {
        let Some(known) = self.entry(now, incarnation) else {
            return false;
        };
        let is_new = known.leaving_since.is_none();
        known.leaving_since.get_or_insert(now);
        is_new
    }

    /// Records that an incarnation of a server wants no requests from this gateway for a time.
    pub fn record_pause(
        &mut self,
        now: Duration,
        incarnation: &ServerIncarnation,
        pause: Duration,
    ) {
        if let Some(known) = self.entry(now, incarnation) {
            known.paused_until = known.paused_until.max(now + pause);
        }
    }

    /// Returns when an incarnation of a server was first known to leave.
    pub fn leaving_since(&self, server: &str, started_ms: u64) -> Option<Duration> {
        self.known(server, started_ms)?.leaving_since
    }

    /// Returns until when an incarnation of a server wants no requests from this gateway.
    pub fn paused_until(&self, server: &str, started_ms: u64) -> Duration {
        self.known(server, started_ms).map_or(Duration::ZERO, |known| known.paused_until)
    }

    fn known(&self, server: &str, started_ms: u64) -> Option<&Announcement> {
        self.announcements.get(server).filter(|known| known.started_ms == started_ms)
    }

    /// Returns what an incarnation announced, to be changed; `None` if a later one is known.
    fn entry(
        &mut self,
        now: Duration,
        incarnation: &ServerIncarnation,
    ) -> Option<&mut Announcement> {
        let ServerIncarnation { server, started_ms } = incarnation;
        let known = self.announcements.get(server).map(|known| known.started_ms);
        if known.is_some_and(|known| known > *started_ms) {
            return None;
        }
        if known.is_none() && self.announcements.len() >= MAX_ANNOUNCEMENTS {
            self.remove_oldest();
        }
        let announcement = Announcement {
            started_ms: *started_ms,
            heard_at: now,
            leaving_since: None,
            paused_until: Duration::ZERO,
        };
        let entry = self.announcements.entry(server.clone()).or_insert(announcement);
        if entry.started_ms < *started_ms {
            *entry = announcement;
        }
        entry.heard_at = now;
        Some(entry)
    }

    fn remove_oldest(&mut self) {
        let oldest = self.announcements.iter().min_by_key(|(_, known)| known.heard_at);
        if let Some(server) = oldest.map(|(server, _)| server.clone()) {
            self.announcements.remove(&server);
        }
    }
}
