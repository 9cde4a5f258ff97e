//! Reconciles the ranks of a group after a takeover or a failed switch.
//!
//! First every rank receives an order with a higher fence that changes nothing else, after
//! which no older order can take effect. Only then are armed ranks disarmed, and only while
//! a pass is held: armed ranks without a held pass were released together and are left to
//! switch. Held passes are released last.

use std::time::Duration;

use super::GroupLeader;
use super::Phase;
use super::RELEASE_INTERVAL;
use super::log_step;
use crate::experts::RankIndex;
use crate::orders::LeaderAction;
use crate::orders::OrderId;
use crate::orders::RankOrder;

/// Time allowed for receiving statuses that were read after the ranks' last orders;
/// several report intervals. The age of direct reads is added.
const CLEAN_UP_TIMEOUT: Duration = Duration::from_millis(400);
/// Minimum interval between fencing orders to a rank.
const FENCING_INTERVAL: Duration = Duration::from_millis(30);

impl GroupLeader {
    /// Raises the fence and sends it to every rank.
    pub(super) fn begin_fencing(&mut self, now: Duration, reason: &str) -> Vec<LeaderAction> {
        if !self.raise_fence() {
            return vec![LeaderAction::StepDown];
        }
        self.pending.clear();
        let size = self.views.size();
        self.phase = Phase::Fencing { confirmed: vec![None; size] };
        let mut actions = vec![log_step("settling", self.fence(), 0, reason.to_string())];
        self.fencing_sent_at = now;
        for rank in 0..size {
            actions.push(self.send_fencing_order(now, rank));
        }
        actions
    }

    /// Sends an order that changes nothing but the rank's fence: it disarms the version of that
    /// fence, which no map has, so that carrying it out late cannot undo a later switch.
    fn send_fencing_order(&mut self, now: Duration, rank: RankIndex) -> LeaderAction {
        let order = RankOrder::Disarm { mark: self.mark(), version: self.fence() };
        self.send(now, rank, order)
    }

    /// Begins to clean up once every rank has confirmed the fence.
    pub(super) fn check_fenced(
        &mut self,
        now: Duration,
        confirmed: Vec<Option<OrderId>>,
    ) -> Vec<LeaderAction> {
        let needed: Vec<OrderId> = confirmed.iter().copied().flatten().collect();
        if needed.len() < confirmed.len() {
            return self.resend_unconfirmed(now, &confirmed);
        }
        self.phase = Phase::CleaningUp { needed: needed.clone(), started: now };
        self.clean_up(now, &needed, now)
    }

    /// Sends the fencing order again to ranks that have not confirmed it.
    fn resend_unconfirmed(
        &mut self,
        now: Duration,
        confirmed: &[Option<OrderId>],
    ) -> Vec<LeaderAction> {
        if now < self.fencing_sent_at + FENCING_INTERVAL {
            return Vec::new();
        }
        self.fencing_sent_at = now;
        let mut actions = Vec::new();
        for (rank, confirmed) in confirmed.iter().enumerate() {
            let is_pending = self.pending.values().any(|pending| pending.rank == rank);
            if confirmed.is_none() && !is_pending {
                actions.push(self.send_fencing_order(now, rank));
            }
        }
        actions
    }

    /// Cleans up armed ranks and held passes once each rank's status was read after its
    /// order in `needed`.
    pub(super) fn clean_up(
        &mut self,
        now: Duration,
        needed: &[OrderId],
        started: Duration,
    ) -> Vec<LeaderAction> {
        let current = self.views.all(|view| view.last_order >= Some(needed[view.status.rank]));
        let read_lag = match self.views.silent(now).is_empty() {
            true => Duration::ZERO,
            false => self.views.read_lag(),
        };
        if !current && now >= started + CLEAN_UP_TIMEOUT + read_lag {
            // An agent that was silent reports again, and does not know of the orders that
            // were sent to its engine directly.
            return self.begin_fencing(now, "no status of a rank was read after its orders");
        }
        if !current || !self.pending.is_empty() {
            return Vec::new();
        }
        let armed = self.views.armed();
        let held = self.views.held();
        if held.is_empty() && armed.is_empty() {
            self.phase = Phase::Idle { since: now };
            return vec![log_step("settled", self.last_version, 0, String::new())];
        }
        if held.is_empty() {
            // The armed ranks were released together and switch at the next pass.
            return Vec::new();
        }
        let complete = armed.len() == self.views.size()
            && armed.iter().all(|(_, version)| *version == armed[0].1);
        let mut actions = Vec::new();
        if armed.is_empty() || complete {
            for (rank, pass) in held {
                let order = RankOrder::Release { mark: self.mark(), pass };
                actions.push(self.send(now, rank, order));
            }
        } else {
            for (rank, version) in armed {
                let order = RankOrder::Disarm { mark: self.mark(), version };
                actions.push(self.send(now, rank, order));
            }
        }
        actions
    }

    /// Releases passes that are held although no switch needs it, because an earlier hold
    /// was carried out late. No rank is armed then, so nothing else has to be undone.
    pub(super) fn release_stray_holds(
        &mut self,
        now: Duration,
        since: Duration,
    ) -> Vec<LeaderAction> {
        if !self.has_hold_after(since) {
            return Vec::new();
        }
        let mut actions = Vec::new();
        for (rank, pass) in self.views.held() {
            let is_pending = self.pending.values().any(|pending| {
                pending.rank == rank && matches!(pending.order, RankOrder::Release { .. })
            });
            if !is_pending {
                actions.push(log_step(
                    "stray-hold",
                    self.last_version,
                    pass,
                    format!("rank {rank}"),
                ));
                let order = RankOrder::Release { mark: self.mark(), pass };
                actions.push(self.send(now, rank, order));
            }
        }
        actions
    }

    /// Returns whether a rank reported more than `RELEASE_INTERVAL` after `since` and still
    /// holds a pass.
    pub(super) fn has_hold_after(&self, since: Duration) -> bool {
        self.views
            .known()
            .any(|view| view.status.held.is_some() && view.as_of > since + RELEASE_INTERVAL)
    }
}
