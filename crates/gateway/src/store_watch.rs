//! Keeps configuration, servers, take-outs and crash records in step with the platform's
//! store.
//!
//! Each kind of object is listed and then watched. After a watch that was cut off, was refused
//! or lost its history, the kind is listed again: a store that dropped its history may
//! accept a watch from an earlier revision without reporting the dropped changes. The same
//! holds after the store came back from an older copy, which gives revisions out again. What is
//! listed then passes through [`cuminpick::copy_filter`], until it is listed once more when
//! operators and servers have written their objects again.

use std::rc::Rc;
use std::time::Duration;

use cuminpick::change_pacing::ChangePacer;
use cuminpick::copy_filter::ListedServer;
use cuminpick::copy_filter::ListedZone;
use cuminpick::crash_detection::ServerIncarnation;
use cuminpick::ids::ZoneName;
use cuminpick::return_load::ReturnCalls;
use cuminpick::routing::ServerRecord;
use cuminpick::routing::ServerState;
use cuminpick::store_history::StorePosition;
use cuminpick_platform::call::CallError;
use cuminpick_platform::records::RecordError;
use cuminpick_platform::store::CONFIG_KIND;
use cuminpick_platform::store::CRASH_KIND;
use cuminpick_platform::store::EVACUATION_KIND;
use cuminpick_platform::store::ObjectKind;
use cuminpick_platform::store::ReadMode;
use cuminpick_platform::store::SERVER_KIND;
use cuminpick_platform::store::StoreClient;
use cuminpick_platform::store::StoreError;
use cuminpick_platform::store::StoreEvent;
use cuminpick_platform::store::StoreListing;
use cuminpick_platform::store::UnreadableEntry;
use cuminpick_platform::stored_content::ReadObject;
use slog::o;

use crate::config_updates::apply_config;
use crate::crash_records::apply_crash_record;
use crate::crash_records::is_outdated;
use crate::crash_records::remove_outdated_record;
use crate::crash_tracking::record_registration;
use crate::listed_records::ListedCrashes;
use crate::listed_records::decode_crashes;
use crate::listed_records::is_configuration;
use crate::listed_records::list_server;
use crate::listed_records::list_zone;
use crate::state::Gateway;
use crate::store_return::delay_after_return;
use crate::store_return::handle_era_changes;
use crate::store_return::handle_outages;
use crate::store_return::settled_at;
use crate::unit_tracking::record_new_server;
use crate::unreadable_records::NamelessChanges;
use crate::unreadable_records::RecordLog;
use crate::unreadable_records::apply_unreadable_entries;
use crate::unreadable_records::discard_server;

/// Maximum duration of a watch; bounds how long a store that hangs goes unnoticed.
const WATCH_WAIT: Duration = Duration::from_secs(8);
/// The same for crash records. It is longer because datagrams report crashes first, each
/// watch is a billed call, and keep-alive probes of the connection detect most stores that
/// hang.
const CRASH_WATCH_WAIT: Duration = Duration::from_secs(24);
/// Delay before servers are watched again after a change, so that the records of a starting
/// fleet arrive in one batch. A server that leaves serves for two more seconds.
const SERVER_BATCH_DELAY: Duration = Duration::from_millis(200);
/// Delay before crash records are watched again, since all gateways that notice a crash
/// write at about the same time. It is a sixth of the time within which all gateways have to
/// know of a crash.
const CRASH_BATCH_DELAY: Duration = Duration::from_millis(500);
/// Least interval between reads of a kind that return changes, since each is a billed call of every
/// gateway, and other writers may change a kind all the time. The configuration must be in force two
/// seconds after a change.
const CHANGE_INTERVAL: Duration = Duration::from_millis(200);
/// Unit in which the duration of a watch is given.
const WATCH_WAIT_UNIT: Duration = Duration::from_millis(1);
/// Delay after the first failed call.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum delay after repeated failures; changes must be in force two seconds after the
/// store is back.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// Starts to watch all kinds of objects that a gateway needs.
pub fn start_store_watches(gateway: &Rc<Gateway>) {
    for kind in [CONFIG_KIND, SERVER_KIND, EVACUATION_KIND, CRASH_KIND] {
        let watcher = KindWatcher {
            gateway: Rc::clone(gateway),
            store: gateway.store.clone(),
            kind,
            failures: 0,
            cuts: 0,
            relist_at: None,
            relists: 0,
            nameless_changes: NamelessChanges::default(),
            pacer: ChangePacer::default(),
        };
        tokio::task::spawn_local(watcher.run());
    }
}

/// Watcher of one kind of objects.
struct KindWatcher {
    gateway: Rc<Gateway>,
    store: StoreClient,
    kind: ObjectKind,
    /// Consecutive failed calls.
    failures: u32,
    /// Consecutive watches that the store cut off.
    cuts: u32,
    /// When the last listing, which passed through the filter, has to be replaced by a new one.
    relist_at: Option<Duration>,
    /// Number of relists that other gateways had caused before the last listing.
    relists: u64,
    nameless_changes: NamelessChanges,
    pacer: ChangePacer,
}

impl KindWatcher {
    async fn run(mut self) {
        loop {
            let mut position = self.list().await;
            while let Some(next) = self.watch(position).await {
                position = next;
            }
            let is_left = position.era != self.store.eras().era();
            if is_left || self.relist_at.take().is_some() {
                tokio::time::sleep(self.relist_delay()).await;
            }
        }
    }

    /// Returns a random delay before the kind is listed again after the store came back.
    fn relist_delay(&self) -> Duration {
        let calls = match self.kind {
            SERVER_KIND => ReturnCalls::Servers(self.gateway.balance.borrow().len()),
            EVACUATION_KIND => ReturnCalls::Zones,
            CRASH_KIND => ReturnCalls::Crashes,
            _ => ReturnCalls::Configuration,
        };
        delay_after_return(&self.gateway, calls)
    }

    /// Returns whether what other gateways say may require another listing.
    fn is_relisted(&self) -> bool {
        [SERVER_KIND, EVACUATION_KIND].contains(&self.kind)
    }

    fn is_relist_due(&self) -> bool {
        self.is_relisted() && self.relists != self.gateway.relists.get()
    }

    /// Returns the time until a read of the records decides whether a server without one is
    /// removed.
    fn until_expiry(&self) -> Option<Duration> {
        let now = self.gateway.now();
        let expiry = self.gateway.balance.borrow().next_record_expiry();
        expiry.filter(|_| self.kind == SERVER_KIND).map(|expiry| expiry.saturating_sub(now))
    }

    /// Lists the objects until a call succeeds; returns the position of the listing.
    async fn list(&mut self) -> StorePosition {
        loop {
            self.relists = self.gateway.relists.get();
            match self.list_once().await {
                Ok(position) => return position,
                Err(error) => self.back_off(&error).await,
            }
        }
    }

    /// Lists the objects and applies what is used of them; returns the position of the listing.
    async fn list_once(&mut self) -> Result<StorePosition, StoreError> {
        let (store, kind) = (self.store.clone(), self.kind);
        let read_at = self.gateway.now();
        let mode = ReadMode::Linearizable;
        let position = match kind {
            CONFIG_KIND => {
                let configuration =
                    |object: ReadObject| is_configuration(&object).then_some(object);
                let listing = store.list_decoded(kind, mode, configuration).await?;
                self.begin_listing(&listing);
                let configurations = listing.objects.into_iter().flatten();
                configurations.for_each(|object| apply_config(&self.gateway, &object));
                listing.position
            }
            CRASH_KIND => {
                let listing =
                    store.list_decoded(kind, mode, |object| decode_crashes(&object)).await?;
                self.begin_listing(&listing);
                let mut refused = RecordLog::new(&self.gateway, kind);
                for record in listing.objects {
                    self.apply_crashes(record, &mut refused);
                }
                listing.position
            }
            SERVER_KIND => {
                let listing = store.list_decoded(kind, mode, |object| list_server(&object)).await?;
                self.begin_listing(&listing);
                self.apply_servers(read_at, listing.objects);
                listing.position
            }
            _ => {
                let listing = store.list_decoded(kind, mode, |object| list_zone(&object)).await?;
                self.begin_listing(&listing);
                self.apply_zones(listing.objects, &listing.unreadable);
                listing.position
            }
        };
        self.gateway.listed_kinds.borrow_mut().insert(kind);
        self.gateway.capacity_changed.notify_waiters();
        Ok(position)
    }

    /// Records a listing before its objects are applied.
    fn begin_listing<T>(&mut self, listing: &StoreListing<T>) {
        self.record_success();
        handle_outages(&self.gateway);
        handle_era_changes(&self.gateway);
        self.gateway.record_position(listing.position);
        apply_unreadable_entries(&self.gateway, self.kind, &listing.unreadable);
    }

    /// Waits for changes and applies them; returns their position, or `None` when the kind has
    /// to be listed again.
    async fn watch(&mut self, position: StorePosition) -> Option<StorePosition> {
        let now = self.gateway.now();
        if self.relist_at.is_some_and(|relist_at| now >= relist_at) {
            return None;
        }
        let until_relist = self.relist_at.map_or(Duration::MAX, |relist_at| relist_at - now);
        let until_expiry = self.until_expiry().map_or(Duration::MAX, |left| left + WATCH_WAIT_UNIT);
        let wait = watch_wait(self.kind).min(until_relist).min(until_expiry);
        let relist_due = self.gateway.relist_due.notified();
        if self.is_relist_due() {
            return None;
        }
        let changes = tokio::select! {
            changes = self.store.watch(self.kind, position, wait) => changes,
            () = relist_due, if self.is_relisted() => return None,
        };
        match changes {
            Ok(changes) => {
                self.record_success();
                self.cuts = 0;
                handle_outages(&self.gateway);
                let changed = !changes.events.is_empty() || !changes.unreadable.is_empty();
                // With events the answer may be as old as the call.
                let read_at = if changed { now } else { (now + wait).min(self.gateway.now()) };
                let gateway = Rc::clone(&self.gateway);
                let mut refused = RecordLog::new(&gateway, self.kind);
                for event in changes.events {
                    self.apply_event(read_at, event, &mut refused);
                }
                drop(refused);
                apply_unreadable_entries(&self.gateway, self.kind, &changes.unreadable);
                if changes.unreadable.iter().any(|entry| entry.name.is_none()) {
                    let relist_at = self.nameless_changes.next_listing(now);
                    self.relist_at = Some(self.relist_at.unwrap_or(relist_at).min(relist_at));
                }
                self.remove_expired(read_at, changes.position);
                if changed {
                    let delay = self.delay_after_changes();
                    tokio::time::sleep(self.until_expiry().unwrap_or(delay).min(delay)).await;
                }
                Some(changes.position)
            }
            Err(StoreError::HistoryGone) => {
                let StorePosition { era, revision } = position;
                self.gateway.journal.warn(
                    "history-lost",
                    o!("kind" => self.kind, "revision" => revision, "era" => era,
                       "store_era" => self.store.eras().era()),
                );
                None
            }
            Err(StoreError::NoAnswer(CallError::TooLarge(limit))) => {
                // A listing is read in pages of a bounded size.
                let details = o!("kind" => self.kind, "limit" => limit);
                self.gateway.journal.note("changes-too-large", None, details);
                tokio::time::sleep(self.delay_after_changes().max(MIN_RETRY_DELAY)).await;
                None
            }
            Err(StoreError::NoAnswer(error @ CallError::Closed(_))) => {
                if self.cuts == 0 {
                    let detail = error.to_string();
                    let journal = &self.gateway.journal;
                    journal.note("watch-cut", None, o!("kind" => self.kind, "error" => detail));
                }
                self.cuts += 1;
                let delay = retry_delay(self.cuts);
                let until_expiry = self.until_expiry().unwrap_or(delay).max(MIN_RETRY_DELAY);
                self.pause(delay.min(until_expiry)).await;
                None
            }
            Err(error) => {
                self.back_off(&error).await;
                None
            }
        }
    }

    /// Returns the delay before the next read after one that returned changes.
    fn delay_after_changes(&mut self) -> Duration {
        let pause = self.pacer.next_read(self.gateway.now(), CHANGE_INTERVAL);
        batch_delay(self.kind).max(pause)
    }

    /// Logs the first of several failures and waits for an exponential delay.
    async fn back_off(&mut self, error: &StoreError) {
        if self.failures == 0 {
            let detail = error.to_string();
            self.gateway.journal.warn("store-lost", o!("kind" => self.kind, "error" => detail));
        }
        self.failures += 1;
        self.pause(retry_delay(self.failures)).await;
    }

    /// Waits for a delay with jitter, or until another call shows that the store came back from an
    /// older copy.
    async fn pause(&self, delay: Duration) {
        let jitter = self.gateway.random_bits() % (delay.as_millis() as u64 / 2).max(1);
        let eras = self.store.eras();
        tokio::select! {
            () = tokio::time::sleep(delay - Duration::from_millis(jitter)) => {}
            () = eras.leave(eras.era()) => tokio::time::sleep(self.relist_delay()).await,
        }
    }

    fn record_success(&mut self) {
        if self.failures > 0 {
            let failures = self.failures;
            self.gateway.journal.note(
                "store-back",
                None,
                o!("kind" => self.kind, "failures" => failures),
            );
        }
        self.failures = 0;
    }

    /// Returns whether a listing may be from an older copy, and has it repeated once that is
    /// over.
    fn begin_settling(&mut self) -> bool {
        let now = self.gateway.now();
        self.relist_at = settled_at(&self.gateway).filter(|until| now < *until);
        self.relist_at.is_some()
    }

    /// Applies servers that were listed at `read_at` or later.
    fn apply_servers(&mut self, read_at: Duration, listed: Vec<Result<ListedServer, RecordError>>) {
        let now = self.gateway.now();
        let is_settling = self.begin_settling();
        let mut refused = RecordLog::new(&self.gateway, self.kind);
        let listed = listed.into_iter().filter_map(|listed| self.use_record(listed, &mut refused));
        let listed: Vec<ListedServer> = listed.collect();
        let mut filter = self.gateway.copy_filter.borrow_mut();
        let listed_count = listed.len();
        for server in &listed {
            if !is_settling || self.gateway.is_written_since_return(server.revision) {
                filter.record_server(now, server);
            }
        }
        let records: Vec<ServerRecord> = if is_settling {
            filter.filter_servers(now, listed)
        } else {
            listed.into_iter().map(|server| server.record).collect()
        };
        let filtered = listed_count - records.len();
        let mut balance = self.gateway.balance.borrow_mut();
        for server in balance.replace_all(read_at, records) {
            filter.record_gone(&server);
            self.gateway.journal.note(
                "server-removed",
                None,
                o!("server" => server, "reason" => "its record is not listed",
                   "read_age_ms" => now.saturating_sub(read_at).as_millis() as u64),
            );
        }
        self.gateway.journal.note(
            "servers-listed",
            None,
            o!("known" => balance.len(), "missing" => balance.missing_count(),
               "settling" => is_settling, "gone" => filtered),
        );
    }

    /// Applies the zones that are taken out. The name alone counts, so that a zone does not come
    /// back because its entry became unreadable.
    fn apply_zones(&mut self, mut listed: Vec<ListedZone>, unreadable: &[UnreadableEntry]) {
        let is_settling = self.begin_settling();
        let names = unreadable.iter().filter_map(|entry| entry.name.clone());
        listed.extend(names.map(|zone| ListedZone { zone, revision: 0 }));
        let mut filter = self.gateway.copy_filter.borrow_mut();
        let zones: Vec<ZoneName> = if is_settling {
            filter.filter_zones(&listed)
        } else {
            filter.record_zones(&listed);
            listed.into_iter().map(|listed| listed.zone).collect()
        };
        self.gateway.journal.note(
            "zones-out",
            None,
            o!("zones" => zones.join(","), "settling" => is_settling),
        );
        self.gateway.balance.borrow_mut().replace_zones_out(zones.into_iter());
    }

    /// Removes servers whose records did not return in time, as the store answered at `read_at`.
    fn remove_expired(&self, read_at: Duration, position: StorePosition) {
        if self.kind != SERVER_KIND {
            return;
        }
        let age = self.gateway.now().saturating_sub(read_at);
        for server in self.gateway.balance.borrow_mut().remove_expired(read_at) {
            self.gateway.copy_filter.borrow_mut().record_gone(&server);
            self.gateway.journal.note(
                "server-removed",
                None,
                o!("server" => server, "reason" => "its record did not return",
                   "revision" => position.revision, "read_age_ms" => age.as_millis() as u64),
            );
        }
    }

    /// Applies a change of an object, which was read at `read_at` or later.
    fn apply_event(&self, read_at: Duration, event: StoreEvent, refused: &mut RecordLog<'_>) {
        let now = self.gateway.now();
        match self.kind {
            CONFIG_KIND | CRASH_KIND if event.removed => {}
            CRASH_KIND => self.apply_crashes(decode_crashes(&event.object), refused),
            CONFIG_KIND if is_configuration(&event.object) => {
                apply_config(&self.gateway, &event.object);
            }
            CONFIG_KIND => {}
            SERVER_KIND if event.removed => {
                let id = event.object.name;
                let kept_for = self.gateway.balance.borrow().kept_without_record(now);
                let is_removed = self.gateway.balance.borrow_mut().remove(read_at, &id);
                self.gateway.silence_detector.borrow_mut().remove(&id);
                self.gateway.crash_detector.borrow_mut().mark_leaving(&id);
                if is_removed {
                    self.gateway.copy_filter.borrow_mut().record_gone(&id);
                    self.gateway.journal.note(
                        "server-removed",
                        None,
                        o!("server" => id, "revision" => event.object.revision,
                           "reason" => "its record was removed"),
                    );
                } else {
                    self.gateway.journal.note(
                        "server-missing",
                        None,
                        o!("server" => id, "revision" => event.object.revision,
                           "kept_ms" => kept_for.as_millis() as u64),
                    );
                }
            }
            SERVER_KIND => {
                if let Some(listed) = self.use_record(list_server(&event.object), refused) {
                    self.gateway.copy_filter.borrow_mut().record_server(now, &listed);
                    let record = listed.record;
                    self.gateway.journal.note(
                        "server-changed",
                        None,
                        o!("server" => record.id.clone(), "state" => format!("{:?}", record.state),
                           "service" => record.service.clone(),
                           "address" => record.address.to_string(),
                           "cold_ms" => record.cold_remaining.as_millis() as u64,
                           "revision" => event.object.revision),
                    );
                    let (service, address) = (record.service.clone(), record.address);
                    if self.gateway.balance.borrow_mut().upsert(now, record) {
                        record_new_server(&self.gateway, &service, address);
                    }
                }
            }
            _ => {
                let out = !event.removed;
                let listed = list_zone(&event.object);
                self.gateway.copy_filter.borrow_mut().record_zone(&listed, out);
                let zone = listed.zone;
                self.gateway.balance.borrow_mut().set_zone_out(&zone, out);
                self.gateway.journal.note("zone-changed", None, o!("zone" => zone, "out" => out));
            }
        }
        self.gateway.capacity_changed.notify_waiters();
    }

    fn apply_crashes(
        &self,
        listed: Result<ListedCrashes, RecordError>,
        refused: &mut RecordLog<'_>,
    ) {
        match listed {
            Ok(listed) if is_outdated(&self.gateway, &listed.record) => {
                let ListedCrashes { name, revision, .. } = listed;
                let gateway = Rc::clone(&self.gateway);
                tokio::task::spawn_local(remove_outdated_record(gateway, name, revision));
            }
            Ok(listed) => apply_crash_record(&self.gateway, &listed.name, listed.record),
            Err(error) => refused.log_unusable(&error),
        }
    }

    /// Records the registration of a server; one whose record cannot be used is removed, and its record
    /// goes to `refused`.
    fn use_record(
        &self,
        listed: Result<ListedServer, RecordError>,
        refused: &mut RecordLog<'_>,
    ) -> Option<ListedServer> {
        match listed {
            Ok(listed) => {
                let record = &listed.record;
                let incarnation =
                    ServerIncarnation { server: record.id.clone(), started_ms: record.started_ms };
                record_registration(&self.gateway, record.address, &incarnation);
                if record.state == ServerState::Draining {
                    self.gateway.crash_detector.borrow_mut().mark_leaving(&record.id);
                }
                Some(listed)
            }
            Err(error) => {
                refused.log_unusable(&error);
                discard_server(&self.gateway, &error.name);
                None
            }
        }
    }
}

/// Returns the delay after a number of failed calls in a row, without jitter.
fn retry_delay(failures: u32) -> Duration {
    (MIN_RETRY_DELAY * 2u32.pow(failures.saturating_sub(1).min(4))).min(MAX_RETRY_DELAY)
}

/// Returns the maximum duration of a watch of a kind.
fn watch_wait(kind: ObjectKind) -> Duration {
    if kind == CRASH_KIND { CRASH_WATCH_WAIT } else { WATCH_WAIT }
}

/// Returns the delay before a kind is watched again after a change, so that further changes
/// arrive in the same batch.
fn batch_delay(kind: ObjectKind) -> Duration {
    match kind {
        SERVER_KIND => SERVER_BATCH_DELAY,
        CRASH_KIND => CRASH_BATCH_DELAY,
        _ => Duration::ZERO,
    }
}
