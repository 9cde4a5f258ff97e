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
    Some(KnownClaim { term, revision: term, is_own_earlier })
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

/// Guards against a term below those of leaders whose claims the store has lost: it came back
/// from an older copy, and gives its revisions out again.
#[test]
fn restored_store() {
    let election = LeaderElection::new(START, millis(0));
    let lost = election.next_term(START, 1, claim(9_000, false), 9_000);
    assert!(lost > 9_000);
    let returned = Some(KnownClaim { term: 40, revision: 12, is_own_earlier: false });
    assert!(election.next_term(START, 2, returned, 0) > lost);
    assert!(election.next_term(START, 2, None, 0) > lost);
}

/// Terms rise with each claim, and above those that were heard, also where the store states no
/// era or counts its eras from the start again.
#[test]
fn rising_terms() {
    let election = LeaderElection::new(START, millis(0));
    let first = election.next_term(START, 0, None, 0);
    let second = election.next_term(START, 0, claim(first, false), 0);
    assert!(first > 0 && second > first);
    assert!(election.next_term(START, 1, None, 3 << 50) > 3 << 50);
    let highest = election.next_term(START, u64::MAX, claim(1 << 39, false), 0);
    assert!(highest < 1 << 51, "a fence of this term exceeds 63 bits");
}

/// Guards against a claim by claim search for a term that ranks accept: where nothing tells
/// how high their fences are, steps grow until one is.
#[test]
fn refused_terms() {
    let mut election = LeaderElection::new(START, millis(0));
    let (mut now, mut term, mut claims) = (START, 0, 0);
    assert!(!election.may_claim(None, 0));
    while term < 1_000_000 {
        let stored = (term > 0).then_some(KnownClaim { term, revision: 7, is_own_earlier: false });
        assert!(election.may_claim(stored, term));
        term = election.next_term(now, 0, stored, term);
        election.record_claim(now, millis(100));
        now += millis(150);
        election.record_refused_term(now);
        assert!(election.is_due(now, true));
        claims += 1;
    }
    assert!(claims <= 6, "{claims} claims");
    now += Duration::from_secs(6);
    assert_eq!(election.next_term(now, 0, None, term), term + 1);
}

/// A leader whose claim the store has lost is given time to be heard by processes that start.
#[test]
fn missing_claim() {
    let mut election = LeaderElection::new(START, millis(0));
    assert!(!election.may_claim(None, 0));
    election.record_wait(START, millis(4), millis(0));
    assert!(!election.is_due(START + LEADER_TIMEOUT, false));
    assert!(election.may_claim(None, 0));
    assert!(LeaderElection::new(START, millis(0)).may_claim(None, 5));
}

/// A leader that was superseded while it was paused leaves the claim of the other in place.
#[test]
fn superseded_leader() {
    let mut election = LeaderElection::new(START, millis(0));
    election.record_refused_term(START);
    assert!(election.is_due(START, true));
    assert!(!election.may_claim(claim(9, false), 7));
}
