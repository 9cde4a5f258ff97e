//! Whether a request that failed at a server may be sent to another.
//!
//! A request that may run once is sent on only while it is certain that it has
//! not run. Other repeats draw on a budget that bounds them to a share of the
//! requests over a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::FastMap;
use crate::ids::ServiceName;
use crate::routing::RepeatRule;

/// Parts into which the window is divided.
const WINDOW_PARTS: u32 = 20;
/// Part of the allowed repeats that is used, since other gateways' counts and
/// the arrival times at servers are not known exactly.
const USED_SHARE: f64 = 0.7;
/// Part of the slack that is used in the first window after a start, since what was
/// repeated before is not known: with it two starts within a window stay within the bound.
const START_SHARE: f64 = (1.0 - USED_SHARE) / 2.0;
/// Connections that may fail before a request is given up.
const MAX_FAILED_CONNECTS: u32 = 4;

/// Bounds on repeats that all gateways hold together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Repeats for each request.
    pub ratio: f64,
    /// Span over which both are counted.
    pub window: Duration,
    /// Repeats in a span besides the ratio, over all gateways.
    pub slack: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct WindowPart {
    start: Duration,
    firsts: u32,
    repeats: u32,
}

/// Counts the repeats of each service against the requests for it.
#[derive(Debug, Clone)]
pub struct WindowedRetryBudget {
    bounds: RetryBounds,
    started: Duration,
    services: FastMap<ServiceName, VecDeque<WindowPart>>,
}

impl WindowedRetryBudget {
    /// Makes a budget within `bounds` for a process that starts now.
    pub fn new(bounds: RetryBounds, started: Duration) -> WindowedRetryBudget {
        WindowedRetryBudget { bounds, started, services: FastMap::default() }
    }

    /// Counts a request for a service.
    pub fn count_request(&mut self, now: Duration, service: &str) {
        self.part(now, service).firsts += 1;
    }

    /// Takes a repeat; false when none is left. `gateways` share the slack.
    pub fn try_take(&mut self, now: Duration, service: &str, gateways: usize) -> bool {
        let bounds = self.bounds;
        self.part(now, service);
        let parts = self.services.get(service);
        let (firsts, repeats) = parts
            .into_iter()
            .flatten()
            .fold((0, 0), |sums, part| (sums.0 + part.firsts, sums.1 + part.repeats));
        let fresh = now < self.started + bounds.window;
        let slack_share = if fresh { START_SHARE } else { USED_SHARE };
        let slack = bounds.slack * slack_share / gateways.max(1) as f64;
        let allowed = bounds.ratio * f64::from(firsts) * USED_SHARE + slack;
        if f64::from(repeats + 1) > allowed {
            return false;
        }
        self.part(now, service).repeats += 1;
        true
    }

    /// Returns the part of the window that `now` falls into.
    fn part(&mut self, now: Duration, service: &str) -> &mut WindowPart {
        let span = self.bounds.window / WINDOW_PARTS;
        let parts = self.services.entry(service.to_string()).or_default();
        while parts.front().is_some_and(|part| part.start + self.bounds.window <= now) {
            parts.pop_front();
        }
        if parts.back().is_none_or(|part| part.start + span <= now) {
            parts.push_back(WindowPart { start: now, firsts: 0, repeats: 0 });
        }
        let last = parts.len() - 1;
        &mut parts[last]
    }
}

/// How an attempt at a server ended without a whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection was established; nothing was sent.
    NotConnected,
    /// The server states that it did not run the request.
    NotRun,
    /// The connection broke, the answer was not sound, or none came in time.
    Broken,
    /// The server answered that it failed.
    Failed,
}

/// State of a request between two attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryState {
    /// What the route allows.
    pub repeat: RepeatRule,
    /// Servers to which a request may be sent.
    pub max_attempts: u32,
    /// Servers to which it was sent.
    pub sent: u32,
    /// Connections that failed.
    pub failed_connects: u32,
    /// Whether it may have run.
    pub may_have_run: bool,
}

impl RetryState {
    /// Starts before the first attempt.
    pub fn new(repeat: RepeatRule, max_attempts: u32) -> RetryState {
        RetryState { repeat, max_attempts, sent: 0, failed_connects: 0, may_have_run: false }
    }

    /// Notes how an attempt ended.
    pub fn record_failure(&mut self, failure: AttemptFailure) {
        match failure {
            AttemptFailure::NotConnected => self.failed_connects += 1,
            AttemptFailure::NotRun => self.sent += 1,
            AttemptFailure::Broken | AttemptFailure::Failed => {
                self.sent += 1;
                self.may_have_run = true;
            }
        }
    }

    /// Whether the rules allow another attempt, the budget aside.
    pub fn may_retry(&self) -> bool {
        let once = self.repeat == RepeatRule::AtMostOnce;
        let allowed = !(once && self.may_have_run);
        allowed && self.sent < self.max_attempts && self.failed_connects < MAX_FAILED_CONNECTS
    }

    /// Whether another attempt would be allowed after one more that may have run.
    pub fn may_retry_after_failure(&self) -> bool {
        let mut after = *self;
        after.record_failure(AttemptFailure::Broken);
        after.may_retry()
    }

    /// Whether another attempt is a repeat that the budget has to cover.
    pub fn counts_as_retry(&self) -> bool {
        self.sent > 0
    }
}
