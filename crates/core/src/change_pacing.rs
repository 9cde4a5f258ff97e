//! Limits how often a process reads changes that many writers make.

use std::time::Duration;

/// Keeps a least interval between reads that return changes. A change that comes alone is read at
/// once; of those that follow each other, all within the interval are read together.
#[derive(Debug, Clone, Default)]
pub struct ChangePacer {
    last_read: Option<Duration>,
}

impl ChangePacer {
    /// Records that changes were read at `now`; returns the time until the next read.
    pub fn next_read(&mut self, now: Duration, interval: Duration) -> Duration {
        let due = self.last_read.map_or(now, |last| now.max(last + interval));
        self.last_read = Some(due);
        due - now
    }
}
