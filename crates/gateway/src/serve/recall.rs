//! Takes back requests whose answers have not begun when evidence arrives that they may crash
//! their servers: they may still be queued there, or the server may be reading their prompts.

use std::time::Duration;

use cuminpick::crash_detection::AttemptContent;
use cuminpick::part_quarantine::PartStatus;
use cuminpick::quarantine::QuarantineStatus;
use cuminpick::retry::AttemptFailure;

use crate::attempt::FailedAttempt;
use crate::part_tracking::TrialGuard;
use crate::part_tracking::part_status;
use crate::state::Gateway;

/// Time after the first crash with a part in which other gateways may tell that it was answered
/// before: a few delays between zones. An attempt that is taken back in vain costs less than a
/// crash.
const RECALL_DELAY: Duration = Duration::from_millis(15);

/// What decides whether an attempt is taken back.
#[derive(Clone, Copy)]
pub(super) struct RecallRule<'a> {
    /// Service of the request.
    pub(super) service: &'a str,
    /// What the request is suspected by.
    pub(super) content: &'a AttemptContent,
    /// Trial of suspected parts for which the request was sent.
    pub(super) trial: Option<&'a TrialGuard>,
    /// Whether the request may be sent again, so that a suspicion suffices.
    pub(super) may_retry: bool,
}

/// Waits for `work` on an attempt, but cancels it when the attempt has to be taken back.
pub(super) async fn unless_recalled<T>(
    gateway: &Gateway,
    rule: RecallRule<'_>,
    work: impl Future<Output = Result<T, FailedAttempt>>,
) -> Result<T, FailedAttempt> {
    tokio::select! {
        biased;
        result = work => result,
        reason = wait_for_recall(gateway, rule) => Err(FailedAttempt {
            failure: AttemptFailure::Recalled,
            detail: reason.to_string(),
            connection_lost: false,
        }),
    }
}

/// Waits until an attempt has to be taken back; returns the reason.
async fn wait_for_recall(gateway: &Gateway, rule: RecallRule<'_>) -> &'static str {
    let mut recall_at = None;
    loop {
        let changed = gateway.crash_evidence_changed.notified();
        let request = gateway.quarantine.borrow().status(gateway.now(), rule.content.digest);
        if matches!(request, QuarantineStatus::Quarantined(_)) {
            return "the request was quarantined";
        }
        match part_status(gateway, rule.service, &rule.content.parts) {
            PartStatus::Quarantined(_) => return "a part of its prompt was quarantined",
            PartStatus::Suspected { parts, .. }
                if rule.may_retry && !is_tried(rule.trial, &parts) =>
            {
                let now = gateway.now();
                let recall_at = *recall_at.get_or_insert(now + RECALL_DELAY);
                if now >= recall_at {
                    return "a part of its prompt is suspected";
                }
                tokio::time::sleep(recall_at - now).await;
            }
            PartStatus::Allowed | PartStatus::Suspected { .. } => {
                recall_at = None;
                changed.await;
            }
        }
    }
}

/// Returns whether a request was sent as the trial of all suspected parts that it holds.
pub(super) fn is_tried(trial: Option<&TrialGuard>, suspected: &[u64]) -> bool {
    trial.is_some_and(|trial| suspected.iter().all(|part| trial.parts().contains(part)))
}
