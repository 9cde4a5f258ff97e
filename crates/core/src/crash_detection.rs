//! Decides whether a backend server has crashed, and which requests were there.
//!
//! The inputs are the attempts of this gateway, refused connections and server records;
//! the outputs are the requests that are suspected of having crashed a server.
//!
//! A broken connection alone is no proof of a crash: the connection may have been reset,
//! the VM frozen or the network cut. A crash is confirmed when the server's host refuses
//! a connection, since no process listens there, or when a later incarnation of a server
//! registers at the same address. A request is suspected of a confirmed crash if its
//! attempt was open or brought no answer. A lost attempt leaves the crash unconfirmed
//! until then, or until the same incarnation answers another request. A connection that
//! is accepted proves nothing, since a process that exits closes its sockets one after
//! the other and may go on accepting for a while.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::FastMap;
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

#[derive(Debug, Clone)]
struct IncarnationState {
    incarnation: ServerIncarnation,
    /// Number of open attempts by request.
    open: FastMap<RequestDigest, u32>,
    /// Requests whose attempts were lost, with the times of the losses.
    lost: Vec<(RequestDigest, Duration)>,
    crashed_at: Option<Duration>,
    leaving: bool,
}

impl IncarnationState {
    /// Marks the crash as confirmed; returns the suspected requests.
    fn confirm_crash(&mut self, now: Duration) -> Vec<RequestDigest> {
        self.crashed_at.get_or_insert(now);
        let lost = self.lost.drain(..).filter(|(_, at)| now < *at + LOSS_RETENTION);
        let mut suspects: Vec<RequestDigest> = lost.map(|(digest, _)| digest).collect();
        if !self.leaving {
            suspects.extend(self.open.keys());
        }
        suspects.sort_unstable();
        suspects.dedup();
        suspects
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
}

impl CrashDetector {
    /// Records that a request is sent to a server.
    pub fn begin_attempt(
        &mut self,
        address: SocketAddr,
        incarnation: &ServerIncarnation,
        digest: RequestDigest,
    ) {
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
        *states[index].open.entry(digest).or_insert(0) += 1;
    }

    /// Records how an attempt ended; returns true if the request is suspected at once,
    /// since the server's crash is already confirmed.
    pub fn finish_attempt(
        &mut self,
        now: Duration,
        address: SocketAddr,
        incarnation: &ServerIncarnation,
        digest: RequestDigest,
        outcome: AttemptOutcome,
    ) -> bool {
        let Some(state) = self.state(address, incarnation) else {
            return false;
        };
        if let Some(count) = state.open.get_mut(&digest) {
            *count -= 1;
            if *count == 0 {
                state.open.remove(&digest);
            }
        }
        if outcome == AttemptOutcome::Answered {
            state.lost.retain(|(_, at)| now < *at + MAX_ANSWER_DELAY);
        }
        if outcome != AttemptOutcome::Lost {
            return false;
        }
        if state.crashed_at.is_none() {
            state.lost.push((digest, now));
        }
        state.crashed_at.is_some()
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

    /// Records that a server's host refused a connection, which confirms the crash;
    /// returns the suspected requests.
    pub fn record_refused_connection(
        &mut self,
        now: Duration,
        address: SocketAddr,
        incarnation: &ServerIncarnation,
    ) -> Vec<RequestDigest> {
        self.state(address, incarnation).map(|state| state.confirm_crash(now)).unwrap_or_default()
    }

    /// Returns the number of unconfirmed crashes of which a request is suspected.
    pub fn unconfirmed_crashes(&self, digest: RequestDigest) -> usize {
        let states = self.incarnations.values().flatten();
        let unconfirmed = states.filter(|state| {
            state.crashed_at.is_none() && state.lost.iter().any(|(lost, _)| *lost == digest)
        });
        unconfirmed.count()
    }

    /// Records that a server registered. Earlier incarnations at its address have crashed:
    /// returns those of them that have suspected requests, with these requests.
    pub fn record_registration(
        &mut self,
        now: Duration,
        address: SocketAddr,
        incarnation: &ServerIncarnation,
    ) -> Vec<(ServerIncarnation, Vec<RequestDigest>)> {
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
                state.lost.retain(|(_, at)| now < *at + LOSS_RETENTION);
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
