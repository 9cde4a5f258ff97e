//! The store comes back from a copy without changes that were acknowledged to operators.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cuminpick::clock::Clock;
use cuminpick::clock::SystemClock;
use cuminpick::entry_event::EntryParameters;
use cuminpick::member::MemberRecord;
use cuminpick::member::MemberState;
use cuminpick_entry::decide::Decider;
use cuminpick_entry::decide::DeciderOutputs;
use cuminpick_entry::watch::PlatformWatcher;
use cuminpick_objects::ObjectStore;
use cuminpick_objects::PlatformStore;
use cuminpick_objects::WriteCondition;
use cuminpick_operators::journal::Journal;
use cuminpick_operators::metrics::Metrics;
use cuminpick_standins::site::store::SiteStore;
use cuminpick_standins::site::store::StoreReturn;
use tokio::runtime::Builder;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;

const ZONE_A: &str = "config/zones/a";
const ZONE_B: &str = "config/zones/b";
const ZONE_C: &str = "config/zones/c";
const OUT: &str = "{\"state\":\"out\"}";
const IN: &str = "{\"state\":\"in\"}";
/// Time within which an expected state has to be reached.
const TIMEOUT: Duration = Duration::from_secs(10);

fn start_decider() -> Decider {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::start());
    let (journal, guard) = Journal::start("entry-1", Arc::clone(&clock)).unwrap();
    std::mem::forget(guard);
    let member = MemberRecord {
        id: "entry-1".to_string(),
        address: "127.0.0.1:9".to_string(),
        zone: "a".to_string(),
        service: None,
        incarnation: 1,
        sequence: 1,
        state: MemberState::Live,
    };
    let outputs = DeciderOutputs {
        journal,
        metrics: Arc::new(Metrics::new("entry-1").unwrap()),
        probes: mpsc::channel(1).0,
        gossip_wakeup: Arc::new(Notify::new()),
        config_updates: watch::channel(0).0,
        trace: None,
    };
    Decider::start(EntryParameters { member, queue_capacity: 8, seed: 1 }, clock, outputs).unwrap()
}

/// Guards against changes that were acknowledged to operators and are gone from the store: an
/// entry that knows them writes them again. A change that was made since is left alone.
#[test]
fn written_again() {
    let runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap();
    let (site, address) =
        runtime.block_on(SiteStore::start(IpAddr::V4(Ipv4Addr::LOCALHOST))).unwrap();
    let url = format!("http://{address}");
    let operator = PlatformStore::new(&url).unwrap();
    let first = operator.put(ZONE_A, IN, WriteCondition::Absent).unwrap();
    let removed = operator.put(ZONE_C, OUT, WriteCondition::Absent).unwrap();
    let decider = start_decider();
    let (journal, guard) = Journal::start("watcher", Arc::new(SystemClock::start())).unwrap();
    std::mem::forget(guard);
    let store = Arc::new(PlatformStore::new(&url).unwrap());
    PlatformWatcher::start(store, decider.clone(), journal).unwrap();
    let copied = Instant::now();
    std::thread::sleep(Duration::from_millis(20));
    operator.put(ZONE_A, OUT, WriteCondition::Version(first)).unwrap();
    operator.put(ZONE_B, OUT, WriteCondition::Absent).unwrap();
    operator.delete(ZONE_C, removed).unwrap();
    // The entry has to know all three changes: the store loses the only other copy.
    wait_until(|| {
        let mut known: Vec<String> =
            decider.lost_objects(&[]).into_iter().map(|object| object.key).collect();
        known.sort();
        known == ["zones/a", "zones/b"]
    });
    let how = StoreReturn {
        copied_at: copied,
        rewritten_within: Duration::ZERO,
        keeps_watches: false,
        seed: 1,
    };
    runtime.block_on(async { site.restore(how) });
    let value = |key: &str| operator.get(key).ok().flatten().and_then(|object| object.value);
    wait_until(|| value(ZONE_A).as_deref() == Some(OUT));
    wait_until(|| value(ZONE_B).as_deref() == Some(OUT));
    wait_until(|| value(ZONE_C).is_none());
    let later = operator.get(ZONE_A).unwrap().unwrap();
    operator.put(ZONE_A, IN, WriteCondition::Version(later.version)).unwrap();
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(value(ZONE_A).as_deref(), Some(IN));
}

fn wait_until(holds: impl Fn() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < TIMEOUT, "the expected state is not reached");
        std::thread::sleep(Duration::from_millis(10));
    }
}
