//! Puts the operators' configuration in force.
//!
//! Which of two versions is newer is decided in [`cuminpick::config_order`].

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cuminpick::config_order::ConfigDecision;
use cuminpick::config_order::ConfigStamp;
use cuminpick::config_order::ReadVersion;
use cuminpick::ids::hash_value;
use cuminpick::routing::ConfigVersion;
use cuminpick::routing::RoutingTable;
use cuminpick::store_history::StoreRevision;
use cuminpick_platform::records::CONFIG_NAME;
use cuminpick_platform::records::decode_config;
use cuminpick_platform::store::CONFIG_KIND;
use cuminpick_platform::store::StoreObject;
use cuminpick_platform::stored_content::ReadObject;
use serde_json::Value;
use slog::o;

use crate::peer_views::SharedConfig;
use crate::state::Gateway;
use crate::store_return::settled_at;

/// A configuration that was read and decoded.
struct ReadConfig {
    stamp: ConfigStamp,
    content: Value,
    table: RoutingTable,
    /// Where it was read: `store`, or the address of a gateway.
    source: String,
}

/// Applies the object of the configuration as the store holds it.
pub fn apply_config(gateway: &Rc<Gateway>, object: &ReadObject) {
    let table = match decode_config(object) {
        Ok(table) => table,
        Err(error) => {
            let detail = error.to_string();
            gateway.metrics.count_unreadable(CONFIG_KIND);
            gateway.journal.warn("config-ignored", o!("error" => detail));
            return;
        }
    };
    let content = object.content.to_value();
    let read = describe_read(gateway, object.revision, &content, table.version());
    let stamp = gateway.config_order.borrow_mut().stamp(&read);
    let source = "store".to_string();
    let config = ReadConfig { stamp, content, table, source };
    let now = gateway.now();
    let apply_time = gateway.settings.bounds.config_apply;
    let decision = gateway.config_order.borrow_mut().offer(now, stamp, apply_time);
    match decision {
        ConfigDecision::Adopt => put_in_force(gateway, config),
        ConfigDecision::InForce => {}
        ConfigDecision::Wait(until) => {
            log_lower(gateway, "config-waits", &stamp);
            tokio::task::spawn_local(adopt_later(Rc::clone(gateway), config, until));
        }
        ConfigDecision::Older => log_lower(gateway, "config-older", &stamp),
    }
}

/// Describes a configuration that was read from the store.
fn describe_read(
    gateway: &Gateway,
    revision: StoreRevision,
    content: &Value,
    version: ConfigVersion,
) -> ReadVersion {
    ReadVersion {
        version,
        digest: hash_value(content),
        revision,
        era: gateway.store.eras().era(),
        is_new: gateway.is_written_since_return(revision),
        is_settling: settled_at(gateway).is_some_and(|until| gateway.now() < until),
    }
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
async fn adopt_later(gateway: Rc<Gateway>, config: ReadConfig, until: Duration) {
    tokio::time::sleep(until.saturating_sub(gateway.now())).await;
    let is_newest = gateway.config_order.borrow_mut().adopt_waiting(config.stamp);
    if is_newest {
        put_in_force(&gateway, config);
    }
}

/// Puts the configuration of another gateway in force, if it is newer.
pub fn adopt_from_peer(gateway: &Gateway, peer: SocketAddr, shared: SharedConfig) {
    let SharedConfig { stamp, content } = shared;
    let object = StoreObject { name: CONFIG_NAME.to_string(), revision: 0, content };
    let table = match decode_config(&object) {
        Ok(table) => table,
        Err(error) => {
            let detail = error.to_string();
            gateway.metrics.count_unreadable(CONFIG_KIND);
            gateway.journal.warn("config-ignored", o!("error" => detail));
            return;
        }
    };
    let decision = gateway.config_order.borrow_mut().offer_settled(stamp);
    if decision == ConfigDecision::Adopt {
        let source = peer.to_string();
        put_in_force(gateway, ReadConfig { stamp, content: object.content, table, source });
    }
}

fn put_in_force(gateway: &Gateway, config: ReadConfig) {
    let ReadConfig { stamp, content, table, source } = config;
    let before = gateway.routing_table().map_or(0, |table| table.version());
    gateway.journal.note(
        "config-in-force",
        None,
        o!("version" => stamp.version, "before" => before, "routes" => table.route_count(),
           "source" => source, "written_era" => stamp.written_era),
    );
    *gateway.config_content.borrow_mut() = Some(Rc::new(content));
    let now = gateway.now();
    gateway.configured_at.set(gateway.configured_at.get().or(Some(now)));
    gateway.deadlines.borrow_mut().remove_idle(now);
    gateway.stream_lengths.borrow_mut().retain(|route| table.has_route(route));
    gateway.balance.borrow_mut().set_services(table.service_names());
    *gateway.routing.borrow_mut() = Some(Rc::new(table));
    gateway.capacity_changed.notify_waiters();
}
