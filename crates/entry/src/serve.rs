//! Carries callers' requests to agents and the answers back.

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

/// Verdicts that wait for a request's task.
const VERDICT_RING: usize = 4;
/// Pieces of a stream that wait for the caller's connection.
const PIECE_RING: usize = 32;
/// Time for which a caller may leave its stream unread.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Bytes at the start of a body that make up its prefix.
const PREFIX_BYTES: usize = 256;
/// Largest answer that is not a stream, in bytes.
const MAX_WHOLE_BYTES: usize = 16 << 20;
/// Largest frame from an agent, in bytes.
const MAX_FRAME_BYTES: usize = 2 << 20;

/// What requests work with.
pub struct TrafficContext {
    /// Identity of the entry.
    pub entry_id: String,
    /// Start of the identities of requests.
    pub request_id_seed: u64,
    /// Requests so far.
    pub request_count: AtomicU64,
    /// Way to the decisions.
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

/// Hands callers' requests to tasks.
pub struct TrafficHandler {
    context: Arc<TrafficContext>,
}

impl TrafficHandler {
    /// Makes the handler.
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
            let failed =
                refusal_answer(&request_id, &Refusal::may_have_run(RefusalKind::AnswerCut));
            let carrier = RequestCarrier::new(context, request_id, request, reply);
            tokio::spawn(carrier.run());
            answer.await.unwrap_or(failed)
        })
    }

    fn record_refusal(&self, request_id: &str, refusal: &Refusal) {
        record_refusal(&self.context, request_id, refusal);
    }
}

/// Returns the identity of a request as callers see it.
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
enum AttemptEnd {
    /// The answer is complete.
    Completed,
    /// The agent refused, or could not be reached; nothing ran.
    TurnedAway { full: bool },
    /// The attempt failed after it may have run.
    Broke { resumable: bool },
    /// The caller went away.
    Abandoned,
}

/// Where the answer goes.
enum AnswerSink {
    /// Nothing has been told to the caller.
    Waiting(oneshot::Sender<CallerAnswer>),
    /// A stream is under way.
    Streaming(mpsc::Sender<AnswerChunk>),
    /// The caller has its answer.
    Done,
}

/// Head and collected body of an answer that is not a stream.
struct WholeAnswer {
    status: u16,
    headers: Vec<(String, Vec<u8>)>,
    body: BytesMut,
}

/// Task of one request.
struct RequestCarrier {
    context: Arc<TrafficContext>,
    request_id: String,
    request: RequestId,
    call: CallerRequest,
    check: AnswerTracker,
    sink: AnswerSink,
    fill: FillPercent,
    arrived: Duration,
    connected: Duration,
    accepted: Duration,
    first: Duration,
}

impl RequestCarrier {
    fn new(
        context: Arc<TrafficContext>,
        request_id: String,
        call: CallerRequest,
        reply: oneshot::Sender<CallerAnswer>,
    ) -> RequestCarrier {
        let request = RequestId::from_str_radix(&request_id, 16).unwrap_or_default();
        let arrived = context.clock.elapsed();
        let check = AnswerTracker::new(request);
        let sink = AnswerSink::Waiting(reply);
        RequestCarrier {
            context,
            request_id,
            request,
            call,
            check,
            sink,
            fill: MAX_FILL,
            arrived,
            connected: Duration::ZERO,
            accepted: Duration::ZERO,
            first: Duration::ZERO,
        }
    }

    async fn run(mut self) {
        let (verdicts, mut inbox) = mpsc::channel(VERDICT_RING);
        let arrival = self.arrival();
        let details = o!(
            "class" => arrival.class.clone(),
            "organisation" => arrival.organisation.clone(),
            "bytes" => self.call.body.len(),
        );
        self.context.journal.note("arrived", Some(&self.request_id), details);
        self.context.decider.submit_request(arrival, verdicts);
        loop {
            let verdict = tokio::select! {
                verdict = inbox.recv() => verdict,
                () = sink_closed(&mut self.sink) => {
                    self.abandon();
                    return;
                }
            };
            let ended = match verdict {
                Some(RequestCommand::Send { attempt, server, address, fill }) => {
                    self.fill = fill;
                    self.attempt(attempt, server, address).await
                }
                Some(RequestCommand::Refuse(refusal)) => {
                    self.refuse(&refusal).await;
                    true
                }
                None => true,
            };
            if ended {
                return;
            }
        }
    }

    fn arrival(&self) -> Arrival {
        let body = &self.call.body;
        let start = &body[..body.len().min(PREFIX_BYTES)];
        Arrival {
            request: self.request,
            class: self.call.class.clone(),
            organisation: self.call.organisation.clone(),
            prefix: hash_parts(&[self.call.organisation.as_bytes(), start]),
            time_left: self.call.time_left,
        }
    }

    /// Runs an attempt and reports its end; returns whether the request has ended.
    async fn attempt(&mut self, attempt: AttemptNumber, server: ServerId, address: String) -> bool {
        self.check.begin_attempt(attempt);
        let details = o!("attempt" => attempt, "server" => server.clone());
        self.context.journal.note("sent", Some(&self.request_id), details);
        let end = self.run_attempt(&server, &address).await;
        let request = self.request;
        let (outcome, event, ended) = match end {
            AttemptEnd::Completed => ("completed", EntryEvent::Completed(request), true),
            AttemptEnd::TurnedAway { full } => {
                ("turned-away", EntryEvent::TurnedAway { request, full }, false)
            }
            AttemptEnd::Broke { resumable } => {
                ("broke", EntryEvent::Broke { request, resumable }, false)
            }
            AttemptEnd::Abandoned => ("abandoned", EntryEvent::Abandoned(request), true),
        };
        self.context.metrics.count_attempt(outcome, attempt > 1);
        if ended {
            self.context.metrics.count_request(&self.call.class, outcome);
        }
        let elapsed = self.since_arrival();
        let details = o!(
            "attempt" => attempt,
            "server" => server,
            "outcome" => outcome,
            "events" => self.check.delivered(),
            "elapsed_ms" => elapsed.as_millis() as u64,
            "connected_us" => self.connected.as_micros() as u64,
            "accepted_us" => self.accepted.as_micros() as u64,
            "first_us" => self.first.as_micros() as u64,
        );
        self.context.journal.note("attempt-ended", Some(&self.request_id), details);
        self.context.decider.handle_event(event);
        ended
    }

    async fn run_attempt(&mut self, server: &ServerId, address: &str) -> AttemptEnd {
        let Ok(channel) = self.context.pool.connect(address).await else {
            return AttemptEnd::TurnedAway { full: false };
        };
        self.connected = self.since_arrival();
        let mut client = AgentClient::new(channel).max_decoding_message_size(MAX_FRAME_BYTES);
        let message = self.run_message();
        let started = tokio::select! {
            started = client.run(message) => started,
            () = sink_closed(&mut self.sink) => return AttemptEnd::Abandoned,
        };
        match started {
            Ok(frames) => self.carry_frames(server, frames.into_inner()).await,
            Err(_) => {
                self.context.pool.forget(address);
                AttemptEnd::Broke { resumable: true }
            }
        }
    }

    fn run_message(&self) -> wire::RunRequest {
        let headers = self.call.headers.iter();
        let left = self.call.time_left.map(|left| {
            left.saturating_sub(self.context.clock.elapsed().saturating_sub(self.arrived))
        });
        wire::RunRequest {
            request: self.request,
            attempt: self.check.attempt(),
            class_name: self.call.class.clone(),
            organisation: self.call.organisation.clone(),
            path: self.call.path.clone(),
            headers: headers
                .map(|(name, value)| wire::Header { name: name.clone(), value: value.clone() })
                .collect(),
            body: self.call.body.to_vec(),
            resume_after: self.check.delivered(),
            deadline_ms: left.map_or(0, |left| left.as_millis() as u64),
            fill_percent: self.fill,
            clock: self.context.journal.stamp(),
            entry: self.context.entry_id.clone(),
        }
    }

    async fn carry_frames(
        &mut self,
        server: &ServerId,
        mut frames: Streaming<wire::RunFrame>,
    ) -> AttemptEnd {
        let mut whole: Option<WholeAnswer> = None;
        loop {
            let next = tokio::select! {
                next = frames.message() => next,
                () = sink_closed(&mut self.sink) => return AttemptEnd::Abandoned,
            };
            let Ok(Some(frame)) = next else {
                return AttemptEnd::Broke { resumable: true };
            };
            if let Some(figure) = &frame.load {
                self.context.journal.merge(figure.clock);
                let report = load_from_wire(figure);
                self.context
                    .decider
                    .handle_event(EntryEvent::Load { server: server.clone(), report });
            }
            match self.check.check_frame(frame.request, frame.attempt, frame.sequence) {
                FrameDecision::Deliver => {}
                FrameDecision::Drop => continue,
                FrameDecision::Gap => return AttemptEnd::Broke { resumable: true },
            }
            if let Some(end) = self.carry_frame(frame.body, &mut whole).await {
                return end;
            }
        }
    }

    /// Carries one frame; returns how the attempt ended if it did.
    async fn carry_frame(
        &mut self,
        body: Option<FrameBody>,
        whole: &mut Option<WholeAnswer>,
    ) -> Option<AttemptEnd> {
        match body {
            Some(FrameBody::Accepted(_)) => {
                self.accepted = self.since_arrival();
                None
            }
            Some(FrameBody::Refused(refused)) => {
                let full = refused.reason == AgentRefusal::Full.name();
                let details = o!("reason" => refused.reason);
                self.context.journal.note("turned-away", Some(&self.request_id), details);
                Some(AttemptEnd::TurnedAway { full })
            }
            Some(FrameBody::Head(head)) => {
                self.take_head(head, whole);
                None
            }
            Some(FrameBody::Data(data)) => self.take_data(Bytes::from(data), whole).await,
            Some(FrameBody::End(_)) => {
                self.finish(whole.take());
                Some(AttemptEnd::Completed)
            }
            Some(FrameBody::Failed(failed)) if failed.not_run => {
                Some(AttemptEnd::TurnedAway { full: false })
            }
            Some(FrameBody::Failed(_)) | None => Some(AttemptEnd::Broke { resumable: true }),
        }
    }

    fn since_arrival(&self) -> Duration {
        self.context.clock.elapsed().saturating_sub(self.arrived)
    }

    fn take_head(&mut self, head: wire::Head, whole: &mut Option<WholeAnswer>) {
        let headers = head.headers.into_iter().map(|header| (header.name, header.value)).collect();
        let status = head.status as u16;
        if !head.streaming {
            *whole = Some(WholeAnswer { status, headers, body: BytesMut::new() });
            return;
        }
        match std::mem::replace(&mut self.sink, AnswerSink::Done) {
            AnswerSink::Waiting(reply) => {
                let (pieces, stream) = mpsc::channel(PIECE_RING);
                let body = AnswerBody::Stream(stream);
                let request_id = self.request_id.clone();
                let _ = reply.send(CallerAnswer { request_id, status, headers, body });
                self.sink = AnswerSink::Streaming(pieces);
            }
            other => self.sink = other,
        }
    }

    async fn take_data(
        &mut self,
        data: Bytes,
        whole: &mut Option<WholeAnswer>,
    ) -> Option<AttemptEnd> {
        if self.first.is_zero() {
            self.first = self.since_arrival();
        }
        if let Some(whole) = whole {
            whole.body.extend_from_slice(&data);
            let too_large = whole.body.len() > MAX_WHOLE_BYTES;
            return too_large.then_some(AttemptEnd::Broke { resumable: false });
        }
        let AnswerSink::Streaming(pieces) = &self.sink else {
            return Some(AttemptEnd::Broke { resumable: false });
        };
        match pieces.send_timeout(Ok(data), UNREAD_TIMEOUT).await {
            Ok(()) => {
                self.check.record_delivered();
                None
            }
            Err(_) => Some(AttemptEnd::Abandoned),
        }
    }

    fn finish(&mut self, whole: Option<WholeAnswer>) {
        let sink = std::mem::replace(&mut self.sink, AnswerSink::Done);
        if let (AnswerSink::Waiting(reply), Some(whole)) = (sink, whole) {
            let _ = reply.send(CallerAnswer {
                request_id: self.request_id.clone(),
                status: whole.status,
                headers: whole.headers,
                body: AnswerBody::Full(whole.body.freeze()),
            });
        }
    }

    async fn refuse(&mut self, refusal: &Refusal) {
        record_refusal(&self.context, &self.request_id, refusal);
        self.context.metrics.count_request(&self.call.class, "refused");
        match std::mem::replace(&mut self.sink, AnswerSink::Done) {
            AnswerSink::Waiting(reply) => {
                let _ = reply.send(refusal_answer(&self.request_id, refusal));
            }
            AnswerSink::Streaming(pieces) => {
                let _ = pieces.send_timeout(Err(AnswerCut), UNREAD_TIMEOUT).await;
            }
            AnswerSink::Done => {}
        }
    }

    fn abandon(&mut self) {
        self.context.metrics.count_request(&self.call.class, "abandoned");
        self.context.journal.note("abandoned", Some(&self.request_id), o!());
        self.context.decider.handle_event(EntryEvent::Abandoned(self.request));
    }
}

/// Completes when the caller has gone away.
async fn sink_closed(sink: &mut AnswerSink) {
    match sink {
        AnswerSink::Waiting(reply) => reply.closed().await,
        AnswerSink::Streaming(pieces) => pieces.closed().await,
        AnswerSink::Done => std::future::pending().await,
    }
}
