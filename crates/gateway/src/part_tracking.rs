//! Shares with the other gateways which prompt parts crash servers.
//!
//! The decisions are made in [`cuminpick::part_quarantine`]. Crashes, answers and trials reach
//! the other gateways by datagrams, and crashes also by the gateway's record in the store.

use std::rc::Rc;
use std::time::Duration;

use cuminpick::crash_detection::ServerIncarnation;
use cuminpick::crash_detection::SuspectPart;
use cuminpick::ids::PartDigest;
use cuminpick::ids::ServiceName;
use cuminpick::part_quarantine::PART_RETENTION;
use cuminpick::part_quarantine::PartChange;
use cuminpick::part_quarantine::PartCrash;
use cuminpick::part_quarantine::PartStatus;
use cuminpick::part_trials::TrialContext;
use cuminpick::part_trials::TrialStakes;
use cuminpick::updates::PartAnswerNotice;
use cuminpick::updates::PartCrashNotice;
use cuminpick::updates::PartUpdate;
use cuminpick_platform::records::StoredPartCrash;
use slog::o;

use crate::crash_tracking::format_digest;
use crate::gate::mean_outage;
use crate::state::Gateway;

/// Maximum number of crashes in a datagram, which has to fit a packet of 1,500 bytes.
const MAX_DATAGRAM_CRASHES: usize = 16;
/// Maximum number of answers, and of trials, that are queued for broadcast.
const MAX_QUEUED_NEWS: usize = 16;
/// Age up to which crashes are sent again to gateways that may have missed them.
const REBROADCAST_TIME: Duration = Duration::from_secs(60);
/// Gateways that are expected to reply to a report about a part that was answered since.
const ANSWER_REPLIES: f64 = 4.0;

/// Context in which only quarantine is asked for.
const NO_TRIAL: TrialContext = TrialContext { at_risk: 0.0, gateways: 1 };

/// Answers and trials that are to be sent to the other gateways.
#[derive(Debug, Default)]
pub struct PartNews {
    answers: Vec<PartDigest>,
    trials: Vec<PartDigest>,
}

/// Returns the time on the clock of [`cuminpick::part_quarantine`], on which crashes from
/// before the start of the process have a time.
pub fn part_time(gateway: &Gateway) -> Duration {
    gateway.now() + PART_RETENTION
}

/// Returns whether a request for a service may be sent, by the parts of its prompt.
pub fn part_status(gateway: &Gateway, service: &str, parts: &[PartDigest]) -> PartStatus {
    let quarantine = gateway.part_quarantine.borrow();
    if parts.is_empty() || quarantine.suspect_count() == 0 {
        return PartStatus::Allowed;
    }
    quarantine.status(part_time(gateway), parts, trial_context(gateway, service))
}

fn trial_context(gateway: &Gateway, service: &str) -> TrialContext {
    TrialContext {
        at_risk: requests_at_risk(gateway, service),
        gateways: gateway.balance.borrow().live_gateways(),
    }
}

/// Returns the number of this gateway's requests that the crash of one server would cost: all
/// those of a model group, which stops without it, or those of the server.
fn requests_at_risk(gateway: &Gateway, service: &str) -> f64 {
    let rate = gateway.retry_budget.borrow().request_rate(gateway.now(), service);
    let requests = rate * mean_outage(gateway, service).as_secs_f64();
    let table = gateway.routing_table();
    let spec = table.as_ref().and_then(|table| table.service(service));
    let is_group =
        spec.and_then(|spec| spec.engine.as_ref()).is_some_and(|engine| engine.experts.is_some());
    if is_group {
        return requests;
    }
    let (servers, _) = gateway.balance.borrow().available_capacity(service);
    requests / servers.max(1) as f64
}

/// Records that a server crashed which had not begun to answer requests with these parts.
pub fn record_part_crashes(
    gateway: &Gateway,
    incarnation: &ServerIncarnation,
    suspects: &[SuspectPart],
) {
    let noticed_at = part_time(gateway);
    let service = service_of(gateway, &incarnation.server);
    let observed = gateway.part_quarantine.borrow().observed_time(noticed_at);
    for suspect in suspects {
        let crash = PartCrash {
            part: suspect.part,
            incarnation: incarnation.clone(),
            service: service.clone(),
            sent_at: suspect.sent_at + PART_RETENTION,
            noticed_at,
            answered_before: false,
            held_by_few: gateway.crash_detector.borrow().is_held_by_few(suspect.part, incarnation),
            observed,
        };
        record_part_crash(gateway, crash, true);
    }
}

fn service_of(gateway: &Gateway, server: &str) -> ServiceName {
    gateway.balance.borrow().service_of(server).unwrap_or_default()
}

fn record_part_crash(gateway: &Gateway, crash: PartCrash, noticed_here: bool) {
    let now = part_time(gateway);
    let part = crash.part;
    let mut quarantine = gateway.part_quarantine.borrow_mut();
    let change = quarantine.record_crash(now, crash.clone(), noticed_here);
    let withdrawn = quarantine.withdraw_unsupported(&crash);
    drop(quarantine);
    for part in withdrawn {
        gateway.journal.note(
            "part-cleared",
            None,
            o!("part" => format_digest(part), "void_ends" => 0, "noticed_here" => noticed_here,
               "crashed_without" => crash.incarnation.server.clone()),
        );
    }
    if change != PartChange::Unchanged {
        gateway.crash_evidence_changed.notify_waiters();
    }
    match change {
        PartChange::Unchanged | PartChange::Added => {}
        PartChange::AnsweredSince if noticed_here => {}
        PartChange::AnsweredSince | PartChange::AddedToAnswered => {
            let gateways = gateway.balance.borrow().live_gateways();
            if gateway.random_share() * gateways as f64 <= ANSWER_REPLIES {
                queue_answer(gateway, part);
            }
        }
        PartChange::Quarantined => {
            let status = gateway.part_quarantine.borrow().status(now, &[part], NO_TRIAL);
            let evidence = match status {
                PartStatus::Quarantined(crashes) => format_part_evidence(gateway, &crashes),
                PartStatus::Allowed | PartStatus::Suspected { .. } => {
                    "as for other parts of the same prompts".to_string()
                }
            };
            gateway.journal.warn(
                "part-crashes-servers",
                o!("part" => format_digest(part), "noticed_here" => noticed_here,
                   "evidence" => evidence),
            );
        }
    }
}

/// Records that the answer to a request with the given parts has begun.
pub fn record_part_answers(gateway: &Gateway, parts: &[PartDigest]) {
    for part in parts {
        clear_part(gateway, *part, part_time(gateway), true);
    }
}

fn clear_part(gateway: &Gateway, part: PartDigest, answered_at: Duration, answered_here: bool) {
    let clearance = gateway.part_quarantine.borrow_mut().record_answer(part, answered_at);
    if clearance.was_suspected && clearance.voided > 0 {
        gateway.journal.note(
            "part-cleared",
            None,
            o!("part" => format_digest(part), "void_ends" => clearance.voided,
               "noticed_here" => answered_here),
        );
        if answered_here {
            queue_answer(gateway, part);
        }
    }
}

fn queue_answer(gateway: &Gateway, part: PartDigest) {
    let mut news = gateway.part_news.borrow_mut();
    if news.answers.len() < MAX_QUEUED_NEWS && !news.answers.contains(&part) {
        news.answers.push(part);
        gateway.crash_update_due.notify_one();
    }
}

/// Applies an update from another gateway.
pub fn apply_part_update(gateway: &Gateway, update: PartUpdate) {
    let now = part_time(gateway);
    let time_at = |age_ms: u64| now.saturating_sub(Duration::from_millis(age_ms));
    for answer in update.answers {
        clear_part(gateway, answer.part, time_at(answer.age_ms), false);
    }
    for crash in update.crashes {
        let incarnation = ServerIncarnation { server: crash.server, started_ms: crash.started_ms };
        let part = crash.part;
        let stakes =
            TrialStakes { refused: f64::from(crash.refused), at_risk: f64::from(crash.at_risk) };
        let crash = PartCrash {
            part,
            incarnation,
            service: crash.service,
            sent_at: time_at(crash.sent_age_ms),
            noticed_at: time_at(crash.age_ms),
            answered_before: crash.answered_before,
            held_by_few: crash.held_by_few,
            observed: Duration::from_millis(crash.observed_ms),
        };
        record_part_crash(gateway, crash, false);
        gateway.part_quarantine.borrow_mut().record_stakes(part, &update.from, stakes);
    }
    for part in update.trials {
        gateway.part_trials.borrow_mut().record_claim(now, part, &update.from);
    }
}

/// Returns the recent crashes and takes the queued answers and trials, to be sent to other
/// gateways.
pub fn take_part_update(gateway: &Gateway) -> PartUpdate {
    let now = part_time(gateway);
    let age_ms = |at: Duration| now.saturating_sub(at).as_millis() as u64;
    let PartNews { answers, trials } = std::mem::take(&mut *gateway.part_news.borrow_mut());
    let quarantine = gateway.part_quarantine.borrow();
    let crashes = quarantine.recent_crashes(now - REBROADCAST_TIME, MAX_DATAGRAM_CRASHES);
    let crashes = crashes.into_iter().map(|crash| PartCrashNotice {
        part: crash.part,
        answered_before: quarantine.is_answered(crash.part),
        held_by_few: crash.held_by_few,
        observed_ms: crash.observed.as_millis() as u64,
        refused: quarantine.refused_count(crash.part) as u32,
        at_risk: requests_at_risk(gateway, &crash.service).round() as u32,
        service: crash.service,
        server: crash.incarnation.server,
        started_ms: crash.incarnation.started_ms,
        sent_age_ms: age_ms(crash.sent_at),
        age_ms: age_ms(crash.noticed_at),
    });
    let answers = answers.into_iter().filter_map(|part| {
        let answered_at = quarantine.answered_at(part)?;
        Some(PartAnswerNotice { part, age_ms: age_ms(answered_at) })
    });
    PartUpdate {
        from: gateway.settings.node.clone(),
        crashes: crashes.collect(),
        answers: answers.collect(),
        trials,
    }
}

/// Applies the crashes of a record from the store, which was read at the wall time `wall_ms`.
pub fn apply_stored_part_crashes(
    gateway: &Gateway,
    crashes: impl Iterator<Item = StoredPartCrash>,
    wall_ms: u64,
    noticed_here: bool,
) {
    let now = part_time(gateway);
    let time_at =
        |at_ms: u64| now.saturating_sub(Duration::from_millis(wall_ms.saturating_sub(at_ms)));
    for crash in crashes {
        let crash = PartCrash {
            part: crash.part,
            incarnation: ServerIncarnation { server: crash.server, started_ms: crash.started_ms },
            service: crash.service,
            sent_at: time_at(crash.sent_ms),
            noticed_at: time_at(crash.noticed_ms),
            answered_before: crash.answered_before,
            held_by_few: crash.held_by_few,
            observed: Duration::from_millis(crash.observed_ms),
        };
        record_part_crash(gateway, crash, noticed_here);
    }
}

/// Returns at most `limit` crashes that this gateway noticed, for its record in the store.
pub fn stored_part_crashes(gateway: &Gateway, wall_ms: u64, limit: usize) -> Vec<StoredPartCrash> {
    let now = part_time(gateway);
    let wall_at = |at: Duration| wall_ms.saturating_sub(now.saturating_sub(at).as_millis() as u64);
    let quarantine = gateway.part_quarantine.borrow();
    let stored = quarantine.local_crashes(limit).into_iter().map(|crash| StoredPartCrash {
        part: crash.part,
        answered_before: quarantine.is_answered(crash.part),
        held_by_few: crash.held_by_few,
        observed_ms: crash.observed.as_millis() as u64,
        service: crash.service,
        server: crash.incarnation.server,
        started_ms: crash.incarnation.started_ms,
        sent_ms: wall_at(crash.sent_at),
        noticed_ms: wall_at(crash.noticed_at),
    });
    stored.collect()
}

/// Formats part, server, start time and age of each crash as they appear in logs.
pub fn format_part_evidence(gateway: &Gateway, crashes: &[PartCrash]) -> String {
    let now = part_time(gateway);
    let texts = crashes.iter().map(|crash| {
        format!(
            "part {} unanswered: {} born {} ended {} ms ago",
            format_digest(crash.part),
            crash.incarnation.server,
            crash.incarnation.started_ms,
            now.saturating_sub(crash.noticed_at).as_millis()
        )
    });
    texts.collect::<Vec<String>>().join("; ")
}

/// Removes outdated crashes and trials, and updates the metrics.
pub fn sweep_parts(gateway: &Gateway) {
    gateway.part_trials.borrow_mut().sweep(part_time(gateway));
    let mut quarantine = gateway.part_quarantine.borrow_mut();
    quarantine.sweep(part_time(gateway));
    let held = quarantine.quarantined_parts().len();
    gateway.metrics.set_state("part_suspects", quarantine.suspect_count() as f64);
    gateway.metrics.set_state("parts_held", held as f64);
    gateway.metrics.set_state("parts_evicted", quarantine.evicted_count() as f64);
}

/// Claim to send the only request with certain suspected parts, over all gateways; it ends
/// when it is dropped.
pub struct TrialGuard {
    gateway: Rc<Gateway>,
    parts: Vec<PartDigest>,
}

impl TrialGuard {
    /// Claims the trial of the given parts and announces it to the other gateways. Returns
    /// `None` while one of the parts is being tried.
    pub fn claim(gateway: &Rc<Gateway>, parts: Vec<PartDigest>) -> Option<TrialGuard> {
        let now = part_time(gateway);
        let owner = &gateway.settings.node;
        if !gateway.part_trials.borrow_mut().try_claim(now, &parts, owner) {
            return None;
        }
        let mut news = gateway.part_news.borrow_mut();
        let free = MAX_QUEUED_NEWS.saturating_sub(news.trials.len());
        news.trials.extend(parts.iter().take(free));
        gateway.crash_update_due.notify_one();
        Some(TrialGuard { gateway: Rc::clone(gateway), parts })
    }

    /// Returns whether no other gateway has taken precedence.
    pub fn is_held(&self) -> bool {
        let owner = &self.gateway.settings.node;
        self.gateway.part_trials.borrow().holds_trials(&self.parts, owner)
    }

    /// Returns the parts that are tried.
    pub fn parts(&self) -> &[PartDigest] {
        &self.parts
    }
}

impl Drop for TrialGuard {
    fn drop(&mut self) {
        let owner = &self.gateway.settings.node;
        self.gateway.part_trials.borrow_mut().release_trials(&self.parts, owner);
    }
}
