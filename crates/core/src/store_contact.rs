//! Tells when the platform's store was unavailable, from how the calls to it ended.
//!
//! The store may close the connection of a call that waits for changes at any time, although it
//! serves all other calls. Such a call says nothing about the store.

use std::time::Duration;

/// Time without any answer after which a call that waits for changes and fell silent shows an
/// outage; otherwise only its connection was lost. Records expire after longer times.
const MIN_SILENCE: Duration = Duration::from_secs(2);

/// How a call to the store ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The store answered; a call beyond its rate limits counts as answered.
    Answered,
    /// The store did not serve the call.
    Failed,
    /// The store closed the connection of a call that waited for changes.
    Cut,
    /// The store fell silent on a call that waited for changes.
    Silent,
}

/// Time for which the store was unavailable to this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreOutage {
    /// From when on no call was served.
    pub since: Duration,
    /// When the first call was served again.
    pub until: Duration,
}

/// Whether the store serves the calls of this process, and since when.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StoreContact {
    answered_at: Duration,
    /// Start of the current outage.
    lost_at: Option<Duration>,
    last_outage: Option<StoreOutage>,
}

impl StoreContact {
    /// Records a call that began at `started` and ended at `now`; returns whether the store was
    /// lost or came back by it.
    pub fn record_call(&mut self, started: Duration, now: Duration, end: CallEnd) -> bool {
        let unanswered_since = started.max(self.answered_at);
        match end {
            CallEnd::Cut => false,
            CallEnd::Silent if now < unanswered_since + MIN_SILENCE => false,
            CallEnd::Failed | CallEnd::Silent => {
                let is_first = self.lost_at.is_none();
                self.lost_at.get_or_insert(unanswered_since);
                is_first
            }
            CallEnd::Answered => {
                self.answered_at = now;
                let ended = self.lost_at.take().map(|since| StoreOutage { since, until: now });
                self.last_outage = ended.or(self.last_outage);
                ended.is_some()
            }
        }
    }

    /// Returns since when the store has been unavailable; `None` if it is not.
    pub fn lost_at(&self) -> Option<Duration> {
        self.lost_at
    }

    /// Returns the last outage that has ended.
    pub fn last_outage(&self) -> Option<StoreOutage> {
        self.last_outage
    }
}
