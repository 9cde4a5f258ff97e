//! Limits how many servers a request may crash: holds back, delays and probes for requests
//! under which servers have crashed before.

use std::rc::Rc;
use std::time::Duration;

use cuminpick::balance::BalanceChoice;
use cuminpick::crash_detection::CrashStatus;
use cuminpick::quarantine::QUARANTINE_CRASHES;
use cuminpick::quarantine::QuarantineStatus;
use cuminpick::refusal::Refusal;
use cuminpick::refusal::RefusalKind;
use cuminpick_platform::call::CONNECT_TIMEOUT;
use slog::o;

use super::Exchange;
use crate::attempt::FailedAttempt;
use crate::crash_tracking::CONFIRMING_HOLD_TIME;
use crate::crash_tracking::PROBE_HOLD_TIME;
use crate::crash_tracking::format_digest;
use crate::crash_tracking::format_evidence;
use crate::crash_tracking::probe_again;
use crate::crash_tracking::probe_server;

/// Longest wait for the probe of a server that may have crashed before its request goes
/// to another one; a few round trips between zones.
const PROBE_WAIT: Duration = Duration::from_millis(50);
/// Wait after a crash for other gateways' reports of crashes at the same moment; covers a
/// few delays between zones and scheduling delays on a shared core.
const CRASH_UPDATE_WAIT: Duration = Duration::from_millis(20);
/// Upper bound of the random delay before sending a request that one more crash would
/// quarantine; ten times what it takes to detect a crash and report it.
const MAX_SUSPECT_DELAY: Duration = Duration::from_millis(100);

impl Exchange {
    /// Refuses a request that has crashed too many servers.
    pub(super) fn check_quarantine(&self) -> Result<(), Refusal> {
        let now = self.gateway.now();
        match self.gateway.quarantine.borrow().status(now, self.digest) {
            QuarantineStatus::Allowed(_) => Ok(()),
            QuarantineStatus::Quarantined(crashes) => {
                Err(self.quarantine_refusal(&format_evidence(now, &crashes)))
            }
        }
    }

    /// Delays a request that one more crash would quarantine. Gateways that have the same
    /// request at the same time then do not each crash a server with it, and unconfirmed
    /// crashes are confirmed or dismissed first.
    pub(super) async fn delay_suspect(&self) {
        let status = self.gateway.quarantine.borrow().status(self.gateway.now(), self.digest);
        let QuarantineStatus::Allowed(crashes) = status else {
            return;
        };
        let unconfirmed = self.gateway.crash_detector.borrow().unconfirmed_crashes(self.digest);
        if unconfirmed > 0 && crashes + unconfirmed >= QUARANTINE_CRASHES {
            tokio::time::sleep(CONFIRMING_HOLD_TIME).await;
        }
        if crashes + 1 >= QUARANTINE_CRASHES {
            let delay_ms = self.gateway.random_bits() % MAX_SUSPECT_DELAY.as_millis() as u64;
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
    }

    /// Logs the evidence against the request and returns its refusal.
    fn quarantine_refusal(&self, evidence: &str) -> Refusal {
        self.gateway.journal.note(
            "request-held-back",
            self.message.attempt_id.as_deref(),
            o!("digest" => format_digest(self.digest), "sent" => self.retry_state.sent,
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
        if !failed.connection_lost {
            return Ok(());
        }
        let crash_count =
            match self.gateway.quarantine.borrow().status(self.gateway.now(), self.digest) {
                QuarantineStatus::Allowed(crashes) => crashes,
                QuarantineStatus::Quarantined(crashes) => crashes.len(),
            };
        let suspect = crash_count + 1 >= QUARANTINE_CRASHES;
        let (hold_time, probe_wait) = if suspect {
            (CONFIRMING_HOLD_TIME, CONNECT_TIMEOUT)
        } else {
            (PROBE_HOLD_TIME, PROBE_WAIT)
        };
        let incarnation = choice.incarnation();
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
