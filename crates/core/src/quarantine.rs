//! Requests that end the servers which run them, and when to hold them back.
//!
//! Every gateway notes the ends under which it had a request and tells the others,
//! so that the count belongs to the request and not to a process or an attempt.
//! A request is held back once [`QUARANTINE_CRASHES`] starts of servers have ended under it.
//!
//! Most requests at a server that ends are innocent. One that is answered anywhere
//! is no cause of ends: its ends are void, and so are those in the time after the
//! answer, unless they keep coming without another answer. Merging what others tell is idempotent and needs no order.

use std::collections::VecDeque;
use std::time::Duration;

use crate::crash_detection::ServerIncarnation;
use crate::ids::FastMap;
use crate::ids::RequestDigest;

/// Ends of servers after which a request is held back; the platform's bound.
pub const QUARANTINE_CRASHES: usize = 3;
/// Time after the last end for which a request is held back. After it, one more end
/// suffices; a server that was repaired gets the request within that time.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(3_600);
/// Time after which an end is forgotten; a request that comes back once a day still
/// meets its earlier ends.
pub const CRASH_RETENTION: Duration = Duration::from_secs(24 * 3_600);
/// Ends that are kept of one request; more add nothing.
const KEPT_ENDS: usize = 6;
/// Requests under suspicion that are kept; a lost zone of the largest site leaves
/// each gateway some dozens, which are answered elsewhere within seconds.
const MAX_SUSPECTS: usize = 1_024;
/// Time for which an answer speaks for a request, at least; half of it after a
/// rotation of the log.
const ANSWER_SPAN: Duration = Duration::from_secs(120);
/// Least time between two ends that count against a request although it was answered.
/// A lost zone ends its servers within this time, so that its ends count once; a
/// request that ends servers ends the next only after it was sent again.
const BURST_SPAN: Duration = Duration::from_secs(1);
/// Answers that are remembered in each half of the log; a gateway of the largest
/// site answers 24 requests a second.
const MAX_ANSWERS: usize = 4_096;

/// The end of a server under a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashReport {
    /// Request.
    pub digest: RequestDigest,
    /// Start of the server that ended.
    pub incarnation: ServerIncarnation,
    /// When the end was noticed, in time since this process started; zero for
    /// what happened before.
    pub noticed_at: Duration,
}

/// What is known of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// It may be sent; so many servers have ended under it.
    Allowed(usize),
    /// It is held back, because these servers have ended under it.
    Quarantined(Vec<CrashReport>),
}

#[derive(Debug, Clone, Default)]
struct SuspectState {
    ends: VecDeque<SuspectEnd>,
}

#[derive(Debug, Clone)]
struct SuspectEnd {
    end: CrashReport,
    /// Whether this gateway noticed it, and not another.
    own: bool,
}

impl SuspectState {
    fn last(&self) -> Duration {
        self.ends.iter().map(|kept| kept.end.noticed_at).max().unwrap_or_default()
    }

    fn held(&self, now: Duration) -> bool {
        self.ends.len() >= QUARANTINE_CRASHES && now < self.last() + QUARANTINE_TIME
    }
}

/// What a change of the ledger calls for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineChange {
    /// Nothing is new.
    Unchanged,
    /// An end was added.
    CrashAdded,
    /// An end was added, and the request is held back from now on.
    Quarantined,
    /// The request has been answered; the sender of the end does not know.
    AlreadyAnswered,
}

/// Answered requests, with the ends that came since the answer.
type AnswerLog = FastMap<RequestDigest, Vec<CrashReport>>;

/// Ends of servers by the request under which they came.
#[derive(Debug, Clone, Default)]
pub struct CrashQuarantine {
    suspects: FastMap<RequestDigest, SuspectState>,
    answered: AnswerLog,
    answered_before: AnswerLog,
    rotated: Duration,
    evicted: u64,
}

impl CrashQuarantine {
    /// Takes an end in; `own` if this gateway noticed it itself.
    pub fn record_crash(&mut self, now: Duration, end: CrashReport, own: bool) -> QuarantineChange {
        self.expire_answers(now);
        if now >= end.noticed_at + CRASH_RETENTION {
            return QuarantineChange::Unchanged;
        }
        if self.recently_answered(end.digest) {
            return self.record_crash_after_answer(end, own);
        }
        let suspect = self.suspects.entry(end.digest).or_default();
        if let Some(known) =
            suspect.ends.iter_mut().find(|known| known.end.incarnation == end.incarnation)
        {
            let changed = own && !known.own;
            known.own |= own;
            return if changed {
                QuarantineChange::CrashAdded
            } else {
                QuarantineChange::Unchanged
            };
        }
        let held = suspect.held(now);
        suspect.ends.push_back(SuspectEnd { end, own });
        if suspect.ends.len() > KEPT_ENDS {
            suspect.ends.pop_front();
        }
        let change = match !held && suspect.held(now) {
            true => QuarantineChange::Quarantined,
            false => QuarantineChange::CrashAdded,
        };
        self.evict();
        change
    }

    /// Takes the end of a server under an answered request in. Ends in so many
    /// bursts as hold a request back outweigh the answer.
    fn record_crash_after_answer(&mut self, end: CrashReport, own: bool) -> QuarantineChange {
        let digest = end.digest;
        let logs = [&mut self.answered, &mut self.answered_before];
        let Some(since) = logs.into_iter().find_map(|log| log.get_mut(&digest)) else {
            return QuarantineChange::AlreadyAnswered;
        };
        let counted = since.iter().any(|known| {
            known.incarnation == end.incarnation
                || known.noticed_at.abs_diff(end.noticed_at) < BURST_SPAN
        });
        if !counted {
            since.push(end);
        }
        if since.len() < QUARANTINE_CRASHES {
            return QuarantineChange::AlreadyAnswered;
        }
        let ends = std::mem::take(since).into_iter().map(|end| SuspectEnd { end, own });
        self.suspects.insert(digest, SuspectState { ends: ends.collect() });
        self.answered.remove(&digest);
        self.answered_before.remove(&digest);
        self.evict();
        QuarantineChange::Quarantined
    }

    /// Forgets answers that are too old to speak for a request.
    fn expire_answers(&mut self, now: Duration) {
        if now >= self.rotated + ANSWER_SPAN * 2 {
            self.answered.clear();
            self.answered_before.clear();
            self.rotated = now;
        } else if now >= self.rotated + ANSWER_SPAN {
            self.rotate_answers(now);
        }
    }

    fn rotate_answers(&mut self, now: Duration) {
        self.answered_before = std::mem::take(&mut self.answered);
        self.rotated = now;
    }

    /// Takes in that a request was answered, here or elsewhere; returns the number
    /// of ends that are void by it.
    pub fn record_answer(&mut self, now: Duration, digest: RequestDigest) -> usize {
        self.expire_answers(now);
        if self.answered.len() >= MAX_ANSWERS {
            self.rotate_answers(now);
        }
        self.answered.insert(digest, Vec::new());
        self.suspects.remove(&digest).map_or(0, |suspect| suspect.ends.len())
    }

    /// Whether an answer of late speaks for a request.
    pub fn recently_answered(&self, digest: RequestDigest) -> bool {
        self.answered.contains_key(&digest) || self.answered_before.contains_key(&digest)
    }

    /// Tells whether a request may be sent.
    pub fn status(&self, now: Duration, digest: RequestDigest) -> QuarantineStatus {
        let Some(suspect) = self.suspects.get(&digest) else {
            return QuarantineStatus::Allowed(0);
        };
        if suspect.held(now) {
            let ends = suspect.ends.iter().map(|kept| kept.end.clone());
            return QuarantineStatus::Quarantined(ends.collect());
        }
        QuarantineStatus::Allowed(suspect.ends.len())
    }

    /// Ends that this gateway noticed, those of the requests with most ends first.
    pub fn local_crashes(&self, most: usize) -> Vec<CrashReport> {
        self.ranked(most, |kept| kept.own)
    }

    /// Ends noticed since `since`, those of the requests with most ends first.
    pub fn recent_crashes(&self, since: Duration, most: usize) -> Vec<CrashReport> {
        self.ranked(most, |kept| kept.end.noticed_at >= since)
    }

    fn ranked(&self, most: usize, wanted: impl Fn(&SuspectEnd) -> bool) -> Vec<CrashReport> {
        let mut suspects: Vec<&SuspectState> = self.suspects.values().collect();
        suspects.sort_by_key(|suspect| std::cmp::Reverse((suspect.ends.len(), suspect.last())));
        let ends = suspects.into_iter().flat_map(|suspect| &suspect.ends);
        ends.filter(|kept| wanted(kept)).map(|kept| kept.end.clone()).take(most).collect()
    }

    /// Forgets ends and answers that are too old.
    pub fn sweep(&mut self, now: Duration) {
        self.expire_answers(now);
        for suspect in self.suspects.values_mut() {
            suspect.ends.retain(|kept| now < kept.end.noticed_at + CRASH_RETENTION);
        }
        self.suspects.retain(|_, suspect| !suspect.ends.is_empty());
    }

    /// Number of requests under which a server has ended.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Number of requests that are held back.
    pub fn quarantined_count(&self, now: Duration) -> usize {
        self.suspects.values().filter(|suspect| suspect.held(now)).count()
    }

    /// Number of requests that were dropped for want of room.
    pub fn evicted_count(&self) -> u64 {
        self.evicted
    }

    /// Drops the requests with the fewest ends, of these the oldest, while there are too many.
    fn evict(&mut self) {
        while self.suspects.len() > MAX_SUSPECTS {
            let ranked = self
                .suspects
                .iter()
                .map(|(digest, suspect)| (suspect.ends.len(), suspect.last(), *digest));
            let Some((_, _, digest)) = ranked.min() else {
                return;
            };
            self.suspects.remove(&digest);
            self.evicted += 1;
        }
    }
}
