//! What operators state, against a platform in memory.

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
use cuminpick_objects::VmEntry;
use cuminpick_objects::WriteCondition;

/// Object API in memory, which may lose one race.
#[derive(Default)]
struct MemoryStore {
    objects: Mutex<BTreeMap<String, StoredObject>>,
    race: Mutex<Option<String>>,
}

impl MemoryStore {
    fn write(&self, key: &str, value: Option<&str>, wanted: u64) -> Result<u64, PlatformError> {
        let mut objects = self.objects.lock().unwrap();
        let newest = objects.values().map(|object| object.version).max().unwrap_or(0);
        if let Some(value) = self.race.lock().unwrap().take() {
            let version = newest + 1;
            let object = StoredObject { key: key.to_string(), version, value: Some(value) };
            objects.insert(key.to_string(), object);
            return Err(PlatformError::Conflict(version));
        }
        let present = objects.get(key).filter(|object| object.value.is_some());
        let present = present.map_or(0, |object| object.version);
        if present != wanted {
            return Err(PlatformError::Conflict(present));
        }
        let version = newest + 1;
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
        let fitting = objects.values().filter(|o| o.key.starts_with(prefix) && o.version > after);
        Ok(ObjectChanges { revision: 0, objects: fitting.cloned().collect() })
    }

    fn put(&self, key: &str, value: &str, condition: WriteCondition) -> Result<u64, PlatformError> {
        let wanted = match condition {
            WriteCondition::Absent => 0,
            WriteCondition::Version(version) => version,
        };
        self.write(key, Some(value), wanted)
    }

    fn delete(&self, key: &str, version: u64) -> Result<u64, PlatformError> {
        self.write(key, None, version)
    }

    fn vms(&self) -> Result<Vec<VmEntry>, PlatformError> {
        Ok(Vec::new())
    }
}

fn drafting() -> TargetFields {
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
    set_target(&store, "drafting", &drafting()).unwrap();
    let priority = TargetFields { priority: Some(8), ..TargetFields::default() };
    set_target(&store, "drafting", &priority).unwrap();
    let listed = list_targets(&store).unwrap().json;
    assert_eq!(listed[0]["target"]["priority"], 8);
    assert_eq!(listed[0]["target"]["first_token_ms"], 830, "other targets stay");
    remove_target(&store, "drafting").unwrap();
    assert_eq!(list_targets(&store).unwrap().json.as_array().unwrap().len(), 0);
    assert_eq!(remove_target(&store, "drafting").unwrap_err().exit_status(), 1);
}

#[test]
fn refused_target() {
    let store = MemoryStore::default();
    let lacking = TargetFields { service: None, ..drafting() };
    let error = set_target(&store, "drafting", &lacking).unwrap_err();
    assert!(error.to_string().contains("--service"), "{error}");
    for bad in [
        TargetFields { share: Some(1.5), ..drafting() },
        TargetFields { priority: Some(10), ..drafting() },
        TargetFields { first_token_ms: Some(0), ..drafting() },
    ] {
        assert_eq!(set_target(&store, "drafting", &bad).unwrap_err().exit_status(), 6);
    }
    assert_eq!(set_target(&store, "a/b", &drafting()).unwrap_err().exit_status(), 6);
    assert!(store.objects.lock().unwrap().is_empty(), "nothing was written");
}

#[test]
fn zone_out() {
    let store = MemoryStore::default();
    set_state(&store, StateKind::Zone, "bole", ServiceState::Out).unwrap();
    let again = set_state(&store, StateKind::Zone, "bole", ServiceState::Out).unwrap();
    assert_eq!(again.json["changed"], false);
    let listed = list_states(&store, StateKind::Zone).unwrap();
    assert!(listed.text.contains("bole") && listed.text.contains("out of service"));
    assert!(list_states(&store, StateKind::Server).unwrap().text.contains("no backend server"));
}

#[test]
fn lost_race() {
    let store = MemoryStore::default();
    *store.race.lock().unwrap() = Some("{\"state\":\"in\"}".to_string());
    let error = set_state(&store, StateKind::Zone, "bole", ServiceState::Out).unwrap_err();
    assert!(matches!(error, CommandError::Platform(PlatformError::Conflict(_))));
    assert_eq!(error.exit_status(), 3);
    let listed = list_states(&store, StateKind::Zone).unwrap();
    assert!(listed.text.contains("in service"), "the other operator's change stands");
}
