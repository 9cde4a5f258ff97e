//! [`ObjectStore`] on the platform's metadata store.
//!
//! Objects with keys under [`CONFIG_PREFIX`] are kept as one kind of our own, and each VM
//! registers as an object of another. The store keeps no tombstones: a watch reports a removal
//! as an event, and after a listing removals are derived from the names that are missing.

use std::collections::BTreeSet;
use std::future::Future;
use std::net::ToSocketAddrs;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use cuminpick::ids::ObjectVersion;
use cuminpick::store_history::StorePosition;
use cuminpick_platform::call::CallError;
use cuminpick_platform::store::OWN_CONFIG_KIND;
use cuminpick_platform::store::ReadMode;
use cuminpick_platform::store::StoreChanges;
use cuminpick_platform::store::StoreClient;
use cuminpick_platform::store::StoreError;
use cuminpick_platform::store::StoreListing;
use cuminpick_platform::store::StoreObject;
use cuminpick_platform::store::VM_KIND;
use cuminpick_platform::store_era::EraTracker;
use serde_json::Value;

use crate::CONFIG_PREFIX;
use crate::ObjectChanges;
use crate::ObjectStore;
use crate::PlatformError;
use crate::StoredObject;
use crate::VmEntry;
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

/// Blocking client of the platform's metadata store.
pub struct PlatformStore {
    client: StoreClient,
    /// Names of the objects that existed at the last listing or watch, to detect removals.
    known_names: Mutex<BTreeSet<String>>,
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
        Ok(PlatformStore { client, known_names: Mutex::default() })
    }

    fn lock_known_names(&self) -> std::sync::MutexGuard<'_, BTreeSet<String>> {
        self.known_names.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn current_version(&self, name: &str) -> Result<ObjectVersion, PlatformError> {
        let object = block_on(self.client.get(OWN_CONFIG_KIND, name, ReadMode::Linearizable))?;
        Ok(object.map_err(convert_read_error)?.map_or(0, |object| object.revision))
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
        let mut known_names = self.lock_known_names();
        let removed =
            known_names.difference(&names).map(|name| tombstone(name, listing.position.revision));
        let mut objects: Vec<StoredObject> = removed.collect();
        *known_names = names;
        drop(known_names);
        objects.extend(listing.objects.iter().map(stored_object));
        objects.retain(|object| object.key.starts_with(prefix));
        objects.sort_by_key(|object| object.version);
        ObjectChanges { revision: listing.position.revision, objects }
    }

    fn changes_from_watch(&self, prefix: &str, changes: StoreChanges) -> ObjectChanges {
        let mut known_names = self.lock_known_names();
        let mut objects: Vec<StoredObject> = Vec::new();
        for event in changes.events {
            let name = &event.object.name;
            objects.retain(|object| object.key != object_key(name));
            if event.removed {
                known_names.remove(name);
                objects.push(tombstone(name, changes.position.revision));
            } else {
                known_names.insert(name.clone());
                objects.push(stored_object(&event.object));
            }
        }
        objects.retain(|object| object.key.starts_with(prefix));
        ObjectChanges { revision: changes.position.revision, objects }
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
            let position = StorePosition { era: self.client.eras().era(), revision: after };
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
        let content = Value::String(value.to_string());
        let written = match condition {
            WriteCondition::Absent => block_on(self.client.create(OWN_CONFIG_KIND, name, content))?,
            WriteCondition::Version(version) => {
                block_on(self.client.replace(OWN_CONFIG_KIND, name, version, content))?
            }
        };
        let object = written.map_err(|error| self.convert_write_error(name, error))?;
        Ok(object.revision)
    }

    fn delete(&self, key: &str, version: ObjectVersion) -> Result<ObjectVersion, PlatformError> {
        let name = object_name(key)?;
        let removed = block_on(self.client.remove(OWN_CONFIG_KIND, name, Some(version)))?;
        removed.map_err(|error| self.convert_write_error(name, error))?;
        // The store does not return the revision of a removal; it is later than `version`.
        Ok(version + 1)
    }

    fn vms(&self) -> Result<Vec<VmEntry>, PlatformError> {
        let listing = block_on(self.client.list(VM_KIND, ReadMode::Linearizable))?
            .map_err(convert_read_error)?;
        let decode = |object: StoreObject| {
            serde_json::from_value(object.content).map_err(|error| {
                PlatformError::Unreadable(format!("VM '{}': {error}", object.name))
            })
        };
        listing.objects.into_iter().map(decode).collect()
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

fn object_key(name: &str) -> String {
    format!("{CONFIG_PREFIX}{name}")
}

/// Converts an object of the store.
///
/// Content that is not a string was written by another program; its JSON text becomes the
/// value, which the reader then reports as invalid.
fn stored_object(object: &StoreObject) -> StoredObject {
    let value = match &object.content {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    StoredObject { key: object_key(&object.name), version: object.revision, value: Some(value) }
}

fn tombstone(name: &str, version: ObjectVersion) -> StoredObject {
    StoredObject { key: object_key(name), version, value: None }
}

fn convert_read_error(error: StoreError) -> PlatformError {
    match error {
        StoreError::Refused(RATE_LIMIT_STATUS) => PlatformError::RateLimited(RATE_LIMIT_PAUSE),
        StoreError::Refused(OUTAGE_STATUS) => {
            PlatformError::Unreachable("out of service".to_string())
        }
        StoreError::NoAnswer(error) => PlatformError::Unreachable(error.to_string()),
        other => PlatformError::Unreadable(other.to_string()),
    }
}
