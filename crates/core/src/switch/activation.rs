//! Puts a prepared map in force: holds a pass, checks that all ranks can be reached, arms
//! them for the held pass and releases it.

use std::time::Duration;

use super::GroupLeader;
use super::Phase;
use super::PresenceCheck;
use super::RELEASE_INTERVAL;
use super::log_step;
use crate::experts::MapVersion;
use crate::experts::RankIndex;
use crate::orders::LeaderAction;
use crate::orders::OrderId;
use crate::orders::PassNumber;
use crate::orders::RankOrder;

/// Age up to which a hold can target the pass right after the one in a status; older
/// statuses skip one more pass. Passes take 40 ms or more.
const NEXT_PASS_STATUS_AGE: Duration = Duration::from_millis(12);
/// Delay from a confirmed hold to the first presence check, so that a VM that fails while
/// it sends the hold is detected; shorter than the remainder of the running pass.
const CHECK_DELAY: Duration = Duration::from_millis(5);
/// Time allowed for all agents to answer a presence check while a pass is held; a message
/// takes some milliseconds, and the group should not miss two passes.
const CHECK_TIMEOUT: Duration = Duration::from_millis(90);
/// Interval at which a presence check is sent again, since datagrams may be lost.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time after a confirmed hold from which the engines of agents that have not answered are
/// read in their place; three checks are sent before it.
const DIRECT_CHECK_DELAY: Duration = Duration::from_millis(45);
/// Most agents in whose place the engines are read; a leader that more do not answer is
/// likely to be cut off itself.
const MAX_DIRECT_CHECKS: usize = 4;
/// Time allowed for all ranks to use a released map, after which they are reconciled.
const SWITCH_TIMEOUT: Duration = Duration::from_secs(2);

impl GroupLeader {
    /// Orders a rank to hold an upcoming pass; each retry after a refusal targets a
    /// later one.
    pub(super) fn begin_holding(
        &mut self,
        now: Duration,
        version: MapVersion,
        retries: u32,
    ) -> Vec<LeaderAction> {
        let Some(view) = self.views.get(self.own_rank) else {
            return self.abort(now, version, "the status of the leader's own rank is not known");
        };
        let ahead = if now < view.as_of + NEXT_PASS_STATUS_AGE { 1 } else { 2 };
        let pass = view.status.pass + ahead + u64::from(retries);
        let (holder, relay) = self.choose_hold_ranks(now);
        self.holder = holder;
        self.phase = Phase::Holding { version, pass, retries };
        let order = RankOrder::Hold { mark: self.mark(), pass };
        vec![self.send_via(now, holder, relay, order)]
    }

    /// Returns the rank that holds a pass, and the one whose agent sends it the order.
    pub(super) fn choose_hold_ranks(&self, now: Duration) -> (RankIndex, Option<RankIndex>) {
        let size = self.views.size();
        let mut others = (1..size)
            .map(|step| (self.own_rank + step) % size)
            .filter(|&rank| self.views.has_current_agent(now, rank));
        match (others.next(), others.next()) {
            (Some(holder), Some(relay)) => (holder, Some(relay)),
            _ => (self.own_rank, None),
        }
    }

    /// Begins the presence check now that the pass is held.
    pub(super) fn begin_presence_check(
        &mut self,
        now: Duration,
        version: MapVersion,
        pass: PassNumber,
    ) -> Vec<LeaderAction> {
        let id = self.next_order;
        self.next_order += 1;
        let mut present = vec![false; self.views.size()];
        present[self.own_rank] = true;
        let check = PresenceCheck { id, present, held_at: now, sent_at: None };
        self.phase = Phase::Checking { version, pass, check };
        Vec::new()
    }

    /// Records that an agent has answered a presence check.
    pub fn handle_presence(
        &mut self,
        now: Duration,
        rank: RankIndex,
        id: OrderId,
    ) -> Vec<LeaderAction> {
        let Phase::Checking { version, pass, check } = &mut self.phase else {
            return Vec::new();
        };
        if check.id != id || rank >= check.present.len() {
            return Vec::new();
        }
        check.present[rank] = true;
        let (version, pass, check) = (*version, *pass, check.clone());
        self.continue_presence_check(now, version, pass, check)
    }

    /// Records that an engine answered a read that was begun at `started` while a presence
    /// check waits for the rank's agent; the engine is then ordered directly.
    pub(super) fn record_engine_presence(&mut self, rank: RankIndex, started: Duration) {
        let Phase::Checking { check, .. } = &mut self.phase else {
            return;
        };
        let is_missing = check.present.get(rank) == Some(&false);
        if is_missing && check.sent_at.is_some_and(|_| started >= check.held_at) {
            check.present[rank] = true;
            self.views.suspect_agent(rank, check.held_at);
        }
    }

    /// Sends the presence check again when due, and aborts the switch after the timeout.
    pub(super) fn continue_presence_check(
        &mut self,
        now: Duration,
        version: MapVersion,
        pass: PassNumber,
        mut check: PresenceCheck,
    ) -> Vec<LeaderAction> {
        if check.present.iter().all(|present| *present) {
            return self.begin_arming(now, version, pass);
        }
        if now >= check.held_at + CHECK_TIMEOUT {
            let silent = check.present.iter().position(|present| !present).unwrap_or(self.own_rank);
            let reason = format!("the agent of rank {silent} did not answer the presence check");
            return self.abort_held(now, version, pass, &reason);
        }
        let due = check.sent_at.map_or(check.held_at + CHECK_DELAY, |sent| sent + CHECK_INTERVAL);
        if now < due {
            return Vec::new();
        }
        check.sent_at = Some(now);
        let mut actions = vec![LeaderAction::CheckPresence { id: check.id }];
        let missing = (0..check.present.len()).filter(|&rank| !check.present[rank]);
        let unanswered: Vec<RankIndex> = missing
            .filter(|&rank| {
                self.views.is_silent(now, rank) || now >= check.held_at + DIRECT_CHECK_DELAY
            })
            .collect();
        if unanswered.len() <= self.views.silent(now).len() + MAX_DIRECT_CHECKS {
            actions.extend(unanswered.into_iter().map(|rank| LeaderAction::ReadStatus { rank }));
        }
        self.phase = Phase::Checking { version, pass, check };
        actions
    }

    /// Aborts a switch before any rank was armed, and releases the pass if it is held.
    pub(super) fn abort_held(
        &mut self,
        now: Duration,
        version: MapVersion,
        pass: PassNumber,
        reason: &str,
    ) -> Vec<LeaderAction> {
        let mut actions = self.abort(now, version, reason);
        let order = RankOrder::Release { mark: self.mark(), pass };
        actions.push(self.send(now, self.holder, order));
        actions
    }

    pub(super) fn begin_arming(
        &mut self,
        now: Duration,
        version: MapVersion,
        pass: PassNumber,
    ) -> Vec<LeaderAction> {
        let size = self.views.size();
        self.phase = Phase::Arming { version, pass, armed: vec![false; size], started: now };
        let mut actions = Vec::new();
        for rank in 0..size {
            let order = RankOrder::Arm { mark: self.mark(), version, pass };
            actions.push(self.send(now, rank, order));
        }
        actions
    }

    pub(super) fn release_pass(
        &mut self,
        now: Duration,
        version: MapVersion,
        pass: PassNumber,
    ) -> Vec<LeaderAction> {
        let started = match self.phase {
            Phase::Releasing { started, .. } => started,
            _ => now,
        };
        self.phase = Phase::Releasing { version, pass, started, sent: now };
        let order = RankOrder::Release { mark: self.mark(), pass };
        vec![self.send(now, self.holder, order)]
    }

    pub(super) fn check_released(
        &mut self,
        now: Duration,
        version: MapVersion,
        pass: PassNumber,
        started: Duration,
        sent: Duration,
    ) -> Vec<LeaderAction> {
        let in_use = |rank| {
            self.views.is_silent(now, rank)
                || self.views.get(rank).is_some_and(|view| view.status.map == version)
        };
        if !self.views.is_silent(now, self.own_rank) && (0..self.views.size()).all(in_use) {
            self.views.assume_switched(now, version);
            self.completed_switches += 1;
            self.phase = Phase::Idle { since: now };
            return vec![log_step("map-in-force", version, pass, String::new())];
        }
        let held = self
            .views
            .get(self.holder)
            .is_some_and(|view| view.status.held == Some(pass) && view.as_of > sent);
        if held && now >= sent + RELEASE_INTERVAL {
            return self.release_pass(now, version, pass);
        }
        if now >= started + SWITCH_TIMEOUT {
            return self.begin_fencing(now, "the ranks do not use the released map");
        }
        Vec::new()
    }
}
