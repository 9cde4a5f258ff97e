//! Configuration commands against an in-memory object store.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use cuminpick::config::ServiceState;
use cuminpick_cli::config_commands::StateKind;
use cuminpick_cli::config_commands::TargetFields;
use cuminpick_cli::config_commands::list_states;
use cuminpick_cli::config_commands::list_targets;
use cuminpick_cli::config_commands::remove_target;
use cuminpick_cli::config_commands::set_state;
use cuminpick_cli::config_commands::set_target;
use cuminpick_cli::report::CommandError;
use cuminpick_objects::ObjectChanges;
use cuminpick_objects::ObjectStore;
use cuminpick_objects::PlatformError;
use cuminpick_objects::StoredObject;
use cuminpick_objects::VmListing;
use cuminpick_objects::WriteCondition;

/// In-memory object store. The next write conflicts if `conflicting_value` is set, which is
/// stored first as another operator's change.
#[derive(Default)]
struct MemoryStore {
    objects: Mutex<BTreeMap<String, StoredObject>>,
    conflicting_value: Mutex<Option<String>>,
}

impl MemoryStore {
    fn write(
        &self,
        key: &str,
        value: Option<&str>,
        expected_version: u64,
    ) -> Result<u64, PlatformError> {
        let mut objects = self.objects.lock().unwrap();
        let newest_version = objects.values().map(|object| object.version).max().unwrap_or(0);
        if let Some(value) = self.conflicting_value.lock().unwrap().take() {
            let version = newest_version + 1;
            let object = StoredObject { key: key.to_string(), version, value: Some(value) };
            objects.insert(key.to_string(), object);
            return Err(PlatformError::Conflict(version));
        }
        let current = objects.get(key).filter(|object| object.value.is_some());
        let current_version = current.map_or(0, |object| object.version);
        if current_version != expected_version {
            return Err(PlatformError::Conflict(current_version));
        }
        let version = newest_version + 1;
        let value = value.map(str::to_string);
        objects.insert(key.to_string(), StoredObject { key: key.to_string(), version, value });
        Ok(version)
    }
}

impl ObjectStore for MemoryStore {
    fn get(&self, key: &str) -> Result<Option<StoredObject>, PlatformError> {
        let objects = self.objects.lock().unwrap();
        Ok(objects.get(key).filter(|object| object.value.is_some()).cloned())
    }

    fn changes(
        &self,
        prefix: &str,
        after: u64,
        _: Duration,
    ) -> Result<ObjectChanges, PlatformError> {
        let objects = self.objects.lock().unwrap();
        let matching = objects
            .values()
            .filter(|object| object.key.starts_with(prefix) && object.version > after);
        Ok(ObjectChanges { objects: matching.cloned().collect(), ..ObjectChanges::default() })
    }

    fn put(&self, key: &str, value: &str, condition: WriteCondition) -> Result<u64, PlatformError> {
        let expected_version = match condition {
            WriteCondition::Absent => 0,
            WriteCondition::Version(version) => version,
        };
        self.write(key, Some(value), expected_version)
    }

    fn delete(&self, key: &str, version: u64) -> Result<u64, PlatformError> {
        self.write(key, None, version)
    }

    fn vms(&self) -> Result<VmListing, PlatformError> {
        Ok(VmListing::default())
    }
}

fn drafting_fields() -> TargetFields {
    TargetFields {
        service: Some("model".to_string()),
        first_token_ms: Some(830),
        token_gap_ms: Some(50),
        repeatable: Some(true),
        ..TargetFields::default()
    }
}

#[test]
fn changed_target() {
    let store = MemoryStore::default();
    set_target(&store, "drafting", &drafting_fields()).unwrap();
    let priority_only = TargetFields { priority: Some(8), ..TargetFields::default() };
    set_target(&store, "drafting", &priority_only).unwrap();
    let listed = list_targets(&store).unwrap().json;
    assert_eq!(listed[0]["target"]["priority"], 8);
    assert_eq!(listed[0]["target"]["first_token_ms"], 830, "other fields stay unchanged");
    remove_target(&store, "drafting").unwrap();
    assert_eq!(list_targets(&store).unwrap().json.as_array().unwrap().len(), 0);
    assert_eq!(remove_target(&store, "drafting").unwrap_err().exit_status(), 1);
}

#[test]
fn refused_target() {
    let store = MemoryStore::default();
    let without_service = TargetFields { service: None, ..drafting_fields() };
    let error = set_target(&store, "drafting", &without_service).unwrap_err();
    assert!(error.to_string().contains("--service"), "{error}");
    for invalid in [
        TargetFields { share: Some(1.5), ..drafting_fields() },
        TargetFields { priority: Some(10), ..drafting_fields() },
        TargetFields { first_token_ms: Some(0), ..drafting_fields() },
    ] {
        assert_eq!(set_target(&store, "drafting", &invalid).unwrap_err().exit_status(), 6);
    }
    assert_eq!(set_target(&store, "a/b", &drafting_fields()).unwrap_err().exit_status(), 6);
    assert!(store.objects.lock().unwrap().is_empty(), "nothing was written");
}

#[test]
fn zone_out() {
    let store = MemoryStore::default();
    set_state(&store, StateKind::Zone, "bole", ServiceState::Out).unwrap();
    let repeated = set_state(&store, StateKind::Zone, "bole", ServiceState::Out).unwrap();
    assert_eq!(repeated.json["changed"], false);
    let listed = list_states(&store, StateKind::Zone).unwrap();
    assert!(listed.text.contains("bole") && listed.text.contains("out of service"));
    assert!(list_states(&store, StateKind::Server).unwrap().text.contains("no backend server"));
}

#[test]
fn lost_race() {
    let store = MemoryStore::default();
    *store.conflicting_value.lock().unwrap() = Some("{\"state\":\"in\"}".to_string());
    let error = set_state(&store, StateKind::Zone, "bole", ServiceState::Out).unwrap_err();
    assert!(matches!(error, CommandError::Platform(PlatformError::Conflict(_))));
    assert_eq!(error.exit_status(), 3);
    let listed = list_states(&store, StateKind::Zone).unwrap();
    assert!(listed.text.contains("in service"), "the other operator's change stands");
}
