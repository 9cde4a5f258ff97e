//! Threads that read the backend server's answers.

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

/// Time for which an idle worker waits for the next job.
const IDLE_TIME: Duration = Duration::from_secs(10);
/// Frames between two load figures of a stream.
const LOAD_EVERY: u64 = 16;
/// Stack of a worker, in bytes.
const STACK_BYTES: usize = 256 * 1024;

/// Frames on their way to an entry.
pub type FrameSender = mpsc::Sender<Result<wire::RunFrame, Status>>;

/// An admitted attempt.
pub struct WorkerJob {
    /// Request.
    pub request: RequestId,
    /// Attempt.
    pub attempt: AttemptNumber,
    /// Identity as callers see it.
    pub request_id: String,
    /// What the backend server gets.
    pub call: BackendRequest,
    /// Where the frames go.
    pub frames: FrameSender,
}

/// Threads that start as needed, up to a bound, with one to spare.
pub struct WorkerPool {
    jobs: Sender<Box<WorkerJob>>,
    inbox: Receiver<Box<WorkerJob>>,
    idle: Arc<AtomicUsize>,
    context: WorkerContext,
}

/// What workers work with.
#[derive(Clone)]
pub struct WorkerContext {
    /// Backend server beside this agent.
    pub backend: Arc<dyn BackendServer>,
    /// Way to the decisions.
    pub decider: Decider,
    /// Journal of the process.
    pub journal: Journal,
    /// Asks for a health check now.
    pub alarm: Sender<()>,
}

impl WorkerPool {
    /// Makes a pool for at most `most` jobs at a time.
    pub fn new(most: usize, context: WorkerContext) -> WorkerPool {
        let (jobs, inbox) = bounded(most);
        WorkerPool { jobs, inbox, idle: Arc::new(AtomicUsize::new(0)), context }
    }

    /// Runs a job in a thread of its own; gives it back when none can start.
    ///
    /// A spare thread is started behind the job, so that the next one finds it.
    pub fn run(&self, job: Box<WorkerJob>) -> Result<(), Box<WorkerJob>> {
        if !reserve(&self.idle) && self.start_worker().is_err() {
            return Err(job);
        }
        self.jobs.try_send(job).map_err(|error| error.into_inner())?;
        if self.idle.load(Ordering::Acquire) == 0 && self.start_worker().is_ok() {
            self.idle.fetch_add(1, Ordering::AcqRel);
        }
        Ok(())
    }

    fn start_worker(&self) -> std::io::Result<()> {
        let inbox = self.inbox.clone();
        let idle = Arc::clone(&self.idle);
        let context = self.context.clone();
        let builder = thread::Builder::new().name("worker".to_string()).stack_size(STACK_BYTES);
        builder.spawn(move || work(&inbox, &idle, &context))?;
        Ok(())
    }
}

/// Takes one idle worker out of the count.
fn reserve(idle: &AtomicUsize) -> bool {
    let reserved =
        idle.fetch_update(Ordering::AcqRel, Ordering::Acquire, |idle| idle.checked_sub(1));
    reserved.is_ok()
}

fn work(inbox: &Receiver<Box<WorkerJob>>, idle: &AtomicUsize, context: &WorkerContext) {
    loop {
        match inbox.recv_timeout(IDLE_TIME) {
            Ok(job) => {
                run_job(context, *job);
                idle.fetch_add(1, Ordering::AcqRel);
            }
            Err(_) if reserve(idle) => return,
            Err(_) => {}
        }
    }
}

fn run_job(context: &WorkerContext, job: WorkerJob) {
    let (request, attempt) = (job.request, job.attempt);
    let request_id = job.request_id.clone();
    let mut writer = FrameWriter { context, request, attempt, sequence: 0, frames: job.frames };
    writer.write_with_load(FrameBody::Accepted(wire::Accepted {}));
    let started = Instant::now();
    let mut times = JobTimes::default();
    let ended = match context.backend.call(&job.call) {
        Ok((head, reader)) => {
            times.head = started.elapsed();
            carry_answer(&mut writer, head, reader, started, &mut times)
        }
        Err(error) => Err(error),
    };
    let succeeded = ended.is_ok();
    context.decider.event(AgentEvent::Ended { request, attempt, succeeded });
    let details = o!(
        "attempt" => attempt,
        "succeeded" => succeeded,
        "head_us" => times.head.as_micros() as u64,
        "first_us" => times.first.as_micros() as u64,
        "elapsed_ms" => started.elapsed().as_millis() as u64,
    );
    context.journal.note("answered", Some(&request_id), details);
    match ended {
        Ok(CarryEnd::Whole) => writer.write_with_load(FrameBody::End(wire::End {})),
        Ok(CarryEnd::EntryGone) => {
            context.journal.note("cancelled", Some(&request_id), o!("attempt" => attempt));
            true
        }
        Err(error) => {
            let _ = context.alarm.try_send(());
            let details = o!("attempt" => attempt, "error" => error.to_string());
            context.journal.note("backend-failed", Some(&request_id), details);
            let not_run = matches!(error, BackendError::Unreachable(_));
            let reason = error.to_string();
            writer.write_with_load(FrameBody::Failed(wire::Failed { reason, not_run }))
        }
    };
}

/// Times of a job since it started.
#[derive(Default)]
struct JobTimes {
    head: Duration,
    first: Duration,
}

enum CarryEnd {
    Whole,
    EntryGone,
}

fn carry_answer(
    writer: &mut FrameWriter<'_>,
    head: AnswerHead,
    mut reader: Box<dyn AnswerReader>,
    started: Instant,
    times: &mut JobTimes,
) -> Result<CarryEnd, BackendError> {
    let streaming = head.streaming;
    if !writer.write(FrameBody::Head(head_to_wire(head))) {
        return Ok(CarryEnd::EntryGone);
    }
    let mut last_piece: Option<Instant> = None;
    while let Some(piece) = reader.next_piece()? {
        let now = Instant::now();
        if times.first.is_zero() {
            times.first = started.elapsed();
        }
        if let Some(last) = last_piece.filter(|_| streaming) {
            writer.context.decider.observe(now - last);
        }
        if !writer.write(FrameBody::Data(piece)) {
            return Ok(CarryEnd::EntryGone);
        }
        last_piece = Some(Instant::now());
    }
    if !streaming {
        writer.context.decider.observe(started.elapsed());
    }
    Ok(CarryEnd::Whole)
}

struct FrameWriter<'a> {
    context: &'a WorkerContext,
    request: RequestId,
    attempt: AttemptNumber,
    sequence: u64,
    frames: FrameSender,
}

impl FrameWriter<'_> {
    fn write(&mut self, body: FrameBody) -> bool {
        let with_load = self.sequence % LOAD_EVERY == LOAD_EVERY - 1;
        self.send(body, with_load)
    }

    fn write_with_load(&mut self, body: FrameBody) -> bool {
        self.send(body, true)
    }

    /// Sends a frame; false when the entry no longer reads.
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
