//! Which version of the configuration is in force, also after the store came back from an older
//! copy.

use std::time::Duration;

use cuminpick::config_order::ConfigDecision;
use cuminpick::config_order::ConfigOrder;
use cuminpick::config_order::ConfigStamp;
use cuminpick::config_order::ReadVersion;

const START: Duration = Duration::from_secs(100);
const APPLY_TIME: Duration = Duration::from_secs(2);

/// Returns the stamp of a version that was written, and last held, in an era.
fn written(version: u64, era: u64) -> ConfigStamp {
    ConfigStamp { version, digest: version, held_era: era, written_era: era }
}

/// Returns the stamp of a version that was listed in an era, and is not known to be new.
fn listed(version: u64, era: u64) -> ConfigStamp {
    ConfigStamp { written_era: 0, ..written(version, era) }
}

fn offer(order: &mut ConfigOrder, now: Duration, stamp: ConfigStamp) -> ConfigDecision {
    order.offer(now, stamp, APPLY_TIME)
}

fn version(order: &ConfigOrder) -> u64 {
    order.in_force().unwrap().version
}

/// Within an era, and where the store states none, the higher version counts.
#[test]
fn higher_versions() {
    for era in [0, 1] {
        let mut order = ConfigOrder::default();
        assert_eq!(offer(&mut order, START, listed(5, era)), ConfigDecision::Adopt);
        assert_eq!(offer(&mut order, START, written(9, era)), ConfigDecision::Adopt);
        assert_eq!(offer(&mut order, START, written(7, era)), ConfigDecision::Older);
        assert_eq!(offer(&mut order, START, listed(9, era)), ConfigDecision::InForce);
        assert_eq!(offer(&mut order, START, listed(12, era)), ConfigDecision::Adopt);
    }
}

/// The version of the copy does not replace a later one that the store has lost.
#[test]
fn older_copy() {
    let mut order = ConfigOrder::default();
    offer(&mut order, START, written(12, 1));
    assert_eq!(offer(&mut order, START, listed(5, 1)), ConfigDecision::Older);
    assert_eq!(offer(&mut order, START, written(12, 2)), ConfigDecision::InForce);
    assert_eq!(offer(&mut order, START, written(15, 2)), ConfigDecision::Adopt);
}

/// A lower version that was written after the return comes in force in time.
#[test]
fn lower_version() {
    let mut order = ConfigOrder::default();
    offer(&mut order, START, written(12, 1));
    let ConfigDecision::Wait(until) = offer(&mut order, START, written(6, 2)) else {
        panic!("a lower version of a later era does not wait");
    };
    assert!(until > START && until < START + APPLY_TIME);
    assert_eq!(version(&order), 12);
    assert!(order.adopt_waiting(written(6, 2)));
    assert_eq!(version(&order), 6);
    assert!(!order.adopt_waiting(written(6, 2)));
    assert_eq!(offer(&mut order, until, written(7, 2)), ConfigDecision::Adopt);
}

/// A version with the same number and another content is another configuration.
#[test]
fn same_number() {
    let mut order = ConfigOrder::default();
    offer(&mut order, START, written(12, 1));
    let other = ConfigStamp { digest: 99, ..written(12, 2) };
    assert!(matches!(offer(&mut order, START, other), ConfigDecision::Wait(_)));
    let delayed = ConfigStamp { digest: 99, ..written(12, 1) };
    assert_eq!(offer(&mut order, START, delayed), ConfigDecision::Older);
}

/// An operator who writes all lost versions again brings none of the older ones in force.
#[test]
fn replayed_versions() {
    let mut order = ConfigOrder::default();
    offer(&mut order, START, written(12, 1));
    assert!(matches!(offer(&mut order, START, written(5, 2)), ConfigDecision::Wait(_)));
    let later = START + Duration::from_millis(300);
    assert!(matches!(offer(&mut order, later, written(9, 2)), ConfigDecision::Wait(_)));
    assert!(!order.adopt_waiting(written(5, 2)));
    assert_eq!(offer(&mut order, later, written(12, 2)), ConfigDecision::InForce);
    assert!(!order.adopt_waiting(written(9, 2)));
    assert_eq!(version(&order), 12);
}

/// Lower versions that follow each other do not wait for ever.
#[test]
fn steady_changes() {
    let mut order = ConfigOrder::default();
    offer(&mut order, START, written(90, 1));
    let mut latest = START;
    for version in 1..40 {
        let now = START + Duration::from_millis(100 * version);
        if let ConfigDecision::Wait(until) = offer(&mut order, now, written(version, 2)) {
            latest = until;
        }
    }
    assert!(latest < START + APPLY_TIME, "{latest:?}");
}

/// What other gateways have in force counts at once, if it is newer.
#[test]
fn other_gateways() {
    let mut order = ConfigOrder::default();
    assert_eq!(order.offer_settled(written(12, 1)), ConfigDecision::Adopt);
    assert_eq!(order.offer_settled(written(9, 1)), ConfigDecision::Older);
    assert_eq!(order.offer_settled(written(6, 2)), ConfigDecision::Adopt);
    assert_eq!(order.offer_settled(written(12, 1)), ConfigDecision::Older);
    assert_eq!(order.offer_settled(written(6, 2)), ConfigDecision::InForce);
}

/// A second copy that still holds the higher version does not bring it back.
#[test]
fn second_copy() {
    let mut order = ConfigOrder::default();
    offer(&mut order, START, written(12, 1));
    offer(&mut order, START, written(6, 2));
    assert!(order.adopt_waiting(written(6, 2)));
    assert_eq!(offer(&mut order, START, listed(12, 2)), ConfigDecision::Older);
    assert_eq!(offer(&mut order, START, written(12, 3)), ConfigDecision::Adopt);
}

/// A gateway that was cut off before the return takes the copy's version if it is higher.
#[test]
fn lagging_gateway() {
    let mut order = ConfigOrder::default();
    offer(&mut order, START, written(9, 1));
    assert_eq!(offer(&mut order, START, listed(12, 1)), ConfigDecision::Adopt);
}

/// Reads a version from the store; returns its stamp and the decision about it.
fn read(
    order: &mut ConfigOrder,
    version: u64,
    revision: u64,
    era: u64,
    is_settling: bool,
) -> (ConfigStamp, ConfigDecision) {
    let read = ReadVersion { version, digest: version, revision, era, is_new: false, is_settling };
    let stamp = order.stamp(&read);
    (stamp, offer(order, START, stamp))
}

/// A lower version that was written before a gateway noticed the return is told from those of
/// the copy: the gateway has not seen it before.
#[test]
fn unnoticed_return() {
    let mut order = ConfigOrder::default();
    for (version, revision) in [(3, 30), (5, 37), (12, 39)] {
        assert_eq!(read(&mut order, version, revision, 1, false).1, ConfigDecision::Adopt);
    }
    assert_eq!(read(&mut order, 5, 37, 2, true).1, ConfigDecision::Older);
    let (stamp, decision) = read(&mut order, 6, 38, 2, true);
    assert_eq!(stamp, written(6, 2));
    assert!(matches!(decision, ConfigDecision::Wait(_)));
}

/// A version from before the first that this process read may be from the copy, and does not
/// replace a higher one.
#[test]
fn earlier_versions() {
    let mut order = ConfigOrder::default();
    read(&mut order, 9, 37, 1, false);
    read(&mut order, 12, 39, 1, false);
    assert_eq!(read(&mut order, 5, 20, 2, true).1, ConfigDecision::Older);
}

/// A higher version that only the copy shows is taken, but not for one of the present era.
#[test]
fn higher_copy() {
    let mut order = ConfigOrder::default();
    read(&mut order, 9, 37, 1, false);
    let (stamp, decision) = read(&mut order, 12, 38, 2, true);
    assert_eq!((stamp, decision), (listed(12, 1), ConfigDecision::Adopt));
    assert!(matches!(offer(&mut order, START, written(10, 2)), ConfigDecision::Wait(_)));
}
