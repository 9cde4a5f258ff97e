//! Changes that are carried through lost races and lost answers.

use cuminpick::ids::ObjectVersion;

use crate::ObjectStore;
use crate::PlatformError;
use crate::StoredObject;
use crate::WriteCondition;

/// Times that a change is tried again after an unclear answer.
const MAX_TRIES: u32 = 4;

/// What became of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The change was written under this version.
    Written(ObjectVersion),
    /// The object already had the wanted value under this version.
    Unchanged(ObjectVersion),
}

impl ChangeOutcome {
    /// Version under which the wanted value stands.
    pub fn version(self) -> ObjectVersion {
        match self {
            ChangeOutcome::Written(version) | ChangeOutcome::Unchanged(version) => version,
        }
    }
}

/// Writes `value` (or deletes, for `None`) if the object still is as `seen`.
///
/// An answer that was lost is settled by reading the object back: the wanted
/// value at a later version means that the write took effect. A race that was
/// lost to another value is [`PlatformError::Conflict`]; nothing was changed.
pub fn apply_change(
    store: &dyn ObjectStore,
    key: &str,
    seen: Option<&StoredObject>,
    value: Option<&str>,
) -> Result<ChangeOutcome, PlatformError> {
    let seen_value = seen.and_then(|object| object.value.as_deref());
    if seen_value == value {
        return Ok(ChangeOutcome::Unchanged(seen.map_or(0, |object| object.version)));
    }
    let mut doubtful = None;
    for _ in 0..MAX_TRIES {
        match write_once(store, key, seen, value) {
            Ok(version) => return Ok(ChangeOutcome::Written(version)),
            Err(PlatformError::Conflict(version)) if doubtful.is_none() => {
                return Err(PlatformError::Conflict(version));
            }
            Err(PlatformError::Conflict(_)) => {}
            Err(PlatformError::Ambiguous(detail)) => doubtful = Some(detail),
            Err(error) if doubtful.is_none() => return Err(error),
            Err(_) => {}
        }
        if let Ok(now) = store.get(key) {
            match settled(seen, value, now.as_ref()) {
                Settlement::Done(version) => return Ok(ChangeOutcome::Written(version)),
                Settlement::Lost(version) => return Err(PlatformError::Conflict(version)),
                Settlement::Untouched => {}
            }
        }
    }
    Err(PlatformError::Ambiguous(doubtful.unwrap_or_default()))
}

enum Settlement {
    Done(ObjectVersion),
    Lost(ObjectVersion),
    Untouched,
}

fn settled(
    seen: Option<&StoredObject>,
    value: Option<&str>,
    now: Option<&StoredObject>,
) -> Settlement {
    let now_value = now.and_then(|object| object.value.as_deref());
    let now_version = now.map_or(0, |object| object.version);
    let seen_version = seen.map_or(0, |object| object.version);
    if now_value == value {
        return Settlement::Done(now_version);
    }
    if now_version == seen_version {
        return Settlement::Untouched;
    }
    Settlement::Lost(now_version)
}

fn write_once(
    store: &dyn ObjectStore,
    key: &str,
    seen: Option<&StoredObject>,
    value: Option<&str>,
) -> Result<ObjectVersion, PlatformError> {
    match (seen, value) {
        (Some(object), Some(value)) => {
            store.put(key, value, WriteCondition::Version(object.version))
        }
        (None, Some(value)) => store.put(key, value, WriteCondition::Absent),
        (Some(object), None) => store.delete(key, object.version),
        (None, None) => Ok(0),
    }
}
