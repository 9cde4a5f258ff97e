//! Notices a server that has fallen silent while others of its service go on.
//!
//! All ranks of a group make passes together, so a rank of which nothing is heard
//! while others' events arrive has been cut off or stands still. When nobody's
//! events arrive the group stalls, and sending requests elsewhere would not help.

use std::time::Duration;

use crate::ids::FastMap;
use crate::ids::ServerId;

/// Silence after which a server counts as cut off: a dozen passes, and little
/// enough that another server still makes the first event while callers wait.
const SILENCE_LIMIT: Duration = Duration::from_millis(700);

/// When something was last heard of each server.
#[derive(Debug, Clone, Default)]
pub struct SilenceDetector {
    heard: FastMap<ServerId, Duration>,
}

impl SilenceDetector {
    /// Notes that a server made an event.
    pub fn record_event(&mut self, now: Duration, server: &str) {
        match self.heard.get_mut(server) {
            Some(heard) => *heard = now,
            None => {
                self.heard.insert(server.to_string(), now);
            }
        }
    }

    /// Whether a server that something is expected of since `since` is silent.
    /// `active` tells whether its service makes events elsewhere.
    pub fn is_silent(&self, now: Duration, server: &str, since: Duration, active: bool) -> bool {
        let heard = self.heard.get(server).copied().unwrap_or_default();
        active && now >= since.max(heard) + SILENCE_LIMIT
    }

    /// Forgets a server.
    pub fn remove(&mut self, server: &str) {
        self.heard.remove(server);
    }
}
