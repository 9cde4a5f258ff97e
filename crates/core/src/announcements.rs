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
    /// Wall time at which the last pause was asked for, in milliseconds since the Unix epoch.
    pause_asked_ms: u64,
}

impl Announcement {
    /// Returns until when a process that started at `started_ms` wants no requests. The store may
    /// tell of a restart only after the new process asked for a pause.
    fn paused_until(&self, started_ms: u64) -> Duration {
        let asked = self.started_ms == started_ms
            || (self.started_ms..=self.pause_asked_ms).contains(&started_ms);
        if asked { self.paused_until } else { Duration::ZERO }
    }
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

    /// Records that a server wants no requests from this gateway for a time. It was asked as
    /// `incarnation`, and answered at the wall time `asked_ms`.
    pub fn record_pause(
        &mut self,
        now: Duration,
        incarnation: &ServerIncarnation,
        pause: Duration,
        asked_ms: u64,
    ) {
        if let Some(known) = self.entry(now, incarnation) {
            known.paused_until = known.paused_until.max(now + pause);
            known.pause_asked_ms = known.pause_asked_ms.max(asked_ms);
        }
    }

    /// Returns when an incarnation of a server was first known to leave.
    pub fn leaving_since(&self, server: &str, started_ms: u64) -> Option<Duration> {
        let known = self.announcements.get(server);
        known.filter(|known| known.started_ms == started_ms)?.leaving_since
    }

    /// Returns until when an incarnation of a server wants no requests from this gateway.
    pub fn paused_until(&self, server: &str, started_ms: u64) -> Duration {
        let known = self.announcements.get(server);
        known.map_or(Duration::ZERO, |known| known.paused_until(started_ms))
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
            pause_asked_ms: 0,
        };
        let entry = self.announcements.entry(server.clone()).or_insert(announcement);
        if entry.started_ms < *started_ms {
            let paused_until = entry.paused_until(*started_ms);
            *entry = Announcement { paused_until, ..announcement };
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
