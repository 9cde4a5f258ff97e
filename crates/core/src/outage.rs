//! Estimates when a service whose servers refuse all streams is back.
//!
//! A group of ranks that has lost one refuses every stream until the rank is back and the
//! group has formed again. While a rank is known to be lost, a stream that arrives cannot
//! be served before that; it is refused at once, with the time after which it is worth
//! returning. Once the rank has registered again, the time to form is known and streams
//! may wait for it.

use std::time::Duration;

/// Time after which a refused stream should return while nothing is known of the outage.
/// Crashed servers are back after a few seconds; a caller retries earlier if this is more
/// than a third of the time that it has left.
pub const OUTAGE_RETRY_AFTER: Duration = Duration::from_millis(2_500);
/// Shortest time after which a stream that was refused during an outage should return.
const MIN_OUTAGE_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Time over which callers are spread that return at the end of an outage.
const RETURN_SPREAD: Duration = Duration::from_secs(1);
/// Time that a group may take longer to form than its servers' configuration says.
const FORMING_SLACK: Duration = Duration::from_millis(500);
/// Weight of a new outage in the mean of their durations.
const DURATION_WEIGHT: f64 = 0.5;

/// When streams can be served again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutageOutlook {
    /// A lost rank has registered again; the group is expected to have formed at this time.
    Forming(Duration),
    /// A rank is lost and has not registered again.
    RankLost,
    /// The cause of the outage is not known.
    Unknown,
}

/// What is known of the current and the earlier outages of a service.
#[derive(Debug, Clone, Copy, Default)]
pub struct OutageEstimate {
    lost_at: Option<Duration>,
    formed_at: Option<Duration>,
    /// Whether the service has run a stream since the start of this process and since a server
    /// of it last registered.
    has_served: bool,
    mean_duration: Option<Duration>,
}

impl OutageEstimate {
    /// Records that a server cannot be reached or has crashed; the service is not out
    /// because of it unless it refuses streams or its events stop as well. Before the service
    /// has served, its servers may just be starting; then nothing says how long that takes.
    pub fn record_lost_server(&mut self, now: Duration) {
        if !self.has_served {
            return;
        }
        self.lost_at.get_or_insert(now);
        self.formed_at = None;
    }

    /// Records that a server of the service has registered for the first time since it
    /// started; a group takes `form_time` to form.
    pub fn record_new_server(&mut self, now: Duration, form_time: Duration) {
        self.formed_at = Some(now + form_time);
        self.has_served = false;
    }

    /// Records that the service runs a stream that was sent after the loss.
    pub fn record_service(&mut self, now: Duration, was_out: bool) {
        if let Some(lost_at) = self.lost_at.take().filter(|_| was_out) {
            let duration = now.saturating_sub(lost_at);
            let mean = self.mean_duration.map_or(duration, |mean| {
                mean.mul_f64(1.0 - DURATION_WEIGHT) + duration.mul_f64(DURATION_WEIGHT)
            });
            self.mean_duration = Some(mean);
        }
        self.formed_at = None;
        self.has_served = true;
    }

    /// Returns the mean duration of the earlier outages; `None` if there was none.
    pub fn mean_duration(&self) -> Option<Duration> {
        self.mean_duration
    }

    /// Returns whether a server was lost and none has registered since.
    pub fn is_rank_lost(&self) -> bool {
        self.lost_at.is_some() && self.formed_at.is_none()
    }

    /// Returns when streams can be served again, as far as it is known.
    pub fn outlook(&self, now: Duration) -> OutageOutlook {
        match self.formed_at {
            Some(formed_at) if now < formed_at + FORMING_SLACK => OutageOutlook::Forming(formed_at),
            _ if self.is_rank_lost() => OutageOutlook::RankLost,
            _ => OutageOutlook::Unknown,
        }
    }

    /// Returns the time after which a refused stream should return. `share`, 0 to 1, spreads
    /// callers that return after the expected end.
    pub fn retry_after(&self, now: Duration, share: f64) -> Duration {
        let expected_end = match (self.outlook(now), self.lost_at, self.mean_duration) {
            (OutageOutlook::Forming(formed_at), _, _) => Some(formed_at),
            (_, Some(lost_at), Some(mean)) => Some(lost_at + mean),
            _ => None,
        };
        match expected_end.filter(|end| now < *end) {
            Some(end) => (end - now + RETURN_SPREAD.mul_f64(share)).max(MIN_OUTAGE_RETRY_AFTER),
            None => OUTAGE_RETRY_AFTER,
        }
    }
}
