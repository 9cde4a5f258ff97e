//! Keeps the crashes that each gateway noticed in the platform's store, one record per gateway.

use std::rc::Rc;
use std::time::Duration;

use cuminpick::crash_detection::ServerIncarnation;
use cuminpick::ids::RequestDigest;
use cuminpick::ids::ServerId;
use cuminpick::quarantine::CRASH_RETENTION;
use cuminpick::quarantine::CrashReport;
use cuminpick::return_load::ReturnCalls;
use cuminpick::store_history::StoreRevision;
use cuminpick_platform::records::CrashRecord;
use cuminpick_platform::records::StoredCrash;
use cuminpick_platform::store::CRASH_KIND;
use cuminpick_platform::store::ReadMode;
use cuminpick_platform::store::StoreClient;
use cuminpick_platform::store::StoreError;
use slog::o;

use crate::crash_tracking::record_crash;
use crate::crash_tracking::unix_millis;
use crate::part_tracking::apply_stored_part_crashes;
use crate::part_tracking::stored_part_crashes;
use crate::state::Gateway;
use crate::store_return::delay_after_return;
use crate::unreadable_records::RecordLog;

/// Delay before a write, so that simultaneous crashes are written together. It is a sixth
/// of the time within which all gateways have to know of a crash.
const WRITE_DELAY: Duration = Duration::from_millis(500);
/// Delay before a failed write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(700);
/// Maximum number of crashes in a gateway's record; at 90 bytes each, the record stays far
/// below the store's limit of 1 MB.
const MAX_STORED_CRASHES: usize = 256;

/// Applies a gateway's record from the store, which may be the one that this gateway wrote
/// before it was restarted. Of a longer record than gateways write, the rest is left out.
pub fn apply_crash_record(gateway: &Gateway, owner: &str, record: CrashRecord) {
    let now = gateway.now();
    let wall_ms = unix_millis(gateway);
    let noticed_here = owner == gateway.settings.node;
    for crash in record.crashes.into_iter().take(MAX_STORED_CRASHES) {
        let age = Duration::from_millis(wall_ms.saturating_sub(crash.noticed_ms));
        let incarnation = ServerIncarnation { server: crash.server, started_ms: crash.started_ms };
        let noticed_at = now.saturating_sub(age);
        record_crash(
            gateway,
            CrashReport { digest: crash.digest, incarnation, noticed_at },
            noticed_here,
        );
    }
    let part_crashes = record.part_crashes.into_iter().take(MAX_STORED_CRASHES);
    apply_stored_part_crashes(gateway, part_crashes, wall_ms, noticed_here);
}

/// Keeps this gateway's record in the store up to date for as long as the process runs.
pub async fn maintain_crash_record(gateway: Rc<Gateway>) {
    let store = gateway.store.clone();
    let mut revision = None;
    let mut written = CrashRecord::default();
    let mut known_returns = 0;
    loop {
        gateway.crash_record_changed.notified().await;
        tokio::time::sleep(WRITE_DELAY).await;
        let returns = store.eras().status().returns;
        if returns != known_returns {
            known_returns = returns;
            tokio::time::sleep(delay_after_return(&gateway, ReturnCalls::OwnRecords)).await;
            written = CrashRecord::default();
            revision = load_own_record(&gateway, &store).await;
        }
        loop {
            let record = local_crash_record(&gateway);
            if same_crashes(&record, &written) {
                break;
            }
            match write_record(&gateway, &store, revision, &record).await {
                Ok(next) => {
                    revision = next;
                    written = record;
                }
                Err(StoreError::Conflict) => revision = load_own_record(&gateway, &store).await,
                Err(error) => {
                    let detail = error.to_string();
                    gateway.journal.warn("crashes-not-stored", o!("error" => detail));
                    tokio::time::sleep(RETRY_DELAY).await;
                    // A write that was not confirmed may still have been applied.
                    revision = load_own_record(&gateway, &store).await;
                }
            }
        }
    }
}

/// Creates, replaces or, when no crash is left, removes this gateway's record; returns the
/// new revision.
async fn write_record(
    gateway: &Gateway,
    store: &StoreClient,
    revision: Option<StoreRevision>,
    record: &CrashRecord,
) -> Result<Option<StoreRevision>, StoreError> {
    let node = &gateway.settings.node;
    let object = match revision {
        Some(_) if record.crashes.is_empty() && record.part_crashes.is_empty() => {
            store.remove(CRASH_KIND, node, revision).await?;
            return Ok(None);
        }
        None => store.create(CRASH_KIND, node, record.encode()).await?,
        Some(revision) => store.replace(CRASH_KIND, node, revision, record.encode()).await?,
    };
    Ok(Some(object.revision))
}

/// Removes another gateway's record whose crashes are all outdated, such as that of a VM
/// that was removed.
pub async fn remove_outdated_record(gateway: Rc<Gateway>, name: String, revision: StoreRevision) {
    let removed = gateway.store.remove(CRASH_KIND, &name, Some(revision)).await;
    if let Err(error) = removed {
        let detail = error.to_string();
        gateway.journal.note(
            "record-not-removed",
            None,
            o!("kind" => CRASH_KIND, "name" => name, "error" => detail),
        );
    }
}

/// Returns whether all crashes of a record are too old to count.
pub fn is_outdated(gateway: &Gateway, record: &CrashRecord) -> bool {
    let oldest_ms = unix_millis(gateway).saturating_sub(CRASH_RETENTION.as_millis() as u64);
    record.crashes.iter().all(|crash| crash.noticed_ms < oldest_ms)
        && record.part_crashes.iter().all(|crash| crash.noticed_ms < oldest_ms)
}

/// Reads and applies this gateway's record; returns its revision.
async fn load_own_record(gateway: &Gateway, store: &StoreClient) -> Option<StoreRevision> {
    let node = &gateway.settings.node;
    match store.get(CRASH_KIND, node, ReadMode::Linearizable).await {
        Ok(object) => {
            let object = object?;
            match CrashRecord::decode(&object) {
                Ok(record) => apply_crash_record(gateway, node, record),
                Err(error) => RecordLog::new(gateway, CRASH_KIND).log_unusable(&error),
            }
            Some(object.revision)
        }
        Err(error) => {
            let detail = error.to_string();
            gateway.journal.warn("crashes-not-read", o!("error" => detail));
            None
        }
    }
}

fn local_crash_record(gateway: &Gateway) -> CrashRecord {
    let now = gateway.now();
    let wall_ms = unix_millis(gateway);
    let crashes = gateway.quarantine.borrow().local_crashes(MAX_STORED_CRASHES);
    let stored = crashes.into_iter().map(|crash| StoredCrash {
        digest: crash.digest,
        server: crash.incarnation.server,
        started_ms: crash.incarnation.started_ms,
        noticed_ms: wall_ms.saturating_sub(now.saturating_sub(crash.noticed_at).as_millis() as u64),
    });
    CrashRecord {
        crashes: stored.collect(),
        part_crashes: stored_part_crashes(gateway, wall_ms, MAX_STORED_CRASHES),
    }
}

/// Returns whether two records hold the same crashes. Times are not compared, since they
/// are recomputed for each record.
fn same_crashes(left: &CrashRecord, right: &CrashRecord) -> bool {
    let keys = |record: &CrashRecord| -> Vec<(RequestDigest, ServerId, u64)> {
        let crashes = record.crashes.iter();
        let mut keys: Vec<_> =
            crashes.map(|crash| (crash.digest, crash.server.clone(), crash.started_ms)).collect();
        keys.extend(
            record
                .part_crashes
                .iter()
                .map(|crash| (crash.part, crash.server.clone(), crash.started_ms)),
        );
        keys.sort_unstable();
        keys
    };
    keys(left) == keys(right)
}
