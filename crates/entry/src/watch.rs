//! Thread that reads configuration and VMs from the platform.

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
use cuminpick_operators::journal::Journal;
use slog::o;

use crate::decide::Decider;

/// Longest wait of one watch call.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Time between two readings of the list of VMs.
const VM_INTERVAL: Duration = Duration::from_secs(10);
/// Time after which an entry that does not watch looks again whether it should.
const DUTY_INTERVAL: Duration = Duration::from_secs(1);
/// First pause after a failed call; doubles up to [`LONGEST_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause after failed calls.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// Reads the platform for the entry.
pub struct PlatformWatcher {
    store: Arc<dyn ObjectStore>,
    decider: Decider,
    journal: Journal,
    revision: ObjectVersion,
    vms_read: Option<Instant>,
    pause: Duration,
}

impl PlatformWatcher {
    /// Starts the thread.
    pub fn start(
        store: Arc<dyn ObjectStore>,
        decider: Decider,
        journal: Journal,
    ) -> std::io::Result<()> {
        let mut watch = PlatformWatcher {
            store,
            decider,
            journal,
            revision: 0,
            vms_read: None,
            pause: FIRST_PAUSE,
        };
        thread::Builder::new().name("platform".to_string()).spawn(move || watch.run())?;
        Ok(())
    }

    fn run(&mut self) {
        loop {
            let duty = self.decider.watch_role();
            let needed = duty.watcher || !duty.configured || self.vms_read.is_none();
            if !needed {
                thread::sleep(DUTY_INTERVAL);
                continue;
            }
            match self.read_once(duty.configured) {
                Ok(()) => self.pause = FIRST_PAUSE,
                Err(error) => self.rest(&error),
            }
        }
    }

    fn read_once(&mut self, configured: bool) -> Result<(), PlatformError> {
        if self.vms_read.is_none_or(|read| read.elapsed() > VM_INTERVAL) {
            let vms = self.store.vms()?;
            self.vms_read = Some(Instant::now());
            let records = vms.into_iter().map(listed_record).collect();
            self.decider.handle_event(EntryEvent::Listed(records));
        }
        let wait = if configured { WATCH_WAIT } else { Duration::ZERO };
        let changes = self.store.changes(CONFIG_PREFIX, self.revision, wait)?;
        self.revision = changes.revision;
        let objects = config_objects(changes);
        if !objects.is_empty() {
            self.decider.handle_event(EntryEvent::Configured(objects));
        } else if !configured {
            thread::sleep(DUTY_INTERVAL);
        }
        Ok(())
    }

    fn rest(&mut self, error: &PlatformError) {
        let details = o!("error" => error.to_string(), "pause_ms" => self.pause.as_millis() as u64);
        self.journal.warn("platform-call-failed", details);
        thread::sleep(self.pause);
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }
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
