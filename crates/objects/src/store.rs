//! The object API over the platform's store.
//!
//! Keys under [`CONFIG_PREFIX`] are objects of one kind of our own, and each VM
//! registers as an object of another. The store keeps no tombstones: a removal
//! reaches watchers as an event, and a listing shows it by what it lacks.

use std::collections::BTreeSet;
use std::future::Future;
use std::net::ToSocketAddrs;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use cuminpick::ids::ObjectVersion;
use cuminpick_platform::call::CallError;
use cuminpick_platform::store::OWN_CONFIG_KIND;
use cuminpick_platform::store::ReadMode;
use cuminpick_platform::store::StoreChanges;
use cuminpick_platform::store::StoreClient;
use cuminpick_platform::store::StoreError;
use cuminpick_platform::store::StoreListing;
use cuminpick_platform::store::StoreObject;
use cuminpick_platform::store::VM_KIND;
use serde_json::Value;

use crate::CONFIG_PREFIX;
use crate::ObjectChanges;
use crate::ObjectStore;
use crate::PlatformError;
use crate::StoredObject;
use crate::VmEntry;
use crate::WriteCondition;

/// Pause after a rate limit, which the store states no time for; its rates are
/// counted by the second.
const RATE_PAUSE: Duration = Duration::from_secs(1);
/// Status with which the store refuses calls above its rate.
const RATE_STATUS: u16 = 429;
/// Status with which the store refuses calls while it is out of service.
const OUTAGE_STATUS: u16 = 503;
/// Status of a write to an object that is gone.
const GONE_STATUS: u16 = 404;

/// Blocking client of the platform's store.
pub struct PlatformStore {
    client: StoreClient,
    /// Names that were last seen, so that a listing tells what was removed.
    known: Mutex<BTreeSet<String>>,
}

impl PlatformStore {
    /// Makes a client of the store at `base`, such as `http://10.0.0.9:7000`.
    pub fn new(base: &str) -> Result<PlatformStore, PlatformError> {
        let address = base.strip_prefix("http://").unwrap_or(base).trim_end_matches('/');
        let resolved = address.to_socket_addrs().ok().and_then(|mut all| all.next());
        let address = resolved.ok_or_else(|| {
            PlatformError::Unreadable(format!("'{base}' is not http://HOST:PORT of a store"))
        })?;
        Ok(PlatformStore { client: StoreClient::new(address), known: Mutex::default() })
    }

    fn known(&self) -> std::sync::MutexGuard<'_, BTreeSet<String>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn present_version(&self, name: &str) -> Result<ObjectVersion, PlatformError> {
        let object = run(self.client.get(OWN_CONFIG_KIND, name, ReadMode::Linearizable))?;
        Ok(object.map_err(read_error)?.map_or(0, |object| object.revision))
    }

    fn write_error(&self, name: &str, error: StoreError) -> PlatformError {
        match error {
            StoreError::Conflict | StoreError::Refused(GONE_STATUS) => {
                match self.present_version(name) {
                    Ok(version) => PlatformError::Conflict(version),
                    Err(error) => error,
                }
            }
            StoreError::NoAnswer(CallError::NotConnected(..)) | StoreError::Refused(_) => {
                read_error(error)
            }
            other => PlatformError::Ambiguous(other.to_string()),
        }
    }

    fn listed(&self, prefix: &str, listing: StoreListing) -> ObjectChanges {
        let names: BTreeSet<String> =
            listing.objects.iter().map(|object| object.name.clone()).collect();
        let mut known = self.known();
        let gone = known.difference(&names).map(|name| tombstone(name, listing.revision));
        let mut objects: Vec<StoredObject> = gone.collect();
        *known = names;
        drop(known);
        objects.extend(listing.objects.iter().map(stored));
        objects.retain(|object| object.key.starts_with(prefix));
        objects.sort_by_key(|object| object.version);
        ObjectChanges { revision: listing.revision, objects }
    }

    fn watched(&self, prefix: &str, changes: StoreChanges) -> ObjectChanges {
        let mut known = self.known();
        let mut objects: Vec<StoredObject> = Vec::new();
        for event in changes.events {
            let name = &event.object.name;
            objects.retain(|object| object.key != key_of(name));
            if event.removed {
                known.remove(name);
                objects.push(tombstone(name, changes.revision));
            } else {
                known.insert(name.clone());
                objects.push(stored(&event.object));
            }
        }
        objects.retain(|object| object.key.starts_with(prefix));
        ObjectChanges { revision: changes.revision, objects }
    }
}

impl ObjectStore for PlatformStore {
    fn get(&self, key: &str) -> Result<Option<StoredObject>, PlatformError> {
        let object = run(self.client.get(OWN_CONFIG_KIND, name_of(key)?, ReadMode::Linearizable))?;
        Ok(object.map_err(read_error)?.as_ref().map(stored))
    }

    fn changes(
        &self,
        prefix: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> Result<ObjectChanges, PlatformError> {
        if after > 0 {
            match run(self.client.watch(OWN_CONFIG_KIND, after, wait))? {
                Ok(changes) => return Ok(self.watched(prefix, changes)),
                Err(StoreError::HistoryGone) => {}
                Err(error) => return Err(read_error(error)),
            }
        }
        let listing = run(self.client.list(OWN_CONFIG_KIND, ReadMode::Linearizable))?;
        Ok(self.listed(prefix, listing.map_err(read_error)?))
    }

    fn put(
        &self,
        key: &str,
        value: &str,
        condition: WriteCondition,
    ) -> Result<ObjectVersion, PlatformError> {
        let name = name_of(key)?;
        let content = Value::String(value.to_string());
        let written = match condition {
            WriteCondition::Absent => run(self.client.create(OWN_CONFIG_KIND, name, content))?,
            WriteCondition::Version(version) => {
                run(self.client.replace(OWN_CONFIG_KIND, name, version, content))?
            }
        };
        let object = written.map_err(|error| self.write_error(name, error))?;
        Ok(object.revision)
    }

    fn delete(&self, key: &str, version: ObjectVersion) -> Result<ObjectVersion, PlatformError> {
        let name = name_of(key)?;
        let removed = run(self.client.remove(OWN_CONFIG_KIND, name, Some(version)))?;
        removed.map_err(|error| self.write_error(name, error))?;
        // The store names no revision of a removal; it is a later one.
        Ok(version + 1)
    }

    fn vms(&self) -> Result<Vec<VmEntry>, PlatformError> {
        let listing =
            run(self.client.list(VM_KIND, ReadMode::Linearizable))?.map_err(read_error)?;
        let decode = |object: StoreObject| {
            serde_json::from_value(object.content).map_err(|error| {
                PlatformError::Unreadable(format!("VM '{}': {error}", object.name))
            })
        };
        listing.objects.into_iter().map(decode).collect()
    }
}

/// Runs a call to its end on the calling thread.
fn run<F: Future>(call: F) -> Result<F::Output, PlatformError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| PlatformError::Unreachable(error.to_string()))?;
    Ok(runtime.block_on(call))
}

fn name_of(key: &str) -> Result<&str, PlatformError> {
    key.strip_prefix(CONFIG_PREFIX).ok_or_else(|| {
        PlatformError::Unreadable(format!("key '{key}' does not begin with '{CONFIG_PREFIX}'"))
    })
}

fn key_of(name: &str) -> String {
    format!("{CONFIG_PREFIX}{name}")
}

/// Content that is no text comes from another writer; whoever reads the value
/// reports that it is not valid.
fn stored(object: &StoreObject) -> StoredObject {
    let value = match &object.content {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    StoredObject { key: key_of(&object.name), version: object.revision, value: Some(value) }
}

fn tombstone(name: &str, version: ObjectVersion) -> StoredObject {
    StoredObject { key: key_of(name), version, value: None }
}

fn read_error(error: StoreError) -> PlatformError {
    match error {
        StoreError::Refused(RATE_STATUS) => PlatformError::RateLimited(RATE_PAUSE),
        StoreError::Refused(OUTAGE_STATUS) => {
            PlatformError::Unreachable("out of service".to_string())
        }
        StoreError::NoAnswer(error) => PlatformError::Unreachable(error.to_string()),
        other => PlatformError::Unreadable(other.to_string()),
    }
}
