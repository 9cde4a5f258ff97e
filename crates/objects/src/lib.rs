//! Operators' configuration objects and the list of VMs, as the platform stores them.
//!
//! [`ObjectStore`] is the interface; [`PlatformStore`] implements it on the platform's metadata
//! store, through the adapter in `platform/`. All writes are conditional on a version.
//! [`reconcile`] makes a change safe to repeat when the answer to a write is lost, and reports
//! conflicts with other writers.

pub mod reconcile;
pub mod store;

use std::time::Duration;

use cuminpick::ids::ObjectVersion;
use cuminpick::member::MemberRecord;
use cuminpick::member::MemberState;
use serde::Deserialize;
use serde::Serialize;

pub use crate::store::PlatformStore;

/// Key prefix of configuration objects.
pub const CONFIG_PREFIX: &str = "config/";

/// Failed call to the platform.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// The call did not reach the platform, or the platform rejected it before executing it.
    #[error("the platform cannot be reached ({0}); check its URL and try again")]
    Unreachable(String),
    /// The platform rejected the call because of its rate limit; may be repeated after this time.
    #[error("the platform's rate limit is exceeded; try again in {} ms", .0.as_millis())]
    RateLimited(Duration),
    /// The condition of a write did not hold; the object now has this version, or 0 if it does not
    /// exist.
    #[error(
        "the object was changed by another writer and now has version {0}; read it and try again"
    )]
    Conflict(ObjectVersion),
    /// No complete answer was received; a write may have taken effect.
    #[error(
        "the platform's answer was lost ({0}); read the object to see whether the write took effect"
    )]
    Ambiguous(String),
    /// The platform's answer, an object's content or an argument has an invalid format.
    #[error("the platform's answer cannot be read ({0}); check that its URL names an object API")]
    Unreadable(String),
}

/// Object of the platform, or the tombstone of a deleted one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredObject {
    /// Key, such as `config/classes/drafting`.
    pub key: String,
    /// Version of the last change; increases with each change of any object.
    pub version: ObjectVersion,
    /// Value as text; `None` for a tombstone.
    pub value: Option<String>,
}

/// Objects that changed after a version.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ObjectChanges {
    /// Version up to which changes are included; pass it to the next call.
    pub revision: ObjectVersion,
    /// Changed objects, oldest change first.
    pub objects: Vec<StoredObject>,
    /// Whether the platform came back from an older copy since the last call; `objects` are then
    /// all that it holds, and what is missing may be lost.
    #[serde(default)]
    pub restored: bool,
    /// Objects that cannot be read, each with its name and the reason; they keep their last values.
    #[serde(default)]
    pub unreadable: Vec<String>,
}

/// VMs of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct VmListing {
    /// Entries that can be used.
    pub entries: Vec<VmEntry>,
    /// Entries that cannot be used, each with its name and the reason. They hide no other.
    pub unreadable: Vec<String>,
}

/// State of a VM in the platform's list, which lags behind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM is being removed.
    Leaving,
}

/// VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Id of the member that runs on the VM.
    pub id: String,
    /// IP address and port of the member's gRPC server.
    pub address: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Service of the backend server on the VM; absent for an entry.
    #[serde(default)]
    pub service: Option<String>,
    /// State of the VM.
    pub state: VmState,
}

/// Condition under which a write takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteCondition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(ObjectVersion),
}

/// The platform's object API and VM list.
pub trait ObjectStore: Send + Sync {
    /// Reads an object; returns `None` if it does not exist or was deleted.
    fn get(&self, key: &str) -> Result<Option<StoredObject>, PlatformError>;

    /// Lists objects under `prefix` changed after `after`, tombstones included.
    ///
    /// If there are none, waits for one for up to `wait`.
    fn changes(
        &self,
        prefix: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> Result<ObjectChanges, PlatformError>;

    /// Writes an object and returns its new version.
    fn put(
        &self,
        key: &str,
        value: &str,
        condition: WriteCondition,
    ) -> Result<ObjectVersion, PlatformError>;

    /// Deletes an object and returns the tombstone's version.
    fn delete(&self, key: &str, version: ObjectVersion) -> Result<ObjectVersion, PlatformError>;

    /// Lists all VMs.
    fn vms(&self) -> Result<VmListing, PlatformError>;
}

/// Returns the member record of a listed VM.
///
/// Its incarnation and sequence are 0, since the list lags behind: any record from the member
/// itself takes precedence.
pub fn listed_record(vm: VmEntry) -> MemberRecord {
    let state = match vm.state {
        VmState::Live => MemberState::Live,
        VmState::Leaving => MemberState::Leaving,
    };
    MemberRecord {
        id: vm.id,
        address: vm.address,
        zone: vm.zone,
        service: vm.service,
        incarnation: 0,
        sequence: 0,
        state,
    }
}
