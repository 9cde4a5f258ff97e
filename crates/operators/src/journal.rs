//! Structured log of one process, in JSON lines on standard output.
//!
//! Lines carry hybrid clock stamps, by which the logs of several processes are
//! merged into a timeline. They are queued, and the `journal` thread polls the
//! queue at intervals, so that logging a line wakes no thread.

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

/// Capacity of the queue of lines; more between two flushes are dropped.
const LINE_QUEUE_CAPACITY: usize = 16_384;
/// Time between two flushes of the queue.
const FLUSH_INTERVAL: Duration = Duration::from_millis(20);

/// Structured log of a process; cheap to clone.
#[derive(Clone)]
pub struct Journal {
    logger: Logger,
    clock: Arc<dyn Clock>,
    hybrid_clock: Arc<Mutex<HybridClock>>,
}

/// Owner of the `journal` thread; dropping it writes the queued lines and stops the thread.
pub struct JournalGuard {
    stop_sender: Sender<()>,
    writer: Option<JoinHandle<()>>,
}

impl Drop for JournalGuard {
    fn drop(&mut self) {
        let _ = self.stop_sender.try_send(());
        if let Some(writer) = self.writer.take() {
            let _ = writer.join();
        }
    }
}

/// Writer that collects a line and queues it; the line is dropped if the queue is full.
struct LineBuffer {
    line: Vec<u8>,
    queue: Sender<Vec<u8>>,
}

impl Write for LineBuffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if bytes.ends_with(b"\n") {
            let _ = self.queue.try_send(std::mem::take(&mut self.line));
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Journal {
    /// Starts the log of `process`; fails if its thread cannot start.
    pub fn start(process: &str, clock: Arc<dyn Clock>) -> std::io::Result<(Journal, JournalGuard)> {
        let (queue, lines) = bounded(LINE_QUEUE_CAPACITY);
        let (stop_sender, stop_receiver) = bounded(1);
        let json = slog_json::Json::new(LineBuffer { line: Vec::new(), queue })
            .add_key_value(o!(
                "event" => PushFnValue(|record, serializer| serializer.emit(record.msg())),
                "level" => FnValue(|record| record.level().as_short_str().to_lowercase()),
            ))
            .build();
        let logger = Logger::root(Mutex::new(json).fuse(), o!("process" => process.to_string()));
        let writer = thread::Builder::new()
            .name("journal".to_string())
            .spawn(move || write_lines(&lines, &stop_receiver))?;
        let hybrid_clock = Arc::new(Mutex::new(HybridClock::default()));
        let journal = Journal { logger, clock, hybrid_clock };
        Ok((journal, JournalGuard { stop_sender, writer: Some(writer) }))
    }

    /// Logs an event; `request` is the request id in the form that callers have.
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

    /// Logs an event that needs an operator's attention.
    pub fn warn<T>(&self, event: &str, details: OwnedKV<T>)
    where
        T: SendSyncRefUnwindSafeKV + 'static,
    {
        slog::warn!(self.logger, "{}", event; "stamp" => self.stamp(), details);
    }

    /// Advances the hybrid clock and returns a stamp, for a line or an outgoing message.
    pub fn stamp(&self) -> HybridStamp {
        self.hybrid_clock().tick(self.clock.wall())
    }

    /// Advances the hybrid clock past the stamp of a received message.
    pub fn merge(&self, received: HybridStamp) {
        self.hybrid_clock().merge(self.clock.wall(), received);
    }

    fn hybrid_clock(&self) -> std::sync::MutexGuard<'_, HybridClock> {
        self.hybrid_clock.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes queued lines at intervals; on a stop signal writes the rest and returns.
fn write_lines(lines: &Receiver<Vec<u8>>, stop_receiver: &Receiver<()>) {
    let mut output = std::io::stdout();
    loop {
        let stopping = stop_receiver.recv_timeout(FLUSH_INTERVAL).is_ok();
        let pending: Vec<u8> = lines.try_iter().flatten().collect();
        let _ = output.write_all(&pending).and_then(|()| output.flush());
        if stopping {
            return;
        }
    }
}
