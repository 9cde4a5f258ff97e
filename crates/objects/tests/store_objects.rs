//! Operators' objects and VMs in the platform's store, over the stand-in's HTTP interface.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::time::Duration;
use std::time::Instant;

use cuminpick_objects::ObjectStore;
use cuminpick_objects::PlatformError;
use cuminpick_objects::PlatformStore;
use cuminpick_objects::StoredObject;
use cuminpick_objects::WriteCondition;
use cuminpick_objects::reconcile::ChangeOutcome;
use cuminpick_objects::reconcile::apply_change;
use cuminpick_platform::store::OWN_CONFIG_KIND;
use cuminpick_platform::store::VM_KIND;
use cuminpick_standins::site::store::SiteStore;
use cuminpick_standins::site::store::StoreMode;
use cuminpick_standins::site::store::StoreReturn;
use serde_json::json;
use tokio::runtime::Runtime;

const LOCAL_IP: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const KEY: &str = "config/classes/drafting";

struct TestBench {
    runtime: Runtime,
    site: SiteStore,
    url: String,
    objects: PlatformStore,
}

fn start_bench() -> TestBench {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap();
    let (site, address) = runtime.block_on(SiteStore::start(LOCAL_IP)).unwrap();
    let url = format!("http://{address}");
    let objects = PlatformStore::new(&url).unwrap();
    TestBench { runtime, site, url, objects }
}

fn read_changes(objects: &PlatformStore, after: u64) -> (u64, Vec<StoredObject>) {
    let changes = objects.changes("config/", after, Duration::ZERO).unwrap();
    (changes.revision, changes.objects)
}

/// Brings the store back from a copy that was made at `copied`.
fn restore(bench: &TestBench, copied: Instant) {
    let how = StoreReturn {
        copied_at: copied,
        rewritten_within: Duration::ZERO,
        keeps_watches: false,
        seed: 1,
    };
    bench.runtime.block_on(async { bench.site.restore(how) });
}

#[test]
fn written_and_read() {
    let bench = start_bench();
    let version = bench.objects.put(KEY, "one", WriteCondition::Absent).unwrap();
    let object = bench.objects.get(KEY).unwrap().unwrap();
    assert_eq!((object.key.as_str(), object.version), (KEY, version));
    assert_eq!(object.value.as_deref(), Some("one"));
    assert_eq!(bench.objects.get("config/classes/other"), Ok(None));
}

#[test]
fn conditional_writes() {
    let bench = start_bench();
    let first = bench.objects.put(KEY, "one", WriteCondition::Absent).unwrap();
    let again = bench.objects.put(KEY, "two", WriteCondition::Absent);
    assert_eq!(again, Err(PlatformError::Conflict(first)));
    let second = bench.objects.put(KEY, "two", WriteCondition::Version(first)).unwrap();
    assert_eq!(bench.objects.delete(KEY, first), Err(PlatformError::Conflict(second)));
    assert!(bench.objects.delete(KEY, second).unwrap() > second);
    let late = bench.objects.put(KEY, "three", WriteCondition::Version(second));
    assert_eq!(late, Err(PlatformError::Conflict(0)));
}

#[test]
fn removal_watched() {
    let bench = start_bench();
    let version = bench.objects.put(KEY, "one", WriteCondition::Absent).unwrap();
    let (revision, objects) = read_changes(&bench.objects, 0);
    assert_eq!(objects.len(), 1);
    bench.objects.delete(KEY, version).unwrap();
    let (_, objects) = read_changes(&bench.objects, revision);
    assert_eq!((objects[0].key.as_str(), &objects[0].value), (KEY, &None));
    assert!(objects[0].version > version);
}

#[test]
fn object_recreated() {
    let bench = start_bench();
    let version = bench.objects.put(KEY, "one", WriteCondition::Absent).unwrap();
    let (revision, _) = read_changes(&bench.objects, 0);
    bench.objects.delete(KEY, version).unwrap();
    bench.objects.put(KEY, "two", WriteCondition::Absent).unwrap();
    let (_, objects) = read_changes(&bench.objects, revision);
    let values: Vec<_> = objects.iter().map(|object| object.value.as_deref()).collect();
    assert_eq!(values, [Some("two")], "the later object replaces the removal");
}

#[test]
fn lost_history() {
    let bench = start_bench();
    let version = bench.objects.put(KEY, "one", WriteCondition::Absent).unwrap();
    bench.objects.put("config/zones/a", "out", WriteCondition::Absent).unwrap();
    let (revision, _) = read_changes(&bench.objects, 0);
    bench.objects.delete(KEY, version).unwrap();
    bench.site.drop_history();
    let (_, objects) = read_changes(&bench.objects, revision);
    let gone = objects.iter().find(|object| object.key == KEY).unwrap();
    assert_eq!(gone.value, None, "a listing reports removed objects");
    assert!(gone.version > version);
}

#[test]
fn lost_answers() {
    let bench = start_bench();
    bench.site.set_mode(StoreMode::LoseWriteAnswers);
    let lost = bench.objects.put(KEY, "one", WriteCondition::Absent);
    assert!(matches!(lost, Err(PlatformError::Ambiguous(_))), "{lost:?}");
    let seen = bench.objects.get(KEY).unwrap().unwrap();
    let outcome = apply_change(&bench.objects, KEY, Some(&seen), Some("two")).unwrap();
    assert!(matches!(outcome, ChangeOutcome::Written(version) if version > seen.version));
}

#[test]
fn store_out_of_service() {
    let bench = start_bench();
    bench.site.set_mode(StoreMode::Unavailable);
    let refused = bench.objects.put(KEY, "one", WriteCondition::Absent);
    assert!(matches!(refused, Err(PlatformError::Unreachable(_))), "{refused:?}");
    assert!(matches!(bench.objects.get(KEY), Err(PlatformError::Unreachable(_))));
    bench.site.set_mode(StoreMode::Normal);
    assert_eq!(bench.objects.get(KEY), Ok(None), "a refused write did not run");
}

#[test]
fn foreign_content() {
    let bench = start_bench();
    bench.site.put(OWN_CONFIG_KIND, "classes/x", json!({"odd": 1}));
    let (_, objects) = read_changes(&bench.objects, 0);
    assert_eq!(objects[0].value.as_deref(), Some("{\"odd\":1}"));
}

/// Guards against operators' objects that count as removed, or that hide others, because the store
/// holds contents that cannot be read.
#[test]
fn refused_contents() {
    let bench = start_bench();
    bench.objects.put(KEY, "one", WriteCondition::Absent).unwrap();
    let (seen, _) = read_changes(&bench.objects, 0);
    bench.site.put_text(OWN_CONFIG_KIND, "classes/drafting", r#""\ud83d""#);
    bench.site.put_text(OWN_CONFIG_KIND, "classes/x", "1e999");
    bench.objects.put("config/classes/y", "two", WriteCondition::Absent).unwrap();
    let keys = |objects: Vec<StoredObject>| -> Vec<String> {
        objects.into_iter().map(|object| object.key).collect()
    };
    for after in [seen, 0] {
        let changes = bench.objects.changes("config/", after, Duration::ZERO).unwrap();
        assert_eq!(keys(changes.objects), ["config/classes/y"]);
        assert_eq!(changes.unreadable.len(), 2, "{:?}", changes.unreadable);
        assert!(changes.unreadable[0].contains("classes/drafting"), "{:?}", changes.unreadable);
    }
    let version = bench.objects.get(KEY).unwrap().unwrap().version;
    bench.objects.put(KEY, "three", WriteCondition::Version(version)).unwrap();
    assert_eq!(bench.objects.get(KEY).unwrap().unwrap().value.as_deref(), Some("three"));
    let vm = json!({"id": "e-1", "address": "10.0.0.1:7000", "zone": "a", "state": "live"});
    bench.site.put(VM_KIND, "e-1", vm);
    bench.site.put_text(VM_KIND, "e-0", "{\"id\":\"\\ud83d\"}");
    let listing = bench.objects.vms().unwrap();
    assert_eq!((listing.entries.len(), listing.unreadable.len()), (1, 1));
}

#[test]
fn vms_listed() {
    let bench = start_bench();
    let vm = json!({"id": "e-1", "address": "10.0.0.1:7000", "zone": "a", "state": "live"});
    bench.site.put(VM_KIND, "e-1", vm);
    assert_eq!(bench.objects.vms().unwrap().entries[0].id, "e-1");
    // An entry that cannot be used is named, and does not hide the others.
    bench.site.put(VM_KIND, "e-0", json!({"id": 7}));
    let listing = bench.objects.vms().unwrap();
    assert_eq!((listing.entries.len(), listing.unreadable.len()), (1, 1));
    assert_eq!(listing.entries[0].id, "e-1");
    assert!(listing.unreadable[0].contains("e-0"), "{listing:?}");
}

#[test]
fn invalid_url() {
    let error = PlatformStore::new("no address").err().unwrap();
    assert!(error.to_string().contains("no address"), "{error}");
}

/// Guards against a version that is lower than one of a lost change: the store gives revisions
/// out again after it came back.
#[test]
fn rising_versions() {
    let bench = start_bench();
    let first = bench.objects.put(KEY, "one", WriteCondition::Absent).unwrap();
    let copied = Instant::now();
    std::thread::sleep(Duration::from_millis(20));
    let lost = bench.objects.put(KEY, "two", WriteCondition::Version(first)).unwrap();
    restore(&bench, copied);
    let seen = bench.objects.get(KEY).unwrap().unwrap();
    assert_eq!((seen.value.as_deref(), seen.version), (Some("one"), first));
    let written = bench.objects.put(KEY, "three", WriteCondition::Version(first)).unwrap();
    assert!(written > lost, "{written} after {lost}");
    let read = bench.objects.get(KEY).unwrap().unwrap();
    assert_eq!((read.value.as_deref(), read.version), (Some("three"), written));
    let again = bench.objects.put(KEY, "four", WriteCondition::Version(written)).unwrap();
    assert!(again > written);
    assert!(bench.objects.delete(KEY, again).unwrap() > again);
}

/// Guards against a watch that misses changes, and against objects that are taken for removed
/// since the copy lacks them.
#[test]
fn returned_store() {
    let bench = start_bench();
    bench.objects.put(KEY, "one", WriteCondition::Absent).unwrap();
    let copied = Instant::now();
    std::thread::sleep(Duration::from_millis(20));
    bench.objects.put("config/zones/a", "lost", WriteCondition::Absent).unwrap();
    let (revision, _) = read_changes(&bench.objects, 0);
    restore(&bench, copied);
    let operator = PlatformStore::new(&bench.url).unwrap();
    operator.put("config/zones/b", "new", WriteCondition::Absent).unwrap();
    let changes = bench.objects.changes("config/", revision, Duration::ZERO).unwrap();
    assert!(changes.restored);
    let keys: Vec<&str> = changes.objects.iter().map(|object| object.key.as_str()).collect();
    assert_eq!(keys, [KEY, "config/zones/b"]);
    assert!(changes.objects.iter().all(|object| object.value.is_some()));
    let changes = bench.objects.changes("config/", changes.revision, Duration::ZERO).unwrap();
    assert!(!changes.restored && changes.objects.is_empty());
}

/// A write during which the store came back is not confirmed: its condition may have matched
/// another change.
#[test]
fn unconfirmed_write() {
    let bench = start_bench();
    let copied = Instant::now();
    std::thread::sleep(Duration::from_millis(20));
    let version = bench.objects.put(KEY, "mine", WriteCondition::Absent).unwrap();
    restore(&bench, copied);
    let other = PlatformStore::new(&bench.url).unwrap();
    assert_eq!(other.put(KEY, "other", WriteCondition::Absent).unwrap() & 0xffff, version & 0xffff);
    let written = bench.objects.put(KEY, "next", WriteCondition::Version(version));
    assert!(matches!(written, Err(PlatformError::Ambiguous(_))), "{written:?}");
}
