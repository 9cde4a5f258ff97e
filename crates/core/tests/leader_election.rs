//! All processes of a group stop and start again at once: the claim of the former leader
//! still lies in the store, and nobody leads until it is replaced.

use std::time::Duration;

use cuminpick::election::KnownClaim;
use cuminpick::election::LEADER_TIMEOUT;
use cuminpick::election::LeaderElection;

const START: Duration = Duration::from_secs(10);

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn claim(term: u64, is_own_earlier: bool) -> Option<KnownClaim> {
    Some(KnownClaim { term, is_own_earlier })
}

/// The former leader claims again at its first attempt.
#[test]
fn former_leader() {
    let mut election = LeaderElection::new(START, millis(120));
    assert!(!election.is_due(START + millis(119), false));
    assert!(election.is_due(START + millis(120), false));
    assert!(election.may_claim(claim(7, true), 0));
}

/// Others give the holder of an unknown claim time to be heard, and claim once the same
/// claim was silent for the leader timeout.
#[test]
fn unknown_claim() {
    let mut election = LeaderElection::new(START, millis(0));
    assert!(!election.may_claim(claim(7, false), 0));
    election.record_wait(START, millis(4), millis(50));
    let wait = LEADER_TIMEOUT + millis(12 + 50);
    assert!(!election.is_due(START + wait - millis(1), false));
    assert!(election.is_due(START + wait, false));
    assert!(election.may_claim(claim(7, false), 0));
}

/// A claim that was made meanwhile is given time again.
#[test]
fn later_claim() {
    let mut election = LeaderElection::new(START, millis(0));
    assert!(!election.may_claim(claim(7, false), 0));
    assert!(!election.may_claim(claim(8, false), 0));
    assert!(election.may_claim(claim(8, false), 0));
}

/// While the store is slow a new leader needs longer until it is heard.
#[test]
fn slow_store() {
    let mut election = LeaderElection::new(START, millis(0));
    election.record_wait(START, millis(300), millis(0));
    assert!(!election.is_due(START + LEADER_TIMEOUT + millis(899), false));
    assert!(election.is_due(START + LEADER_TIMEOUT + millis(900), false));
}

#[test]
fn silent_leader() {
    let mut election = LeaderElection::new(START, millis(30));
    election.record_leader(START + millis(900));
    assert!(!election.is_due(START + millis(900) + LEADER_TIMEOUT, true));
    assert!(election.is_due(START + millis(930) + LEADER_TIMEOUT, true));
    assert!(election.may_claim(claim(7, false), 7));
}
