//! Configuration changes converge in any order of arrival, and never revert.

mod support;

use cuminpick::config::ClassTarget;
use cuminpick::config::ConfigError;
use cuminpick::config::ConfigObject;
use cuminpick::config::ConfigTable;
use cuminpick::ids::ChoiceRng;

use crate::support::schedules;

fn state_object(key: &str, version: u64, state: &str) -> ConfigObject {
    let value = Some(format!("{{\"state\":\"{state}\"}}"));
    ConfigObject { key: key.to_string(), version, value }
}

fn class_target() -> ClassTarget {
    ClassTarget {
        service: "model".to_string(),
        share: 0.95,
        first_token_ms: 830,
        token_gap_ms: Some(50),
        repeatable: true,
        priority: 4,
    }
}

#[test]
fn higher_version() {
    let mut table = ConfigTable::default();
    assert_eq!(table.merge(state_object("zones/bole", 7, "out")), Ok(true));
    assert_eq!(table.merge(state_object("zones/bole", 5, "in")), Ok(false));
    assert!(!table.is_zone_in_service("bole"));
    assert!(table.is_zone_in_service("merkato"));
}

#[test]
fn kept_tombstone() {
    let mut table = ConfigTable::default();
    let value = Some(serde_json::to_string(&class_target()).unwrap());
    let class = ConfigObject { key: "classes/drafting".to_string(), version: 3, value };
    table.merge(class.clone()).unwrap();
    assert!(table.class("drafting").is_some());
    table.merge(ConfigObject { version: 4, value: None, ..class.clone() }).unwrap();
    assert!(table.class("drafting").is_none());
    assert_eq!(table.merge(class), Ok(false));
    assert!(table.class("drafting").is_none());
}

#[test]
fn bad_values() {
    let mut table = ConfigTable::default();
    table.merge(state_object("zones/bole", 2, "out")).unwrap();
    assert!(matches!(
        table.merge(state_object("zones/bole", 3, "gone")),
        Err(ConfigError::InvalidValue { .. })
    ));
    assert!(!table.is_zone_in_service("bole"), "the old value stays in force");
    assert!(matches!(
        table.merge(state_object("zone/bole", 3, "in")),
        Err(ConfigError::InvalidKey(_))
    ));
    for bad in [
        ClassTarget { share: 0.0, ..class_target() },
        ClassTarget { share: f64::NAN, ..class_target() },
        ClassTarget { first_token_ms: 0, ..class_target() },
        ClassTarget { token_gap_ms: Some(0), ..class_target() },
        ClassTarget { priority: 10, ..class_target() },
        ClassTarget { service: String::new(), ..class_target() },
    ] {
        let value = Some(serde_json::to_string(&bad).unwrap());
        let object = ConfigObject { key: "classes/x".to_string(), version: 9, value };
        assert!(table.merge(object).is_err(), "{bad:?}");
    }
}

#[test]
fn random_orders() {
    bolero::check!().with_iterations(schedules()).with_type::<(u64, Vec<(u8, bool)>)>().for_each(
        |(seed, changes)| {
            let objects: Vec<ConfigObject> = changes
                .iter()
                .enumerate()
                .map(|(index, (key, out))| {
                    let word = if *out { "out" } else { "in" };
                    state_object(&format!("zones/z{}", key % 3), index as u64 + 1, word)
                })
                .collect();
            let mut ordered = ConfigTable::default();
            objects.iter().for_each(|object| drop(ordered.merge(object.clone())));
            let mut rng = ChoiceRng::new(*seed);
            let mut shuffled = ConfigTable::default();
            let mut newest = 0;
            for _ in 0..objects.len() * 4 {
                let object = &objects[rng.below(objects.len())];
                let before = shuffled.version_of(&object.key);
                shuffled.merge(object.clone()).unwrap();
                assert!(shuffled.version_of(&object.key) >= before, "reverted");
                assert!(shuffled.newest_version() >= newest);
                newest = shuffled.newest_version();
            }
            objects.iter().for_each(|object| drop(shuffled.merge(object.clone())));
            assert_eq!(shuffled.digest(), ordered.digest());
            for zone in ["z0", "z1", "z2"] {
                assert_eq!(shuffled.is_zone_in_service(zone), ordered.is_zone_in_service(zone));
            }
        },
    );
}

/// What a store has lost, compared with a table: changes, new objects and removals.
#[test]
fn lost_objects() {
    let mut table = ConfigTable::default();
    for (key, version) in [("zones/same", 1), ("zones/changed", 5), ("zones/new", 6)] {
        table.merge(state_object(key, version, "out")).unwrap();
    }
    let removal = |key: &str| ConfigObject { key: key.to_string(), version: 7, value: None };
    table.merge(removal("zones/removed")).unwrap();
    table.merge(removal("zones/long-gone")).unwrap();
    let listed = ["zones/same", "zones/changed", "zones/removed"].map(|key| {
        let version = if key == "zones/removed" { 2 } else { 1 };
        state_object(key, version, "in")
    });
    let mut lost: Vec<String> =
        table.lost_objects(&listed).into_iter().map(|object| object.key).collect();
    lost.sort();
    assert_eq!(lost, ["zones/changed", "zones/new", "zones/removed"]);
    let later = [state_object("zones/changed", 9, "in")];
    assert!(table.lost_objects(&later).iter().all(|object| object.key != "zones/changed"));
}
