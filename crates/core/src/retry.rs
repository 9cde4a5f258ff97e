//! Decides whether a request that failed at one server may be sent to another.
//!
//! A request that may run at most once is sent again only while it is certain that it has
//! not run. All other retries draw on a budget that limits them to a share of the
//! requests over a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::FastMap;
use crate::ids::ServiceName;
use crate::routing::RepeatRule;

/// Number of buckets into which the window is divided.
const WINDOW_BUCKETS: u32 = 20;
/// Share of the allowed retries that a gateway uses, since other gateways' counts and
/// the arrival times at servers are not known exactly.
const USED_SHARE: f64 = 0.7;
/// Share of the slack that a gateway uses in the first window after its start, since its
/// earlier retries are not known. Two starts within a window stay within the bound.
const START_SLACK_SHARE: f64 = (1.0 - USED_SHARE) / 2.0;
/// Failed connections after which a request is given up.
const MAX_FAILED_CONNECTS: u32 = 4;
/// Outdated server records that a request may meet without losing an attempt. When all servers
/// have started again, every record that a gateway knows may be outdated.
const MAX_FREE_REPLACED: u32 = 4;

/// Bounds on the retries of all gateways together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Retries per request.
    pub ratio: f64,
    /// Length of the window over which requests and retries are counted.
    pub window: Duration,
    /// Retries per window in addition to the ratio, over all gateways.
    pub slack: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct WindowBucket {
    start: Duration,
    requests: u32,
    retries: u32,
}

/// Limits the retries of each service in proportion to its requests.
#[derive(Debug, Clone)]
pub struct WindowedRetryBudget {
    bounds: RetryBounds,
    started_at: Duration,
    services: FastMap<ServiceName, VecDeque<WindowBucket>>,
}

impl WindowedRetryBudget {
    /// Creates the budget of a process that started at `started_at`.
    pub fn new(bounds: RetryBounds, started_at: Duration) -> WindowedRetryBudget {
        WindowedRetryBudget { bounds, started_at, services: FastMap::default() }
    }

    /// Counts the first attempt of a request for a service.
    pub fn count_request(&mut self, now: Duration, service: &str) {
        self.bucket(now, service).requests += 1;
    }

    /// Returns the requests of a service per second over the window.
    pub fn request_rate(&self, now: Duration, service: &str) -> f64 {
        let buckets = self.services.get(service).into_iter().flatten();
        let recent = buckets.filter(|bucket| now < bucket.start + self.bounds.window);
        let requests: u32 = recent.map(|bucket| bucket.requests).sum();
        f64::from(requests) / self.bounds.window.as_secs_f64()
    }

    /// Spends one retry; returns false if none is left. The slack is divided among `gateways`.
    pub fn try_take(&mut self, now: Duration, service: &str, gateways: usize) -> bool {
        let bounds = self.bounds;
        self.bucket(now, service);
        let buckets = self.services.get(service);
        let (requests, retries) = buckets
            .into_iter()
            .flatten()
            .fold((0, 0), |sums, bucket| (sums.0 + bucket.requests, sums.1 + bucket.retries));
        let in_first_window = now < self.started_at + bounds.window;
        let slack_share = if in_first_window { START_SLACK_SHARE } else { USED_SHARE };
        let slack = bounds.slack * slack_share / gateways.max(1) as f64;
        let allowed = bounds.ratio * f64::from(requests) * USED_SHARE + slack;
        if f64::from(retries + 1) > allowed {
            return false;
        }
        self.bucket(now, service).retries += 1;
        true
    }

    /// Returns the bucket for `now`, and drops those that have left the window.
    fn bucket(&mut self, now: Duration, service: &str) -> &mut WindowBucket {
        let bucket_length = self.bounds.window / WINDOW_BUCKETS;
        let buckets = self.services.entry(service.to_string()).or_default();
        while buckets.front().is_some_and(|bucket| bucket.start + self.bounds.window <= now) {
            buckets.pop_front();
        }
        if buckets.back().is_none_or(|bucket| bucket.start + bucket_length <= now) {
            buckets.push_back(WindowBucket { start: now, requests: 0, retries: 0 });
        }
        let last = buckets.len() - 1;
        &mut buckets[last]
    }
}

/// Why an attempt at a server brought no complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection was established; nothing was sent.
    NotConnected,
    /// The server states that it did not run the request.
    NotRun,
    /// Another server answers at the address, and did not run the request.
    Replaced,
    /// The connection broke, the answer was invalid, or none came in time.
    Broken,
    /// The request was taken back before its answer began, since it may crash the server.
    Recalled,
    /// The server answered with a failure.
    Failed,
}

/// Attempts of a request so far, and what its route allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryState {
    /// Rule of the route for repeated requests.
    pub repeat: RepeatRule,
    /// Number of servers to which the request may be sent.
    pub max_attempts: u32,
    /// Number of servers to which it was sent.
    pub sent: u32,
    /// Number of connections that could not be established.
    pub failed_connects: u32,
    /// Number of servers that were replaced by another one, and do not count as sent.
    pub replaced: u32,
    /// Whether the request may have run at a server.
    pub may_have_run: bool,
}

impl RetryState {
    /// Creates the state before the first attempt.
    pub fn new(repeat: RepeatRule, max_attempts: u32) -> RetryState {
        RetryState {
            repeat,
            max_attempts,
            sent: 0,
            failed_connects: 0,
            replaced: 0,
            may_have_run: false,
        }
    }

    /// Records why an attempt failed.
    pub fn record_failure(&mut self, failure: AttemptFailure) {
        match failure {
            AttemptFailure::NotConnected => self.failed_connects += 1,
            AttemptFailure::Replaced if self.replaced < MAX_FREE_REPLACED => self.replaced += 1,
            AttemptFailure::NotRun | AttemptFailure::Replaced => self.sent += 1,
            AttemptFailure::Broken | AttemptFailure::Recalled | AttemptFailure::Failed => {
                self.sent += 1;
                self.may_have_run = true;
            }
        }
    }

    /// Returns whether another attempt is allowed, leaving the budget aside.
    pub fn may_retry(&self) -> bool {
        let at_most_once = self.repeat == RepeatRule::AtMostOnce;
        let allowed = !(at_most_once && self.may_have_run);
        allowed && self.sent < self.max_attempts && self.failed_connects < MAX_FAILED_CONNECTS
    }

    /// Returns whether another attempt would be allowed if the next one failed and may have run.
    pub fn may_retry_after_failure(&self) -> bool {
        let mut next = *self;
        next.record_failure(AttemptFailure::Broken);
        next.may_retry()
    }

    /// Returns whether the next attempt draws on the retry budget: it does once the request
    /// was sent to a server, also if that was not the one that its record names.
    pub fn counts_as_retry(&self) -> bool {
        self.sent > 0 || self.replaced > 0
    }

    /// Returns the number of attempts so far.
    pub fn attempts(&self) -> u32 {
        self.sent + self.failed_connects + self.replaced
    }
}
