//! Relays a server's event stream to the caller. When the stream is interrupted, it is
//! resumed at another server after the last event that was sent.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cuminpick::event_stream::EventOrder;
use cuminpick::event_stream::EventPosition;
use cuminpick::event_stream::StreamEvent;
use cuminpick::routing::RepeatRule;
use slog::o;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::answer::AnswerBody;
use crate::answer::StreamAborted;
use crate::attempt::FailedAttempt;
use crate::attempt::fail_if_degraded;
use crate::crash_tracking::STREAM_END_HOLD_TIME;
use crate::serve::Exchange;
use crate::serve::OpenStream;
use crate::serve::RequestLog;
use crate::serve::ValidAnswer;
use crate::unit_tracking::AwaitGuard;
use crate::unit_tracking::record_event_gap;
use crate::unit_tracking::record_stream_data;

/// Events that are buffered for a caller that reads slowly.
const EVENT_CHANNEL_CAPACITY: usize = 8;

type EventSender = mpsc::Sender<Result<Bytes, StreamAborted>>;

/// Why events of one server's stream are no longer relayed.
#[derive(Debug, Clone, PartialEq, Eq)]
enum RelayEnd {
    Complete,
    CallerLeft,
    TimedOut,
    Broken(FailedAttempt),
}

/// Starts a task that relays `stream`, and returns the body that the caller reads.
pub fn start_relay(exchange: Exchange, stream: OpenStream, log: RequestLog) -> AnswerBody {
    let (sender, receiver) = mpsc::channel(EVENT_CHANNEL_CAPACITY);
    let first_event = log.age();
    let relay = Relay {
        event_order: EventOrder::after(exchange.caller_last_event),
        exchange,
        log,
        sender,
        events_sent: 0,
        last_event_at: None,
        last_server: None,
        longest_gap: Duration::ZERO,
        longest_gap_after: 0,
        first_event,
    };
    tokio::task::spawn_local(relay.run(stream));
    AnswerBody::Events(receiver)
}

struct Relay {
    exchange: Exchange,
    log: RequestLog,
    sender: EventSender,
    event_order: EventOrder,
    events_sent: u32,
    last_event_at: Option<Instant>,
    /// Server that sent the last event.
    last_server: Option<SocketAddr>,
    longest_gap: Duration,
    /// Number of events before the longest gap.
    longest_gap_after: u32,
    /// Time from the request's arrival to its first event.
    first_event: Duration,
}

impl Relay {
    async fn run(mut self, mut stream: OpenStream) {
        loop {
            match self.relay_events(&mut stream).await {
                RelayEnd::Complete => {
                    let Exchange { gateway, route, service, .. } = &self.exchange;
                    let mut lengths = gateway.stream_lengths.borrow_mut();
                    lengths.record(&route.name, self.events_sent);
                    lengths.record_service(service, self.events_sent);
                    drop(lengths);
                    return self.finish("answered", "the stream is complete");
                }
                RelayEnd::CallerLeft => return self.finish("caller-left", "during the stream"),
                RelayEnd::TimedOut => return self.abort("the answer's deadline passed").await,
                RelayEnd::Broken(failed) => {
                    self.exchange.record_failure(&stream.choice, &failed);
                    let OpenStream { choice, answer, .. } = stream;
                    drop(answer);
                    if self.exchange.probe_after_loss(&choice, &failed).await.is_err() {
                        return self.abort("the request is quarantined").await;
                    }
                }
            }
            match self.resume().await {
                Ok(resumed) => stream = resumed,
                Err(reason) => return self.abort(reason).await,
            }
        }
    }

    /// Sends events to the caller until the stream completes or fails.
    async fn relay_events(&mut self, stream: &mut OpenStream) -> RelayEnd {
        loop {
            for event in std::mem::take(&mut stream.events) {
                if let Err(end) = self.send_event(event, stream.choice.address).await {
                    return end;
                }
            }
            if stream.ended {
                return self.confirm_end(stream).await;
            }
            let read = tokio::select! {
                biased;
                () = self.sender.closed() => return RelayEnd::CallerLeft,
                () = tokio::time::sleep_until(self.exchange.answer_deadline) =>
                    return RelayEnd::TimedOut,
                read = read_stream(&self.exchange, stream) => read,
            };
            match read {
                Err(failed) => return RelayEnd::Broken(failed),
                Ok(None) if !stream.splitter.partial().is_empty() => {
                    let detail = "the stream ended inside an event";
                    return RelayEnd::Broken(FailedAttempt::disconnected(detail));
                }
                Ok(None) => stream.ended = true,
                Ok(Some(bytes)) => match stream.splitter.push(&bytes) {
                    Ok(events) => {
                        stream.events = events;
                        if let Err(failed) = stream.buffered.set(stream.splitter.partial().len()) {
                            return RelayEnd::Broken(failed);
                        }
                    }
                    Err(error) => return broken_answer(&error.to_string()),
                },
            }
        }
    }

    /// Waits until the end of a stream, whose events have all been sent, counts as complete.
    async fn confirm_end(&self, stream: &mut OpenStream) -> RelayEnd {
        let confirmed = tokio::select! {
            biased;
            () = self.sender.closed() => return RelayEnd::CallerLeft,
            () = tokio::time::sleep_until(self.exchange.answer_deadline) =>
                return RelayEnd::TimedOut,
            confirmed = stream.answer.confirm_end(STREAM_END_HOLD_TIME) => confirmed,
        };
        confirmed.map_or_else(RelayEnd::Broken, |()| RelayEnd::Complete)
    }

    /// Sends an event to the caller; drops duplicates and fails on a gap.
    async fn send_event(&mut self, event: StreamEvent, server: SocketAddr) -> Result<(), RelayEnd> {
        match self.event_order.advance(event.number) {
            EventPosition::Duplicate => return Ok(()),
            EventPosition::Gap => return Err(broken_answer("an event is missing")),
            EventPosition::Next => {}
        }
        self.record_event_gap(server);
        self.events_sent += 1;
        let sending = self.sender.send(Ok(Bytes::from(event.bytes)));
        sending.await.map_err(|_| RelayEnd::CallerLeft)
    }

    /// Records the time since the previous event, for the service and for this stream.
    fn record_event_gap(&mut self, server: SocketAddr) {
        let now = Instant::now();
        let is_same_server = self.last_server.replace(server) == Some(server);
        if let Some(last) = self.last_event_at.replace(now) {
            let gap = now - last;
            if gap > self.longest_gap {
                self.longest_gap = gap;
                self.longest_gap_after = self.events_sent;
            }
            let Exchange { gateway, service, .. } = &self.exchange;
            record_event_gap(gateway, service, server, gap, is_same_server);
        }
    }

    /// Resumes the stream at another server after the last event that was sent. The error
    /// says why that failed.
    async fn resume(&mut self) -> Result<OpenStream, &'static str> {
        let resumable = self.exchange.route.repeat == RepeatRule::ResumableStream;
        let Some(last) = self.event_order.last().filter(|_| resumable) else {
            return Err("the stream cannot be resumed");
        };
        if !self.exchange.retry_state.may_retry() {
            return Err("no further attempt is allowed");
        }
        let answer_deadline = self.exchange.answer_deadline;
        let next = self.exchange.obtain_answer(Some(last));
        let resumed = tokio::select! {
            biased;
            () = self.sender.closed() => return Err("the caller left"),
            resumed = tokio::time::timeout_at(answer_deadline, next) => resumed,
        };
        match resumed {
            Ok(Ok(ValidAnswer::Stream(stream))) => Ok(*stream),
            Ok(Ok(ValidAnswer::Complete { .. })) => Err("the next server sent no stream"),
            Ok(Err(_)) => Err("no server resumed the stream"),
            Err(_) => Err("the answer's deadline passed"),
        }
    }

    fn finish(mut self, outcome: &'static str, detail: &str) {
        self.log_stream_end();
        self.log.record_end(outcome, 200, detail);
    }

    async fn abort(mut self, reason: &str) {
        self.log_stream_end();
        self.log.record_end("cut", 200, reason);
        // Sending fails only if the caller has left.
        let _ = self.sender.send(Err(StreamAborted)).await;
    }

    fn log_stream_end(&self) {
        let route = &self.exchange.route.name;
        self.exchange.gateway.metrics.record_latency("longest-pause", route, self.longest_gap);
        self.exchange.gateway.journal.note(
            "stream-ended",
            self.exchange.attempt_id(),
            o!("events" => self.events_sent,
               "first_event_ms" => self.first_event.as_millis() as u64,
               "longest_pause_after" => self.longest_gap_after,
               "longest_pause_ms" => self.longest_gap.as_millis() as u64,
               "attempts" => self.exchange.retry_state.sent + 1),
        );
    }
}

/// Reads the next bytes of a stream. If another server may resume it, reading fails when
/// this one is silent or delays its group.
async fn read_stream(
    exchange: &Exchange,
    stream: &mut OpenStream,
) -> Result<Option<Bytes>, FailedAttempt> {
    let gateway = &exchange.gateway;
    let resumable = exchange.route.repeat == RepeatRule::ResumableStream;
    let address = stream.choice.address;
    let awaiting = AwaitGuard::begin(gateway, &exchange.service, address);
    let watched = exchange.watched_stream(&stream.choice, stream.sent_at, true);
    let next_bytes = stream.answer.next_bytes();
    let read = if resumable && exchange.retry_state.may_retry_after_failure() {
        fail_if_degraded(gateway, &watched, next_bytes).await
    } else {
        next_bytes.await
    };
    drop(awaiting);
    if let Ok(Some(_)) = read {
        record_stream_data(gateway, &exchange.service, address);
        gateway.silence_detector.borrow_mut().record_event(gateway.now(), &stream.choice.server);
    }
    read
}

fn broken_answer(detail: &str) -> RelayEnd {
    RelayEnd::Broken(FailedAttempt::broken(detail))
}
