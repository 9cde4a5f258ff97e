//! Writes of single objects that survive lost answers and detect conflicting writers.

use cuminpick::ids::ObjectVersion;

use crate::ObjectStore;
use crate::PlatformError;
use crate::StoredObject;
use crate::WriteCondition;

/// Maximum number of times that a write is attempted while its outcome is unknown.
const MAX_ATTEMPTS: u32 = 4;

/// Outcome of a successful change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The change was written and has this version.
    Written(ObjectVersion),
    /// The object already had the requested value, at this version.
    Unchanged(ObjectVersion),
}

impl ChangeOutcome {
    /// Returns the version of the object with the requested value.
    pub fn version(self) -> ObjectVersion {
        match self {
            ChangeOutcome::Written(version) | ChangeOutcome::Unchanged(version) => version,
        }
    }
}

/// Writes `value`, or deletes the object for `None`, if the object is still as in `seen`.
///
/// If the answer to a write is lost, reads the object back: if it has the requested value, the
/// write counts as done; if it is unchanged, the write is attempted again. If another writer set
/// another value, returns [`PlatformError::Conflict`] and leaves that value in place.
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
    let mut ambiguous_error = None;
    for _ in 0..MAX_ATTEMPTS {
        match try_write(store, key, seen, value) {
            Ok(version) => return Ok(ChangeOutcome::Written(version)),
            Err(PlatformError::Conflict(version)) if ambiguous_error.is_none() => {
                return Err(PlatformError::Conflict(version));
            }
            Err(PlatformError::Conflict(_)) => {}
            Err(PlatformError::Ambiguous(detail)) => ambiguous_error = Some(detail),
            Err(error) if ambiguous_error.is_none() => return Err(error),
            Err(_) => {}
        }
        if let Ok(current) = store.get(key) {
            match write_effect(seen, value, current.as_ref()) {
                WriteEffect::Applied(version) => return Ok(ChangeOutcome::Written(version)),
                WriteEffect::Overwritten(version) => return Err(PlatformError::Conflict(version)),
                WriteEffect::Unchanged => {}
            }
        }
    }
    Err(PlatformError::Ambiguous(ambiguous_error.unwrap_or_default()))
}

/// Effect of a write whose outcome is unknown, as read back from the object.
enum WriteEffect {
    Applied(ObjectVersion),
    Overwritten(ObjectVersion),
    Unchanged,
}

fn write_effect(
    seen: Option<&StoredObject>,
    value: Option<&str>,
    current: Option<&StoredObject>,
) -> WriteEffect {
    let current_value = current.and_then(|object| object.value.as_deref());
    let current_version = current.map_or(0, |object| object.version);
    let seen_version = seen.map_or(0, |object| object.version);
    if current_value == value {
        return WriteEffect::Applied(current_version);
    }
    if current_version == seen_version {
        return WriteEffect::Unchanged;
    }
    WriteEffect::Overwritten(current_version)
}

fn try_write(
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
