//! Configuration that operators state, merged object by object.
//!
//! Each object carries the version that the object API gave to its last change.
//! The higher version wins whatever the order of arrival, and a deletion stays
//! as a tombstone, so that nothing that was accepted reverts.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ClassName;
use crate::ids::FastMap;
use crate::ids::ObjectVersion;
use crate::ids::ServiceName;
use crate::ids::hash_parts;
use crate::ids::mix_bits;

/// Key prefix of class targets.
pub const CLASS_PREFIX: &str = "classes/";
/// Key prefix of availability zone states.
pub const ZONE_PREFIX: &str = "zones/";
/// Key prefix of backend server states.
pub const SERVER_PREFIX: &str = "servers/";
/// Longest name of a class, zone or server, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Lowest and highest priority of a class; higher is served first.
pub const PRIORITY_RANGE: std::ops::RangeInclusive<u8> = 0..=9;
/// Longest time that a target may state.
const MAX_TARGET_MS: u64 = 600_000;

/// What operators ask of one class of work.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassTarget {
    /// Service that runs the class.
    pub service: ServiceName,
    /// Share of answers that must meet the times below; above 0, at most 1.
    pub share: f64,
    /// Time to the first token or, for a whole answer, to the answer, in ms.
    pub first_token_ms: u64,
    /// Time between tokens, in ms; absent for classes that answer whole.
    #[serde(default)]
    pub token_gap_ms: Option<u64>,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Higher is served first, 0 to 9.
    pub priority: u8,
}

impl ClassTarget {
    /// Time to the first token.
    pub fn first_token(&self) -> Duration {
        Duration::from_millis(self.first_token_ms)
    }
}

/// Whether a zone or backend server takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceState {
    /// Takes new work.
    In,
    /// Takes no new work.
    Out,
}

/// Stored form of a zone's or backend server's state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StateValue {
    /// Whether new work is taken.
    pub state: ServiceState,
}

/// A change of one configuration object as it travels between processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigObject {
    /// Key in the object API.
    pub key: String,
    /// Version of the last change.
    pub version: ObjectVersion,
    /// JSON text; `None` for a deletion.
    pub value: Option<String>,
}

/// A configuration value that cannot be taken in.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum ConfigError {
    /// The key has no known prefix or a bad name.
    #[error(
        "key '{0}' is not a configuration key; use classes/, zones/ or servers/ and a name of 1 to 64 letters, digits, '-', '_' or '.'"
    )]
    InvalidKey(String),
    /// The value is not the JSON that the key asks for.
    #[error("value of '{key}' cannot be read: {detail}; write it with `cuminpick`")]
    InvalidValue {
        /// Key of the value.
        key: String,
        /// What is wrong with it.
        detail: String,
    },
}

/// A value, read and checked.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigValue {
    /// Targets of a class.
    Class(ClassTarget),
    /// State of a zone or backend server.
    State(ServiceState),
}

#[derive(Debug, Clone)]
struct ConfigRecord {
    object: ConfigObject,
    value: Option<ConfigValue>,
}

/// All configuration that a process knows.
#[derive(Debug, Clone, Default)]
pub struct ConfigTable {
    records: FastMap<String, ConfigRecord>,
    newest: ObjectVersion,
    digest: u64,
}

impl ConfigTable {
    /// Takes in a change; returns whether it was newer than what was known.
    ///
    /// A value that cannot be read is an error and leaves the old one in force.
    pub fn merge(&mut self, object: ConfigObject) -> Result<bool, ConfigError> {
        let old_version = self.version_of(&object.key);
        if object.version <= old_version {
            return Ok(false);
        }
        let value = match &object.value {
            Some(text) => Some(parse_value(&object.key, text)?),
            None => {
                split_key(&object.key)?;
                None
            }
        };
        self.digest ^= record_hash(&object.key, old_version);
        self.digest ^= record_hash(&object.key, object.version);
        self.newest = self.newest.max(object.version);
        let key = object.key.clone();
        self.records.insert(key, ConfigRecord { object, value });
        Ok(true)
    }

    /// Takes in changes; returns those that were news, and the texts of errors.
    pub fn merge_all(&mut self, objects: Vec<ConfigObject>) -> (Vec<ConfigObject>, Vec<String>) {
        let mut taken = Vec::new();
        let mut faults = Vec::new();
        for object in objects {
            match self.merge(object.clone()) {
                Ok(true) => taken.push(object),
                Ok(false) => {}
                Err(error) => faults.push(error.to_string()),
            }
        }
        (taken, faults)
    }

    /// Returns the version held for `key`, 0 when it is unknown.
    pub fn version_of(&self, key: &str) -> ObjectVersion {
        self.records.get(key).map_or(0, |record| record.object.version)
    }

    /// Returns the highest version held.
    pub fn newest_version(&self) -> ObjectVersion {
        self.newest
    }

    /// Whether no configuration is known yet.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns a hash of all keys and versions, equal for equal tables.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the targets of a class.
    pub fn class(&self, name: &str) -> Option<&ClassTarget> {
        match self.records.get(&class_key(name))?.value.as_ref()? {
            ConfigValue::Class(target) => Some(target),
            ConfigValue::State(_) => None,
        }
    }

    /// Lists classes and their targets.
    pub fn classes(&self) -> impl Iterator<Item = (ClassName, &ClassTarget)> {
        self.records.iter().filter_map(|(key, record)| {
            let name = key.strip_prefix(CLASS_PREFIX)?;
            match record.value.as_ref()? {
                ConfigValue::Class(target) => Some((name.to_string(), target)),
                ConfigValue::State(_) => None,
            }
        })
    }

    /// Whether operators let a zone take new work; unknown zones do.
    pub fn is_zone_in_service(&self, zone: &str) -> bool {
        self.state_in(&format!("{ZONE_PREFIX}{zone}"))
    }

    /// Whether operators let a backend server take new work; unknown ones do.
    pub fn is_server_in_service(&self, server: &str) -> bool {
        self.state_in(&format!("{SERVER_PREFIX}{server}"))
    }

    /// Returns the object under `key`, deletions included.
    pub fn object(&self, key: &str) -> Option<ConfigObject> {
        self.records.get(key).map(|record| record.object.clone())
    }

    /// Lists objects with a version above `version`, oldest first.
    pub fn objects_after(&self, version: ObjectVersion) -> Vec<ConfigObject> {
        let mut objects: Vec<ConfigObject> = self
            .records
            .values()
            .filter(|record| record.object.version > version)
            .map(|record| record.object.clone())
            .collect();
        objects.sort_by_key(|object| object.version);
        objects
    }

    fn state_in(&self, key: &str) -> bool {
        let value = self.records.get(key).and_then(|record| record.value.as_ref());
        !matches!(value, Some(ConfigValue::State(ServiceState::Out)))
    }
}

/// Returns the object key of a class.
pub fn class_key(name: &str) -> String {
    format!("{CLASS_PREFIX}{name}")
}

/// Checks and reads the JSON text of the object under `key`.
pub fn parse_value(key: &str, text: &str) -> Result<ConfigValue, ConfigError> {
    let (prefix, _) = split_key(key)?;
    if prefix != CLASS_PREFIX {
        let value: StateValue =
            serde_json::from_str(text).map_err(|error| bad_value(key, &error.to_string()))?;
        return Ok(ConfigValue::State(value.state));
    }
    let target: ClassTarget =
        serde_json::from_str(text).map_err(|error| bad_value(key, &error.to_string()))?;
    match find_target_error(&target) {
        Some(fault) => Err(bad_value(key, fault)),
        None => Ok(ConfigValue::Class(target)),
    }
}

/// Returns what is wrong with a class's targets, if anything.
pub fn find_target_error(target: &ClassTarget) -> Option<&'static str> {
    let gap_ms = target.token_gap_ms.unwrap_or(1);
    if !is_valid_name(&target.service) {
        return Some("service must be 1 to 64 letters, digits, '-', '_' or '.'");
    }
    if !(target.share > 0.0 && target.share <= 1.0) {
        return Some("share must be above 0 and at most 1");
    }
    if target.first_token_ms == 0 || target.first_token_ms > MAX_TARGET_MS {
        return Some("first_token_ms must be 1 to 600000");
    }
    if gap_ms == 0 || gap_ms > MAX_TARGET_MS {
        return Some("token_gap_ms must be 1 to 600000");
    }
    if !PRIORITY_RANGE.contains(&target.priority) {
        return Some("priority must be 0 to 9");
    }
    None
}

/// Whether `name` may name a class, zone, service or backend server.
pub fn is_valid_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(allowed)
}

fn split_key(key: &str) -> Result<(&'static str, &str), ConfigError> {
    for prefix in [CLASS_PREFIX, ZONE_PREFIX, SERVER_PREFIX] {
        if let Some(name) = key.strip_prefix(prefix)
            && is_valid_name(name)
        {
            return Ok((prefix, name));
        }
    }
    Err(ConfigError::InvalidKey(key.to_string()))
}

fn bad_value(key: &str, detail: &str) -> ConfigError {
    ConfigError::InvalidValue { key: key.to_string(), detail: detail.to_string() }
}

fn record_hash(key: &str, version: ObjectVersion) -> u64 {
    if version == 0 {
        return 0;
    }
    mix_bits(hash_parts(&[key.as_bytes(), &version.to_le_bytes()]))
}
