//! Servers without a record are kept after an outage of the store, and only then.

use std::time::Duration;

use cuminpick::lapsed_records::LapsedRecords;
use cuminpick::store_contact::CallEnd;
use cuminpick::store_contact::StoreContact;
use cuminpick::store_contact::StoreOutage;

const START: Duration = Duration::from_secs(100);

fn at(millis: u64) -> Duration {
    START + Duration::from_millis(millis)
}

fn outage(since: u64, until: u64) -> StoreOutage {
    StoreOutage { since: at(since), until: at(until) }
}

/// Guards against an outage that is assumed because the store closed a call that waited.
#[test]
fn cut_calls() {
    let mut contact = StoreContact::default();
    contact.record_call(at(0), at(4), CallEnd::Answered);
    for cut in 1..20 {
        assert!(!contact.record_call(at(cut * 100), at(cut * 100 + 90), CallEnd::Cut));
    }
    contact.record_call(at(2_000), at(2_004), CallEnd::Answered);
    assert_eq!((contact.lost_at(), contact.last_outage()), (None, None));
}

/// Guards against an outage that is assumed because one connection fell silent.
#[test]
fn silent_connection() {
    let mut contact = StoreContact::default();
    for answer in 0..3 {
        contact.record_call(at(answer * 1_000), at(answer * 1_000 + 4), CallEnd::Answered);
    }
    assert!(!contact.record_call(at(0), at(3_000), CallEnd::Silent));
    assert_eq!(contact.lost_at(), None);
}

#[test]
fn failed_calls() {
    let mut contact = StoreContact::default();
    contact.record_call(at(0), at(4), CallEnd::Answered);
    // A call that was waiting when the store fell silent, and one that was made afterwards.
    assert!(contact.record_call(at(1), at(3_000), CallEnd::Silent));
    assert!(!contact.record_call(at(3_100), at(3_500), CallEnd::Failed));
    assert_eq!(contact.lost_at(), Some(at(4)));
    assert!(contact.record_call(at(3_600), at(3_604), CallEnd::Answered));
    assert_eq!((contact.lost_at(), contact.last_outage()), (None, Some(outage(4, 3_604))));
}

#[test]
fn stable_store() {
    let mut lapsed = LapsedRecords::default();
    assert!(!lapsed.keeps(at(0), "a"));
    lapsed.record_outage(outage(0, 1_000));
    assert!(!lapsed.keeps(at(3_000), "a"));
    assert!(lapsed.is_empty());
}

#[test]
fn grace_ends() {
    let mut lapsed = LapsedRecords::default();
    lapsed.record_outage(outage(0, 1_000));
    assert!(lapsed.keeps(at(1_010), "a") && lapsed.keeps(at(2_500), "b"));
    assert_eq!(lapsed.take_expired(at(2_999)), Vec::<String>::new());
    let mut expired = lapsed.take_expired(at(3_000));
    expired.sort();
    assert_eq!(expired, ["a", "b"]);
}

/// Guards against servers that are kept without a record for as long as short outages go on.
#[test]
fn short_outages() {
    let mut lapsed = LapsedRecords::default();
    lapsed.record_outage(outage(0, 1_000));
    assert!(lapsed.keeps(at(1_010), "a"));
    // A tenth of a second in each half second: the grace lasts that much longer.
    for now in (1_400..3_400).step_by(500) {
        lapsed.record_loss(at(now));
        lapsed.record_outage(outage(now, now + 100));
        assert!(lapsed.keeps(at(now + 100), "a"));
    }
    assert!(lapsed.take_expired(at(3_399)).is_empty());
    assert_eq!(lapsed.take_expired(at(3_400)), ["a"]);
}

/// Guards against servers that are dropped while the store is away and nothing can register.
#[test]
fn long_outages() {
    let mut lapsed = LapsedRecords::default();
    lapsed.record_outage(outage(0, 1_000));
    assert!(lapsed.keeps(at(1_010), "a"));
    lapsed.record_loss(at(2_900));
    assert!(lapsed.take_expired(at(6_000)).is_empty());
    lapsed.record_outage(outage(2_900, 6_500));
    assert!(lapsed.keeps(at(6_510), "a") && lapsed.take_expired(at(8_499)).is_empty());
    assert_eq!(lapsed.take_expired(at(8_500)), ["a"]);
}

#[test]
fn record_returns() {
    let mut lapsed = LapsedRecords::default();
    lapsed.record_outage(outage(0, 1_000));
    assert!(lapsed.keeps(at(1_010), "a"));
    lapsed.forget("a");
    assert!(lapsed.take_expired(at(9_000)).is_empty());
}

/// Guards against servers that are dropped by an answer that the store gave before their time.
#[test]
fn early_answer() {
    let mut lapsed = LapsedRecords::default();
    assert_eq!(lapsed.next_expiry(), None);
    lapsed.record_outage(outage(0, 1_000));
    assert!(lapsed.keeps(at(1_010), "a"));
    lapsed.record_outage(outage(1_200, 1_500));
    assert!(lapsed.keeps(at(1_510), "b"));
    assert_eq!(lapsed.next_expiry(), Some(at(3_300)));
    assert!(lapsed.take_expired(at(3_299)).is_empty());
    assert_eq!(lapsed.take_expired(at(3_300)), ["a"]);
    lapsed.record_loss(at(3_400));
    assert_eq!(lapsed.next_expiry(), None);
    lapsed.record_outage(outage(3_400, 3_450));
    assert_eq!(lapsed.next_expiry(), Some(at(3_550)));
}
