//! Structured log of one process, which is its part of the time line.
//!
//! Lines wait in a ring that a thread of its own looks into at intervals, so
//! that no line costs the writing thread a wake-up.

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam_channel::Receiver;
use crossbeam_channel::Sender;
use crossbeam_channel::bounded;
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

/// Lines that wait for the writing thread; more are dropped.
const LINE_RING: usize = 16_384;
/// Time between two looks into the ring.
const LOOK: Duration = Duration::from_millis(20);

/// Journal of a process; cheap to clone.
#[derive(Clone)]
pub struct Journal {
    logger: Logger,
    clock: Arc<dyn Clock>,
    hybrid: Arc<Mutex<HybridClock>>,
}

/// Keeps the writing thread; dropping it writes what is left.
pub struct JournalGuard {
    stop: Sender<()>,
    writer: Option<JoinHandle<()>>,
}

impl Drop for JournalGuard {
    fn drop(&mut self) {
        let _ = self.stop.try_send(());
        if let Some(writer) = self.writer.take() {
            let _ = writer.join();
        }
    }
}

/// Collects a line and puts it into the ring.
struct LineBuffer {
    line: Vec<u8>,
    ring: Sender<Vec<u8>>,
}

impl Write for LineBuffer {
    fn write(&mut self, part: &[u8]) -> std::io::Result<usize> {
        self.line.extend_from_slice(part);
        if part.ends_with(b"\n") {
            let _ = self.ring.try_send(std::mem::take(&mut self.line));
        }
        Ok(part.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Journal {
    /// Starts the journal of `process` on standard output.
    pub fn start(process: &str, clock: Arc<dyn Clock>) -> std::io::Result<(Journal, JournalGuard)> {
        let (ring, lines) = bounded(LINE_RING);
        let (stop, stopped) = bounded(1);
        let json = slog_json::Json::new(LineBuffer { line: Vec::new(), ring })
            .add_key_value(o!(
                "event" => PushFnValue(|record, serializer| serializer.emit(record.msg())),
                "level" => FnValue(|record| record.level().as_short_str().to_lowercase()),
            ))
            .build();
        let logger = Logger::root(Mutex::new(json).fuse(), o!("process" => process.to_string()));
        let writer = thread::Builder::new()
            .name("journal".to_string())
            .spawn(move || write_lines(&lines, &stopped))?;
        let hybrid = Arc::new(Mutex::new(HybridClock::default()));
        let journal = Journal { logger, clock, hybrid };
        Ok((journal, JournalGuard { stop, writer: Some(writer) }))
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

/// Writes lines until it is told to stop and none is left.
fn write_lines(lines: &Receiver<Vec<u8>>, stopped: &Receiver<()>) {
    let mut output = std::io::stdout();
    loop {
        let stopping = stopped.recv_timeout(LOOK).is_ok();
        let gathered: Vec<u8> = lines.try_iter().flatten().collect();
        let _ = output.write_all(&gathered).and_then(|()| output.flush());
        if stopping {
            return;
        }
    }
}
