//! Commands that read and write the configuration: latency targets of request classes,
//! and which availability zones and backend servers are in service.
//!
//! Each change is conditional on the version that was read, so that two operators
//! cannot overwrite each other's changes.

use cuminpick::config::CLASS_PREFIX;
use cuminpick::config::ClassTarget;
use cuminpick::config::ConfigValue;
use cuminpick::config::SERVER_PREFIX;
use cuminpick::config::ServiceState;
use cuminpick::config::StateValue;
use cuminpick::config::ZONE_PREFIX;
use cuminpick::config::parse_value;
use cuminpick_objects::CONFIG_PREFIX;
use cuminpick_objects::ObjectStore;
use cuminpick_objects::PlatformError;
use cuminpick_objects::StoredObject;
use cuminpick_objects::reconcile::ChangeOutcome;
use cuminpick_objects::reconcile::apply_change;
use serde_json::Value;
use serde_json::json;

use crate::report::CommandError;
use crate::report::CommandReport;

/// Fields of a class to set; `None` leaves a field unchanged.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TargetFields {
    /// Service that runs requests of the class.
    pub service: Option<String>,
    /// Fraction of answers that must meet the latency targets, above 0 and at most 1.
    pub share: Option<f64>,
    /// Target time to the first token, or to the whole answer if not streamed, in ms.
    pub first_token_ms: Option<u64>,
    /// Target time between tokens, in ms; 0 removes the target.
    pub token_gap_ms: Option<u64>,
    /// Whether a request may run more than once.
    pub repeatable: Option<bool>,
    /// Priority from 0 to 9; higher is served first.
    pub priority: Option<u8>,
}

/// Kind of object that can be taken out of service and brought back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StateKind {
    /// Availability zone.
    Zone,
    /// Backend server.
    Server,
}

impl StateKind {
    fn key_prefix(self) -> &'static str {
        match self {
            StateKind::Zone => ZONE_PREFIX,
            StateKind::Server => SERVER_PREFIX,
        }
    }

    fn label(self) -> &'static str {
        match self {
            StateKind::Zone => "availability zone",
            StateKind::Server => "backend server",
        }
    }
}

/// Creates a class or changes the given fields of an existing one.
pub fn set_target(
    store: &dyn ObjectStore,
    class: &str,
    fields: &TargetFields,
) -> Result<CommandReport, CommandError> {
    let key = format!("{CLASS_PREFIX}{class}");
    let current = read_object(store, &key)?;
    let target = merge_target(class, current.as_ref(), fields)?;
    let text = json!(target).to_string();
    let outcome = write_object(store, &key, current.as_ref(), Some(&text))?;
    Ok(change_report(&format!("class {class}"), outcome, json!({"class": class, "target": target})))
}

/// Removes a class; fails if it does not exist.
pub fn remove_target(store: &dyn ObjectStore, class: &str) -> Result<CommandReport, CommandError> {
    let key = format!("{CLASS_PREFIX}{class}");
    let current = read_object(store, &key)?.ok_or_else(|| class_not_found(class))?;
    let outcome = write_object(store, &key, Some(&current), None)?;
    Ok(change_report(&format!("class {class} removed"), outcome, json!({"class": class})))
}

/// Lists the classes with their targets.
pub fn list_targets(store: &dyn ObjectStore) -> Result<CommandReport, CommandError> {
    let mut lines = vec![format!(
        "{:<20} {:<16} {:>6} {:>14} {:>12} {:>10} {:>8}",
        "CLASS", "SERVICE", "SHARE", "FIRST TOKEN ms", "TOKEN GAP ms", "REPEATABLE", "PRIORITY"
    )];
    let mut rows = Vec::new();
    for object in list_objects(store, CLASS_PREFIX)? {
        let Some(class) = object.key.strip_prefix(CLASS_PREFIX) else {
            continue;
        };
        let Some(ConfigValue::Class(target)) = parse_object(&object)? else {
            continue;
        };
        let gap = target.token_gap_ms.map_or_else(|| "-".to_string(), |gap| gap.to_string());
        lines.push(format!(
            "{:<20} {:<16} {:>6} {:>14} {:>12} {:>10} {:>8}",
            class,
            target.service,
            target.share,
            target.first_token_ms,
            gap,
            target.repeatable,
            target.priority
        ));
        rows.push(json!({"class": class, "version": object.version, "target": target}));
    }
    Ok(CommandReport { text: lines.join("\n"), json: Value::Array(rows) })
}

/// Takes a zone or backend server out of service, or brings it back.
pub fn set_state(
    store: &dyn ObjectStore,
    kind: StateKind,
    name: &str,
    state: ServiceState,
) -> Result<CommandReport, CommandError> {
    let key = format!("{}{name}", kind.key_prefix());
    let text = json!(StateValue { state }).to_string();
    parse_value(&key, &text)?;
    let current = read_object(store, &key)?;
    let outcome = write_object(store, &key, current.as_ref(), Some(&text))?;
    let subject = format!("{} {name} is {}", kind.label(), state_label(state));
    Ok(change_report(&subject, outcome, json!({"name": name, "state": state})))
}

/// Lists the zones or backend servers whose state operators have ever set.
pub fn list_states(
    store: &dyn ObjectStore,
    kind: StateKind,
) -> Result<CommandReport, CommandError> {
    let mut lines = Vec::new();
    let mut rows = Vec::new();
    for object in list_objects(store, kind.key_prefix())? {
        let Some(name) = object.key.strip_prefix(kind.key_prefix()) else {
            continue;
        };
        let Some(ConfigValue::State(state)) = parse_object(&object)? else {
            continue;
        };
        lines.push(format!("{name:<24} {}", state_label(state)));
        rows.push(json!({"name": name, "state": state, "version": object.version}));
    }
    if lines.is_empty() {
        lines.push(format!("no {} has ever been taken out of service", kind.label()));
    }
    Ok(CommandReport { text: lines.join("\n"), json: Value::Array(rows) })
}

/// Merges `fields` into the current target of a class. A new class needs the fields
/// that have no default.
fn merge_target(
    class: &str,
    current: Option<&StoredObject>,
    fields: &TargetFields,
) -> Result<ClassTarget, CommandError> {
    let key = format!("{CLASS_PREFIX}{class}");
    let previous = match current.and_then(|object| object.value.as_deref()) {
        Some(text) => match parse_value(&key, text)? {
            ConfigValue::Class(target) => Some(target),
            ConfigValue::State(_) => None,
        },
        None => None,
    };
    let missing_option = |option: &str| {
        CommandError::NotFound(format!("class {class} does not exist yet; give --{option} too"))
    };
    let previous = previous.as_ref();
    let service = fields.service.clone().or_else(|| previous.map(|target| target.service.clone()));
    let first_token_ms =
        fields.first_token_ms.or_else(|| previous.map(|target| target.first_token_ms));
    let repeatable = fields.repeatable.or_else(|| previous.map(|target| target.repeatable));
    let target = ClassTarget {
        service: service.ok_or_else(|| missing_option("service"))?,
        share: fields.share.or_else(|| previous.map(|target| target.share)).unwrap_or(0.95),
        first_token_ms: first_token_ms.ok_or_else(|| missing_option("first-token-ms"))?,
        token_gap_ms: match fields.token_gap_ms {
            Some(0) => None,
            Some(gap) => Some(gap),
            None => previous.and_then(|target| target.token_gap_ms),
        },
        repeatable: repeatable.ok_or_else(|| missing_option("repeatable"))?,
        priority: fields.priority.or_else(|| previous.map(|target| target.priority)).unwrap_or(5),
    };
    parse_value(&key, &json!(target).to_string())?;
    Ok(target)
}

fn read_object(store: &dyn ObjectStore, key: &str) -> Result<Option<StoredObject>, PlatformError> {
    store.get(&format!("{CONFIG_PREFIX}{key}"))
}

fn write_object(
    store: &dyn ObjectStore,
    key: &str,
    current: Option<&StoredObject>,
    value: Option<&str>,
) -> Result<ChangeOutcome, PlatformError> {
    apply_change(store, &format!("{CONFIG_PREFIX}{key}"), current, value)
}

/// Lists the existing objects under a configuration prefix, sorted by key. The keys are
/// returned without the object API's own prefix.
fn list_objects(store: &dyn ObjectStore, prefix: &str) -> Result<Vec<StoredObject>, PlatformError> {
    let changes =
        store.changes(&format!("{CONFIG_PREFIX}{prefix}"), 0, std::time::Duration::ZERO)?;
    let mut objects: Vec<StoredObject> =
        changes.objects.into_iter().filter(|object| object.value.is_some()).collect();
    for object in &mut objects {
        object.key = object.key.trim_start_matches(CONFIG_PREFIX).to_string();
    }
    objects.sort_by(|left, right| left.key.cmp(&right.key));
    Ok(objects)
}

fn parse_object(object: &StoredObject) -> Result<Option<ConfigValue>, CommandError> {
    match &object.value {
        Some(text) => Ok(Some(parse_value(&object.key, text)?)),
        None => Ok(None),
    }
}

fn class_not_found(class: &str) -> CommandError {
    CommandError::NotFound(format!("no class {class}; list them with `cuminpick target list`"))
}

fn state_label(state: ServiceState) -> &'static str {
    match state {
        ServiceState::In => "in service",
        ServiceState::Out => "out of service",
    }
}

fn change_report(subject: &str, outcome: ChangeOutcome, details: Value) -> CommandReport {
    let version = outcome.version();
    let changed = matches!(outcome, ChangeOutcome::Written(_));
    let note = if changed { "accepted" } else { "unchanged" };
    let mut json = details;
    json["version"] = Value::from(version);
    json["changed"] = Value::from(changed);
    CommandReport { text: format!("{subject}: {note} as version {version}"), json }
}
