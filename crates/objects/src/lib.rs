//! The platform as a peer: operators' objects and the list of VMs.
//!
//! [`ObjectStore`] is the interface; [`PlatformStore`] keeps both in the
//! platform's store, through the adapter in `platform/`.
//! Writes are conditional. [`reconcile`] carries a change through lost races and
//! answers that were lost after the write took effect.

pub mod reconcile;
pub mod store;

use std::time::Duration;

use cuminpick::ids::ObjectVersion;
use cuminpick::member::MemberRecord;
use cuminpick::member::MemberState;
use serde::Deserialize;
use serde::Serialize;

pub use crate::store::PlatformStore;

/// Prefix of configuration objects in the object API.
pub const CONFIG_PREFIX: &str = "config/";

/// A call to the platform that failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// The call did not reach the platform, or it was turned away before it ran.
    #[error("the platform cannot be reached ({0}); check its URL and try again")]
    Unreachable(String),
    /// The platform limits the rate of calls.
    #[error("the platform limits the rate of calls; try again in {} ms", .0.as_millis())]
    RateLimited(Duration),
    /// The condition did not hold; the object now has this version (0: none).
    #[error("the object was changed meanwhile and now has version {0}; read it and try again")]
    Conflict(ObjectVersion),
    /// The answer was lost; a write may have taken effect.
    #[error(
        "the platform's answer was lost ({0}); read the object to see whether the write took effect"
    )]
    Ambiguous(String),
    /// The platform answered something that this version does not understand.
    #[error("the platform's answer cannot be read ({0}); check that its URL names an object API")]
    Unreadable(String),
}

/// An object, or the tombstone of one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredObject {
    /// Key.
    pub key: String,
    /// Version of the last change; grows over all objects.
    pub version: ObjectVersion,
    /// Text of the value; `None` for a tombstone.
    pub value: Option<String>,
}

/// Objects changed after a version.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ObjectChanges {
    /// Version up to which changes are included.
    pub revision: ObjectVersion,
    /// Changed objects, oldest change first.
    pub objects: Vec<StoredObject>,
}

/// Life of a VM as the platform's lagging list tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// Runs.
    Live,
    /// Is being taken away.
    Leaving,
}

/// A VM of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Identity of the member that runs on it.
    pub id: String,
    /// IP and port of the member's tonic server.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Service of the backend server; absent for an entry.
    #[serde(default)]
    pub service: Option<String>,
    /// Life.
    pub state: VmState,
}

/// Condition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteCondition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(ObjectVersion),
}

/// The platform's object API and VM list.
pub trait ObjectStore: Send + Sync {
    /// Reads an object; tombstones count as absent.
    fn get(&self, key: &str) -> Result<Option<StoredObject>, PlatformError>;

    /// Lists objects under `prefix` changed after `after`, tombstones included.
    ///
    /// With a `wait`, an empty answer is held back until a change or the end of it.
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

    /// Lists VMs.
    fn vms(&self) -> Result<Vec<VmEntry>, PlatformError>;
}

/// A record from the lagging list: older than anything that a member says itself.
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
