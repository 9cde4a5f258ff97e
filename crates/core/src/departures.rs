//! Remembers which servers announced in their answers that they leave.
//!
//! An announcement holds for one incarnation of a server: neither a later one under the same
//! id nor another server at its address is affected.

use std::time::Duration;

use crate::crash_detection::ServerIncarnation;
use crate::ids::FastMap;
use crate::ids::ServerId;

/// Announcements that are kept, the oldest out first; the largest site has 4,800 servers.
pub const MAX_DEPARTURES: usize = 16_384;

#[derive(Debug, Clone, Copy)]
struct Departure {
    started_ms: u64,
    announced_at: Duration,
}

/// Servers that announced that they leave.
#[derive(Debug, Clone, Default)]
pub struct DepartureLog {
    departures: FastMap<ServerId, Departure>,
}

impl DepartureLog {
    /// Records an announcement; returns whether it is new.
    pub fn record(&mut self, now: Duration, incarnation: &ServerIncarnation) -> bool {
        let ServerIncarnation { server, started_ms } = incarnation;
        let known = self.departures.get(server);
        if known.is_some_and(|known| known.started_ms >= *started_ms) {
            return false;
        }
        if known.is_none() && self.departures.len() >= MAX_DEPARTURES {
            self.remove_oldest();
        }
        let departure = Departure { started_ms: *started_ms, announced_at: now };
        self.departures.insert(server.clone(), departure);
        true
    }

    /// Returns when an incarnation of a server was first known to leave.
    pub fn announced_at(&self, server: &str, started_ms: u64) -> Option<Duration> {
        let known = self.departures.get(server)?;
        (known.started_ms == started_ms).then_some(known.announced_at)
    }

    fn remove_oldest(&mut self) {
        let oldest = self.departures.iter().min_by_key(|(_, known)| known.announced_at);
        if let Some(server) = oldest.map(|(server, _)| server.clone()) {
            self.departures.remove(&server);
        }
    }
}
