//! Runs admitted attempts: sends each to the backend server and forwards the answer.
//!
//! An attempt occupies one thread until its answer has ended. The answer goes to the
//! entry as [`wire::RunFrame`]s, some of which carry a load report.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crossbeam_channel::Receiver;
use crossbeam_channel::Sender;
use crossbeam_channel::bounded;
use cuminpick::agent::AgentEvent;
use cuminpick::ids::AttemptNumber;
use cuminpick::ids::RequestId;
use cuminpick_backends::AnswerHead;
use cuminpick_backends::AnswerReader;
use cuminpick_backends::BackendError;
use cuminpick_backends::BackendRequest;
use cuminpick_backends::BackendServer;
use cuminpick_operators::journal::Journal;
use cuminpick_peers::convert::load_to_wire;
use cuminpick_peers::wire;
use cuminpick_peers::wire::run_frame::Body as FrameBody;
use slog::o;
use tokio::sync::mpsc;
use tonic::Status;

use crate::decide::Decider;

/// Time after which a worker without a job exits.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of frames from one load report to the next within a stream.
const FRAMES_PER_LOAD_REPORT: u64 = 16;
/// Stack size of a worker, in bytes.
const STACK_BYTES: usize = 256 * 1024;

/// Sending side of the queue of frames to an entry.
pub type FrameSender = mpsc::Sender<Result<wire::RunFrame, Status>>;

/// An admitted attempt for a worker to run.
pub struct WorkerJob {
    /// Request of the attempt.
    pub request: RequestId,
    /// Number of the attempt, from 1.
    pub attempt: AttemptNumber,
    /// Request id in the form that callers and logs have.
    pub request_id: String,
    /// Request to send to the backend server.
    pub backend_request: BackendRequest,
    /// Queue of frames to the entry.
    pub frames: FrameSender,
}

/// Pool of worker threads that grows on demand and keeps one idle worker ready.
pub struct WorkerPool {
    jobs: Sender<Box<WorkerJob>>,
    job_queue: Receiver<Box<WorkerJob>>,
    idle_workers: Arc<AtomicUsize>,
    context: WorkerContext,
}

/// State that the workers share.
#[derive(Clone)]
pub struct WorkerContext {
    /// Backend server beside this agent.
    pub backend: Arc<dyn BackendServer>,
    /// Handle of the agent's state machine.
    pub decider: Decider,
    /// Structured log of the process.
    pub journal: Journal,
    /// Triggers a health check at once.
    pub health_check_sender: Sender<()>,
}

impl WorkerPool {
    /// Creates a pool for at most `max_jobs` jobs at a time, which is the capacity of its queue.
    pub fn new(max_jobs: usize, context: WorkerContext) -> WorkerPool {
        let (jobs, job_queue) = bounded(max_jobs);
        WorkerPool { jobs, job_queue, idle_workers: Arc::new(AtomicUsize::new(0)), context }
    }

    /// Runs a job on an idle or new worker; returns the job if no thread can start or the
    /// queue is full.
    ///
    /// If no worker is idle afterwards, another is started so that the next job need not wait
    /// for a thread to start.
    pub fn run(&self, job: Box<WorkerJob>) -> Result<(), Box<WorkerJob>> {
        if !reserve_idle_worker(&self.idle_workers) && self.start_worker().is_err() {
            return Err(job);
        }
        self.jobs.try_send(job).map_err(|error| error.into_inner())?;
        if self.idle_workers.load(Ordering::Acquire) == 0 && self.start_worker().is_ok() {
            self.idle_workers.fetch_add(1, Ordering::AcqRel);
        }
        Ok(())
    }

    fn start_worker(&self) -> std::io::Result<()> {
        let job_queue = self.job_queue.clone();
        let idle_workers = Arc::clone(&self.idle_workers);
        let context = self.context.clone();
        let builder = thread::Builder::new().name("worker".to_string()).stack_size(STACK_BYTES);
        builder.spawn(move || run_worker(&job_queue, &idle_workers, &context))?;
        Ok(())
    }
}

/// Decrements the count of idle workers; returns false if it is already 0.
fn reserve_idle_worker(idle_workers: &AtomicUsize) -> bool {
    let reserved = idle_workers
        .fetch_update(Ordering::AcqRel, Ordering::Acquire, |count| count.checked_sub(1));
    reserved.is_ok()
}

/// Runs queued jobs until the worker has been idle for [`IDLE_TIMEOUT`].
fn run_worker(
    job_queue: &Receiver<Box<WorkerJob>>,
    idle_workers: &AtomicUsize,
    context: &WorkerContext,
) {
    loop {
        match job_queue.recv_timeout(IDLE_TIMEOUT) {
            Ok(job) => {
                run_job(context, *job);
                idle_workers.fetch_add(1, Ordering::AcqRel);
            }
            Err(_) if reserve_idle_worker(idle_workers) => return,
            Err(_) => {}
        }
    }
}

/// Sends the request of an attempt to the backend server and forwards the answer to the entry.
fn run_job(context: &WorkerContext, job: WorkerJob) {
    let (request, attempt) = (job.request, job.attempt);
    let request_id = job.request_id.clone();
    let mut writer = FrameWriter { context, request, attempt, sequence: 0, frames: job.frames };
    writer.write_with_load(FrameBody::Accepted(wire::Accepted {}));
    let started = Instant::now();
    let mut timings = JobTimings::default();
    let outcome = match context.backend.call(&job.backend_request) {
        Ok((head, reader)) => {
            timings.head_received = started.elapsed();
            forward_answer(&mut writer, head, reader, started, &mut timings)
        }
        Err(error) => Err(error),
    };
    let succeeded = outcome.is_ok();
    context.decider.handle_event(AgentEvent::Ended { request, attempt, succeeded });
    let details = o!(
        "attempt" => attempt,
        "succeeded" => succeeded,
        "head_us" => timings.head_received.as_micros() as u64,
        "first_us" => timings.first_chunk_received.as_micros() as u64,
        "elapsed_ms" => started.elapsed().as_millis() as u64,
    );
    context.journal.note("answered", Some(&request_id), details);
    match outcome {
        Ok(ForwardOutcome::Complete) => writer.write_with_load(FrameBody::End(wire::End {})),
        Ok(ForwardOutcome::EntryDisconnected) => {
            context.journal.note("cancelled", Some(&request_id), o!("attempt" => attempt));
            true
        }
        Err(error) => {
            let _ = context.health_check_sender.try_send(());
            let details = o!("attempt" => attempt, "error" => error.to_string());
            context.journal.note("backend-failed", Some(&request_id), details);
            let not_run = matches!(error, BackendError::Unreachable(_));
            let reason = error.to_string();
            writer.write_with_load(FrameBody::Failed(wire::Failed { reason, not_run }))
        }
    };
}

/// Times since the start of a job at which parts of the answer arrived; 0 if they did not.
#[derive(Default)]
struct JobTimings {
    head_received: Duration,
    first_chunk_received: Duration,
}

/// How the forwarding of an answer ended, if the backend server did not fail.
enum ForwardOutcome {
    /// The whole answer was forwarded.
    Complete,
    /// The entry no longer reads the answer.
    EntryDisconnected,
}

/// Forwards an answer to the entry and observes its latencies.
fn forward_answer(
    writer: &mut FrameWriter<'_>,
    head: AnswerHead,
    mut reader: Box<dyn AnswerReader>,
    started: Instant,
    timings: &mut JobTimings,
) -> Result<ForwardOutcome, BackendError> {
    let streaming = head.streaming;
    if !writer.write(FrameBody::Head(head_to_wire(head))) {
        return Ok(ForwardOutcome::EntryDisconnected);
    }
    let mut last_chunk_at: Option<Instant> = None;
    while let Some(chunk) = reader.next_chunk()? {
        let now = Instant::now();
        if timings.first_chunk_received.is_zero() {
            timings.first_chunk_received = started.elapsed();
        }
        if let Some(last_at) = last_chunk_at.filter(|_| streaming) {
            writer.context.decider.observe_latency(now - last_at);
        }
        if !writer.write(FrameBody::Data(chunk)) {
            return Ok(ForwardOutcome::EntryDisconnected);
        }
        last_chunk_at = Some(Instant::now());
    }
    if !streaming {
        writer.context.decider.observe_latency(started.elapsed());
    }
    Ok(ForwardOutcome::Complete)
}

/// Writes numbered frames of an answer to the entry.
struct FrameWriter<'a> {
    context: &'a WorkerContext,
    request: RequestId,
    attempt: AttemptNumber,
    sequence: u64,
    frames: FrameSender,
}

impl FrameWriter<'_> {
    /// Sends a frame, with a load report at intervals.
    fn write(&mut self, body: FrameBody) -> bool {
        let with_load = self.sequence % FRAMES_PER_LOAD_REPORT == FRAMES_PER_LOAD_REPORT - 1;
        self.send(body, with_load)
    }

    /// Sends a frame with a load report.
    fn write_with_load(&mut self, body: FrameBody) -> bool {
        self.send(body, true)
    }

    /// Sends a frame; returns false if the entry no longer reads.
    fn send(&mut self, body: FrameBody, with_load: bool) -> bool {
        let load = with_load.then(|| {
            let report = self.context.decider.load();
            load_to_wire(report, self.context.journal.stamp())
        });
        let frame = wire::RunFrame {
            request: self.request,
            attempt: self.attempt,
            sequence: self.sequence,
            load,
            body: Some(body),
        };
        self.sequence += 1;
        self.frames.blocking_send(Ok(frame)).is_ok()
    }
}

fn head_to_wire(head: AnswerHead) -> wire::Head {
    let headers = head.headers.into_iter();
    wire::Head {
        status: u32::from(head.status),
        headers: headers.map(|(name, value)| wire::Header { name, value }).collect(),
        streaming: head.streaming,
    }
}
