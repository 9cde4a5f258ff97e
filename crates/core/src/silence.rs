//! Detects a server that sends no events while other servers of its service do.
//!
//! All ranks of a group run each pass together, so a rank whose events stop while those
//! of other ranks arrive is frozen or cut off from the network. If no rank's events
//! arrive, the whole group has stalled, and another server would not be faster.

use std::time::Duration;

use crate::ids::FastMap;
use crate::ids::ServerId;

/// Time without events after which a server counts as silent: about a dozen passes, and
/// short enough that another server can send the first event before callers leave.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(700);

/// Time of the last event of each server.
#[derive(Debug, Clone, Default)]
pub struct SilenceDetector {
    last_heard: FastMap<ServerId, Duration>,
}

impl SilenceDetector {
    /// Records that a server sent an event.
    pub fn record_event(&mut self, now: Duration, server: &str) {
        match self.last_heard.get_mut(server) {
            Some(last_heard) => *last_heard = now,
            None => {
                self.last_heard.insert(server.to_string(), now);
            }
        }
    }

    /// Returns whether a server that has owed events since `since` is silent; `active`
    /// says whether other servers of its service send events.
    pub fn is_silent(&self, now: Duration, server: &str, since: Duration, active: bool) -> bool {
        let last_heard = self.last_heard.get(server).copied().unwrap_or_default();
        active && now >= since.max(last_heard) + SILENCE_TIMEOUT
    }

    /// Removes a server that has left.
    pub fn remove(&mut self, server: &str) {
        self.last_heard.remove(server);
    }
}
