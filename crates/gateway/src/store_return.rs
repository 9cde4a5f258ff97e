//! Follows the era of the platform's store, which rises when the store comes back from an older
//! copy.

use std::rc::Rc;

use cuminpick_platform::store_era::EraChange;
use cuminpick_platform::store_era::EraStatus;
use slog::o;

use crate::state::Gateway;

/// Logs each change of the era, for as long as the process runs.
pub async fn follow_era(gateway: Rc<Gateway>) {
    let mut statuses = gateway.store.eras().subscribe();
    let mut logged = *statuses.borrow_and_update();
    while statuses.changed().await.is_ok() {
        let status = *statuses.borrow_and_update();
        for change in status.changes_since(&logged) {
            record_change(&gateway, change, &status);
        }
        logged = status;
    }
}

fn record_change(gateway: &Gateway, change: EraChange, status: &EraStatus) {
    let era = status.known.era;
    match change {
        EraChange::Unreadable => {
            gateway.metrics.count_unreadable("era");
            gateway.journal.warn("era-unreadable", o!("answers" => status.unreadable));
        }
        EraChange::First => gateway.journal.note("store-era", None, o!("era" => era)),
        EraChange::Restored => {
            let before = status.previous;
            gateway.journal.warn("store-restored", o!("era" => era, "before" => before));
        }
    }
}
