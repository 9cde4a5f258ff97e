//! Decides which requests are quarantined because servers crash while running them.
//!
//! The inputs are crashes and answers, seen by this gateway or reported by others, so that
//! the count belongs to the request and not to a process or an attempt. Reports may
//! arrive in any order and more than once. The output is whether a request may be sent:
//! it is quarantined once [`QUARANTINE_CRASHES`] server incarnations have crashed while
//! they had it.
//!
//! Most requests at a crashing server did not cause the crash. A request that is
//! answered anywhere is cleared: its earlier crashes no longer count, and neither do
//! those in the minutes after the answer, unless crashes keep coming without another
//! answer.

use std::collections::VecDeque;
use std::time::Duration;

use crate::crash_detection::ServerIncarnation;
use crate::ids::FastMap;
use crate::ids::RequestDigest;

/// Server crashes after which a request is quarantined; the platform sets this limit.
pub const QUARANTINE_CRASHES: usize = 3;
/// Time after the last crash for which a request stays quarantined. After it, one more
/// crash quarantines the request again; a server that was repaired gets the request
/// within that time.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(3_600);
/// Time after which a crash is dropped; a request that comes back once a day still
/// meets its earlier crashes.
pub const CRASH_RETENTION: Duration = Duration::from_secs(24 * 3_600);
/// Crashes that are kept per request; more would not change the decision.
const MAX_CRASHES_PER_REQUEST: usize = 6;
/// Suspect requests that are kept; the loss of a zone of the largest site leaves each
/// gateway with some dozens, which are answered elsewhere within seconds.
const MAX_SUSPECTS: usize = 1_024;
/// Interval at which the log of answers is rotated; the second rotation drops an answer.
/// An answer thus clears its request for one to two intervals, or for less time where
/// full logs are rotated sooner.
const ANSWER_RETENTION: Duration = Duration::from_secs(120);
/// Least time between two crashes that count separately against an answered request.
/// The crashes of a lost zone come within this time and count once; a request that
/// crashes servers reaches the next server only after it was sent again.
const BURST_WINDOW: Duration = Duration::from_secs(1);
/// Answers that are kept in each half of the log; a gateway of the largest site answers
/// 24 requests a second.
const MAX_ANSWERS_PER_LOG: usize = 4_096;

/// Crash of a server while it had a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashReport {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Incarnation of the server that crashed.
    pub incarnation: ServerIncarnation,
    /// When the crash was noticed, in time since this process started; zero for
    /// crashes before that.
    pub noticed_at: Duration,
}

/// Whether a request may be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// The request may be sent; holds the number of servers that crashed while they had it.
    Allowed(usize),
    /// The request must not be sent; holds the crashes that count against it.
    Quarantined(Vec<CrashReport>),
}

#[derive(Debug, Clone, Default)]
struct SuspectRequest {
    crashes: VecDeque<SuspectCrash>,
}

#[derive(Debug, Clone)]
struct SuspectCrash {
    report: CrashReport,
    /// Whether this gateway noticed the crash, not another one.
    local: bool,
}

impl SuspectRequest {
    /// Returns when the latest crash was noticed.
    fn latest(&self) -> Duration {
        self.crashes.iter().map(|crash| crash.report.noticed_at).max().unwrap_or_default()
    }

    fn is_quarantined(&self, now: Duration) -> bool {
        self.crashes.len() >= QUARANTINE_CRASHES && now < self.latest() + QUARANTINE_TIME
    }
}

/// Effect of a crash report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineChange {
    /// The crash was known already, or is too old to count.
    Unchanged,
    /// The crash was added, or a crash that another gateway reported was now noticed
    /// here as well.
    CrashAdded,
    /// The crash was added, and the request is quarantined from now on.
    Quarantined,
    /// The request has been answered, which the sender of the report does not know.
    AlreadyAnswered,
}

/// Answered requests, with the crashes since the answer.
type AnswerLog = FastMap<RequestDigest, Vec<CrashReport>>;

/// Crashes and answers by request.
#[derive(Debug, Clone, Default)]
pub struct CrashQuarantine {
    suspects: FastMap<RequestDigest, SuspectRequest>,
    answers: AnswerLog,
    older_answers: AnswerLog,
    rotated_at: Duration,
    evicted: u64,
}

impl CrashQuarantine {
    /// Records a crash; `local` if this gateway noticed it itself.
    pub fn record_crash(
        &mut self,
        now: Duration,
        report: CrashReport,
        local: bool,
    ) -> QuarantineChange {
        self.expire_answers(now);
        if now >= report.noticed_at + CRASH_RETENTION {
            return QuarantineChange::Unchanged;
        }
        if self.recently_answered(report.digest) {
            return self.record_crash_after_answer(report, local);
        }
        let suspect = self.suspects.entry(report.digest).or_default();
        if let Some(known) =
            suspect.crashes.iter_mut().find(|known| known.report.incarnation == report.incarnation)
        {
            let changed = local && !known.local;
            known.local |= local;
            return if changed {
                QuarantineChange::CrashAdded
            } else {
                QuarantineChange::Unchanged
            };
        }
        let was_quarantined = suspect.is_quarantined(now);
        suspect.crashes.push_back(SuspectCrash { report, local });
        if suspect.crashes.len() > MAX_CRASHES_PER_REQUEST {
            suspect.crashes.pop_front();
        }
        let change = match !was_quarantined && suspect.is_quarantined(now) {
            true => QuarantineChange::Quarantined,
            false => QuarantineChange::CrashAdded,
        };
        self.evict();
        change
    }

    /// Records the crash of a server that had an answered request. Crashes in
    /// [`QUARANTINE_CRASHES`] separate bursts outweigh the answer.
    fn record_crash_after_answer(&mut self, report: CrashReport, local: bool) -> QuarantineChange {
        let digest = report.digest;
        let logs = [&mut self.answers, &mut self.older_answers];
        let Some(later_crashes) = logs.into_iter().find_map(|log| log.get_mut(&digest)) else {
            return QuarantineChange::AlreadyAnswered;
        };
        let counted = later_crashes.iter().any(|known| {
            known.incarnation == report.incarnation
                || known.noticed_at.abs_diff(report.noticed_at) < BURST_WINDOW
        });
        if !counted {
            later_crashes.push(report);
        }
        if later_crashes.len() < QUARANTINE_CRASHES {
            return QuarantineChange::AlreadyAnswered;
        }
        let crashes =
            std::mem::take(later_crashes).into_iter().map(|report| SuspectCrash { report, local });
        self.suspects.insert(digest, SuspectRequest { crashes: crashes.collect() });
        self.answers.remove(&digest);
        self.older_answers.remove(&digest);
        self.evict();
        QuarantineChange::Quarantined
    }

    /// Drops answers that are too old to clear a request.
    fn expire_answers(&mut self, now: Duration) {
        if now >= self.rotated_at + ANSWER_RETENTION * 2 {
            self.answers.clear();
            self.older_answers.clear();
            self.rotated_at = now;
        } else if now >= self.rotated_at + ANSWER_RETENTION {
            self.rotate_answers(now);
        }
    }

    fn rotate_answers(&mut self, now: Duration) {
        self.older_answers = std::mem::take(&mut self.answers);
        self.rotated_at = now;
    }

    /// Records that a request was answered, here or at another gateway; returns the
    /// number of crashes that no longer count against it.
    pub fn record_answer(&mut self, now: Duration, digest: RequestDigest) -> usize {
        self.expire_answers(now);
        if self.answers.len() >= MAX_ANSWERS_PER_LOG {
            self.rotate_answers(now);
        }
        self.answers.insert(digest, Vec::new());
        self.suspects.remove(&digest).map_or(0, |suspect| suspect.crashes.len())
    }

    /// Returns whether a recent answer clears a request.
    pub fn recently_answered(&self, digest: RequestDigest) -> bool {
        self.answers.contains_key(&digest) || self.older_answers.contains_key(&digest)
    }

    /// Returns whether a request may be sent.
    pub fn status(&self, now: Duration, digest: RequestDigest) -> QuarantineStatus {
        let Some(suspect) = self.suspects.get(&digest) else {
            return QuarantineStatus::Allowed(0);
        };
        if suspect.is_quarantined(now) {
            let reports = suspect.crashes.iter().map(|crash| crash.report.clone());
            return QuarantineStatus::Quarantined(reports.collect());
        }
        QuarantineStatus::Allowed(suspect.crashes.len())
    }

    /// Returns at most `limit` crashes that this gateway noticed, those of the requests
    /// with the most crashes first.
    pub fn local_crashes(&self, limit: usize) -> Vec<CrashReport> {
        self.ranked_crashes(limit, |crash| crash.local)
    }

    /// Returns whether a crash of a server became known at `since` or later, here or at another
    /// gateway.
    pub fn has_crashed_since(&self, incarnation: &ServerIncarnation, since: Duration) -> bool {
        let mut crashes = self.suspects.values().flat_map(|suspect| &suspect.crashes);
        crashes.any(|crash| {
            crash.report.incarnation == *incarnation && crash.report.noticed_at >= since
        })
    }

    /// Returns at most `limit` crashes noticed since `since`, those of the requests with
    /// the most crashes first.
    pub fn recent_crashes(&self, since: Duration, limit: usize) -> Vec<CrashReport> {
        self.ranked_crashes(limit, |crash| crash.report.noticed_at >= since)
    }

    fn ranked_crashes(
        &self,
        limit: usize,
        selected: impl Fn(&SuspectCrash) -> bool,
    ) -> Vec<CrashReport> {
        let mut suspects: Vec<&SuspectRequest> = self.suspects.values().collect();
        suspects
            .sort_by_key(|suspect| std::cmp::Reverse((suspect.crashes.len(), suspect.latest())));
        let crashes = suspects.into_iter().flat_map(|suspect| &suspect.crashes);
        crashes
            .filter(|crash| selected(crash))
            .map(|crash| crash.report.clone())
            .take(limit)
            .collect()
    }

    /// Drops crashes and answers that are too old.
    pub fn sweep(&mut self, now: Duration) {
        self.expire_answers(now);
        for suspect in self.suspects.values_mut() {
            suspect.crashes.retain(|crash| now < crash.report.noticed_at + CRASH_RETENTION);
        }
        self.suspects.retain(|_, suspect| !suspect.crashes.is_empty());
    }

    /// Returns the number of requests that a server had when it crashed.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Returns the number of requests that are quarantined.
    pub fn quarantined_count(&self, now: Duration) -> usize {
        self.suspects.values().filter(|suspect| suspect.is_quarantined(now)).count()
    }

    /// Returns the number of requests that were dropped because there were too many.
    pub fn evicted_count(&self) -> u64 {
        self.evicted
    }

    /// Drops the requests with the fewest crashes, and among these the oldest, until at
    /// most [`MAX_SUSPECTS`] are left.
    fn evict(&mut self) {
        while self.suspects.len() > MAX_SUSPECTS {
            let ranked = self
                .suspects
                .iter()
                .map(|(digest, suspect)| (suspect.crashes.len(), suspect.latest(), *digest));
            let Some((_, _, digest)) = ranked.min() else {
                return;
            };
            self.suspects.remove(&digest);
            self.evicted += 1;
        }
    }
}
