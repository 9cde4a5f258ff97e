//! Waiting requests of one service: by priority, then fairly by organisation.
//!
//! Within a priority, organisations are served in order of virtual time, one
//! request advancing it by one, so that an organisation that sends ten times as
//! much as the others waits behind itself and not in front of them.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::FastMap;
use crate::ids::OrganisationName;
use crate::ids::RequestId;

/// A request that waits for a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Identity.
    pub request: RequestId,
    /// When it must have been placed; it is refused then.
    pub expires_at: Duration,
}

#[derive(Debug, Clone, Default)]
struct OrganisationLine {
    waiting: VecDeque<WaitingRequest>,
    served: u64,
}

#[derive(Debug, Clone, Default)]
struct PriorityLevel {
    lines: FastMap<OrganisationName, OrganisationLine>,
    virtual_time: u64,
}

/// Bounded queue of one service.
#[derive(Debug, Clone)]
pub struct FairQueue {
    levels: BTreeMap<u8, PriorityLevel>,
    length: usize,
    capacity: usize,
}

impl FairQueue {
    /// Makes a queue that holds at most `capacity` requests.
    pub fn new(capacity: usize) -> FairQueue {
        FairQueue { levels: BTreeMap::new(), length: 0, capacity }
    }

    /// Adds a request; false when the queue is full.
    pub fn push(&mut self, priority: u8, organisation: &str, waiting: WaitingRequest) -> bool {
        if self.length >= self.capacity {
            return false;
        }
        let level = self.levels.entry(priority).or_default();
        let virtual_time = level.virtual_time;
        let line = level.lines.entry(organisation.to_string()).or_default();
        if line.waiting.is_empty() {
            line.served = line.served.max(virtual_time);
        }
        line.waiting.push_back(waiting);
        self.length += 1;
        true
    }

    /// Puts back a request that was popped and found no place, as the next one.
    pub fn push_front(&mut self, priority: u8, organisation: &str, waiting: WaitingRequest) {
        let level = self.levels.entry(priority).or_default();
        let line = level.lines.entry(organisation.to_string()).or_default();
        line.served = line.served.saturating_sub(1);
        line.waiting.push_front(waiting);
        self.length += 1;
    }

    /// Takes the request that is served next.
    pub fn pop(&mut self) -> Option<(RequestId, Duration)> {
        self.pop_except(&[])
    }

    /// Takes the request that is served next, passing over some organisations.
    pub fn pop_except(&mut self, passed: &[OrganisationName]) -> Option<(RequestId, Duration)> {
        let levels = self.levels.iter().rev();
        let mut choices =
            levels.filter_map(|(priority, level)| Some((*priority, next_line(level, passed)?)));
        let (priority, name) = choices.next()?;
        let level = self.levels.get_mut(&priority)?;
        let line = level.lines.get_mut(&name)?;
        let waiting = line.waiting.pop_front()?;
        level.virtual_time = line.served;
        line.served += 1;
        if line.waiting.is_empty() {
            forget_idle_lines(level);
        }
        if level.lines.values().all(|line| line.waiting.is_empty()) {
            self.levels.remove(&priority);
        }
        self.length -= 1;
        Some((waiting.request, waiting.expires_at))
    }

    /// Takes out every request whose time to give up has come.
    pub fn take_expired(&mut self, now: Duration) -> Vec<RequestId> {
        self.take_where(|waiting| waiting.expires_at <= now)
    }

    /// Takes out one request; false when it does not wait here.
    pub fn remove(&mut self, request: RequestId) -> bool {
        !self.take_where(|waiting| waiting.request == request).is_empty()
    }

    /// Returns how many requests would be served before a new one.
    pub fn ahead_of(&self, priority: u8, organisation: &str) -> usize {
        let mut ahead = 0;
        for (&level_priority, level) in self.levels.range(priority..) {
            if level_priority > priority {
                ahead += level.lines.values().map(|line| line.waiting.len()).sum::<usize>();
                continue;
            }
            let own = level.lines.get(organisation).map_or(0, |line| line.waiting.len());
            let shares = level.lines.values().map(|line| line.waiting.len().min(own + 1));
            let others = shares.sum::<usize>();
            ahead += others;
        }
        ahead
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    fn take_where(&mut self, matches: impl Fn(&WaitingRequest) -> bool) -> Vec<RequestId> {
        let mut taken = Vec::new();
        for line in self.levels.values_mut().flat_map(|level| level.lines.values_mut()) {
            line.waiting.retain(|waiting| {
                let matched = matches(waiting);
                if matched {
                    taken.push(waiting.request);
                }
                !matched
            });
        }
        self.levels.retain(|_, level| level.lines.values().any(|line| !line.waiting.is_empty()));
        self.length -= taken.len();
        taken
    }
}

fn next_line(level: &PriorityLevel, passed: &[OrganisationName]) -> Option<OrganisationName> {
    level
        .lines
        .iter()
        .filter(|(name, line)| !line.waiting.is_empty() && !passed.contains(name))
        .min_by(|left, right| (left.1.served, left.0).cmp(&(right.1.served, right.0)))
        .map(|(name, _)| name.clone())
}

/// An idle line whose virtual time is past holds nothing that matters.
fn forget_idle_lines(level: &mut PriorityLevel) {
    let virtual_time = level.virtual_time;
    level.lines.retain(|_, line| !line.waiting.is_empty() || line.served > virtual_time);
}
