//! Follows configuration, servers and take-outs in the platform's store.
//!
//! Each kind is listed and then watched. After a watch that was cut, turned away
//! or has lost its history the kind is listed anew: a store that drops its
//! history may accept a watch from before and tell nothing of what was dropped.

use std::rc::Rc;
use std::time::Duration;

use cuminpick::crash_detection::ServerIncarnation;
use cuminpick::routing::ServerState;
use cuminpick_platform::records::CONFIG_NAME;
use cuminpick_platform::records::CrashRecord;
use cuminpick_platform::records::decode_config;
use cuminpick_platform::records::decode_server;
use cuminpick_platform::store::CONFIG_KIND;
use cuminpick_platform::store::CRASH_KIND;
use cuminpick_platform::store::EVACUATION_KIND;
use cuminpick_platform::store::ObjectKind;
use cuminpick_platform::store::ReadMode;
use cuminpick_platform::store::SERVER_KIND;
use cuminpick_platform::store::StoreClient;
use cuminpick_platform::store::StoreError;
use cuminpick_platform::store::StoreEvent;
use cuminpick_platform::store::StoreObject;
use cuminpick_platform::store::StoreRevision;
use slog::o;

use crate::crash_tracking::apply_crash_record;
use crate::crash_tracking::is_outdated;
use crate::crash_tracking::record_registration;
use crate::crash_tracking::remove_outdated_record;
use crate::state::Gateway;

/// Longest wait of a watch; bounds how long a store that hangs goes unnoticed.
const WATCH_WAIT: Duration = Duration::from_secs(8);
/// The same for ends of servers, of which datagrams tell first. Each watch is a call that
/// is paid for; probes of the connection notice most stores that hang.
const CRASH_WATCH_WAIT: Duration = Duration::from_secs(24);
/// Pause before servers are watched again after changes, so that the records of a
/// starting fleet come together; a leaving server has two seconds.
const SERVER_PAUSE: Duration = Duration::from_millis(200);
/// Pause before ends of servers are watched again: all gateways that notice an end write
/// at about the same time. A sixth of the time within which all have to know.
const CRASH_PAUSE: Duration = Duration::from_millis(500);
/// First pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after failed calls; changes must be in force two seconds after
/// the store is back.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Starts to follow all kinds that a gateway needs.
pub fn start_store_watches(gateway: &Rc<Gateway>) {
    for kind in [CONFIG_KIND, SERVER_KIND, EVACUATION_KIND, CRASH_KIND] {
        let feed = Feed {
            gateway: Rc::clone(gateway),
            store: StoreClient::new(gateway.settings.store),
            kind,
            failures: 0,
        };
        tokio::task::spawn_local(feed.follow());
    }
}

struct Feed {
    gateway: Rc<Gateway>,
    store: StoreClient,
    kind: ObjectKind,
    failures: u32,
}

impl Feed {
    async fn follow(mut self) {
        loop {
            let mut revision = self.list().await;
            while let Some(next) = self.watch(revision).await {
                revision = next;
            }
        }
    }

    /// Lists until a listing succeeds; returns its revision.
    async fn list(&mut self) -> StoreRevision {
        loop {
            match self.store.list(self.kind, ReadMode::Linearizable).await {
                Ok(listing) => {
                    self.note_contact();
                    self.apply_listing(listing.objects);
                    return listing.revision;
                }
                Err(error) => self.pause(&error).await,
            }
        }
    }

    /// Waits for changes; `None` when the kind has to be listed anew.
    async fn watch(&mut self, revision: StoreRevision) -> Option<StoreRevision> {
        match self.store.watch(self.kind, revision, watch_wait(self.kind)).await {
            Ok(changes) => {
                self.note_contact();
                let changed = !changes.events.is_empty();
                for event in changes.events {
                    self.apply_event(event);
                }
                if changed {
                    tokio::time::sleep(pause_after_change(self.kind)).await;
                }
                Some(changes.revision)
            }
            Err(StoreError::HistoryGone) => {
                let kind = self.kind;
                self.gateway
                    .journal
                    .warn("history-lost", o!("kind" => kind, "revision" => revision));
                None
            }
            Err(error) => {
                self.pause(&error).await;
                None
            }
        }
    }

    async fn pause(&mut self, error: &StoreError) {
        if self.failures == 0 {
            let detail = error.to_string();
            self.gateway.journal.warn("store-lost", o!("kind" => self.kind, "error" => detail));
        }
        let pause = (FIRST_PAUSE * 2u32.pow(self.failures.min(4))).min(LONGEST_PAUSE);
        self.failures += 1;
        let jitter = self.gateway.random_bits() % (pause.as_millis() as u64 / 2).max(1);
        tokio::time::sleep(pause - Duration::from_millis(jitter)).await;
    }

    fn note_contact(&mut self) {
        if self.failures > 0 {
            let failures = self.failures;
            self.gateway.journal.note(
                "store-back",
                None,
                o!("kind" => self.kind, "failures" => failures),
            );
            if self.kind == SERVER_KIND {
                self.gateway.balance.borrow_mut().record_store_reconnect(self.gateway.now());
            }
        }
        self.failures = 0;
    }

    fn apply_listing(&self, objects: Vec<StoreObject>) {
        match self.kind {
            CONFIG_KIND => objects.iter().for_each(|object| self.apply_config(object)),
            CRASH_KIND => objects.iter().for_each(|object| self.apply_crashes(object)),
            SERVER_KIND => {
                let records = objects.iter().filter_map(|object| self.server(object)).collect();
                let mut balance = self.gateway.balance.borrow_mut();
                balance.replace_all(self.gateway.now(), records);
                self.gateway.servers_known.set(true);
                let known = balance.len();
                self.gateway.journal.note("servers-listed", None, o!("known" => known));
            }
            _ => {
                let zones: Vec<String> = objects.into_iter().map(|object| object.name).collect();
                self.gateway.journal.note("zones-out", None, o!("zones" => zones.join(",")));
                self.gateway.balance.borrow_mut().replace_zones_out(zones.into_iter());
            }
        }
        self.gateway.capacity_changed.notify_waiters();
    }

    fn apply_event(&self, event: StoreEvent) {
        let now = self.gateway.now();
        match self.kind {
            CONFIG_KIND | CRASH_KIND if event.removed => {}
            CRASH_KIND => self.apply_crashes(&event.object),
            CONFIG_KIND => self.apply_config(&event.object),
            SERVER_KIND if event.removed => {
                let id = event.object.name;
                self.gateway.balance.borrow_mut().remove(now, &id);
                self.gateway.silence_detector.borrow_mut().remove(&id);
                self.gateway.crash_detector.borrow_mut().mark_leaving(&id);
                self.gateway.journal.note("server-removed", None, o!("server" => id));
            }
            SERVER_KIND => {
                if let Some(record) = self.server(&event.object) {
                    self.gateway.journal.note(
                        "server-changed",
                        None,
                        o!("server" => record.id.clone(), "state" => format!("{:?}", record.state),
                           "service" => record.service.clone(),
                           "address" => record.address.to_string(),
                           "cold_ms" => record.cold_remaining.as_millis() as u64,
                           "revision" => event.object.revision),
                    );
                    self.gateway.balance.borrow_mut().upsert(now, record);
                }
            }
            _ => {
                let zone = event.object.name;
                self.gateway.balance.borrow_mut().set_zone_out(&zone, !event.removed);
                let out = !event.removed;
                self.gateway.journal.note("zone-changed", None, o!("zone" => zone, "out" => out));
            }
        }
        self.gateway.capacity_changed.notify_waiters();
    }

    fn apply_crashes(&self, object: &StoreObject) {
        match CrashRecord::decode(object) {
            Ok(record) if is_outdated(&self.gateway, &record) => {
                let gateway = Rc::clone(&self.gateway);
                tokio::task::spawn_local(remove_outdated_record(gateway, object.clone()));
            }
            Ok(record) => apply_crash_record(&self.gateway, &object.name, record),
            Err(error) => {
                let detail = error.to_string();
                let journal = &self.gateway.journal;
                journal.warn("record-ignored", o!("kind" => self.kind, "error" => detail));
            }
        }
    }

    fn server(&self, object: &StoreObject) -> Option<cuminpick::routing::ServerRecord> {
        match decode_server(object) {
            Ok(record) => {
                let life =
                    ServerIncarnation { server: record.id.clone(), started_ms: record.started_ms };
                record_registration(&self.gateway, record.address, &life);
                if record.state == ServerState::Draining {
                    self.gateway.crash_detector.borrow_mut().mark_leaving(&record.id);
                }
                Some(record)
            }
            Err(error) => {
                let detail = error.to_string();
                self.gateway
                    .journal
                    .warn("record-ignored", o!("kind" => self.kind, "error" => detail));
                // A server whose record cannot be read is not one to use.
                self.gateway.balance.borrow_mut().remove(self.gateway.now(), &object.name);
                self.gateway.silence_detector.borrow_mut().remove(&object.name);
                None
            }
        }
    }

    fn apply_config(&self, object: &StoreObject) {
        if object.name != CONFIG_NAME {
            return;
        }
        let table = match decode_config(object) {
            Ok(table) => table,
            Err(error) => {
                let detail = error.to_string();
                self.gateway.journal.warn("config-ignored", o!("error" => detail));
                return;
            }
        };
        let in_force = self.gateway.routing_table().map_or(0, |table| table.version());
        if table.version() < in_force {
            let version = table.version();
            self.gateway
                .journal
                .warn("config-older", o!("version" => version, "in_force" => in_force));
            return;
        }
        self.gateway.journal.note(
            "config-in-force",
            None,
            o!("version" => table.version(), "before" => in_force,
               "routes" => table.route_count(), "revision" => object.revision),
        );
        self.gateway.deadlines.borrow_mut().remove_idle(self.gateway.now());
        self.gateway.stream_lengths.borrow_mut().retain(|route| table.has_route(route));
        *self.gateway.routing.borrow_mut() = Some(Rc::new(table));
    }
}

/// Longest wait of a watch of a kind.
fn watch_wait(kind: ObjectKind) -> Duration {
    if kind == CRASH_KIND { CRASH_WATCH_WAIT } else { WATCH_WAIT }
}

/// Pause before a kind is watched again after a change, for further changes to come.
fn pause_after_change(kind: ObjectKind) -> Duration {
    match kind {
        SERVER_KIND => SERVER_PAUSE,
        CRASH_KIND => CRASH_PAUSE,
        _ => Duration::ZERO,
    }
}
