//! Decides when a process claims the leadership of its group.
//!
//! A claim is a conditional write to a store, and holds the leader's term. A claim does not
//! expire, so a process that starts cannot tell from the store whether the holder still runs:
//! it waits for a message of that leader before it claims in its place, unless the holder was
//! an earlier process on its own VM.
//!
//! A term has to be higher than those of all earlier leaders, since ranks refuse the orders of
//! lower ones. The store may come back from an older copy and lose claims, so a term begins
//! with the store's era.

use std::time::Duration;

use crate::orders::LeaderTerm;
use crate::store_history::StoreEra;
use crate::store_history::StoreRevision;
use crate::store_history::lasting_number;

/// Silence after which a leader is replaced; several beacon intervals.
pub const LEADER_TIMEOUT: Duration = Duration::from_millis(450);
/// Delay after a claim that failed; a random delay is added.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(700);
/// Store calls that a new leader makes before its first message: it lists the engines and
/// the gateways, and its claim has to be answered.
const CALLS_BEFORE_MESSAGE: u32 = 3;
/// Highest era that terms tell apart; with it, fences still fit 63 bits.
const MAX_TERM_ERA: StoreEra = 2_047;
/// Factor by which the next term exceeds the known ones further after each refused one.
const REFUSED_STEP_FACTOR: u64 = 16;
/// Time after which a refused term no longer counts.
const REFUSAL_MEMORY: Duration = Duration::from_secs(5);

/// A claim that lies in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownClaim {
    /// Term of the claim.
    pub term: LeaderTerm,
    /// Revision of the object that holds it.
    pub revision: StoreRevision,
    /// Whether this VM made it and no longer leads by it: an earlier process did, or this one
    /// without learning that it was written.
    pub is_own_earlier: bool,
}

/// State of the election as one process sees it.
#[derive(Debug, Clone)]
pub struct LeaderElection {
    silent_since: Duration,
    /// Delay that is due before the next claim.
    claim_delay: Duration,
    /// Term of the claim that the store held at the last attempt, 0 if it held none; `None`
    /// before the first attempt.
    seen_term: Option<LeaderTerm>,
    /// Number of terms of this process in a row that ranks refused, and when they last did.
    refused_terms: (u32, Duration),
}

impl LeaderElection {
    /// Returns the state of a process that starts at `now`. `jitter` is a random delay that
    /// keeps the ranks from claiming at the same time.
    pub fn new(now: Duration, jitter: Duration) -> LeaderElection {
        LeaderElection {
            silent_since: now,
            claim_delay: jitter,
            seen_term: None,
            refused_terms: (0, Duration::ZERO),
        }
    }

    /// Records that the leader was heard at `heard`, or that this process leads.
    pub fn record_leader(&mut self, heard: Duration) {
        self.silent_since = self.silent_since.max(heard);
    }

    /// Returns whether the store should be read for a claim; `was_heard` says whether any
    /// leader was heard since the start.
    pub fn is_due(&self, now: Duration, was_heard: bool) -> bool {
        let timeout = if was_heard { LEADER_TIMEOUT } else { Duration::ZERO };
        now >= self.silent_since + timeout + self.claim_delay
    }

    /// Decides whether to claim, given the claim in the store and the term of the last leader
    /// that was heard. The holder of a claim that is seen for the first time is given time to be
    /// heard; so is one whose claim the store may have lost.
    pub fn may_claim(&mut self, existing: Option<KnownClaim>, known_term: LeaderTerm) -> bool {
        let term = existing.map_or(0, |claim| claim.term);
        let is_new = self.seen_term.replace(term) != Some(term);
        let is_own_earlier = existing.is_some_and(|claim| claim.is_own_earlier);
        let is_superseded = known_term > 0 && term <= known_term;
        is_own_earlier || !is_new || is_superseded
    }

    /// Returns the term of a claim that is made now, in place of `existing`. It is higher than
    /// all that this process knows, and than all of earlier eras.
    pub fn next_term(
        &self,
        now: Duration,
        era: StoreEra,
        existing: Option<KnownClaim>,
        known_term: LeaderTerm,
    ) -> LeaderTerm {
        let (stored_term, revision) = existing.map_or((0, 0), |claim| (claim.term, claim.revision));
        let era_term = lasting_number(era.min(MAX_TERM_ERA), revision);
        let step = REFUSED_STEP_FACTOR.saturating_pow(self.refusals(now));
        stored_term.max(known_term).max(era_term).saturating_add(step)
    }

    /// Records that ranks have seen a higher fence than those of this process's term. Unless
    /// another claim is in the store, the next one is due at once, with a higher term.
    pub fn record_refused_term(&mut self, now: Duration) {
        self.refused_terms = (self.refusals(now) + 1, now);
        self.silent_since = now.saturating_sub(LEADER_TIMEOUT);
        self.claim_delay = Duration::ZERO;
    }

    fn refusals(&self, now: Duration) -> u32 {
        let (count, last) = self.refused_terms;
        if now < last + REFUSAL_MEMORY { count } else { 0 }
    }

    /// Sets the time of the next attempt after a claim was left to its holder. `call_time` is
    /// the time that the store took to answer.
    pub fn record_wait(&mut self, now: Duration, call_time: Duration, jitter: Duration) {
        self.silent_since = now;
        self.claim_delay = LEADER_TIMEOUT + call_time * CALLS_BEFORE_MESSAGE + jitter;
    }

    /// Sets the time of the next attempt after a claim was made or failed.
    pub fn record_claim(&mut self, now: Duration, jitter: Duration) {
        self.silent_since = now;
        self.claim_delay = CLAIM_RETRY_DELAY + jitter;
    }
}
