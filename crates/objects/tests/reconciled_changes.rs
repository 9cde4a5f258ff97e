//! Writes of objects with lost requests, lost answers and concurrent writers.

use std::sync::Mutex;
use std::time::Duration;

use cuminpick_objects::ObjectChanges;
use cuminpick_objects::ObjectStore;
use cuminpick_objects::PlatformError;
use cuminpick_objects::StoredObject;
use cuminpick_objects::VmListing;
use cuminpick_objects::WriteCondition;
use cuminpick_objects::reconcile::ChangeOutcome;
use cuminpick_objects::reconcile::apply_change;

/// Fault that a write of the fake store meets.
#[derive(Debug, Clone, Copy, PartialEq)]
enum WriteFault {
    None,
    /// The request is lost, and the write does not take effect.
    RequestLost,
    /// The write takes effect, and its answer is lost.
    AnswerLost,
    /// Another writer changes the object first.
    Conflict,
    Unreachable,
}

#[derive(Default)]
struct FakeState {
    object: Option<StoredObject>,
    revision: u64,
    faults: Vec<WriteFault>,
    writes: u32,
}

#[derive(Default)]
struct FakeStore(Mutex<FakeState>);

impl FakeStore {
    fn with_faults(faults: &[WriteFault]) -> FakeStore {
        let state = FakeState { faults: faults.to_vec(), ..FakeState::default() };
        FakeStore(Mutex::new(state))
    }

    fn value(&self) -> Option<String> {
        self.0.lock().unwrap().object.as_ref()?.value.clone()
    }
}

impl FakeState {
    fn set_value(&mut self, value: Option<&str>) -> u64 {
        self.revision += 1;
        let version = self.revision;
        self.object = value.map(|value| StoredObject {
            key: "k".to_string(),
            version,
            value: Some(value.to_string()),
        });
        version
    }

    fn write(&mut self, value: Option<&str>, expected: u64) -> Result<u64, PlatformError> {
        let fault = if self.faults.is_empty() { WriteFault::None } else { self.faults.remove(0) };
        self.writes += 1;
        match fault {
            WriteFault::Unreachable => return Err(PlatformError::Unreachable("x".to_string())),
            WriteFault::RequestLost => return Err(PlatformError::Ambiguous("x".to_string())),
            WriteFault::Conflict => drop(self.set_value(Some("other"))),
            WriteFault::None | WriteFault::AnswerLost => {}
        }
        let current = self.object.as_ref().map_or(0, |object| object.version);
        if current != expected {
            return Err(PlatformError::Conflict(current));
        }
        let version = self.set_value(value);
        if fault == WriteFault::AnswerLost {
            return Err(PlatformError::Ambiguous("x".to_string()));
        }
        Ok(version)
    }
}

impl ObjectStore for FakeStore {
    fn get(&self, _: &str) -> Result<Option<StoredObject>, PlatformError> {
        Ok(self.0.lock().unwrap().object.clone())
    }

    fn changes(&self, _: &str, _: u64, _: Duration) -> Result<ObjectChanges, PlatformError> {
        Ok(ObjectChanges::default())
    }

    fn put(&self, _: &str, value: &str, condition: WriteCondition) -> Result<u64, PlatformError> {
        let expected = match condition {
            WriteCondition::Absent => 0,
            WriteCondition::Version(version) => version,
        };
        self.0.lock().unwrap().write(Some(value), expected)
    }

    fn delete(&self, _: &str, version: u64) -> Result<u64, PlatformError> {
        self.0.lock().unwrap().write(None, version)
    }

    fn vms(&self) -> Result<VmListing, PlatformError> {
        Ok(VmListing::default())
    }
}

fn write_with_faults(faults: &[WriteFault]) -> (Result<ChangeOutcome, PlatformError>, FakeStore) {
    let store = FakeStore::with_faults(faults);
    (apply_change(&store, "k", None, Some("mine")), store)
}

#[test]
fn undisturbed_write() {
    let (outcome, store) = write_with_faults(&[]);
    assert_eq!(outcome, Ok(ChangeOutcome::Written(1)));
    assert_eq!(store.value().as_deref(), Some("mine"));
}

#[test]
fn answer_lost() {
    let (outcome, store) = write_with_faults(&[WriteFault::AnswerLost]);
    assert_eq!(outcome, Ok(ChangeOutcome::Written(1)));
    assert_eq!(store.0.lock().unwrap().writes, 1, "the write is not made twice");
}

#[test]
fn request_lost() {
    let (outcome, store) = write_with_faults(&[WriteFault::RequestLost, WriteFault::AnswerLost]);
    assert_eq!(outcome, Ok(ChangeOutcome::Written(1)));
    assert_eq!(store.value().as_deref(), Some("mine"));
}

#[test]
fn concurrent_write() {
    let (outcome, store) = write_with_faults(&[WriteFault::Conflict]);
    assert_eq!(outcome, Err(PlatformError::Conflict(1)));
    assert_eq!(store.value().as_deref(), Some("other"));
}

#[test]
fn conflict_after_loss() {
    let (outcome, store) = write_with_faults(&[WriteFault::RequestLost, WriteFault::Conflict]);
    assert_eq!(outcome, Err(PlatformError::Conflict(1)));
    assert_eq!(store.value().as_deref(), Some("other"));
}

#[test]
fn all_requests_lost() {
    let (outcome, _) = write_with_faults(&[WriteFault::RequestLost; 9]);
    assert!(matches!(outcome, Err(PlatformError::Ambiguous(_))));
}

#[test]
fn platform_unreachable() {
    let (outcome, _) = write_with_faults(&[WriteFault::Unreachable]);
    assert!(matches!(outcome, Err(PlatformError::Unreachable(_))));
}

#[test]
fn unchanged_value() {
    let store = FakeStore::default();
    apply_change(&store, "k", None, Some("mine")).unwrap();
    let seen = store.get("k").unwrap();
    let again = apply_change(&store, "k", seen.as_ref(), Some("mine"));
    assert_eq!(again, Ok(ChangeOutcome::Unchanged(1)));
    assert_eq!(apply_change(&store, "k", seen.as_ref(), None), Ok(ChangeOutcome::Written(2)));
    assert_eq!(store.value(), None);
}
