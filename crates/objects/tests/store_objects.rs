//! Operators' objects and VMs in the platform's store, over the stand-in's HTTP interface.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::time::Duration;

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
use serde_json::json;
use tokio::runtime::Runtime;

const LOCAL_IP: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const KEY: &str = "config/classes/drafting";

struct TestBench {
    _runtime: Runtime,
    site: SiteStore,
    objects: PlatformStore,
}

fn start_bench() -> TestBench {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap();
    let (site, address) = runtime.block_on(SiteStore::start(LOCAL_IP)).unwrap();
    let objects = PlatformStore::new(&format!("http://{address}")).unwrap();
    TestBench { _runtime: runtime, site, objects }
}

fn read_changes(objects: &PlatformStore, after: u64) -> (u64, Vec<StoredObject>) {
    let changes = objects.changes("config/", after, Duration::ZERO).unwrap();
    (changes.revision, changes.objects)
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

#[test]
fn vms_listed() {
    let bench = start_bench();
    let vm = json!({"id": "e-1", "address": "10.0.0.1:7000", "zone": "a", "state": "live"});
    bench.site.put(VM_KIND, "e-1", vm);
    assert_eq!(bench.objects.vms().unwrap()[0].id, "e-1");
    bench.site.put(VM_KIND, "e-2", json!({"id": 7}));
    let error = bench.objects.vms().unwrap_err();
    assert!(error.to_string().contains("e-2"), "{error}");
}

#[test]
fn invalid_url() {
    let error = PlatformStore::new("no address").err().unwrap();
    assert!(error.to_string().contains("no address"), "{error}");
}
