//! Decides which prompt parts are quarantined because servers crash when they begin to
//! answer a request which holds them.
//!
//! Requests that crash servers need not be alike: they may share only one part of their
//! prompts, beside parts that most sound requests hold. The inputs are crashes at which an
//! attempt with a part had not begun to be answered, and answers that began, seen by this
//! gateway or reported by others in any order. The output is whether a request with given
//! parts may be sent.
//!
//! An answer that begins clears all parts of its request from earlier crashes. A part that
//! was never answered is quarantined after [`NEW_PART_CRASHES`] crashes, a part that was
//! answered before after [`KNOWN_PART_CRASHES`]. Crashes count separately only if a
//! request was sent after the earlier one was noticed, so a lost zone counts once; or if the
//! part was at all servers that crashed together but at few others, which another cause is
//! unlikely to meet. A crash that a quarantined part explains does not count against others.
//!
//! Before that, a suspected part is tried by one request at a time over all gateways
//! ([`crate::part_trials`]). A trial may cost all callers an outage of the service, so requests
//! are refused until those that were refused weigh as much as that risk, summed over all
//! gateways. Parts that are less likely at fault are tried early: those that were answered
//! before, and those that were at only one of several servers which crashed together.
//!
//! Times count from any fixed moment that is at least [`PART_RETENTION`] before the start
//! of the process, so that crashes from before the start have one.

use std::time::Duration;

use crate::crash_detection::ServerIncarnation;
use crate::ids::FastMap;
use crate::ids::FastSet;
use crate::ids::MemberId;
use crate::ids::PartDigest;
use crate::ids::RequestDigest;
use crate::ids::ServiceName;
use crate::ids::hash_value;
use crate::part_trials::TrialContext;
use crate::part_trials::TrialStakes;
use crate::part_trials::sum_stakes;

/// Separate crashes after which a part is quarantined that was never answered.
pub const NEW_PART_CRASHES: usize = 2;
/// Separate crashes without an answer in between after which a part is quarantined that
/// was answered before.
pub const KNOWN_PART_CRASHES: usize = 3;
/// Time after the last crash for which a part stays quarantined. After it one request at a
/// time tries the part again; a model that was repaired serves it within that time.
pub const PART_QUARANTINE_TIME: Duration = Duration::from_secs(3_600);
/// Time after which a crash is dropped.
pub const PART_RETENTION: Duration = Duration::from_secs(24 * 3_600);
/// Time after a crash, and after the return of a service, before a suspected part is tried.
/// Callers that waited for the service are served first, since the trial may crash it.
pub const TRIAL_DELAY: Duration = Duration::from_millis(1_500);
/// Longest time after a crash for which a suspected part is not tried.
pub const MAX_TRIAL_HOLD: Duration = Duration::from_secs(60);
/// Time for which parts have to be observed before one without an answer counts as rare. Before
/// it, the parts that most requests share have not been answered either.
const MIN_OBSERVED_TIME: Duration = Duration::from_secs(1);
/// Time between crashes that have a common cause, such as the loss of a zone.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_secs(2);
/// Crashes that are kept per part; more would not change the decision.
const MAX_CRASHES_PER_PART: usize = 6;
/// Refused requests that are counted per part and gateway.
const MAX_COUNTED_REFUSALS: usize = 256;
/// Reports of other gateways on suspected parts that are kept; each of 350 gateways may
/// report on 40 parts.
const MAX_STAKE_REPORTS: usize = 16_384;
/// Suspected parts that are kept.
const MAX_SUSPECTS: usize = 1_024;
/// Parts in each half of the log of answered parts; a full half replaces the older one.
const MAX_ANSWERED_PER_LOG: usize = 8_192;

/// Crash of a server while a request with a part waited for the start of its answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartCrash {
    /// Digest of the part.
    pub part: PartDigest,
    /// Incarnation of the server that crashed.
    pub incarnation: ServerIncarnation,
    /// Service of the server; empty if unknown.
    pub service: ServiceName,
    /// When the latest of the requests with the part was sent to the server.
    pub sent_at: Duration,
    /// When the crash was noticed.
    pub noticed_at: Duration,
    /// Whether it is known that the part was answered before.
    pub answered_before: bool,
    /// Whether few of the other servers with requests of the same gateway had the part.
    pub held_by_few: bool,
    /// Time for which that gateway had seen parts answered when it noticed the crash.
    pub observed: Duration,
}

impl PartCrash {
    /// Returns whether the part was rare at the gateway that noticed the crash.
    fn is_rare(&self) -> bool {
        self.held_by_few && self.observed >= MIN_OBSERVED_TIME
    }
}

/// Whether a request may be sent, by the parts of its prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PartStatus {
    /// The request may be sent.
    Allowed,
    /// The request may be sent as a trial of its suspected parts.
    Suspected {
        /// Parts that the trial is for.
        parts: Vec<PartDigest>,
        /// When the latest crash was noticed.
        noticed_at: Duration,
        /// Earliest time of a trial, which should also leave time to callers that waited for
        /// the service; `None` if the parts may be tried at once.
        trial_from: Option<Duration>,
    },
    /// The request must not be sent; holds the crashes that count against its part.
    Quarantined(Vec<PartCrash>),
}

/// Effect of a crash report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartChange {
    /// The crash was known already, or is too old to count.
    Unchanged,
    /// The crash was added.
    Added,
    /// The crash was added, and the part is quarantined from now on.
    Quarantined,
    /// The part was answered after the crash, which the sender of the report does not know.
    AnsweredSince,
    /// The crash was added; the part was answered before it, which the sender of the report
    /// may not know.
    AddedToAnswered,
}

/// Effect of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PartClearance {
    /// Number of crashes that no longer count against the part.
    pub voided: usize,
    /// Whether the part was suspected or quarantined until then.
    pub was_suspected: bool,
}

/// Hash of the incarnation of a server.
type IncarnationKey = u64;

#[derive(Debug, Clone)]
struct SuspectCrash {
    crash: PartCrash,
    key: IncarnationKey,
    /// Whether this gateway noticed the crash, not another one.
    local: bool,
}

#[derive(Debug, Clone, Default)]
struct SuspectPart {
    crashes: Vec<SuspectCrash>,
    /// Whether the part was answered before the first of the crashes.
    answered_before: bool,
    quarantined: bool,
    /// Requests that this gateway refused because the part was suspected, each once.
    refused: FastSet<RequestDigest>,
    /// Latest report of each other gateway.
    reports: FastMap<MemberId, TrialStakes>,
}

impl SuspectPart {
    fn first(&self) -> Duration {
        self.crashes.iter().map(|known| known.crash.noticed_at).min().unwrap_or_default()
    }

    /// Returns for how long parts had been answered, but not this one, before its first crash.
    fn observed(&self) -> Duration {
        let first = self.crashes.iter().min_by_key(|known| known.crash.noticed_at);
        first.map_or(Duration::ZERO, |known| known.crash.observed)
    }

    fn latest(&self) -> Duration {
        self.crashes.iter().map(|known| known.crash.noticed_at).max().unwrap_or_default()
    }

    fn has_crash(&self, key: IncarnationKey) -> bool {
        self.crashes.iter().any(|known| known.key == key)
    }

    /// Returns the servers that crashed, in ascending order of their keys.
    fn crash_set(&self) -> Vec<IncarnationKey> {
        let mut keys: Vec<IncarnationKey> = self.crashes.iter().map(|known| known.key).collect();
        keys.sort_unstable();
        keys
    }

    /// Returns whether all crashes of `other` are crashes of this part as well.
    fn covers(&self, other: &SuspectPart) -> bool {
        other.crashes.iter().all(|known| self.has_crash(known.key))
    }

    fn required_crashes(&self) -> usize {
        if self.answered_before { KNOWN_PART_CRASHES } else { NEW_PART_CRASHES }
    }
}

/// The distinct sets of crashes of quarantined parts, by each server in them.
///
/// Few of them are subsets of the crashes of one part, since a part keeps few crashes. Whether a
/// quarantined part explains a crash is therefore known after a few sets, however many there are.
#[derive(Debug, Clone, Default)]
struct QuarantinedSets {
    by_server: FastMap<IncarnationKey, FastMap<Vec<IncarnationKey>, usize>>,
}

impl QuarantinedSets {
    fn add(&mut self, set: &[IncarnationKey]) {
        for key in set {
            *self.by_server.entry(*key).or_default().entry(set.to_vec()).or_default() += 1;
        }
    }

    fn remove(&mut self, set: &[IncarnationKey]) {
        for key in set {
            let Some(sets) = self.by_server.get_mut(key) else {
                continue;
            };
            if let Some(count) = sets.get_mut(set) {
                *count -= 1;
                if *count == 0 {
                    sets.remove(set);
                }
            }
            if sets.is_empty() {
                self.by_server.remove(key);
            }
        }
    }

    /// Returns whether a quarantined part has the crash `key`, and one that `suspect` lacks.
    fn explain(&self, key: IncarnationKey, suspect: &SuspectPart) -> bool {
        let mut sets = self.by_server.get(&key).into_iter().flat_map(|sets| sets.keys());
        sets.any(|set| set.iter().any(|key| !suspect.has_crash(*key)))
    }
}

/// Crashes and answers by prompt part.
#[derive(Debug, Clone, Default)]
pub struct PartQuarantine {
    suspects: FastMap<PartDigest, SuspectPart>,
    quarantined_sets: QuarantinedSets,
    /// When each part was last answered.
    answered: FastMap<PartDigest, Duration>,
    older_answered: FastMap<PartDigest, Duration>,
    first_answer_at: Option<Duration>,
    report_count: usize,
    evicted: u64,
}

impl PartQuarantine {
    /// Records a crash; `local` if this gateway noticed it itself.
    pub fn record_crash(&mut self, now: Duration, crash: PartCrash, local: bool) -> PartChange {
        if now >= crash.noticed_at + PART_RETENTION {
            return PartChange::Unchanged;
        }
        let answered_at = self.answered_at(crash.part);
        if answered_at.is_some_and(|answered_at| answered_at >= crash.noticed_at) {
            return PartChange::AnsweredSince;
        }
        let part = crash.part;
        let key = hash_value(&crash.incarnation);
        let tells_answer = answered_at.is_some() && !local && !crash.answered_before;
        let suspect = self.suspects.entry(part).or_default();
        suspect.answered_before |= answered_at.is_some() || crash.answered_before;
        let known = suspect.crashes.iter_mut().find(|known| known.key == key);
        if let Some(known) = known {
            known.crash.sent_at = known.crash.sent_at.max(crash.sent_at);
            known.crash.held_by_few |= crash.held_by_few;
            known.crash.observed = known.crash.observed.max(crash.observed);
            let changed = local && !known.local;
            known.local |= local;
            return if changed { PartChange::Added } else { PartChange::Unchanged };
        }
        let was_quarantined = suspect.quarantined;
        self.change_suspect(part, |suspect| {
            suspect.crashes.push(SuspectCrash { crash, key, local });
            suspect.crashes.sort_by_key(|known| known.crash.noticed_at);
            if suspect.crashes.len() > MAX_CRASHES_PER_PART {
                suspect.crashes.remove(0);
            }
        });
        let counted = self.unexplained_crashes(part);
        let mut is_quarantined = false;
        self.change_suspect(part, |suspect| {
            suspect.quarantined |= counted >= suspect.required_crashes();
            is_quarantined = suspect.quarantined;
        });
        let change = match !was_quarantined && is_quarantined {
            true => PartChange::Quarantined,
            false if tells_answer => PartChange::AddedToAnswered,
            false => PartChange::Added,
        };
        self.evict();
        change
    }

    /// Records that requests with a part were answered up to `answered_at`, here or at another
    /// gateway. Crashes before that no longer count against it.
    pub fn record_answer(&mut self, part: PartDigest, answered_at: Duration) -> PartClearance {
        let answered_at =
            self.answered_at(part).map_or(answered_at, |known| known.max(answered_at));
        if self.answered.len() >= MAX_ANSWERED_PER_LOG && !self.answered.contains_key(&part) {
            self.older_answered = std::mem::take(&mut self.answered);
        }
        self.answered.insert(part, answered_at);
        self.first_answer_at.get_or_insert(answered_at);
        let was_suspected = self.is_suspected(part);
        let Some(suspect) = self.suspects.get(&part) else {
            return PartClearance::default();
        };
        let before = suspect.crashes.len();
        let mut left = 0;
        self.change_suspect(part, |suspect| {
            suspect.crashes.retain(|known| known.crash.noticed_at > answered_at);
            suspect.answered_before = true;
            left = suspect.crashes.len();
        });
        if left == 0 {
            self.remove_suspect(part);
        } else {
            let quarantined = self.unexplained_crashes(part) >= KNOWN_PART_CRASHES;
            self.change_suspect(part, |suspect| suspect.quarantined = quarantined);
        }
        PartClearance { voided: before - left, was_suspected }
    }

    /// Changes a suspect, and keeps the sets of crashes of quarantined parts in step.
    fn change_suspect(&mut self, part: PartDigest, change: impl FnOnce(&mut SuspectPart)) {
        let Some(suspect) = self.suspects.get_mut(&part) else {
            return;
        };
        if suspect.quarantined {
            self.quarantined_sets.remove(&suspect.crash_set());
        }
        change(suspect);
        if suspect.quarantined {
            self.quarantined_sets.add(&suspect.crash_set());
        }
    }

    fn remove_suspect(&mut self, part: PartDigest) {
        if let Some(suspect) = self.suspects.remove(&part).filter(|suspect| suspect.quarantined) {
            self.quarantined_sets.remove(&suspect.crash_set());
        }
    }

    /// Returns whether one more crash would quarantine a part, or it is quarantined.
    fn is_suspected(&self, part: PartDigest) -> bool {
        self.suspects.get(&part).is_some_and(|suspect| {
            suspect.quarantined || self.unexplained_crashes(part) + 1 >= suspect.required_crashes()
        })
    }

    /// Returns for how long this gateway has seen parts answered.
    pub fn observed_time(&self, now: Duration) -> Duration {
        self.first_answer_at.map_or(Duration::ZERO, |first| now.saturating_sub(first))
    }

    /// Returns when a part was last answered, as far as it is remembered.
    pub fn answered_at(&self, part: PartDigest) -> Option<Duration> {
        self.answered.get(&part).or_else(|| self.older_answered.get(&part)).copied()
    }

    /// Returns whether a request with the given parts may be sent.
    pub fn status(&self, now: Duration, parts: &[PartDigest], context: TrialContext) -> PartStatus {
        let mut suspected = Vec::new();
        let mut noticed_at = Duration::ZERO;
        let mut trial_from = None;
        for part in parts {
            let Some(suspect) = self.suspects.get(part) else {
                continue;
            };
            if !self.is_suspected(*part) {
                continue;
            }
            if suspect.quarantined {
                let expired = now >= suspect.latest() + PART_QUARANTINE_TIME;
                if !expired && !self.has_rival_outside(*part, suspect, parts) {
                    let crashes = suspect.crashes.iter().map(|known| known.crash.clone());
                    return PartStatus::Quarantined(crashes.collect());
                }
            }
            suspected.push(*part);
            noticed_at = noticed_at.max(suspect.latest());
            if suspect.answered_before {
                continue;
            }
            let own =
                TrialStakes { refused: suspect.refused.len() as f64, at_risk: context.at_risk };
            let stakes = sum_stakes(own, suspect.reports.values(), context.gateways);
            if stakes.is_some_and(|stakes| stakes.is_negligible()) {
                continue;
            }
            let refused_for = now.saturating_sub(suspect.first());
            let is_outweighed =
                stakes.is_some_and(|stakes| stakes.outweigh_risk(refused_for, suspect.observed()));
            let hold = if is_outweighed || self.missed_common_crash(suspect) {
                TRIAL_DELAY
            } else {
                MAX_TRIAL_HOLD
            };
            trial_from = trial_from.max(Some(suspect.latest() + hold));
        }
        match suspected.is_empty() {
            true => PartStatus::Allowed,
            false => PartStatus::Suspected { parts: suspected, noticed_at, trial_from },
        }
    }

    /// Returns whether other servers crashed together with one that had the part, but not
    /// with a request that holds it.
    fn missed_common_crash(&self, suspect: &SuspectPart) -> bool {
        let mut crashes = self.suspects.values().flat_map(|other| &other.crashes);
        let latest = suspect.latest();
        crashes.any(|known| {
            known.crash.noticed_at.abs_diff(latest) < COMMON_CAUSE_WINDOW
                && !suspect.has_crash(known.key)
        })
    }

    /// Records that a request was refused because a part of it is suspected. One whose caller
    /// returns after an earlier refusal was counted then, perhaps by another gateway.
    pub fn record_refusal(
        &mut self,
        parts: &[PartDigest],
        digest: RequestDigest,
        is_returning: bool,
    ) {
        if is_returning {
            return;
        }
        for part in parts {
            if let Some(suspect) = self.suspects.get_mut(part)
                && suspect.refused.len() < MAX_COUNTED_REFUSALS
            {
                suspect.refused.insert(digest);
            }
        }
    }

    /// Returns the number of distinct requests that this gateway refused because of a part.
    pub fn refused_count(&self, part: PartDigest) -> usize {
        self.suspects.get(&part).map_or(0, |suspect| suspect.refused.len())
    }

    /// Records what another gateway reports on a suspected part.
    pub fn record_stakes(&mut self, part: PartDigest, from: &str, stakes: TrialStakes) {
        let Some(suspect) = self.suspects.get_mut(&part) else {
            return;
        };
        if let Some(known) = suspect.reports.get_mut(from) {
            *known = stakes;
        } else if self.report_count < MAX_STAKE_REPORTS {
            self.report_count += 1;
            suspect.reports.insert(from.to_string(), stakes);
        }
    }

    /// Returns whether a quarantined part outside `parts` explains all crashes of `suspect`,
    /// so that a request without it is needed to tell the two apart.
    fn has_rival_outside(
        &self,
        part: PartDigest,
        suspect: &SuspectPart,
        parts: &[PartDigest],
    ) -> bool {
        self.suspects.iter().any(|(rival_part, rival)| {
            *rival_part != part
                && rival.quarantined
                && !parts.contains(rival_part)
                && rival.covers(suspect)
        })
    }

    /// Returns the number of separate crashes of a part that no other quarantined part
    /// explains. A part with all crashes of a quarantined one is as likely to cause them.
    fn unexplained_crashes(&self, part: PartDigest) -> usize {
        let Some(suspect) = self.suspects.get(&part) else {
            return 0;
        };
        let mut count = 0;
        let mut last_counted: Option<&PartCrash> = None;
        for SuspectCrash { crash, key, .. } in &suspect.crashes {
            let explained = self.quarantined_sets.explain(*key, suspect);
            let separate = last_counted.is_none_or(|counted| {
                crash.sent_at >= counted.noticed_at
                    || (counted.is_rare() && crash.is_rare() && self.was_at_all_crashes(suspect))
            });
            if !explained && separate {
                count += 1;
                last_counted = Some(crash);
            }
        }
        count
    }

    /// Returns whether a part that was never answered was at all servers that are known to
    /// have crashed at about the same time.
    fn was_at_all_crashes(&self, suspect: &SuspectPart) -> bool {
        !suspect.answered_before && !self.missed_common_crash(suspect)
    }

    /// Ends the quarantine of parts that a further crash no longer supports: the server at
    /// which it was crashed together with theirs, but had no request with them. Returns them.
    pub fn withdraw_unsupported(&mut self, crash: &PartCrash) -> Vec<PartDigest> {
        let key = hash_value(&crash.incarnation);
        let unsupported = self.suspects.iter().filter(|(part, suspect)| {
            suspect.quarantined
                && !suspect.has_crash(key)
                && crash.noticed_at.abs_diff(suspect.latest()) < COMMON_CAUSE_WINDOW
                && self.unexplained_crashes(**part) < suspect.required_crashes()
        });
        let unsupported: Vec<PartDigest> = unsupported.map(|(part, _)| *part).collect();
        for part in &unsupported {
            self.change_suspect(*part, |suspect| suspect.quarantined = false);
        }
        unsupported
    }

    /// Returns at most `limit` crashes that this gateway noticed, those of the parts with the
    /// most crashes first.
    pub fn local_crashes(&self, limit: usize) -> Vec<PartCrash> {
        self.ranked_crashes(limit, |known| known.local)
    }

    /// Returns at most `limit` crashes noticed since `since`, those of the parts with the most
    /// crashes first.
    pub fn recent_crashes(&self, since: Duration, limit: usize) -> Vec<PartCrash> {
        self.ranked_crashes(limit, |known| known.crash.noticed_at >= since)
    }

    fn ranked_crashes(
        &self,
        limit: usize,
        selected: impl Fn(&SuspectCrash) -> bool,
    ) -> Vec<PartCrash> {
        let mut suspects: Vec<&SuspectPart> = self.suspects.values().collect();
        suspects
            .sort_by_key(|suspect| std::cmp::Reverse((suspect.crashes.len(), suspect.latest())));
        let crashes = suspects.into_iter().flat_map(|suspect| &suspect.crashes);
        let selected = crashes.filter(|known| selected(known));
        selected.map(|known| known.crash.clone()).take(limit).collect()
    }

    /// Returns whether a part is known to have been answered at any time.
    pub fn is_answered(&self, part: PartDigest) -> bool {
        self.answered_at(part).is_some()
            || self.suspects.get(&part).is_some_and(|suspect| suspect.answered_before)
    }

    /// Drops crashes that are too old.
    pub fn sweep(&mut self, now: Duration) {
        let parts: Vec<PartDigest> = self.suspects.keys().copied().collect();
        for part in parts {
            self.change_suspect(part, |suspect| {
                suspect.crashes.retain(|known| now < known.crash.noticed_at + PART_RETENTION);
            });
        }
        self.suspects.retain(|_, suspect| !suspect.crashes.is_empty());
        self.report_count = self.suspects.values().map(|suspect| suspect.reports.len()).sum();
    }

    /// Returns the parts that are quarantined.
    pub fn quarantined_parts(&self) -> FastSet<PartDigest> {
        let quarantined = self.suspects.iter().filter(|(_, suspect)| suspect.quarantined);
        quarantined.map(|(part, _)| *part).collect()
    }

    /// Returns the number of parts with crashes that count against them.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Returns the number of parts that were dropped because there were too many.
    pub fn evicted_count(&self) -> u64 {
        self.evicted
    }

    /// Drops the parts with the fewest crashes, and among these the oldest, until at most
    /// [`MAX_SUSPECTS`] are left.
    fn evict(&mut self) {
        while self.suspects.len() > MAX_SUSPECTS {
            let ranked = self.suspects.iter().map(|(part, suspect)| {
                (suspect.quarantined, suspect.crashes.len(), suspect.latest(), *part)
            });
            let Some((_, _, _, part)) = ranked.min() else {
                return;
            };
            self.remove_suspect(part);
            self.evicted += 1;
        }
    }
}
