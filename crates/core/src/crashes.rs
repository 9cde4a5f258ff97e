//! Requests that end the servers which run them, and when to hold them back.
//!
//! Every gateway notes the ends under which it had a request and tells the others,
//! so that the count belongs to the request and not to a process or an attempt.
//! A request is held back once [`HELD_ENDS`] starts of servers have ended under it.
//!
//! Most requests at a server that ends are innocent. One that is answered anywhere
//! is no cause of ends: its ends are void, and so are those in the time after the
//! answer, unless they keep coming without another answer. Merging what others tell is idempotent and needs no order.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ends::ServerLife;
use crate::ids::FastMap;
use crate::ids::RequestDigest;

/// Ends of servers after which a request is held back; the platform's bound.
pub const HELD_ENDS: usize = 3;
/// Time after the last end for which a request is held back. After it, one more end
/// suffices; a server that was repaired gets the request within that time.
pub const HOLD_TIME: Duration = Duration::from_secs(3_600);
/// Time after which an end is forgotten; a request that comes back once a day still
/// meets its earlier ends.
pub const FORGET_TIME: Duration = Duration::from_secs(24 * 3_600);
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
pub struct CrashEnd {
    /// Request.
    pub digest: RequestDigest,
    /// Start of the server that ended.
    pub life: ServerLife,
    /// When the end was noticed, in time since this process started; zero for
    /// what happened before.
    pub at: Duration,
}

/// What is known of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CrashVerdict {
    /// It may be sent; so many servers have ended under it.
    Free(usize),
    /// It is held back, because these servers have ended under it.
    Held(Vec<CrashEnd>),
}

#[derive(Debug, Clone, Default)]
struct SuspectState {
    ends: VecDeque<SuspectEnd>,
}

#[derive(Debug, Clone)]
struct SuspectEnd {
    end: CrashEnd,
    /// Whether this gateway noticed it, and not another.
    own: bool,
}

impl SuspectState {
    fn last(&self) -> Duration {
        self.ends.iter().map(|kept| kept.end.at).max().unwrap_or_default()
    }

    fn held(&self, now: Duration) -> bool {
        self.ends.len() >= HELD_ENDS && now < self.last() + HOLD_TIME
    }
}

/// What a change of the ledger calls for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LedgerChange {
    /// Nothing is new.
    Known,
    /// An end was added.
    Added,
    /// An end was added, and the request is held back from now on.
    NowHeld,
    /// The request has been answered; the sender of the end does not know.
    Answered,
}

/// Answered requests, with the ends that came since the answer.
type AnswerLog = FastMap<RequestDigest, Vec<CrashEnd>>;

/// Ends of servers by the request under which they came.
#[derive(Debug, Clone, Default)]
pub struct CrashLedger {
    suspects: FastMap<RequestDigest, SuspectState>,
    answered: AnswerLog,
    answered_before: AnswerLog,
    rotated: Duration,
    evicted: u64,
}

impl CrashLedger {
    /// Takes an end in; `own` if this gateway noticed it itself.
    pub fn note_end(&mut self, now: Duration, end: CrashEnd, own: bool) -> LedgerChange {
        self.expire_answers(now);
        if now >= end.at + FORGET_TIME {
            return LedgerChange::Known;
        }
        if self.was_answered(end.digest) {
            return self.note_end_after_answer(end, own);
        }
        let suspect = self.suspects.entry(end.digest).or_default();
        if let Some(known) = suspect.ends.iter_mut().find(|known| known.end.life == end.life) {
            let changed = own && !known.own;
            known.own |= own;
            return if changed { LedgerChange::Added } else { LedgerChange::Known };
        }
        let held = suspect.held(now);
        suspect.ends.push_back(SuspectEnd { end, own });
        if suspect.ends.len() > KEPT_ENDS {
            suspect.ends.pop_front();
        }
        let change = match !held && suspect.held(now) {
            true => LedgerChange::NowHeld,
            false => LedgerChange::Added,
        };
        self.evict();
        change
    }

    /// Takes the end of a server under an answered request in. Ends in so many
    /// bursts as hold a request back outweigh the answer.
    fn note_end_after_answer(&mut self, end: CrashEnd, own: bool) -> LedgerChange {
        let digest = end.digest;
        let logs = [&mut self.answered, &mut self.answered_before];
        let Some(since) = logs.into_iter().find_map(|log| log.get_mut(&digest)) else {
            return LedgerChange::Answered;
        };
        let counted = since
            .iter()
            .any(|known| known.life == end.life || known.at.abs_diff(end.at) < BURST_SPAN);
        if !counted {
            since.push(end);
        }
        if since.len() < HELD_ENDS {
            return LedgerChange::Answered;
        }
        let ends = std::mem::take(since).into_iter().map(|end| SuspectEnd { end, own });
        self.suspects.insert(digest, SuspectState { ends: ends.collect() });
        self.answered.remove(&digest);
        self.answered_before.remove(&digest);
        self.evict();
        LedgerChange::NowHeld
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
    pub fn note_answer(&mut self, now: Duration, digest: RequestDigest) -> usize {
        self.expire_answers(now);
        if self.answered.len() >= MAX_ANSWERS {
            self.rotate_answers(now);
        }
        self.answered.insert(digest, Vec::new());
        self.suspects.remove(&digest).map_or(0, |suspect| suspect.ends.len())
    }

    /// Whether an answer of late speaks for a request.
    pub fn was_answered(&self, digest: RequestDigest) -> bool {
        self.answered.contains_key(&digest) || self.answered_before.contains_key(&digest)
    }

    /// Tells whether a request may be sent.
    pub fn verdict(&self, now: Duration, digest: RequestDigest) -> CrashVerdict {
        let Some(suspect) = self.suspects.get(&digest) else {
            return CrashVerdict::Free(0);
        };
        if suspect.held(now) {
            let ends = suspect.ends.iter().map(|kept| kept.end.clone());
            return CrashVerdict::Held(ends.collect());
        }
        CrashVerdict::Free(suspect.ends.len())
    }

    /// Ends that this gateway noticed, those of the requests with most ends first.
    pub fn own_ends(&self, most: usize) -> Vec<CrashEnd> {
        self.ranked(most, |kept| kept.own)
    }

    /// Ends noticed since `since`, those of the requests with most ends first.
    pub fn recent_ends(&self, since: Duration, most: usize) -> Vec<CrashEnd> {
        self.ranked(most, |kept| kept.end.at >= since)
    }

    fn ranked(&self, most: usize, wanted: impl Fn(&SuspectEnd) -> bool) -> Vec<CrashEnd> {
        let mut suspects: Vec<&SuspectState> = self.suspects.values().collect();
        suspects.sort_by_key(|suspect| std::cmp::Reverse((suspect.ends.len(), suspect.last())));
        let ends = suspects.into_iter().flat_map(|suspect| &suspect.ends);
        ends.filter(|kept| wanted(kept)).map(|kept| kept.end.clone()).take(most).collect()
    }

    /// Forgets ends and answers that are too old.
    pub fn sweep(&mut self, now: Duration) {
        self.expire_answers(now);
        for suspect in self.suspects.values_mut() {
            suspect.ends.retain(|kept| now < kept.end.at + FORGET_TIME);
        }
        self.suspects.retain(|_, suspect| !suspect.ends.is_empty());
    }

    /// Number of requests under which a server has ended.
    pub fn suspects(&self) -> usize {
        self.suspects.len()
    }

    /// Number of requests that are held back.
    pub fn held(&self, now: Duration) -> usize {
        self.suspects.values().filter(|suspect| suspect.held(now)).count()
    }

    /// Number of requests that were dropped for want of room.
    pub fn evicted(&self) -> u64 {
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
