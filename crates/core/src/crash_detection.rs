//! Decides whether a backend server has crashed, and which requests were there.
//!
//! The inputs are the attempts of this gateway, refused connections and server records;
//! the outputs are the requests that are suspected of having crashed a server.
//!
//! A broken connection alone is no proof of a crash: the connection may have been reset,
//! the VM frozen or the network cut. A crash is confirmed when the server's host refuses
//! a connection, since no process listens there, or when a later incarnation of a server
//! registers at the same address. A request is suspected of a confirmed crash if its
//! attempt was open or brought no answer, and the shared parts of its prompt if its answer
//! had not begun. A lost attempt leaves the crash unconfirmed
//! until then, or until the same incarnation answers another request. A connection that
//! is accepted proves nothing, since a process that exits closes its sockets one after
//! the other and may go on accepting for a while.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::ids::FastMap;
use crate::ids::PartDigest;
use crate::ids::RequestDigest;
use crate::ids::ServerId;

/// Time for which a lost attempt is kept; crashed servers are back after some seconds,
/// and their new record is the last proof to arrive.
const LOSS_RETENTION: Duration = Duration::from_secs(8);
/// Time after a lost attempt from which an answer proves that the server is alive; an
/// earlier answer may have been in flight when the server crashed.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(200);
/// Time for which a confirmed crash is kept for attempts that fail later.
const CONFIRMED_RETENTION: Duration = Duration::from_secs(30);

/// Servers among which at most one has a part that is held by few.
const MIN_COMPARED_SERVERS: usize = 3;

/// One run of a backend server's process, from start to exit.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ServerIncarnation {
    /// Identity of the server.
    pub server: ServerId,
    /// When it started, in milliseconds since the Unix epoch; 0 if unknown.
    pub started_ms: u64,
}

/// How an attempt that reached a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The server answered, possibly with a failure.
    Answered,
    /// No complete answer came.
    Lost,
    /// No complete answer came from a server that was known to be leaving.
    LostWhileLeaving,
}

/// Whether an incarnation of a server has crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashStatus {
    /// The crash is confirmed.
    Crashed,
    /// Attempts at the server were lost; the crash is unconfirmed.
    Suspected,
    /// There is no evidence of a crash.
    Alive,
}

/// Number of an attempt that is tracked at a server.
pub type AttemptKey = u64;

/// What an attempt is suspected by when its server crashes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptContent {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Parts of the prompt that other requests may share.
    pub parts: Rc<[PartDigest]>,
}

/// A prompt part that a crashed server had not begun to answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SuspectPart {
    /// Digest of the part.
    pub part: PartDigest,
    /// When the latest request with the part was sent to the server.
    pub sent_at: Duration,
}

/// What is suspected of having crashed a server.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CrashSuspects {
    /// Requests that were at the server, in order.
    pub requests: Vec<RequestDigest>,
    /// Parts of those requests whose answers had not begun, in order.
    pub parts: Vec<SuspectPart>,
}

impl CrashSuspects {
    fn collect<'a>(attempts: impl Iterator<Item = &'a TrackedAttempt>) -> CrashSuspects {
        let mut suspects = CrashSuspects::default();
        let mut latest: FastMap<PartDigest, Duration> = FastMap::default();
        for attempt in attempts {
            suspects.requests.push(attempt.content.digest);
            for part in attempt.content.parts.iter().filter(|_| !attempt.answer_begun) {
                let sent_at = latest.entry(*part).or_default();
                *sent_at = attempt.sent_at.max(*sent_at);
            }
        }
        suspects.requests.sort_unstable();
        suspects.requests.dedup();
        suspects.parts =
            latest.into_iter().map(|(part, sent_at)| SuspectPart { part, sent_at }).collect();
        suspects.parts.sort_unstable();
        suspects
    }

    /// Returns whether nothing is suspected.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}

#[derive(Debug, Clone)]
struct TrackedAttempt {
    content: AttemptContent,
    sent_at: Duration,
    answer_begun: bool,
}

#[derive(Debug, Clone)]
struct LostAttempt {
    attempt: TrackedAttempt,
    lost_at: Duration,
}

#[derive(Debug, Clone)]
struct IncarnationState {
    incarnation: ServerIncarnation,
    open: FastMap<AttemptKey, TrackedAttempt>,
    lost: Vec<LostAttempt>,
    crashed_at: Option<Duration>,
    leaving: bool,
}

impl IncarnationState {
    /// Marks the crash as confirmed; returns what is suspected of it.
    fn confirm_crash(&mut self, now: Duration) -> CrashSuspects {
        self.crashed_at.get_or_insert(now);
        let lost: Vec<LostAttempt> = self.lost.drain(..).collect();
        let recent = lost.iter().filter(|lost| now < lost.lost_at + LOSS_RETENTION);
        let open = self.open.values().filter(|_| !self.leaving);
        CrashSuspects::collect(recent.map(|lost| &lost.attempt).chain(open))
    }

    fn is_expired(&self, now: Duration) -> bool {
        let crash_expired =
            self.crashed_at.is_none_or(|crashed_at| now >= crashed_at + CONFIRMED_RETENTION);
        self.open.is_empty() && self.lost.is_empty() && crash_expired
    }
}

/// Attempts of this gateway at each incarnation of each server.
#[derive(Debug, Clone, Default)]
pub struct CrashDetector {
    incarnations: FastMap<SocketAddr, Vec<IncarnationState>>,
    last_key: AttemptKey,
}

impl CrashDetector {
    /// Records that a request is sent to a server; returns the key of the attempt.
    pub fn begin_attempt(
        &mut self,
        now: Duration,
        address: SocketAddr,
        incarnation: &ServerIncarnation,
        content: AttemptContent,
    ) -> AttemptKey {
        self.last_key += 1;
        let states = self.incarnations.entry(address).or_default();
        let index = states
            .iter()
            .position(|state| state.incarnation == *incarnation)
            .unwrap_or_else(|| {
                states.push(IncarnationState {
                    incarnation: incarnation.clone(),
                    open: FastMap::default(),
                    lost: Vec::new(),
                    crashed_at: None,
                    leaving: false,
                });
                states.len() - 1
            });
        let attempt = TrackedAttempt { content, sent_at: now, answer_begun: false };
        states[index].open.insert(self.last_key, attempt);
        self.last_key
    }

    /// Records that the answer to an attempt has begun.
    pub fn begin_answer(
        &mut self,
        address: SocketAddr,
        incarnation: &ServerIncarnation,
        key: AttemptKey,
    ) {
        let state = self.state(address, incarnation);
        if let Some(attempt) = state.and_then(|state| state.open.get_mut(&key)) {
            attempt.answer_begun = true;
        }
    }

    /// Records how an attempt ended; returns what is suspected at once, since the server's
    /// crash is already confirmed.
    pub fn finish_attempt(
        &mut self,
        now: Duration,
        address: SocketAddr,
        incarnation: &ServerIncarnation,
        key: AttemptKey,
        outcome: AttemptOutcome,
    ) -> Option<CrashSuspects> {
        let state = self.state(address, incarnation)?;
        let attempt = state.open.remove(&key)?;
        if outcome == AttemptOutcome::Answered {
            state.lost.retain(|lost| now < lost.lost_at + MAX_ANSWER_DELAY);
        }
        if outcome != AttemptOutcome::Lost {
            return None;
        }
        if state.crashed_at.is_some() {
            return Some(CrashSuspects::collect(std::iter::once(&attempt)));
        }
        state.lost.push(LostAttempt { attempt, lost_at: now });
        None
    }

    /// Records that a server leaves or is no longer listed. It may stop listening while it
    /// still serves its open requests, which are therefore not suspected.
    pub fn mark_leaving(&mut self, server: &str) {
        let states = self.incarnations.values_mut().flatten();
        states
            .filter(|state| state.incarnation.server == server)
            .for_each(|state| state.leaving = true);
    }

    /// Returns whether an incarnation of a server has crashed.
    pub fn status(&self, address: SocketAddr, incarnation: &ServerIncarnation) -> CrashStatus {
        let mut states = self.incarnations.get(&address).into_iter().flatten();
        match states.find(|state| state.incarnation == *incarnation) {
            Some(state) if state.crashed_at.is_some() => CrashStatus::Crashed,
            Some(state) if !state.lost.is_empty() => CrashStatus::Suspected,
            _ => CrashStatus::Alive,
        }
    }

    /// Returns whether a crash of an attempt's server was confirmed after the attempt was sent.
    pub fn crashed_since_sent(
        &self,
        address: SocketAddr,
        incarnation: &ServerIncarnation,
        key: AttemptKey,
    ) -> bool {
        let mut states = self.incarnations.get(&address).into_iter().flatten();
        let state = states.find(|state| state.incarnation == *incarnation);
        state.is_some_and(|state| {
            let sent_at = state.open.get(&key).map(|attempt| attempt.sent_at);
            state.crashed_at.zip(sent_at).is_some_and(|(crashed_at, sent_at)| crashed_at >= sent_at)
        })
    }

    /// Records that a server's host refused a connection, which confirms the crash;
    /// returns what is suspected of it.
    pub fn record_refused_connection(
        &mut self,
        now: Duration,
        address: SocketAddr,
        incarnation: &ServerIncarnation,
    ) -> CrashSuspects {
        self.state(address, incarnation).map(|state| state.confirm_crash(now)).unwrap_or_default()
    }

    /// Returns whether a part is at few of the servers other than `crashed` that have requests
    /// with parts of this gateway; false if there are too few such servers to tell.
    pub fn is_held_by_few(&self, part: PartDigest, crashed: &ServerIncarnation) -> bool {
        let states = self.incarnations.values().flatten();
        let others =
            states.filter(|state| state.incarnation != *crashed && state.crashed_at.is_none());
        let (mut servers, mut holding) = (0, 0);
        for state in others {
            let mut parts = state.open.values().flat_map(|attempt| attempt.content.parts.iter());
            let Some(first) = parts.next() else {
                continue;
            };
            servers += 1;
            holding += usize::from(*first == part || parts.any(|held| *held == part));
        }
        servers >= MIN_COMPARED_SERVERS && holding * MIN_COMPARED_SERVERS <= servers
    }

    /// Returns the number of unconfirmed crashes of which a request is suspected.
    pub fn unconfirmed_crashes(&self, digest: RequestDigest) -> usize {
        let states = self.incarnations.values().flatten();
        let unconfirmed = states.filter(|state| {
            state.crashed_at.is_none()
                && state.lost.iter().any(|lost| lost.attempt.content.digest == digest)
        });
        unconfirmed.count()
    }

    /// Records that a server registered. Earlier incarnations at its address have crashed:
    /// returns those of them that have suspects, with these.
    pub fn record_registration(
        &mut self,
        now: Duration,
        address: SocketAddr,
        incarnation: &ServerIncarnation,
    ) -> Vec<(ServerIncarnation, CrashSuspects)> {
        let states = self.incarnations.get_mut(&address).into_iter().flatten();
        let earlier = states.filter(|state| state.incarnation.started_ms < incarnation.started_ms);
        let mut crashed: Vec<_> =
            earlier.map(|state| (state.incarnation.clone(), state.confirm_crash(now))).collect();
        crashed.retain(|(_, suspects)| !suspects.is_empty());
        crashed
    }

    /// Drops lost attempts and crashes that are too old.
    pub fn sweep(&mut self, now: Duration) {
        for states in self.incarnations.values_mut() {
            for state in states.iter_mut() {
                state.lost.retain(|lost| now < lost.lost_at + LOSS_RETENTION);
            }
            states.retain(|state| !state.is_expired(now));
        }
        self.incarnations.retain(|_, states| !states.is_empty());
    }

    /// Returns the number of server incarnations that are kept.
    pub fn len(&self) -> usize {
        self.incarnations.values().map(Vec::len).sum()
    }

    /// Returns whether no server incarnation is kept.
    pub fn is_empty(&self) -> bool {
        self.incarnations.is_empty()
    }

    fn state(
        &mut self,
        address: SocketAddr,
        incarnation: &ServerIncarnation,
    ) -> Option<&mut IncarnationState> {
        self.incarnations
            .get_mut(&address)?
            .iter_mut()
            .find(|state| state.incarnation == *incarnation)
    }
}
