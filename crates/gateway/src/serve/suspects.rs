//! Limits how many servers a request may crash: holds back, delays and probes for requests
//! under which servers have crashed before.

use std::rc::Rc;
use std::time::Duration;

use cuminpick::balance::BalanceChoice;
use cuminpick::crash_detection::CrashStatus;
use cuminpick::ids::PartDigest;
use cuminpick::part_quarantine::PartStatus;
use cuminpick::part_quarantine::TRIAL_DELAY;
use cuminpick::quarantine::QUARANTINE_CRASHES;
use cuminpick::quarantine::QuarantineStatus;
use cuminpick::refusal::Refusal;
use cuminpick::refusal::RefusalKind;
use cuminpick::retry::AttemptFailure;
use cuminpick_platform::call::CONNECT_TIMEOUT;
use slog::o;
use tokio::time::Instant;

use super::Exchange;
use super::recall::is_tried;
use crate::attempt::FailedAttempt;
use crate::crash_tracking::CONFIRMING_HOLD_TIME;
use crate::crash_tracking::PROBE_HOLD_TIME;
use crate::crash_tracking::format_digest;
use crate::crash_tracking::format_digests;
use crate::crash_tracking::format_evidence;
use crate::crash_tracking::probe_again;
use crate::crash_tracking::probe_server;
use crate::gate::service_returned_at;
use crate::part_tracking::TrialGuard;
use crate::part_tracking::format_part_evidence;
use crate::part_tracking::part_status;
use crate::part_tracking::part_time;
use crate::state::Gateway;

/// Longest wait for the probe of a server that may have crashed before its request goes
/// to another one; a few round trips between zones.
const PROBE_WAIT: Duration = Duration::from_millis(50);
/// Wait after a crash for other gateways' reports of crashes at the same moment; covers a
/// few delays between zones and scheduling delays on a shared core.
const CRASH_UPDATE_WAIT: Duration = Duration::from_millis(20);
/// Upper bound of the random delay before sending a request that one more crash would
/// quarantine; ten times what it takes to detect a crash and report it.
const MAX_SUSPECT_DELAY: Duration = Duration::from_millis(100);
/// Time after a crash in which other gateways tell that a part was answered before.
const ANSWER_UPDATE_WAIT: Duration = Duration::from_millis(100);
/// Interval at which a request with a suspected part checks whether it may be sent.
const TRIAL_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Part of the time until its deadline that a request waits for the trial of a part.
const MAX_TRIAL_WAIT_SHARE: f64 = 0.5;

/// Returns how long the trial of a part has to wait, also for callers that waited for the
/// service.
fn trial_wait(gateway: &Gateway, service: &str, trial_from: Option<Duration>) -> Duration {
    let Some(trial_from) = trial_from else {
        return Duration::ZERO;
    };
    let after_return = service_returned_at(gateway, service)
        .map_or(Duration::ZERO, |at| (at + TRIAL_DELAY).saturating_sub(gateway.now()));
    trial_from.saturating_sub(part_time(gateway)).max(after_return)
}

impl Exchange {
    /// Refuses a request that has crashed too many servers.
    pub(super) fn check_quarantine(&self) -> Result<(), Refusal> {
        let now = self.gateway.now();
        match self.gateway.quarantine.borrow().status(now, self.content.digest) {
            QuarantineStatus::Allowed(_) => {}
            QuarantineStatus::Quarantined(crashes) => {
                return Err(self.quarantine_refusal(&format_evidence(now, &crashes)));
            }
        }
        match part_status(&self.gateway, &self.service, &self.content.parts) {
            PartStatus::Allowed | PartStatus::Suspected { .. } => Ok(()),
            PartStatus::Quarantined(crashes) => {
                Err(self.quarantine_refusal(&format_part_evidence(&self.gateway, &crashes)))
            }
        }
    }

    /// Waits until a suspected part of the prompt may be tried. The request is refused at once
    /// if that takes most of its time.
    pub(super) async fn await_trial_time(&self) -> Result<(), Refusal> {
        loop {
            let status = part_status(&self.gateway, &self.service, &self.content.parts);
            let PartStatus::Suspected { parts, noticed_at, trial_from } = status else {
                return self.check_quarantine();
            };
            let wait = trial_wait(&self.gateway, &self.service, trial_from);
            if wait.is_zero() {
                return Ok(());
            }
            let time_left = self.answer_deadline.saturating_duration_since(Instant::now());
            if self.has_heard_answers(noticed_at) && wait > time_left.mul_f64(MAX_TRIAL_WAIT_SHARE)
            {
                return Err(self.suspicion_refusal(&parts, wait));
            }
            tokio::time::sleep(TRIAL_POLL_INTERVAL).await;
        }
    }

    /// Returns whether other gateways had time to tell that a part was answered before.
    fn has_heard_answers(&self, noticed_at: Duration) -> bool {
        part_time(&self.gateway) >= noticed_at + ANSWER_UPDATE_WAIT
    }

    /// Waits until the request may be sent as the only trial of its suspected parts. Returns
    /// `None` if no part of it is suspected.
    pub(super) async fn claim_trial(&self) -> Result<Option<TrialGuard>, Refusal> {
        loop {
            let status = part_status(&self.gateway, &self.service, &self.content.parts);
            let PartStatus::Suspected { parts, noticed_at, trial_from } = status else {
                self.check_quarantine()?;
                return Ok(None);
            };
            let wait = trial_wait(&self.gateway, &self.service, trial_from);
            if wait > TRIAL_DELAY && self.has_heard_answers(noticed_at) {
                return Err(self.suspicion_refusal(&parts, wait));
            }
            if wait.is_zero()
                && let Some(trial) = TrialGuard::claim(&self.gateway, parts)
            {
                tokio::time::sleep(CRASH_UPDATE_WAIT).await;
                if trial.is_held() {
                    self.gateway.journal.note(
                        "part-tried",
                        self.message.attempt_id.as_deref(),
                        o!("parts" => format_digests(trial.parts())),
                    );
                    self.check_quarantine()?;
                    return Ok(Some(trial));
                }
            }
            tokio::time::sleep(TRIAL_POLL_INTERVAL).await;
        }
    }

    /// Returns whether a part of the prompt is suspected that `trial` is not for.
    pub(super) fn needs_trial(&self, trial: Option<&TrialGuard>) -> bool {
        match part_status(&self.gateway, &self.service, &self.content.parts) {
            PartStatus::Suspected { parts, .. } => !is_tried(trial, &parts),
            PartStatus::Allowed | PartStatus::Quarantined(_) => false,
        }
    }

    /// Delays a request that one more crash would quarantine. Gateways that have the same
    /// request at the same time then do not each crash a server with it, and unconfirmed
    /// crashes are confirmed or dismissed first.
    pub(super) async fn delay_suspect(&self) {
        let status =
            self.gateway.quarantine.borrow().status(self.gateway.now(), self.content.digest);
        let QuarantineStatus::Allowed(crashes) = status else {
            return;
        };
        let unconfirmed =
            self.gateway.crash_detector.borrow().unconfirmed_crashes(self.content.digest);
        if unconfirmed > 0 && crashes + unconfirmed >= QUARANTINE_CRASHES {
            tokio::time::sleep(CONFIRMING_HOLD_TIME).await;
        }
        if crashes + 1 >= QUARANTINE_CRASHES {
            let delay_ms = self.gateway.random_bits() % MAX_SUSPECT_DELAY.as_millis() as u64;
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
    }

    /// Logs that the request is refused because of suspected parts, and returns the refusal.
    fn suspicion_refusal(&self, parts: &[PartDigest], wait: Duration) -> Refusal {
        let digest = self.content.digest;
        let is_returning = !self.elapsed_before_arrival.is_zero();
        self.gateway.part_quarantine.borrow_mut().record_refusal(parts, digest, is_returning);
        self.gateway.journal.note(
            "request-held-back",
            self.message.attempt_id.as_deref(),
            o!("digest" => format_digest(digest), "sent" => self.retry_state.sent,
               "suspected_parts" => format_digests(parts),
               "trial_in_ms" => wait.as_millis() as u64),
        );
        self.refusal(RefusalKind::SuspectedPart, wait)
    }

    /// Logs the evidence against the request and returns its refusal.
    fn quarantine_refusal(&self, evidence: &str) -> Refusal {
        self.gateway.journal.note(
            "request-held-back",
            self.message.attempt_id.as_deref(),
            o!("digest" => format_digest(self.content.digest), "sent" => self.retry_state.sent,
               "evidence" => evidence.to_string()),
        );
        match self.retry_state.may_have_run {
            true => Refusal::may_have_run(RefusalKind::CrashesServers),
            false => Refusal::not_run(RefusalKind::CrashesServers, None),
        }
    }

    /// Probes a server whose connection was lost, to learn whether it crashed before the
    /// request is sent to another one. A request that crashes servers must not reach more
    /// of them than needed.
    pub async fn probe_after_loss(
        &self,
        choice: &BalanceChoice,
        failed: &FailedAttempt,
    ) -> Result<(), Refusal> {
        let incarnation = choice.incarnation();
        if failed.failure == AttemptFailure::Recalled {
            // The server may have begun to answer before it noticed that the request was taken back.
            let gateway = Rc::clone(&self.gateway);
            tokio::task::spawn_local(probe_again(gateway, choice.address, incarnation));
            return Ok(());
        }
        if !failed.connection_lost {
            return Ok(());
        }
        let crash_count = match self
            .gateway
            .quarantine
            .borrow()
            .status(self.gateway.now(), self.content.digest)
        {
            QuarantineStatus::Allowed(crashes) => crashes,
            QuarantineStatus::Quarantined(crashes) => crashes.len(),
        };
        let suspect = crash_count + 1 >= QUARANTINE_CRASHES;
        let (hold_time, probe_wait) = if suspect {
            (CONFIRMING_HOLD_TIME, CONNECT_TIMEOUT)
        } else {
            (PROBE_HOLD_TIME, PROBE_WAIT)
        };
        let probe_task = {
            let (gateway, address, incarnation) =
                (Rc::clone(&self.gateway), choice.address, incarnation.clone());
            tokio::task::spawn_local(async move {
                let status = probe_server(&gateway, address, &incarnation, hold_time).await;
                if status != CrashStatus::Crashed {
                    tokio::task::spawn_local(probe_again(gateway, address, incarnation));
                }
                status
            })
        };
        let probe = tokio::time::timeout(probe_wait, probe_task).await;
        if matches!(probe, Ok(Ok(CrashStatus::Crashed))) {
            tokio::time::sleep(CRASH_UPDATE_WAIT).await;
        }
        self.check_quarantine()?;
        let alive = matches!(probe, Ok(Ok(CrashStatus::Alive)));
        if suspect && !alive {
            let evidence =
                format!("{crash_count} servers crashed; {} cannot be reached", incarnation.server);
            return Err(self.quarantine_refusal(&evidence));
        }
        Ok(())
    }
}
