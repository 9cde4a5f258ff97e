//! Servers that announce in their answers that they leave, or want a pause.

use std::time::Duration;

use cuminpick::announcements::MAX_ANNOUNCEMENTS;
use cuminpick::balance::BalanceQuery;
use cuminpick::balance::BalanceTable;
use cuminpick::balance::ChoiceError;
use cuminpick::crash_detection::ServerIncarnation;
use cuminpick::ids::ChoiceRng;
use cuminpick::routing::ServerRecord;
use cuminpick::routing::ServerState;

const START: Duration = Duration::from_secs(100);
const MILLISECOND: Duration = Duration::from_millis(1);

fn record(id: &str, port: u16, started_ms: u64) -> ServerRecord {
    ServerRecord {
        id: id.to_string(),
        service: "model".to_string(),
        address: format!("127.0.0.1:{port}").parse().unwrap(),
        zone: "bole".to_string(),
        slots: 4,
        state: ServerState::Ready,
        cold_remaining: Duration::ZERO,
        started_ms,
    }
}

fn incarnation(id: &str, started_ms: u64) -> ServerIncarnation {
    ServerIncarnation { server: id.to_string(), started_ms }
}

fn chosen(table: &BalanceTable, now: Duration) -> Result<String, ChoiceError> {
    let query = BalanceQuery {
        service: "model",
        zone: "bole",
        excluded: &[],
        cold_requests_per_second: 0.0,
        drain_time: Duration::from_secs(3),
        limits: None,
        tokens: None,
    };
    table.choose(now, &query, &mut ChoiceRng::new(7)).map(|choice| choice.server)
}

/// No new request goes to a server that announced that it leaves, except until shortly before
/// its drain time ends if there is no other.
#[test]
fn others_chosen() {
    let mut table = BalanceTable::default();
    table.replace_all(START, vec![record("a", 1, 1), record("b", 2, 1)]);
    assert!(table.record_leaving(START, &incarnation("a", 1)));
    assert!(!table.record_leaving(START, &incarnation("a", 1)));
    table.start_request(START, "b");
    assert_eq!(chosen(&table, START), Ok("b".to_string()));
    assert!(table.record_leaving(START, &incarnation("b", 1)));
    assert!(chosen(&table, START).is_ok());
    assert!(chosen(&table, START + Duration::from_secs(2)).is_ok());
    let later = START + Duration::from_secs(3);
    assert_eq!(chosen(&table, later), Err(ChoiceError::NoneAvailable));
}

/// An announcement ends with its incarnation: a later one under the same id, and another
/// server at the address, get requests. One that was told before the store listed its
/// incarnation holds.
#[test]
fn later_incarnation() {
    let mut table = BalanceTable::default();
    table.replace_all(START, vec![record("a", 1, 1)]);
    table.record_leaving(START, &incarnation("a", 1));
    let later = START + Duration::from_secs(2);
    table.upsert(later, record("a", 1, 2));
    assert_eq!(chosen(&table, later), Ok("a".to_string()));
    table.record_leaving(later, &incarnation("a", 3));
    assert_eq!(chosen(&table, later), Ok("a".to_string()));
    let latest = later + Duration::from_secs(4);
    table.upsert(latest, record("a", 1, 3));
    assert_eq!(chosen(&table, latest), Err(ChoiceError::NoneAvailable));
    table.upsert(latest, record("b", 1, 4));
    assert_eq!(chosen(&table, latest), Ok("b".to_string()));
}

/// Guards against taking the requests of a server that leaves, and stops listening, for the
/// cause of a crash while the store still lists it as ready.
#[test]
fn not_ready() {
    let mut table = BalanceTable::default();
    table.replace_all(START, vec![record("a", 1, 1)]);
    assert!(table.is_ready(&incarnation("a", 1)));
    table.record_leaving(START, &incarnation("a", 1));
    assert!(!table.is_ready(&incarnation("a", 1)));
}

/// Guards against a pause that is forgotten when the server's record is missing for a moment,
/// as it may be after the store was away. The next incarnation gets requests.
#[test]
fn pause_outlives_record() {
    let mut table = BalanceTable::default();
    table.replace_all(START, vec![record("a", 1, 1)]);
    table.pause(START, &incarnation("a", 1), Duration::from_secs(10), 1);
    assert_eq!(chosen(&table, START), Err(ChoiceError::AllClosed));
    let later = START + Duration::from_secs(3);
    table.remove(later, "a");
    assert_eq!(chosen(&table, later), Err(ChoiceError::NoneAvailable));
    table.upsert(later, record("a", 1, 1));
    assert_eq!(chosen(&table, later), Err(ChoiceError::AllClosed));
    table.upsert(later, record("a", 1, 2));
    assert_eq!(chosen(&table, later), Ok("a".to_string()));
}

/// A second pause that is asked for within the first one lengthens it, and never shortens it.
#[test]
fn second_pause() {
    let mut table = BalanceTable::default();
    table.replace_all(START, vec![record("a", 1, 1)]);
    let pause = |table: &mut BalanceTable, now: Duration, seconds: f64| {
        table.pause(now, &incarnation("a", 1), Duration::from_secs_f64(seconds), 1);
    };
    let second = Duration::from_secs(1);
    pause(&mut table, START, 4.0);
    pause(&mut table, START + second, 0.0);
    pause(&mut table, START + second, 1.5);
    let end = START + second * 4;
    assert_eq!(chosen(&table, end - MILLISECOND), Err(ChoiceError::AllClosed));
    pause(&mut table, START + second * 3, 2.0);
    assert_eq!(chosen(&table, end), Err(ChoiceError::AllClosed));
    assert_eq!(chosen(&table, end + second), Ok("a".to_string()));
}

/// Guards against a pause that is forgotten when the store tells only afterwards of the restart
/// of the server that asked for it, also if that server announces something else meanwhile. One
/// that started later gets requests.
#[test]
fn unlisted_restart() {
    for is_announced in [false, true] {
        let mut table = BalanceTable::default();
        table.replace_all(START, vec![record("a", 1, 10), record("b", 2, 10)]);
        table.record_leaving(START, &incarnation("b", 10));
        table.pause(START, &incarnation("a", 10), Duration::from_secs(10), 50);
        table.upsert(START, record("a", 1, 50));
        if is_announced {
            table.pause(START, &incarnation("a", 50), Duration::ZERO, 60);
        }
        assert_eq!(chosen(&table, START), Err(ChoiceError::AllClosed));
        table.upsert(START, record("a", 1, 61));
        assert_eq!(chosen(&table, START), Ok("a".to_string()));
    }
}

/// Guards against announcements that are no longer heeded once many servers have left: the
/// oldest are dropped.
#[test]
fn many_announcements() {
    let mut table = BalanceTable::default();
    for index in 0..MAX_ANNOUNCEMENTS {
        let announced_at = START + Duration::from_secs(index as u64);
        assert!(table.record_leaving(announced_at, &incarnation(&format!("s{index}"), 1)));
    }
    let now = START + Duration::from_secs(MAX_ANNOUNCEMENTS as u64);
    table.replace_all(now, vec![record("a", 1, 1), record("s1", 2, 1)]);
    assert!(table.record_leaving(now, &incarnation("a", 1)));
    let later = now + Duration::from_secs(4);
    assert_eq!(chosen(&table, later), Err(ChoiceError::NoneAvailable));
}
