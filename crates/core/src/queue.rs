//! Queues the waiting requests of one service: by priority, then fairly by organisation.
//!
//! Within a priority, organisations are scheduled by virtual time (start-time fair
//! queueing with a cost of one per request), so that an organisation that sends ten times
//! as much as the others delays its own requests and not theirs.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::FastMap;
use crate::ids::OrganisationName;
use crate::ids::RequestId;

/// A queued request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Identifier of the request.
    pub request: RequestId,
    /// Time at which it leaves the queue if it has not been served.
    pub expires_at: Duration,
}

/// Queued requests of one organisation, first in first out.
#[derive(Debug, Clone, Default)]
struct OrganisationQueue {
    waiting: VecDeque<WaitingRequest>,
    /// Virtual time at which the next request of the organisation is served.
    next_turn: u64,
}

/// Queued requests of one priority.
#[derive(Debug, Clone, Default)]
struct PriorityLevel {
    queues: FastMap<OrganisationName, OrganisationQueue>,
    /// Virtual time of the request served last.
    virtual_time: u64,
}

/// Bounded queue with strict priorities and fair shares between organisations.
#[derive(Debug, Clone)]
pub struct FairQueue {
    levels: BTreeMap<u8, PriorityLevel>,
    length: usize,
    capacity: usize,
}

impl FairQueue {
    /// Creates a queue that holds at most `capacity` requests.
    pub fn new(capacity: usize) -> FairQueue {
        FairQueue { levels: BTreeMap::new(), length: 0, capacity }
    }

    /// Adds a request; returns false when the queue is full.
    pub fn push(&mut self, priority: u8, organisation: &str, waiting: WaitingRequest) -> bool {
        if self.length >= self.capacity {
            return false;
        }
        let level = self.levels.entry(priority).or_default();
        let virtual_time = level.virtual_time;
        let queue = level.queues.entry(organisation.to_string()).or_default();
        if queue.waiting.is_empty() {
            queue.next_turn = queue.next_turn.max(virtual_time);
        }
        queue.waiting.push_back(waiting);
        self.length += 1;
        true
    }

    /// Undoes the pop of a request that could not be served, so that it is popped next.
    pub fn push_front(&mut self, priority: u8, organisation: &str, waiting: WaitingRequest) {
        let level = self.levels.entry(priority).or_default();
        let queue = level.queues.entry(organisation.to_string()).or_default();
        queue.next_turn = queue.next_turn.saturating_sub(1);
        queue.waiting.push_front(waiting);
        self.length += 1;
    }

    /// Returns the request to be served next.
    pub fn first(&self) -> Option<RequestId> {
        let mut levels = self.levels.values().rev();
        levels.find_map(|level| {
            let name = next_organisation(level, &[])?;
            level.queues.get(&name)?.waiting.front().map(|waiting| waiting.request)
        })
    }

    /// Removes the request to be served next; returns it with its expiry time.
    pub fn pop(&mut self) -> Option<(RequestId, Duration)> {
        self.pop_except(&[])
    }

    /// Removes the request to be served next, ignoring the `skipped` organisations.
    pub fn pop_except(&mut self, skipped: &[OrganisationName]) -> Option<(RequestId, Duration)> {
        let levels = self.levels.iter().rev();
        let mut candidates = levels
            .filter_map(|(priority, level)| Some((*priority, next_organisation(level, skipped)?)));
        let (priority, name) = candidates.next()?;
        let waiting = self.pop_from(priority, &name)?;
        Some((waiting.request, waiting.expires_at))
    }

    /// Removes the next request of one priority, considering only the organisations that
    /// `permits`; returns it with its organisation.
    pub fn pop_permitted(
        &mut self,
        priority: u8,
        permits: impl Fn(&str) -> bool,
    ) -> Option<(RequestId, OrganisationName)> {
        let level = self.levels.get(&priority)?;
        let name = next_permitted(level, permits)?;
        let waiting = self.pop_from(priority, &name)?;
        Some((waiting.request, name))
    }

    /// Returns the priorities of the queued requests, highest first.
    pub fn priorities(&self) -> impl Iterator<Item = u8> {
        self.levels.keys().rev().copied()
    }

    fn pop_from(&mut self, priority: u8, organisation: &str) -> Option<WaitingRequest> {
        let level = self.levels.get_mut(&priority)?;
        let queue = level.queues.get_mut(organisation)?;
        let waiting = queue.waiting.pop_front()?;
        level.virtual_time = queue.next_turn;
        queue.next_turn += 1;
        if queue.waiting.is_empty() {
            remove_idle_queues(level);
        }
        if level.queues.values().all(|queue| queue.waiting.is_empty()) {
            self.levels.remove(&priority);
        }
        self.length -= 1;
        Some(waiting)
    }

    /// Removes and returns the requests that have expired.
    pub fn take_expired(&mut self, now: Duration) -> Vec<RequestId> {
        self.remove_where(|waiting| waiting.expires_at <= now)
    }

    /// Removes one request; returns false when it is not queued.
    pub fn remove(&mut self, request: RequestId) -> bool {
        !self.remove_where(|waiting| waiting.request == request).is_empty()
    }

    /// Returns how many queued requests would be served before a new one.
    ///
    /// Of each other organisation of the same priority, only as many count as the given
    /// organisation would have queued itself.
    pub fn ahead_of(&self, priority: u8, organisation: &str) -> usize {
        let mut ahead = 0;
        for (&level_priority, level) in self.levels.range(priority..) {
            if level_priority > priority {
                ahead += level.queues.values().map(|queue| queue.waiting.len()).sum::<usize>();
                continue;
            }
            let own = level.queues.get(organisation).map_or(0, |queue| queue.waiting.len());
            let shares = level.queues.values().map(|queue| queue.waiting.len().min(own + 1));
            let others = shares.sum::<usize>();
            ahead += others;
        }
        ahead
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    fn remove_where(&mut self, matches: impl Fn(&WaitingRequest) -> bool) -> Vec<RequestId> {
        let mut removed = Vec::new();
        for queue in self.levels.values_mut().flat_map(|level| level.queues.values_mut()) {
            queue.waiting.retain(|waiting| {
                let matched = matches(waiting);
                if matched {
                    removed.push(waiting.request);
                }
                !matched
            });
        }
        self.levels.retain(|_, level| level.queues.values().any(|queue| !queue.waiting.is_empty()));
        self.length -= removed.len();
        removed
    }
}

/// Returns the organisation with the lowest virtual time that is not `skipped`.
fn next_organisation(
    level: &PriorityLevel,
    skipped: &[OrganisationName],
) -> Option<OrganisationName> {
    next_permitted(level, |name| !skipped.iter().any(|skipped| skipped == name))
}

/// Returns the permitted organisation with the lowest virtual time; its name breaks ties.
fn next_permitted(
    level: &PriorityLevel,
    permits: impl Fn(&str) -> bool,
) -> Option<OrganisationName> {
    level
        .queues
        .iter()
        .filter(|(name, queue)| !queue.waiting.is_empty() && permits(name))
        .min_by(|left, right| (left.1.next_turn, left.0).cmp(&(right.1.next_turn, right.0)))
        .map(|(name, _)| name.clone())
}

/// Removes the empty queues whose virtual time has passed.
///
/// An organisation that returns starts at the virtual time of the level in any case.
fn remove_idle_queues(level: &mut PriorityLevel) {
    let virtual_time = level.virtual_time;
    level.queues.retain(|_, queue| !queue.waiting.is_empty() || queue.next_turn > virtual_time);
}
