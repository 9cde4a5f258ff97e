//! Notices that the platform's store came back from an older copy.
//!
//! Any answer of the store shows it. Since watches may wait for long, each gateway reads its own
//! record now and then, and the first gateway that notices tells the others.

use std::rc::Rc;
use std::time::Duration;

use cuminpick::copy_filter::SETTLE_TIME;
use cuminpick::return_load::ReturnCalls;
use cuminpick::return_load::return_delay;
use cuminpick::store_history::StoreEra;
use cuminpick_platform::store::GATEWAY_KIND;
use cuminpick_platform::store::ReadMode;
use cuminpick_platform::store_era::EraChange;
use cuminpick_platform::store_era::EraStatus;
use slog::o;

use crate::state::Gateway;

/// Mean interval at which any of the gateways reads its record; each does so as many times more
/// seldom as there are gateways.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum mean interval at which each gateway reads its record.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(5);
/// Time for which the other gateways are told of a new era.
const ERA_NEWS_TIME: Duration = Duration::from_secs(10);

/// Acts on each change of the era, for as long as the process runs.
pub async fn follow_era(gateway: Rc<Gateway>) {
    let mut statuses = gateway.store.eras().subscribe();
    while statuses.changed().await.is_ok() {
        handle_era_changes(&gateway);
    }
}

/// Acts on the changes of the era that were not handled yet. What the store lists is applied
/// only after that.
pub fn handle_era_changes(gateway: &Gateway) {
    let status = gateway.store.eras().status();
    let handled = gateway.handled_era.replace(status);
    for change in status.changes_since(&handled) {
        handle_change(gateway, change, &status);
    }
}

/// Acts on the outages of the store that were not handled yet, so that servers whose records may
/// have expired meanwhile are kept.
pub fn handle_outages(gateway: &Gateway) {
    let contact = gateway.store.contact();
    let handled = gateway.handled_contact.replace(contact);
    let mut balance = gateway.balance.borrow_mut();
    if let Some(outage) = contact.last_outage()
        && handled.last_outage() != Some(outage)
    {
        balance.record_store_outage(outage);
        let now = gateway.now();
        gateway.journal.note(
            "missing-servers-kept",
            None,
            o!("reason" => "the store was unavailable",
               "outage_ms" => outage.until.saturating_sub(outage.since).as_millis() as u64,
               "kept_ms" => balance.kept_without_record(now).as_millis() as u64),
        );
    }
    if let Some(since) = contact.lost_at() {
        balance.record_store_loss(since);
    }
}

fn handle_change(gateway: &Gateway, change: EraChange, status: &EraStatus) {
    let era = status.known.era;
    match change {
        EraChange::Unreadable => {
            gateway.metrics.count_unreadable("era");
            gateway.journal.warn("era-unreadable", o!("answers" => status.unreadable));
        }
        EraChange::First => gateway.journal.note("era-learned", None, o!("era" => era)),
        EraChange::Restored => {
            let before = status.previous;
            gateway.journal.warn("store-restored", o!("era" => era, "before" => before));
            let now = gateway.now();
            let mut balance = gateway.balance.borrow_mut();
            balance.record_store_reconnect(now);
            let kept_for = balance.kept_without_record(now);
            gateway.journal.note(
                "missing-servers-kept",
                None,
                o!("reason" => "the store came back from an older copy",
                   "kept_ms" => kept_for.as_millis() as u64),
            );
            gateway.crash_update_due.notify_one();
            gateway.crash_record_changed.notify_one();
        }
    }
}

/// Returns until when what was known before the store came back stands against what it lists;
/// `None` if it did not, as far as this gateway and those that it asked know.
pub fn settled_at(gateway: &Gateway) -> Option<Duration> {
    let status = gateway.store.eras().status();
    let noticed = (status.returns > 0).then(|| status.known.since + SETTLE_TIME);
    noticed.max(gateway.inherited_settling.get())
}

/// Returns a random delay before this gateway makes calls that all gateways make after a return.
pub fn delay_after_return(gateway: &Gateway, calls: ReturnCalls) -> Duration {
    let gateways = gateway.balance.borrow().live_or_registered_gateways();
    return_delay(calls, gateways, gateway.settings.store_rates, gateway.random_share())
}

/// Returns the era that the other gateways are told, for some time after it rose.
pub fn era_news(gateway: &Gateway) -> Option<StoreEra> {
    let status = gateway.store.eras().status();
    let is_new = status.returns > 0 && gateway.now() < status.known.since + ERA_NEWS_TIME;
    is_new.then_some(status.known.era)
}

/// Has the era checked if another gateway knows of a higher one, and returns whether it does.
/// Only answers of the store change what is known.
pub fn apply_era_news(gateway: &Gateway, era: StoreEra) -> bool {
    let known = gateway.store.eras().era();
    let missed_return = known != 0 && era > known;
    if missed_return {
        gateway.era_check_due.notify_one();
    }
    missed_return
}

/// Reads this gateway's record at random intervals, and when another gateway knows of a higher era.
pub async fn probe_era(gateway: Rc<Gateway>) {
    loop {
        let gateways = gateway.balance.borrow().live_gateways() as u32;
        let interval = (PROBE_INTERVAL * gateways).min(MAX_PROBE_INTERVAL);
        let delay = interval.mul_f64(2.0 * gateway.random_share());
        let check_due = gateway.era_check_due.notified();
        let mode = match tokio::time::timeout(delay, check_due).await {
            Ok(()) => ReadMode::Linearizable,
            Err(_) => ReadMode::Stale,
        };
        // The era is recorded with any answer; that the store is away is logged by the watches.
        let _ = gateway.store.get(GATEWAY_KIND, &gateway.settings.node, mode).await;
    }
}
