//! Puts the operators' configuration in force.
//!
//! Which of two versions is newer is decided in [`cuminpick::config_order`].

use std::rc::Rc;
use std::time::Duration;

use cuminpick::config_order::ConfigDecision;
use cuminpick::config_order::ConfigStamp;
use cuminpick::ids::hash_value;
use cuminpick::routing::RoutingTable;
use cuminpick::store_history::StoreEra;
use cuminpick_platform::records::CONFIG_NAME;
use cuminpick_platform::records::decode_config;
use cuminpick_platform::store::StoreObject;
use slog::o;

use crate::state::Gateway;
use crate::store_return::settled_at;

/// A configuration that was read and decoded.
struct ReadConfig {
    stamp: ConfigStamp,
    table: RoutingTable,
}

/// Applies an object of the kind of the configuration as the store holds it.
pub fn apply_config(gateway: &Rc<Gateway>, object: &StoreObject) {
    if object.name != CONFIG_NAME {
        return;
    }
    let table = match decode_config(object) {
        Ok(table) => table,
        Err(error) => {
            let detail = error.to_string();
            gateway.journal.warn("config-ignored", o!("error" => detail));
            return;
        }
    };
    let stamp = stamp_config(gateway, object, table.version());
    let config = ReadConfig { stamp, table };
    let now = gateway.now();
    let apply_time = gateway.settings.bounds.config_apply;
    let decision = gateway.config_order.borrow_mut().offer(now, stamp, apply_time);
    match decision {
        ConfigDecision::Adopt => put_in_force(gateway, config, object.revision),
        ConfigDecision::InForce => {}
        ConfigDecision::Wait(until) => {
            log_lower(gateway, "config-waits", &stamp);
            let gateway = Rc::clone(gateway);
            let revision = object.revision;
            tokio::task::spawn_local(adopt_later(gateway, config, revision, until));
        }
        ConfigDecision::Older => log_lower(gateway, "config-older", &stamp),
    }
}

/// Returns the stamp of a configuration that was read from the store. One that the store listed
/// shortly after it came back, and that was not written since, is from the copy.
fn stamp_config(gateway: &Gateway, object: &StoreObject, version: u64) -> ConfigStamp {
    let era = gateway.store.eras().era();
    let is_new = gateway.is_written_since_return(object.revision);
    let is_settling = settled_at(gateway).is_some_and(|until| gateway.now() < until);
    ConfigStamp {
        version,
        digest: hash_value(&object.content),
        held_era: if is_settling && !is_new { earlier_era(era) } else { era },
        written_era: if is_new { era } else { 0 },
    }
}

fn earlier_era(era: StoreEra) -> StoreEra {
    era.saturating_sub(1)
}

fn log_lower(gateway: &Gateway, event: &'static str, stamp: &ConfigStamp) {
    let in_force = gateway.routing_table().map_or(0, |table| table.version());
    gateway.journal.warn(
        event,
        o!("version" => stamp.version, "in_force" => in_force, "held_era" => stamp.held_era,
           "written_era" => stamp.written_era),
    );
}

/// Puts a lower version in force at `until`, unless a newer one has arrived.
async fn adopt_later(gateway: Rc<Gateway>, config: ReadConfig, revision: u64, until: Duration) {
    tokio::time::sleep(until.saturating_sub(gateway.now())).await;
    let is_newest = gateway.config_order.borrow_mut().adopt_waiting(config.stamp);
    if is_newest {
        put_in_force(&gateway, config, revision);
    }
}

fn put_in_force(gateway: &Gateway, config: ReadConfig, revision: u64) {
    let ReadConfig { stamp, table } = config;
    let before = gateway.routing_table().map_or(0, |table| table.version());
    gateway.journal.note(
        "config-in-force",
        None,
        o!("version" => stamp.version, "before" => before, "routes" => table.route_count(),
           "revision" => revision, "written_era" => stamp.written_era),
    );
    let now = gateway.now();
    gateway.configured_at.set(gateway.configured_at.get().or(Some(now)));
    gateway.deadlines.borrow_mut().remove_idle(now);
    gateway.stream_lengths.borrow_mut().retain(|route| table.has_route(route));
    *gateway.routing.borrow_mut() = Some(Rc::new(table));
    gateway.capacity_changed.notify_waiters();
}
