//! Relays callers' requests to agents and the answers back.
//!
//! Each request has a task (`RequestTask`) that makes the attempts which the state machine
//! commands and reports how they ended.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use cuminpick::agent::AgentRefusal;
use cuminpick::answer::AnswerTracker;
use cuminpick::answer::FrameDecision;
use cuminpick::clock::Clock;
use cuminpick::entry_event::Arrival;
use cuminpick::entry_event::EntryEvent;
use cuminpick::ids::AttemptNumber;
use cuminpick::ids::RequestId;
use cuminpick::ids::ServerId;
use cuminpick::ids::hash_parts;
use cuminpick::refusal::Refusal;
use cuminpick::refusal::RefusalKind;
use cuminpick::share::FillPercent;
use cuminpick::share::MAX_FILL;
use cuminpick_callers::AnswerBody;
use cuminpick_callers::AnswerChunk;
use cuminpick_callers::CallerAnswer;
use cuminpick_callers::CallerHandler;
use cuminpick_callers::CallerRequest;
use cuminpick_callers::answer::AnswerCut;
use cuminpick_callers::answer::refusal_answer;
use cuminpick_callers::server::AnswerFuture;
use cuminpick_operators::journal::Journal;
use cuminpick_operators::metrics::Metrics;
use cuminpick_peers::convert::load_from_wire;
use cuminpick_peers::pool::ChannelPool;
use cuminpick_peers::wire;
use cuminpick_peers::wire::agent_client::AgentClient;
use cuminpick_peers::wire::run_frame::Body as FrameBody;
use slog::o;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tonic::Streaming;

use crate::decide::Decider;
use crate::decide::RequestCommand;

/// Number of commands that may wait for a request's task.
const COMMAND_QUEUE_CAPACITY: usize = 4;
/// Number of chunks of a stream that may wait for the caller's connection.
const CHUNK_QUEUE_CAPACITY: usize = 32;
/// Time after which a caller that does not read its stream counts as disconnected.
const CHUNK_SEND_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of bytes at the start of a body that are hashed for prefix-cache affinity.
const PREFIX_BYTES: usize = 256;
/// Maximum size of the body of an answer that is not a stream.
const MAX_BUFFERED_BYTES: usize = 16 << 20;
/// Maximum size of a frame from an agent.
const MAX_FRAME_BYTES: usize = 2 << 20;

/// Shared resources of the request tasks.
pub struct TrafficContext {
    /// Id of the entry.
    pub entry_id: String,
    /// Id of the first request; each further one has the next number.
    pub request_id_seed: u64,
    /// Number of ids assigned so far.
    pub request_count: AtomicU64,
    /// Handle to the entry's state machine.
    pub decider: Decider,
    /// Connections to agents.
    pub pool: Arc<ChannelPool>,
    /// Journal of the process.
    pub journal: Journal,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
    /// Clock of the process.
    pub clock: Arc<dyn Clock>,
}

/// Starts a task for each request of a caller.
pub struct TrafficHandler {
    context: Arc<TrafficContext>,
}

impl TrafficHandler {
    /// Creates a handler whose requests share `context`.
    pub fn new(context: TrafficContext) -> TrafficHandler {
        TrafficHandler { context: Arc::new(context) }
    }
}

impl CallerHandler for TrafficHandler {
    fn next_request_id(&self) -> String {
        let count = self.context.request_count.fetch_add(1, Ordering::Relaxed);
        format_request_id(self.context.request_id_seed.wrapping_add(count))
    }

    fn handle(&self, request_id: String, request: CallerRequest) -> AnswerFuture {
        let context = Arc::clone(&self.context);
        Box::pin(async move {
            let (reply, answer) = oneshot::channel();
            let cut_answer =
                refusal_answer(&request_id, &Refusal::may_have_run(RefusalKind::AnswerCut));
            let task = RequestTask::new(context, request_id, request, reply);
            tokio::spawn(task.run());
            answer.await.unwrap_or(cut_answer)
        })
    }

    fn record_refusal(&self, request_id: &str, refusal: &Refusal) {
        record_refusal(&self.context, request_id, refusal);
    }
}

/// Returns the id of a request as callers and logs show it: 16 hexadecimal digits.
pub fn format_request_id(request: RequestId) -> String {
    format!("{request:016x}")
}

fn record_refusal(context: &TrafficContext, request_id: &str, refusal: &Refusal) {
    context.metrics.count_refusal(refusal.kind.name());
    let details =
        o!("kind" => refusal.kind.name(), "ran" => format!("{:?}", refusal.ran).to_lowercase());
    context.journal.note("refused", Some(request_id), details);
}

/// How an attempt ended.
enum AttemptOutcome {
    /// The answer was received completely.
    Completed,
    /// The agent refused or was unreachable; the request did not run.
    TurnedAway { full: bool },
    /// The attempt failed after the request may have run.
    Broke { resumable: bool },
    /// The caller disconnected.
    Abandoned,
}

/// Destination of the answer.
enum AnswerSink {
    /// Nothing has been sent to the caller.
    Waiting(oneshot::Sender<CallerAnswer>),
    /// The head was sent and a stream is in progress.
    Streaming(mpsc::Sender<AnswerChunk>),
    /// The caller was answered.
    Done,
}

/// Head and body received so far of an answer that is not a stream.
struct BufferedAnswer {
    status: u16,
    headers: Vec<(String, Vec<u8>)>,
    body: BytesMut,
}

/// Task of one request: makes its attempts and sends the answer to the caller.
///
/// `arrived_at` is a time of the clock; `connected_after`, `accepted_after` and
/// `first_data_after` are counted from it and zero until then. The first two are those of the
/// latest attempt that got so far, the last one is that of the first data of all attempts.
struct RequestTask {
    context: Arc<TrafficContext>,
    request_id: String,
    request: RequestId,
    caller_request: CallerRequest,
    tracker: AnswerTracker,
    sink: AnswerSink,
    fill: FillPercent,
    arrived_at: Duration,
    connected_after: Duration,
    accepted_after: Duration,
    first_data_after: Duration,
}

impl RequestTask {
    fn new(
        context: Arc<TrafficContext>,
        request_id: String,
        caller_request: CallerRequest,
        reply: oneshot::Sender<CallerAnswer>,
    ) -> RequestTask {
        let request = RequestId::from_str_radix(&request_id, 16).unwrap_or_default();
        let arrived_at = context.clock.elapsed();
        let tracker = AnswerTracker::new(request);
        let sink = AnswerSink::Waiting(reply);
        RequestTask {
            context,
            request_id,
            request,
            caller_request,
            tracker,
            sink,
            fill: MAX_FILL,
            arrived_at,
            connected_after: Duration::ZERO,
            accepted_after: Duration::ZERO,
            first_data_after: Duration::ZERO,
        }
    }

    async fn run(mut self) {
        let (commands, mut command_receiver) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
        let arrival = self.build_arrival();
        let details = o!(
            "class" => arrival.class.clone(),
            "organisation" => arrival.organisation.clone(),
            "bytes" => self.caller_request.body.len(),
        );
        self.context.journal.note("arrived", Some(&self.request_id), details);
        self.context.decider.submit_request(arrival, commands);
        loop {
            let command = tokio::select! {
                command = command_receiver.recv() => command,
                () = caller_disconnected(&mut self.sink) => {
                    self.record_abandoned();
                    return;
                }
            };
            let ended = match command {
                Some(RequestCommand::Send { attempt, server, address, fill }) => {
                    self.fill = fill;
                    self.make_attempt(attempt, server, address).await
                }
                Some(RequestCommand::Refuse(refusal)) => {
                    self.send_refusal(&refusal).await;
                    true
                }
                None => true,
            };
            if ended {
                return;
            }
        }
    }

    fn build_arrival(&self) -> Arrival {
        let body = &self.caller_request.body;
        let body_start = &body[..body.len().min(PREFIX_BYTES)];
        Arrival {
            request: self.request,
            class: self.caller_request.class.clone(),
            organisation: self.caller_request.organisation.clone(),
            prefix: hash_parts(&[self.caller_request.organisation.as_bytes(), body_start]),
            time_left: self.caller_request.time_left,
        }
    }

    /// Makes an attempt and reports its outcome; returns whether the request has ended.
    async fn make_attempt(
        &mut self,
        attempt: AttemptNumber,
        server: ServerId,
        address: String,
    ) -> bool {
        self.tracker.begin_attempt(attempt);
        let details = o!("attempt" => attempt, "server" => server.clone());
        self.context.journal.note("sent", Some(&self.request_id), details);
        let attempt_outcome = self.run_attempt(&server, &address).await;
        let request = self.request;
        let (outcome, event, ended) = match attempt_outcome {
            AttemptOutcome::Completed => ("completed", EntryEvent::Completed(request), true),
            AttemptOutcome::TurnedAway { full } => {
                ("turned-away", EntryEvent::TurnedAway { request, full }, false)
            }
            AttemptOutcome::Broke { resumable } => {
                ("broke", EntryEvent::Broke { request, resumable }, false)
            }
            AttemptOutcome::Abandoned => ("abandoned", EntryEvent::Abandoned(request), true),
        };
        self.context.metrics.count_attempt(outcome, attempt > 1);
        if ended {
            self.context.metrics.count_request(&self.caller_request.class, outcome);
        }
        let elapsed = self.since_arrival();
        let details = o!(
            "attempt" => attempt,
            "server" => server,
            "outcome" => outcome,
            "events" => self.tracker.delivered(),
            "elapsed_ms" => elapsed.as_millis() as u64,
            "connected_us" => self.connected_after.as_micros() as u64,
            "accepted_us" => self.accepted_after.as_micros() as u64,
            "first_us" => self.first_data_after.as_micros() as u64,
        );
        self.context.journal.note("attempt-ended", Some(&self.request_id), details);
        self.context.decider.handle_event(event);
        ended
    }

    async fn run_attempt(&mut self, server: &ServerId, address: &str) -> AttemptOutcome {
        let Ok(channel) = self.context.pool.connect(address).await else {
            return AttemptOutcome::TurnedAway { full: false };
        };
        self.connected_after = self.since_arrival();
        let mut client = AgentClient::new(channel).max_decoding_message_size(MAX_FRAME_BYTES);
        let run_request = self.build_run_request();
        let response = tokio::select! {
            response = client.run(run_request) => response,
            () = caller_disconnected(&mut self.sink) => return AttemptOutcome::Abandoned,
        };
        match response {
            Ok(frames) => self.relay_frames(server, frames.into_inner()).await,
            Err(_) => {
                self.context.pool.forget(address);
                AttemptOutcome::Broke { resumable: true }
            }
        }
    }

    fn build_run_request(&self) -> wire::RunRequest {
        let headers = self.caller_request.headers.iter();
        let time_left = self.caller_request.time_left.map(|time_left| {
            time_left.saturating_sub(self.context.clock.elapsed().saturating_sub(self.arrived_at))
        });
        wire::RunRequest {
            request: self.request,
            attempt: self.tracker.attempt(),
            class_name: self.caller_request.class.clone(),
            organisation: self.caller_request.organisation.clone(),
            path: self.caller_request.path.clone(),
            headers: headers
                .map(|(name, value)| wire::Header { name: name.clone(), value: value.clone() })
                .collect(),
            body: self.caller_request.body.to_vec(),
            resume_after: self.tracker.delivered(),
            deadline_ms: time_left.map_or(0, |time_left| time_left.as_millis() as u64),
            fill_percent: self.fill,
            clock: self.context.journal.stamp(),
            entry: self.context.entry_id.clone(),
        }
    }

    async fn relay_frames(
        &mut self,
        server: &ServerId,
        mut frames: Streaming<wire::RunFrame>,
    ) -> AttemptOutcome {
        let mut buffered: Option<BufferedAnswer> = None;
        loop {
            let next = tokio::select! {
                next = frames.message() => next,
                () = caller_disconnected(&mut self.sink) => return AttemptOutcome::Abandoned,
            };
            let Ok(Some(frame)) = next else {
                return AttemptOutcome::Broke { resumable: true };
            };
            if let Some(load) = &frame.load {
                self.context.journal.merge(load.clock);
                let report = load_from_wire(load);
                self.context
                    .decider
                    .handle_event(EntryEvent::Load { server: server.clone(), report });
            }
            match self.tracker.check_frame(frame.request, frame.attempt, frame.sequence) {
                FrameDecision::Deliver => {}
                FrameDecision::Drop => continue,
                FrameDecision::Gap => return AttemptOutcome::Broke { resumable: true },
            }
            if let Some(outcome) = self.handle_frame(frame.body, &mut buffered).await {
                return outcome;
            }
        }
    }

    /// Handles one frame; returns the outcome if the attempt has ended.
    async fn handle_frame(
        &mut self,
        body: Option<FrameBody>,
        buffered: &mut Option<BufferedAnswer>,
    ) -> Option<AttemptOutcome> {
        match body {
            Some(FrameBody::Accepted(_)) => {
                self.accepted_after = self.since_arrival();
                None
            }
            Some(FrameBody::Refused(refused)) => {
                let full = refused.reason == AgentRefusal::Full.name();
                let details = o!("reason" => refused.reason);
                self.context.journal.note("turned-away", Some(&self.request_id), details);
                Some(AttemptOutcome::TurnedAway { full })
            }
            Some(FrameBody::Head(head)) => {
                self.handle_head(head, buffered);
                None
            }
            Some(FrameBody::Data(data)) => self.handle_data(Bytes::from(data), buffered).await,
            Some(FrameBody::End(_)) => {
                self.send_buffered(buffered.take());
                Some(AttemptOutcome::Completed)
            }
            Some(FrameBody::Failed(failed)) if failed.not_run => {
                Some(AttemptOutcome::TurnedAway { full: false })
            }
            Some(FrameBody::Failed(_)) | None => Some(AttemptOutcome::Broke { resumable: true }),
        }
    }

    fn since_arrival(&self) -> Duration {
        self.context.clock.elapsed().saturating_sub(self.arrived_at)
    }

    fn handle_head(&mut self, head: wire::Head, buffered: &mut Option<BufferedAnswer>) {
        let headers = head.headers.into_iter().map(|header| (header.name, header.value)).collect();
        let status = head.status as u16;
        if !head.streaming {
            *buffered = Some(BufferedAnswer { status, headers, body: BytesMut::new() });
            return;
        }
        match std::mem::replace(&mut self.sink, AnswerSink::Done) {
            AnswerSink::Waiting(reply) => {
                let (chunks, stream) = mpsc::channel(CHUNK_QUEUE_CAPACITY);
                let body = AnswerBody::Stream(stream);
                let request_id = self.request_id.clone();
                let _ = reply.send(CallerAnswer { request_id, status, headers, body });
                self.sink = AnswerSink::Streaming(chunks);
            }
            other => self.sink = other,
        }
    }

    async fn handle_data(
        &mut self,
        data: Bytes,
        buffered: &mut Option<BufferedAnswer>,
    ) -> Option<AttemptOutcome> {
        if self.first_data_after.is_zero() {
            self.first_data_after = self.since_arrival();
        }
        if let Some(buffered) = buffered {
            buffered.body.extend_from_slice(&data);
            let too_large = buffered.body.len() > MAX_BUFFERED_BYTES;
            return too_large.then_some(AttemptOutcome::Broke { resumable: false });
        }
        let AnswerSink::Streaming(chunks) = &self.sink else {
            return Some(AttemptOutcome::Broke { resumable: false });
        };
        match chunks.send_timeout(Ok(data), CHUNK_SEND_TIMEOUT).await {
            Ok(()) => {
                self.tracker.record_delivered();
                None
            }
            Err(_) => Some(AttemptOutcome::Abandoned),
        }
    }

    fn send_buffered(&mut self, buffered: Option<BufferedAnswer>) {
        let sink = std::mem::replace(&mut self.sink, AnswerSink::Done);
        if let (AnswerSink::Waiting(reply), Some(buffered)) = (sink, buffered) {
            let _ = reply.send(CallerAnswer {
                request_id: self.request_id.clone(),
                status: buffered.status,
                headers: buffered.headers,
                body: AnswerBody::Full(buffered.body.freeze()),
            });
        }
    }

    async fn send_refusal(&mut self, refusal: &Refusal) {
        record_refusal(&self.context, &self.request_id, refusal);
        self.context.metrics.count_request(&self.caller_request.class, "refused");
        match std::mem::replace(&mut self.sink, AnswerSink::Done) {
            AnswerSink::Waiting(reply) => {
                let _ = reply.send(refusal_answer(&self.request_id, refusal));
            }
            AnswerSink::Streaming(chunks) => {
                let _ = chunks.send_timeout(Err(AnswerCut), CHUNK_SEND_TIMEOUT).await;
            }
            AnswerSink::Done => {}
        }
    }

    fn record_abandoned(&mut self) {
        self.context.metrics.count_request(&self.caller_request.class, "abandoned");
        self.context.journal.note("abandoned", Some(&self.request_id), o!());
        self.context.decider.handle_event(EntryEvent::Abandoned(self.request));
    }
}

/// Completes when the caller has disconnected.
async fn caller_disconnected(sink: &mut AnswerSink) {
    match sink {
        AnswerSink::Waiting(reply) => reply.closed().await,
        AnswerSink::Streaming(chunks) => chunks.closed().await,
        AnswerSink::Done => std::future::pending().await,
    }
}
