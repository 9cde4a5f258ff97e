//! Decodes what a gateway uses of the store's objects, before it is applied.

use cuminpick::copy_filter::ListedServer;
use cuminpick::copy_filter::ListedZone;
use cuminpick::store_history::StoreRevision;
use cuminpick_platform::records::CONFIG_NAME;
use cuminpick_platform::records::CrashRecord;
use cuminpick_platform::records::RecordError;
use cuminpick_platform::records::decode_server;
use cuminpick_platform::stored_content::ReadObject;

/// Returns whether an object is the operators' configuration.
pub(crate) fn is_configuration(object: &ReadObject) -> bool {
    object.name == CONFIG_NAME
}

/// Decodes the record of a server.
pub(crate) fn list_server(object: &ReadObject) -> Result<ListedServer, RecordError> {
    let record = decode_server(object)?;
    Ok(ListedServer { record, revision: object.revision })
}

/// Decodes a zone that is taken out; its name is all that counts.
pub(crate) fn list_zone(object: &ReadObject) -> ListedZone {
    ListedZone { zone: object.name.clone(), revision: object.revision }
}

/// Crash record of a gateway, with its name and revision in the store.
pub(crate) struct ListedCrashes {
    /// Name of the gateway's VM.
    pub(crate) name: String,
    /// Revision of the record's last change.
    pub(crate) revision: StoreRevision,
    /// Crashes that the gateway noticed.
    pub(crate) record: CrashRecord,
}

/// Decodes the crash record of a gateway.
pub(crate) fn decode_crashes(object: &ReadObject) -> Result<ListedCrashes, RecordError> {
    let record = CrashRecord::decode(object)?;
    Ok(ListedCrashes { name: object.name.clone(), revision: object.revision, record })
}
