//! Configuration set by operators, merged object by object.
//!
//! Each object carries the version that the object API assigned to its last change. The
//! higher version wins in whatever order changes arrive, and a deletion is kept as a
//! tombstone, so that no accepted change is ever reverted.

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
/// Key prefix of the states of availability zones.
pub const ZONE_PREFIX: &str = "zones/";
/// Key prefix of the states of backend servers.
pub const SERVER_PREFIX: &str = "servers/";
/// Longest name of a class, zone, service, organisation or backend server, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Valid priorities of a class; higher ones are served first.
pub const PRIORITY_RANGE: std::ops::RangeInclusive<u8> = 0..=9;
/// Longest time that a target may set, in milliseconds.
const MAX_TARGET_MS: u64 = 600_000;

/// Service targets of one class of requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassTarget {
    /// Service that runs the requests of the class.
    pub service: ServiceName,
    /// Share of answers that must meet the times below; above 0, at most 1.
    pub share: f64,
    /// Time to the first token or, for an answer that is not streamed, to the answer, in ms.
    pub first_token_ms: u64,
    /// Time between tokens, in ms; absent for classes whose answers are not streamed.
    #[serde(default)]
    pub token_gap_ms: Option<u64>,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Priority, 0 to 9; higher ones are served first.
    pub priority: u8,
}

impl ClassTarget {
    /// Returns the target for the time to the first token.
    pub fn first_token(&self) -> Duration {
        Duration::from_millis(self.first_token_ms)
    }
}

/// Whether operators let a zone or backend server take new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceState {
    /// In service: takes new requests.
    In,
    /// Out of service: takes no new requests.
    Out,
}

/// Stored form of a zone's or backend server's state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StateValue {
    /// Whether new requests are accepted.
    pub state: ServiceState,
}

/// Newest version of a configuration object, as processes exchange it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigObject {
    /// Key in the object API.
    pub key: String,
    /// Version of the last change.
    pub version: ObjectVersion,
    /// Value as JSON text; `None` for a deletion.
    pub value: Option<String>,
}

/// Reason why a configuration object is rejected.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum ConfigError {
    /// The key has no known prefix or an invalid name.
    #[error(
        "key '{0}' is not a configuration key; use classes/, zones/ or servers/ and a name of 1 to 64 letters, digits, '-', '_' or '.'"
    )]
    InvalidKey(String),
    /// The value is not JSON of the form that its key requires.
    #[error("value of '{key}' cannot be read: {detail}; write it with `cuminpick`")]
    InvalidValue {
        /// Key of the value.
        key: String,
        /// Description of the error.
        detail: String,
    },
}

/// Parsed and validated value of a configuration object.
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

/// All configuration known to a process.
#[derive(Debug, Clone, Default)]
pub struct ConfigTable {
    records: FastMap<String, ConfigRecord>,
    newest: ObjectVersion,
    digest: u64,
}

impl ConfigTable {
    /// Applies a change; returns whether it was newer than the known version.
    ///
    /// An invalid key or value is an error and leaves the old value in force.
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

    /// Applies changes; returns those that were newer, and the texts of the errors of invalid ones.
    pub fn merge_all(&mut self, objects: Vec<ConfigObject>) -> (Vec<ConfigObject>, Vec<String>) {
        let mut accepted = Vec::new();
        let mut errors = Vec::new();
        for object in objects {
            match self.merge(object.clone()) {
                Ok(true) => accepted.push(object),
                Ok(false) => {}
                Err(error) => errors.push(error.to_string()),
            }
        }
        (accepted, errors)
    }

    /// Returns the known version of the object under `key`, 0 if there is none.
    pub fn version_of(&self, key: &str) -> ObjectVersion {
        self.records.get(key).map_or(0, |record| record.object.version)
    }

    /// Returns the highest version of all known objects, 0 if there is none.
    pub fn newest_version(&self) -> ObjectVersion {
        self.newest
    }

    /// Returns whether no configuration is known yet.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns a hash of all keys and versions; equal tables have equal hashes.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the targets of a class, unless it is unknown or deleted.
    pub fn class(&self, name: &str) -> Option<&ClassTarget> {
        match self.records.get(&class_key(name))?.value.as_ref()? {
            ConfigValue::Class(target) => Some(target),
            ConfigValue::State(_) => None,
        }
    }

    /// Iterates over classes and their targets.
    pub fn classes(&self) -> impl Iterator<Item = (ClassName, &ClassTarget)> {
        self.records.iter().filter_map(|(key, record)| {
            let name = key.strip_prefix(CLASS_PREFIX)?;
            match record.value.as_ref()? {
                ConfigValue::Class(target) => Some((name.to_string(), target)),
                ConfigValue::State(_) => None,
            }
        })
    }

    /// Returns whether a zone may take new requests; zones without a state may.
    pub fn is_zone_in_service(&self, zone: &str) -> bool {
        self.is_in_service(&format!("{ZONE_PREFIX}{zone}"))
    }

    /// Returns whether a backend server may take new requests; servers without a state may.
    pub fn is_server_in_service(&self, server: &str) -> bool {
        self.is_in_service(&format!("{SERVER_PREFIX}{server}"))
    }

    /// Returns the object under `key`; a deleted one has no value.
    pub fn object(&self, key: &str) -> Option<ConfigObject> {
        self.records.get(key).map(|record| record.object.clone())
    }

    /// Returns objects with a version above `version`, deletions included, oldest first.
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

    /// Returns the changes that a store has lost: objects that it lists with a lower version, or
    /// lacks, and removals of objects that it lists again.
    pub fn lost_objects(&self, listed: &[ConfigObject]) -> Vec<ConfigObject> {
        let listed: FastMap<&str, ObjectVersion> =
            listed.iter().map(|object| (object.key.as_str(), object.version)).collect();
        let known = self.records.values().map(|record| &record.object);
        let lost = known.filter(|object| match listed.get(object.key.as_str()) {
            Some(version) => *version < object.version,
            None => object.value.is_some(),
        });
        lost.cloned().collect()
    }

    fn is_in_service(&self, key: &str) -> bool {
        let value = self.records.get(key).and_then(|record| record.value.as_ref());
        !matches!(value, Some(ConfigValue::State(ServiceState::Out)))
    }
}

/// Returns the object key of a class.
pub fn class_key(name: &str) -> String {
    format!("{CLASS_PREFIX}{name}")
}

/// Parses and validates the JSON text of the object under `key`.
pub fn parse_value(key: &str, text: &str) -> Result<ConfigValue, ConfigError> {
    let (prefix, _) = split_key(key)?;
    if prefix != CLASS_PREFIX {
        let value: StateValue =
            serde_json::from_str(text).map_err(|error| invalid_value(key, &error.to_string()))?;
        return Ok(ConfigValue::State(value.state));
    }
    let target: ClassTarget =
        serde_json::from_str(text).map_err(|error| invalid_value(key, &error.to_string()))?;
    match find_target_error(&target) {
        Some(detail) => Err(invalid_value(key, detail)),
        None => Ok(ConfigValue::Class(target)),
    }
}

/// Returns a description of the first invalid target of a class, or `None` if all are valid.
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

/// Returns whether `name` is valid for a class, zone, service, organisation or backend server.
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

fn invalid_value(key: &str, detail: &str) -> ConfigError {
    ConfigError::InvalidValue { key: key.to_string(), detail: detail.to_string() }
}

fn record_hash(key: &str, version: ObjectVersion) -> u64 {
    if version == 0 {
        return 0;
    }
    mix_bits(hash_parts(&[key.as_bytes(), &version.to_le_bytes()]))
}
