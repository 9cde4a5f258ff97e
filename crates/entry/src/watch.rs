//! Reads configuration and the list of VMs from the platform while this entry has that role.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use cuminpick::config::ConfigObject;
use cuminpick::entry_event::EntryEvent;
use cuminpick::ids::ObjectVersion;
use cuminpick_objects::CONFIG_PREFIX;
use cuminpick_objects::ObjectChanges;
use cuminpick_objects::ObjectStore;
use cuminpick_objects::PlatformError;
use cuminpick_objects::listed_record;
use cuminpick_objects::reconcile::apply_change;
use cuminpick_operators::journal::Journal;
use slog::o;

use crate::decide::Decider;

/// Maximum time that a watch call waits for changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between two reads of the list of VMs.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(10);
/// Interval at which an entry that does not watch checks its role, and at which one without
/// configuration reads it again.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Delay after the first failed call; doubles with each further one up to [`MAX_RETRY_DELAY`].
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum delay after a failed call.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(4);

/// Reads the platform's object API and passes changes to the state machine.
///
/// An entry reads while it is a watcher of its zone or has no configuration, and at least once
/// after its start; otherwise it relies on gossip. After the store came back from an older copy
/// it writes the operators' changes again that the store has lost.
pub struct PlatformWatcher {
    store: Arc<dyn ObjectStore>,
    decider: Decider,
    journal: Journal,
    revision: ObjectVersion,
    /// Changes that the store has lost, and that were not written again yet.
    lost: Vec<ConfigObject>,
    vms_read_at: Option<Instant>,
    retry_delay: Duration,
}

impl PlatformWatcher {
    /// Starts the thread, which runs until the process exits.
    pub fn start(
        store: Arc<dyn ObjectStore>,
        decider: Decider,
        journal: Journal,
    ) -> std::io::Result<()> {
        let mut watcher = PlatformWatcher {
            store,
            decider,
            journal,
            revision: 0,
            lost: Vec::new(),
            vms_read_at: None,
            retry_delay: MIN_RETRY_DELAY,
        };
        thread::Builder::new().name("platform".to_string()).spawn(move || watcher.run())?;
        Ok(())
    }

    fn run(&mut self) {
        loop {
            let role = self.decider.watch_role();
            let needed = role.watcher || !role.configured || self.vms_read_at.is_none();
            if !needed {
                thread::sleep(ROLE_CHECK_INTERVAL);
                continue;
            }
            match self.read_once(role.configured) {
                Ok(()) => self.retry_delay = MIN_RETRY_DELAY,
                Err(error) => self.wait_after_error(&error),
            }
        }
    }

    fn read_once(&mut self, configured: bool) -> Result<(), PlatformError> {
        if self.vms_read_at.is_none_or(|read_at| read_at.elapsed() > VM_LIST_INTERVAL) {
            let vms = self.store.vms()?;
            self.vms_read_at = Some(Instant::now());
            for detail in vms.unreadable {
                self.journal.warn("record-ignored", o!("kind" => "vms", "error" => detail));
            }
            let records = vms.entries.into_iter().map(listed_record).collect();
            self.decider.handle_event(EntryEvent::Listed(records));
        }
        self.restore_lost();
        let is_waiting = !configured || !self.lost.is_empty();
        let wait = if is_waiting { Duration::ZERO } else { WATCH_TIMEOUT };
        let changes = self.store.changes(CONFIG_PREFIX, self.revision, wait)?;
        self.revision = changes.revision;
        let restored = changes.restored;
        for detail in &changes.unreadable {
            let detail = detail.clone();
            self.journal.warn("record-ignored", o!("kind" => "config", "error" => detail));
        }
        let objects = config_objects(changes);
        if restored {
            self.lost = self.decider.lost_objects(&objects);
            let details = o!("lost" => self.lost.len(), "listed" => objects.len());
            self.journal.warn("store-restored", details);
        } else if objects.is_empty() && is_waiting {
            thread::sleep(ROLE_CHECK_INTERVAL);
        }
        if !objects.is_empty() {
            self.decider.handle_event(EntryEvent::Configured(objects));
        }
        Ok(())
    }

    /// Writes lost changes again. Those whose objects were changed meanwhile are left to that
    /// change; others that fail are tried again.
    fn restore_lost(&mut self) {
        for object in std::mem::take(&mut self.lost) {
            let written = restore_object(&*self.store, &object);
            let detail = written.as_ref().err().map(ToString::to_string).unwrap_or_default();
            let (key, version) = (object.key.clone(), object.version);
            let details = o!("key" => key, "version" => version, "error" => detail);
            self.journal.note("object-restored", None, details);
            if matches!(&written, Err(error) if !matches!(error, PlatformError::Conflict(_))) {
                self.lost.push(object);
            }
        }
    }

    fn wait_after_error(&mut self, error: &PlatformError) {
        let details =
            o!("error" => error.to_string(), "pause_ms" => self.retry_delay.as_millis() as u64);
        self.journal.warn("platform-call-failed", details);
        thread::sleep(self.retry_delay);
        self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
    }
}

/// Writes a change again, unless the store holds a later one.
fn restore_object(store: &dyn ObjectStore, object: &ConfigObject) -> Result<(), PlatformError> {
    let key = format!("{CONFIG_PREFIX}{}", object.key);
    let current = store.get(&key)?;
    if current.as_ref().is_some_and(|current| current.version >= object.version) {
        return Ok(());
    }
    apply_change(store, &key, current.as_ref(), object.value.as_deref()).map(|_| ())
}

fn config_objects(changes: ObjectChanges) -> Vec<ConfigObject> {
    changes
        .objects
        .into_iter()
        .filter_map(|object| {
            let key = object.key.strip_prefix(CONFIG_PREFIX)?.to_string();
            Some(ConfigObject { key, version: object.version, value: object.value })
        })
        .collect()
}
