//! Structured log of one process, which is its part of the time line.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use cuminpick::clock::Clock;
use cuminpick::clock::HybridClock;
use cuminpick::clock::HybridStamp;
use slog::Drain;
use slog::FnValue;
use slog::Logger;
use slog::OwnedKV;
use slog::PushFnValue;
use slog::SendSyncRefUnwindSafeKV;
use slog::o;

/// Lines that wait for the writing thread; more are dropped and counted.
const LINE_RING: usize = 8_192;

/// Journal of a process; cheap to clone.
#[derive(Clone)]
pub struct Journal {
    logger: Logger,
    clock: Arc<dyn Clock>,
    hybrid: Arc<Mutex<HybridClock>>,
}

/// Keeps the writing thread; dropping it writes what is left.
pub struct JournalGuard {
    _guard: slog_async::AsyncGuard,
}

impl Journal {
    /// Starts the journal of `process` on standard output.
    pub fn start(process: &str, clock: Arc<dyn Clock>) -> (Journal, JournalGuard) {
        let json = slog_json::Json::new(std::io::stdout())
            .set_flush(true)
            .add_key_value(o!(
                "event" => PushFnValue(|record, serializer| serializer.emit(record.msg())),
                "level" => FnValue(|record| record.level().as_short_str().to_lowercase()),
            ))
            .build();
        let (drain, guard) = slog_async::Async::new(json.fuse())
            .chan_size(LINE_RING)
            .thread_name("journal".to_string())
            .build_with_guard();
        let logger = Logger::root(drain.fuse(), o!("process" => process.to_string()));
        let journal =
            Journal { logger, clock, hybrid: Arc::new(Mutex::new(HybridClock::default())) };
        (journal, JournalGuard { _guard: guard })
    }

    /// Writes an event; `request` is the id as callers see it.
    pub fn note<T>(&self, event: &str, request: Option<&str>, details: OwnedKV<T>)
    where
        T: SendSyncRefUnwindSafeKV + 'static,
    {
        let stamp = self.stamp();
        match request {
            Some(request) => slog::info!(
                self.logger, "{}", event; "stamp" => stamp, "request" => request, details
            ),
            None => slog::info!(self.logger, "{}", event; "stamp" => stamp, details),
        }
    }

    /// Writes an event that operators should look at.
    pub fn warn<T>(&self, event: &str, details: OwnedKV<T>)
    where
        T: SendSyncRefUnwindSafeKV + 'static,
    {
        slog::warn!(self.logger, "{}", event; "stamp" => self.stamp(), details);
    }

    /// Returns a stamp for a message that is sent.
    pub fn stamp(&self) -> HybridStamp {
        self.hybrid().tick(self.clock.wall())
    }

    /// Takes in the stamp of a message that was received.
    pub fn merge(&self, seen: HybridStamp) {
        self.hybrid().merge(self.clock.wall(), seen);
    }

    fn hybrid(&self) -> std::sync::MutexGuard<'_, HybridClock> {
        self.hybrid.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
