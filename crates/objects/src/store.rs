//! [`ObjectStore`] on the platform's metadata store.
//!
//! Objects with keys under [`CONFIG_PREFIX`] are kept as one kind of our own, and each VM
//! registers as an object of another. The store keeps no tombstones: a watch reports a removal
//! as an event, and after a listing removals are derived from the names that are missing.
//!
//! The store may come back from an older copy and give revisions out again. From then on objects
//! are written with the store's era, and an object's version is made of both.

use std::collections::BTreeSet;
use std::future::Future;
use std::net::ToSocketAddrs;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use cuminpick::ids::ObjectVersion;
use cuminpick::store_history::StoreEra;
use cuminpick::store_history::StorePosition;
use cuminpick::store_history::lasting_number;
use cuminpick::store_history::revision_of;
use cuminpick_platform::call::CallError;
use cuminpick_platform::store::OWN_CONFIG_KIND;
use cuminpick_platform::store::ReadMode;
use cuminpick_platform::store::StoreChanges;
use cuminpick_platform::store::StoreClient;
use cuminpick_platform::store::StoreError;
use cuminpick_platform::store::StoreListing;
use cuminpick_platform::store::UnreadableEntry;
use cuminpick_platform::store::VM_KIND;
use cuminpick_platform::store_era::EraTracker;
use cuminpick_platform::stored_content::ReadObject;
use cuminpick_platform::stored_content::StoredContent;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::CONFIG_PREFIX;
use crate::ObjectChanges;
use crate::ObjectStore;
use crate::PlatformError;
use crate::StoredObject;
use crate::VmListing;
use crate::WriteCondition;

/// Time after which a rate-limited call may be repeated; the store states none, and its limits
/// are per second.
const RATE_LIMIT_PAUSE: Duration = Duration::from_secs(1);
/// HTTP status of calls above the store's rate limit.
const RATE_LIMIT_STATUS: u16 = 429;
/// HTTP status of calls while the store is out of service.
const OUTAGE_STATUS: u16 = 503;
/// HTTP status of a write to an object that does not exist.
const GONE_STATUS: u16 = 404;
/// Era from which on objects are written with it; the store has come back once by then.
const FIRST_STAMPED_ERA: StoreEra = 2;

/// Blocking client of the platform's metadata store.
pub struct PlatformStore {
    client: StoreClient,
    /// What the last listing or watch showed.
    seen: Mutex<SeenState>,
}

/// What a client saw of the store.
#[derive(Default)]
struct SeenState {
    /// Names of the objects that existed, to detect removals.
    names: BTreeSet<String>,
    /// Position from which the next watch continues.
    position: Option<StorePosition>,
    /// Number of the store's returns that were reported to the caller.
    reported_returns: u64,
}

/// Content of an object that was written after the store came back.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct StampedContent {
    value: String,
    era: StoreEra,
}

impl PlatformStore {
    /// Creates a client of the store at `url`, such as `http://10.0.0.9:7000`.
    pub fn new(url: &str) -> Result<PlatformStore, PlatformError> {
        let address = url.strip_prefix("http://").unwrap_or(url).trim_end_matches('/');
        let resolved = address.to_socket_addrs().ok().and_then(|mut all| all.next());
        let address = resolved.ok_or_else(|| {
            PlatformError::Unreadable(format!(
                "'{url}' is not a store's URL of the form http://HOST:PORT"
            ))
        })?;
        let client = StoreClient::new(address, EraTracker::default());
        Ok(PlatformStore { client, seen: Mutex::default() })
    }

    fn lock_seen(&self) -> std::sync::MutexGuard<'_, SeenState> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the era with which objects are written, 0 for none. Reads an object first if no
    /// call has been answered yet.
    fn writing_era(&self, name: &str) -> Result<StoreEra, PlatformError> {
        if self.client.eras().era() == 0 {
            self.current_version(name)?;
        }
        Ok(stamped_era(self.client.eras().era()))
    }

    /// Returns the result of a write, unless the store came back while it was made: then it may be
    /// lost, or have replaced another change.
    fn confirm_write<T>(&self, returns: u64, written: T) -> Result<T, PlatformError> {
        if self.client.eras().status().returns == returns {
            return Ok(written);
        }
        Err(PlatformError::Ambiguous(StoreError::Restored.to_string()))
    }

    fn current_version(&self, name: &str) -> Result<ObjectVersion, PlatformError> {
        let object = block_on(self.client.get(OWN_CONFIG_KIND, name, ReadMode::Linearizable))?;
        Ok(object.map_err(convert_read_error)?.map_or(0, |object| stored_object(&object).version))
    }

    fn convert_write_error(&self, name: &str, error: StoreError) -> PlatformError {
        match error {
            StoreError::Conflict | StoreError::Refused(GONE_STATUS) => {
                match self.current_version(name) {
                    Ok(version) => PlatformError::Conflict(version),
                    Err(error) => error,
                }
            }
            StoreError::NoAnswer(CallError::NotConnected(..)) | StoreError::Refused(_) => {
                convert_read_error(error)
            }
            other => PlatformError::Ambiguous(other.to_string()),
        }
    }

    fn changes_from_listing(&self, prefix: &str, listing: StoreListing) -> ObjectChanges {
        let names: BTreeSet<String> =
            listing.objects.iter().map(|object| object.name.clone()).collect();
        // An object that cannot be read keeps its last value; it was not removed.
        let unreadable = listing.unreadable.iter().filter_map(|entry| entry.name.clone());
        let names: BTreeSet<String> = names.into_iter().chain(unreadable).collect();
        let returns = self.client.eras().status().returns;
        let mut seen = self.lock_seen();
        let restored = returns != seen.reported_returns;
        let mut objects: Vec<StoredObject> = Vec::new();
        if restored {
            seen.names.extend(names);
        } else {
            let removed = seen.names.difference(&names);
            objects.extend(removed.map(|name| tombstone(name, listing.position)));
            seen.names = names;
        }
        seen.reported_returns = returns;
        seen.position = Some(listing.position);
        drop(seen);
        objects.extend(listing.objects.iter().map(stored_object));
        objects.retain(|object| object.key.starts_with(prefix));
        objects.sort_by_key(|object| object.version);
        let unreadable = describe_entries(&listing.unreadable);
        ObjectChanges { revision: listing.position.revision, objects, restored, unreadable }
    }

    fn changes_from_watch(&self, prefix: &str, changes: StoreChanges) -> ObjectChanges {
        let mut seen = self.lock_seen();
        let mut objects: Vec<StoredObject> = Vec::new();
        for event in changes.events {
            let name = &event.object.name;
            objects.retain(|object| object.key != object_key(name));
            if event.removed {
                seen.names.remove(name);
                objects.push(tombstone(name, changes.position));
            } else {
                seen.names.insert(name.clone());
                objects.push(stored_object(&event.object));
            }
        }
        seen.position = Some(changes.position);
        objects.retain(|object| object.key.starts_with(prefix));
        let unreadable = describe_entries(&changes.unreadable);
        ObjectChanges { revision: changes.position.revision, objects, restored: false, unreadable }
    }
}

impl ObjectStore for PlatformStore {
    fn get(&self, key: &str) -> Result<Option<StoredObject>, PlatformError> {
        let object =
            block_on(self.client.get(OWN_CONFIG_KIND, object_name(key)?, ReadMode::Linearizable))?;
        Ok(object.map_err(convert_read_error)?.as_ref().map(stored_object))
    }

    fn changes(
        &self,
        prefix: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> Result<ObjectChanges, PlatformError> {
        if after > 0 {
            let position = self.lock_seen().position.filter(|seen| seen.revision == after);
            let era = self.client.eras().era();
            let position = position.unwrap_or(StorePosition { era, revision: after });
            match block_on(self.client.watch(OWN_CONFIG_KIND, position, wait))? {
                Ok(changes) => return Ok(self.changes_from_watch(prefix, changes)),
                Err(StoreError::HistoryGone) => {}
                Err(error) => return Err(convert_read_error(error)),
            }
        }
        let listing = block_on(self.client.list(OWN_CONFIG_KIND, ReadMode::Linearizable))?;
        Ok(self.changes_from_listing(prefix, listing.map_err(convert_read_error)?))
    }

    fn put(
        &self,
        key: &str,
        value: &str,
        condition: WriteCondition,
    ) -> Result<ObjectVersion, PlatformError> {
        let name = object_name(key)?;
        let content = encode_content(value, self.writing_era(name)?);
        let returns = self.client.eras().status().returns;
        let written = match condition {
            WriteCondition::Absent => block_on(self.client.create(OWN_CONFIG_KIND, name, content))?,
            WriteCondition::Version(version) => {
                let revision = revision_of(version);
                block_on(self.client.replace(OWN_CONFIG_KIND, name, revision, content))?
            }
        };
        let object = written.map_err(|error| self.convert_write_error(name, error))?;
        self.confirm_write(returns, stored_object(&object).version)
    }

    fn delete(&self, key: &str, version: ObjectVersion) -> Result<ObjectVersion, PlatformError> {
        let name = object_name(key)?;
        let era = self.writing_era(name)?;
        let returns = self.client.eras().status().returns;
        let revision = revision_of(version);
        let removed = block_on(self.client.remove(OWN_CONFIG_KIND, name, Some(revision)))?;
        removed.map_err(|error| self.convert_write_error(name, error))?;
        // The store does not return the revision of a removal; it is later than `version`.
        self.confirm_write(returns, lasting_number(era, revision).max(version) + 1)
    }

    fn vms(&self) -> Result<VmListing, PlatformError> {
        let listing = block_on(self.client.list(VM_KIND, ReadMode::Linearizable))?
            .map_err(convert_read_error)?;
        let unreadable = describe_entries(&listing.unreadable);
        let mut vms = VmListing { entries: Vec::new(), unreadable };
        for object in listing.objects {
            match object.decode() {
                Ok(entry) => vms.entries.push(entry),
                Err(error) => vms.unreadable.push(format!("'{}': {error}", object.name)),
            }
        }
        Ok(vms)
    }
}

/// Blocks the calling thread until `call` is done.
fn block_on<F: Future>(call: F) -> Result<F::Output, PlatformError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| PlatformError::Unreachable(error.to_string()))?;
    Ok(runtime.block_on(call))
}

fn object_name(key: &str) -> Result<&str, PlatformError> {
    key.strip_prefix(CONFIG_PREFIX).ok_or_else(|| {
        PlatformError::Unreadable(format!("key '{key}' does not start with '{CONFIG_PREFIX}'"))
    })
}

/// Returns the names of entries that cannot be read, with the reasons.
fn describe_entries(entries: &[UnreadableEntry]) -> Vec<String> {
    let describe = |entry: &UnreadableEntry| {
        format!("'{}': {}", entry.name.as_deref().unwrap_or_default(), entry.detail)
    };
    entries.iter().map(describe).collect()
}

fn object_key(name: &str) -> String {
    format!("{CONFIG_PREFIX}{name}")
}

/// Returns the era with which an object is written in an era, 0 for none.
fn stamped_era(era: StoreEra) -> StoreEra {
    if era >= FIRST_STAMPED_ERA { era } else { 0 }
}

fn encode_content(value: &str, era: StoreEra) -> Value {
    if era == 0 {
        return Value::String(value.to_string());
    }
    json!(StampedContent { value: value.to_string(), era })
}

/// Converts an object of the store.
///
/// Content in neither of our forms was written by another program; its JSON text becomes the
/// value, which the reader then reports as invalid.
fn stored_object(object: &ReadObject) -> StoredObject {
    let (value, era) = match (object.decode::<String>(), object.decode::<StampedContent>()) {
        (Ok(text), _) => (text, 0),
        (_, Ok(stamped)) => (stamped.value, stamped.era),
        _ => (object.content.text(), 0),
    };
    let version = lasting_number(era, object.revision);
    StoredObject { key: object_key(&object.name), version, value: Some(value) }
}

fn tombstone(name: &str, position: StorePosition) -> StoredObject {
    let version = lasting_number(stamped_era(position.era), position.revision);
    StoredObject { key: object_key(name), version, value: None }
}

fn convert_read_error(error: StoreError) -> PlatformError {
    match error {
        StoreError::Refused(RATE_LIMIT_STATUS) => PlatformError::RateLimited(RATE_LIMIT_PAUSE),
        StoreError::Refused(OUTAGE_STATUS) => {
            PlatformError::Unreachable("out of service".to_string())
        }
        StoreError::NoAnswer(error) => PlatformError::Unreachable(error.to_string()),
        StoreError::Restored => PlatformError::Unreachable(StoreError::Restored.to_string()),
        other => PlatformError::Unreadable(other.to_string()),
    }
}
