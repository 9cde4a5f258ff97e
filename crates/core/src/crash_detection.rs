//! Which requests were at a backend server when it ended.
//!
//! A broken connection does not tell a server's end from a reset connection, a
//! frozen VM or a cut network. An end is proven when the server's host refuses a
//! connection, since no process listens there, or when another start of a server
//! registers at the same address. A request is under suspicion for an end that is
//! proven if its attempt was open or brought no answer. A loss is in doubt until the
//! end is proven or the same start of the server answers another request: a process
//! that ends closes its sockets one after the other, so that connections may still be
//! taken for a while.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::FastMap;
use crate::ids::RequestDigest;
use crate::ids::ServerId;

/// Time for which an attempt without an answer is remembered; servers that ended
/// are back after some seconds, and their new record is the last proof.
const LOSS_SPAN: Duration = Duration::from_secs(8);
/// Time after a loss from which an answer shows that the server lived on; an answer
/// that was on its way at the end may be read some time later.
const ANSWER_DELAY: Duration = Duration::from_millis(200);
/// Time for which the end of a server is remembered for attempts that notice later.
const END_SPAN: Duration = Duration::from_secs(30);

/// One start of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ServerIncarnation {
    /// Identity of the server.
    pub server: ServerId,
    /// Its start, in milliseconds since the Unix epoch; 0 if not told.
    pub started_ms: u64,
}

/// What became of an attempt that reached a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The server answered, be it with a failure.
    Answered,
    /// No whole answer came.
    Lost,
    /// No whole answer came from a server that was known to be leaving.
    LostWhileLeaving,
}

/// What is known of a server's end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashStatus {
    /// It has ended.
    Crashed,
    /// Attempts at it were lost; whether it has ended is not known.
    Suspected,
    /// Nothing speaks for its end.
    Alive,
}

#[derive(Debug, Clone)]
struct LifeState {
    incarnation: ServerIncarnation,
    open: FastMap<RequestDigest, u32>,
    lost: Vec<(RequestDigest, Duration)>,
    ended: Option<Duration>,
    leaving: bool,
}

impl LifeState {
    /// Marks the end; returns the requests under suspicion.
    fn end(&mut self, now: Duration) -> Vec<RequestDigest> {
        self.ended.get_or_insert(now);
        let lost = self.lost.drain(..).filter(|(_, at)| now < *at + LOSS_SPAN);
        let mut suspects: Vec<RequestDigest> = lost.map(|(digest, _)| digest).collect();
        if !self.leaving {
            suspects.extend(self.open.keys());
        }
        suspects.sort_unstable();
        suspects.dedup();
        suspects
    }

    fn idle(&self, now: Duration) -> bool {
        let over = self.ended.is_none_or(|ended| now >= ended + END_SPAN);
        self.open.is_empty() && self.lost.is_empty() && over
    }
}

/// Attempts of this gateway at each start of each server.
#[derive(Debug, Clone, Default)]
pub struct CrashDetector {
    addresses: FastMap<SocketAddr, Vec<LifeState>>,
}

impl CrashDetector {
    /// Notes that a request is sent to a server.
    pub fn begin_attempt(
        &mut self,
        address: SocketAddr,
        incarnation: &ServerIncarnation,
        digest: RequestDigest,
    ) {
        let states = self.addresses.entry(address).or_default();
        let index = states
            .iter()
            .position(|state| state.incarnation == *incarnation)
            .unwrap_or_else(|| {
                states.push(LifeState {
                    incarnation: incarnation.clone(),
                    open: FastMap::default(),
                    lost: Vec::new(),
                    ended: None,
                    leaving: false,
                });
                states.len() - 1
            });
        *states[index].open.entry(digest).or_insert(0) += 1;
    }

    /// Notes how an attempt ended; true if the request is under suspicion, since
    /// the server's end is proven already.
    pub fn finish_attempt(
        &mut self,
        now: Duration,
        address: SocketAddr,
        incarnation: &ServerIncarnation,
        digest: RequestDigest,
        end: AttemptOutcome,
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
        if end == AttemptOutcome::Answered {
            state.lost.retain(|(_, at)| now < *at + ANSWER_DELAY);
        }
        if end != AttemptOutcome::Lost {
            return false;
        }
        if state.ended.is_none() {
            state.lost.push((digest, now));
        }
        state.ended.is_some()
    }

    /// Notes that a server leaves, or is no longer listed: it may stop listening while
    /// it serves what it has.
    pub fn mark_leaving(&mut self, server: &str) {
        let states = self.addresses.values_mut().flatten();
        states
            .filter(|state| state.incarnation.server == server)
            .for_each(|state| state.leaving = true);
    }

    /// Tells what is known of a server's end.
    pub fn status(&self, address: SocketAddr, incarnation: &ServerIncarnation) -> CrashStatus {
        let mut states = self.addresses.get(&address).into_iter().flatten();
        match states.find(|state| state.incarnation == *incarnation) {
            Some(state) if state.ended.is_some() => CrashStatus::Crashed,
            Some(state) if !state.lost.is_empty() => CrashStatus::Suspected,
            _ => CrashStatus::Alive,
        }
    }

    /// Takes in that a server's host refused a connection; returns the requests
    /// under suspicion.
    pub fn record_refused_connection(
        &mut self,
        now: Duration,
        address: SocketAddr,
        incarnation: &ServerIncarnation,
    ) -> Vec<RequestDigest> {
        self.state(address, incarnation).map(|state| state.end(now)).unwrap_or_default()
    }

    /// Number of servers that may have ended under a request, but for proof.
    pub fn unconfirmed_crashes(&self, digest: RequestDigest) -> usize {
        let states = self.addresses.values().flatten();
        let doubtful = states.filter(|state| {
            state.ended.is_none() && state.lost.iter().any(|(lost, _)| *lost == digest)
        });
        doubtful.count()
    }

    /// Takes in the record of a server; returns earlier starts at its address, which
    /// have ended, with the requests under suspicion.
    pub fn record_registration(
        &mut self,
        now: Duration,
        address: SocketAddr,
        incarnation: &ServerIncarnation,
    ) -> Vec<(ServerIncarnation, Vec<RequestDigest>)> {
        let states = self.addresses.get_mut(&address).into_iter().flatten();
        let earlier = states.filter(|state| state.incarnation.started_ms < incarnation.started_ms);
        let mut ended: Vec<_> =
            earlier.map(|state| (state.incarnation.clone(), state.end(now))).collect();
        ended.retain(|(_, suspects)| !suspects.is_empty());
        ended
    }

    /// Forgets what is too old to tell anything.
    pub fn sweep(&mut self, now: Duration) {
        for states in self.addresses.values_mut() {
            for state in states.iter_mut() {
                state.lost.retain(|(_, at)| now < *at + LOSS_SPAN);
            }
            states.retain(|state| !state.idle(now));
        }
        self.addresses.retain(|_, states| !states.is_empty());
    }

    /// Number of starts of servers that are remembered.
    pub fn len(&self) -> usize {
        self.addresses.values().map(Vec::len).sum()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.addresses.is_empty()
    }

    fn state(
        &mut self,
        address: SocketAddr,
        incarnation: &ServerIncarnation,
    ) -> Option<&mut LifeState> {
        self.addresses.get_mut(&address)?.iter_mut().find(|state| state.incarnation == *incarnation)
    }
}
