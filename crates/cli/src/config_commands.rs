//! What operators state: classes' targets, and zones and servers in or out.

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

/// Fields of a class to set; `None` leaves a field as it is.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TargetFields {
    /// Service that runs the class.
    pub service: Option<String>,
    /// Share of answers that must meet the times.
    pub share: Option<f64>,
    /// Time to the first token or whole answer, in ms.
    pub first_token_ms: Option<u64>,
    /// Time between tokens, in ms; 0 removes it.
    pub token_gap_ms: Option<u64>,
    /// Whether a request may run more than once.
    pub repeatable: Option<bool>,
    /// Priority, 0 to 9.
    pub priority: Option<u8>,
}

/// Kind of thing that is taken out and brought back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StateKind {
    /// Availability zone.
    Zone,
    /// Backend server.
    Server,
}

impl StateKind {
    fn prefix(self) -> &'static str {
        match self {
            StateKind::Zone => ZONE_PREFIX,
            StateKind::Server => SERVER_PREFIX,
        }
    }

    fn name(self) -> &'static str {
        match self {
            StateKind::Zone => "availability zone",
            StateKind::Server => "backend server",
        }
    }
}

/// Creates a class or changes some of its targets.
pub fn set_target(
    store: &dyn ObjectStore,
    class: &str,
    fields: &TargetFields,
) -> Result<CommandReport, CommandError> {
    let key = format!("{CLASS_PREFIX}{class}");
    let seen = read(store, &key)?;
    let target = changed_target(class, seen.as_ref(), fields)?;
    let text = json!(target).to_string();
    let outcome = write(store, &key, seen.as_ref(), Some(&text))?;
    Ok(change_report(&format!("class {class}"), outcome, json!({"class": class, "target": target})))
}

/// Removes a class.
pub fn remove_target(store: &dyn ObjectStore, class: &str) -> Result<CommandReport, CommandError> {
    let key = format!("{CLASS_PREFIX}{class}");
    let seen = read(store, &key)?.ok_or_else(|| no_class(class))?;
    let outcome = write(store, &key, Some(&seen), None)?;
    Ok(change_report(&format!("class {class} removed"), outcome, json!({"class": class})))
}

/// Lists classes with their targets.
pub fn list_targets(store: &dyn ObjectStore) -> Result<CommandReport, CommandError> {
    let mut lines = vec![format!(
        "{:<20} {:<16} {:>6} {:>14} {:>12} {:>10} {:>8}",
        "CLASS", "SERVICE", "SHARE", "FIRST TOKEN ms", "TOKEN GAP ms", "REPEATABLE", "PRIORITY"
    )];
    let mut rows = Vec::new();
    for object in list(store, CLASS_PREFIX)? {
        let Some(class) = object.key.strip_prefix(CLASS_PREFIX) else {
            continue;
        };
        let Some(ConfigValue::Class(target)) = parsed(&object)? else {
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
    let key = format!("{}{name}", kind.prefix());
    let text = json!(StateValue { state }).to_string();
    parse_value(&key, &text)?;
    let seen = read(store, &key)?;
    let outcome = write(store, &key, seen.as_ref(), Some(&text))?;
    let subject = format!("{} {name} is {}", kind.name(), state_name(state));
    Ok(change_report(&subject, outcome, json!({"name": name, "state": state})))
}

/// Lists zones or backend servers that operators have stated something about.
pub fn list_states(
    store: &dyn ObjectStore,
    kind: StateKind,
) -> Result<CommandReport, CommandError> {
    let mut lines = Vec::new();
    let mut rows = Vec::new();
    for object in list(store, kind.prefix())? {
        let Some(name) = object.key.strip_prefix(kind.prefix()) else {
            continue;
        };
        let Some(ConfigValue::State(state)) = parsed(&object)? else {
            continue;
        };
        lines.push(format!("{name:<24} {}", state_name(state)));
        rows.push(json!({"name": name, "state": state, "version": object.version}));
    }
    if lines.is_empty() {
        lines.push(format!("no {} was ever taken out", kind.name()));
    }
    Ok(CommandReport { text: lines.join("\n"), json: Value::Array(rows) })
}

fn changed_target(
    class: &str,
    seen: Option<&StoredObject>,
    fields: &TargetFields,
) -> Result<ClassTarget, CommandError> {
    let key = format!("{CLASS_PREFIX}{class}");
    let old = match seen.and_then(|object| object.value.as_deref()) {
        Some(text) => match parse_value(&key, text)? {
            ConfigValue::Class(target) => Some(target),
            ConfigValue::State(_) => None,
        },
        None => None,
    };
    let missing = |option: &str| {
        CommandError::NotFound(format!("class {class} does not exist yet; give --{option} too"))
    };
    let old = old.as_ref();
    let service = fields.service.clone().or_else(|| old.map(|old| old.service.clone()));
    let first = fields.first_token_ms.or_else(|| old.map(|old| old.first_token_ms));
    let repeatable = fields.repeatable.or_else(|| old.map(|old| old.repeatable));
    let target = ClassTarget {
        service: service.ok_or_else(|| missing("service"))?,
        share: fields.share.or_else(|| old.map(|old| old.share)).unwrap_or(0.95),
        first_token_ms: first.ok_or_else(|| missing("first-token-ms"))?,
        token_gap_ms: match fields.token_gap_ms {
            Some(0) => None,
            Some(gap) => Some(gap),
            None => old.and_then(|old| old.token_gap_ms),
        },
        repeatable: repeatable.ok_or_else(|| missing("repeatable"))?,
        priority: fields.priority.or_else(|| old.map(|old| old.priority)).unwrap_or(5),
    };
    parse_value(&key, &json!(target).to_string())?;
    Ok(target)
}

fn read(store: &dyn ObjectStore, key: &str) -> Result<Option<StoredObject>, PlatformError> {
    store.get(&format!("{CONFIG_PREFIX}{key}"))
}

fn write(
    store: &dyn ObjectStore,
    key: &str,
    seen: Option<&StoredObject>,
    value: Option<&str>,
) -> Result<ChangeOutcome, PlatformError> {
    apply_change(store, &format!("{CONFIG_PREFIX}{key}"), seen, value)
}

/// Lists live objects under a configuration prefix, with the prefix of the
/// object API taken off, in the order of their keys.
fn list(store: &dyn ObjectStore, prefix: &str) -> Result<Vec<StoredObject>, PlatformError> {
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

fn parsed(object: &StoredObject) -> Result<Option<ConfigValue>, CommandError> {
    match &object.value {
        Some(text) => Ok(Some(parse_value(&object.key, text)?)),
        None => Ok(None),
    }
}

fn no_class(class: &str) -> CommandError {
    CommandError::NotFound(format!("no class {class}; list them with `cuminpick target list`"))
}

fn state_name(state: ServiceState) -> &'static str {
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
