//! Trials of prompt parts that are suspected of crashing servers: which request may be one, and
//! what speaks for and against it.
//!
//! One request at a time, over all gateways, tries a part, so that requests which wait for the
//! same group do not each crash a server. Each gateway knows only its own part of what was
//! refused and what an outage would cost; they report both to each other.

use std::time::Duration;

use crate::ids::FastMap;
use crate::ids::MemberId;
use crate::ids::PartDigest;

/// Probability with which a suspected part is assumed to crash the server that tries it, if
/// nothing else is known of it.
const TRIAL_RISK: f64 = 0.5;
/// Time within which most requests begin to be answered.
const ANSWER_TIME: Duration = Duration::from_millis(500);
/// Longest time for which a trial keeps other requests with its part waiting.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(2);
/// Parts whose trials are kept.
const MAX_TRIALS: usize = 1_024;

/// What speaks for and against a trial of a suspected part, in requests of one gateway.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct TrialStakes {
    /// Requests that were refused because the part is suspected, each once.
    pub refused: f64,
    /// Requests that would be lost if the trial crashes a server.
    pub at_risk: f64,
}

impl TrialStakes {
    /// Returns whether a trial risks less than a request.
    pub fn is_negligible(&self) -> bool {
        self.at_risk * TRIAL_RISK < 1.0
    }

    /// Returns whether what was refused for `refused_for` weighs as much as what a trial risks.
    ///
    /// A sound part of many requests stays without an answer only until the first of them is
    /// answered. The longer parts were observed before the crash in comparison, the less likely
    /// it is that the part was new just then, and so that it is sound.
    pub fn outweigh_risk(&self, refused_for: Duration, observed: Duration) -> bool {
        let request_interval = refused_for.as_secs_f64() / self.refused.max(1.0);
        let unanswered_time = ANSWER_TIME.as_secs_f64() + request_interval;
        let odds = (observed.as_secs_f64() / unanswered_time).max(1.0);
        self.refused >= self.at_risk * TRIAL_RISK * odds
    }
}

/// What this gateway knows of a service when it decides on a trial.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TrialContext {
    /// Requests of this gateway that would be lost if the trial crashes a server.
    pub at_risk: f64,
    /// Number of gateways, including this one.
    pub gateways: usize,
}

/// Returns the stakes over all gateways, estimated from this one's and those that others
/// reported; `None` until half of the gateways are known.
pub fn sum_stakes<'a>(
    own: TrialStakes,
    reports: impl ExactSizeIterator<Item = &'a TrialStakes>,
    gateways: usize,
) -> Option<TrialStakes> {
    let known = reports.len() + 1;
    if known * 2 < gateways {
        return None;
    }
    let scale = (gateways as f64 / known as f64).max(1.0);
    let total = reports.fold(own, |sum, report| TrialStakes {
        refused: sum.refused + report.refused,
        at_risk: sum.at_risk + report.at_risk,
    });
    Some(TrialStakes { refused: total.refused * scale, at_risk: total.at_risk * scale })
}

#[derive(Debug, Clone)]
struct PartTrial {
    owner: MemberId,
    until: Duration,
}

/// Trials that requests of this gateway and of others have claimed.
#[derive(Debug, Clone, Default)]
pub struct TrialClaims {
    trials: FastMap<PartDigest, PartTrial>,
}

impl TrialClaims {
    /// Claims the trial of suspected parts for `owner`. Returns false while another gateway
    /// or another request tries one of them.
    pub fn try_claim(&mut self, now: Duration, parts: &[PartDigest], owner: &str) -> bool {
        if parts.iter().any(|part| self.trials.get(part).is_some_and(|trial| now < trial.until)) {
            return false;
        }
        for part in parts {
            self.assign(now, *part, owner);
        }
        true
    }

    /// Records that another gateway claims a trial. Of two that claim the same trial at the
    /// same time, the one whose name sorts first gets it.
    pub fn record_claim(&mut self, now: Duration, part: PartDigest, owner: &str) {
        if !self.trials.contains_key(&part) && self.trials.len() >= MAX_TRIALS {
            return;
        }
        let trial = self.trials.get(&part).filter(|trial| now < trial.until);
        if trial.is_none_or(|trial| owner <= trial.owner.as_str()) {
            self.assign(now, part, owner);
        }
    }

    fn assign(&mut self, now: Duration, part: PartDigest, owner: &str) {
        let trial = PartTrial { owner: owner.to_string(), until: now + TRIAL_TIMEOUT };
        self.trials.insert(part, trial);
    }

    /// Returns whether `owner` still holds the trials of all the given parts.
    pub fn holds_trials(&self, parts: &[PartDigest], owner: &str) -> bool {
        parts.iter().all(|part| self.trials.get(part).is_some_and(|trial| trial.owner == owner))
    }

    /// Ends the trials of parts that `owner` holds.
    pub fn release_trials(&mut self, parts: &[PartDigest], owner: &str) {
        for part in parts {
            if self.trials.get(part).is_some_and(|trial| trial.owner == owner) {
                self.trials.remove(part);
            }
        }
    }

    /// Drops trials that are over.
    pub fn sweep(&mut self, now: Duration) {
        self.trials.retain(|_, trial| now < trial.until);
    }
}
