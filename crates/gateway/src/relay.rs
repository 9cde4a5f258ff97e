//! Carries a stream to the caller, and continues it at another server when it
//! breaks off.

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
use crate::answer::StreamCut;
use crate::attempt::FailedAttempt;
use crate::attempt::unless_silent;
use crate::serve::Exchange;
use crate::serve::OpenStream;
use crate::serve::RequestLog;
use crate::serve::SoundAnswer;

/// Events that wait for a caller that reads slowly.
const EVENT_RING: usize = 8;

type EventSender = mpsc::Sender<Result<Bytes, StreamCut>>;

/// Why a relay ends.
#[derive(Debug, Clone, PartialEq, Eq)]
enum RelayEnd {
    Complete,
    CallerLeft,
    TimedOut,
    Broken(FailedAttempt),
}

/// Starts to carry a stream and returns the body that the caller reads.
pub fn start_relay(exchange: Exchange, stream: OpenStream, log: RequestLog) -> AnswerBody {
    let (sender, receiver) = mpsc::channel(EVENT_RING);
    let relay = Relay {
        order: EventOrder::after(exchange.caller_has),
        exchange,
        log,
        sender,
        passed: 0,
        last_event_at: None,
        longest_pause: Duration::ZERO,
    };
    tokio::task::spawn_local(relay.run(stream));
    AnswerBody::Events(receiver)
}

struct Relay {
    exchange: Exchange,
    log: RequestLog,
    sender: EventSender,
    order: EventOrder,
    passed: u32,
    last_event_at: Option<Instant>,
    longest_pause: Duration,
}

impl Relay {
    async fn run(mut self, mut stream: OpenStream) {
        loop {
            match self.carry(&mut stream).await {
                RelayEnd::Complete => {
                    stream.answer.note_end();
                    let route = &self.exchange.route.name;
                    self.exchange.gateway.stream_lengths.borrow_mut().record(route, self.passed);
                    return self.end("answered", "stream complete");
                }
                RelayEnd::CallerLeft => return self.end("caller-left", "during the stream"),
                RelayEnd::TimedOut => return self.cut("the route's timeout passed").await,
                RelayEnd::Broken(failed) => {
                    self.exchange.note_failure(&stream.choice.server, &failed);
                    let OpenStream { choice, answer, .. } = stream;
                    drop(answer);
                    if self.exchange.settle_loss(&choice, &failed).await.is_err() {
                        return self.cut("servers end when they run the request").await;
                    }
                }
            }
            match self.resume().await {
                Ok(resumed) => stream = resumed,
                Err(reason) => return self.cut(reason).await,
            }
        }
    }

    /// Passes events on until the stream ends in one way or another.
    async fn carry(&mut self, stream: &mut OpenStream) -> RelayEnd {
        loop {
            for event in std::mem::take(&mut stream.events) {
                if let Err(end) = self.pass_on(event).await {
                    return end;
                }
            }
            if stream.ended {
                return RelayEnd::Complete;
            }
            let read = tokio::select! {
                biased;
                () = self.sender.closed() => return RelayEnd::CallerLeft,
                () = tokio::time::sleep_until(self.exchange.give_up) => return RelayEnd::TimedOut,
                read = read_stream(&self.exchange, stream) => read,
            };
            match read {
                Err(failed) => return RelayEnd::Broken(failed),
                Ok(None) if !stream.splitter.partial().is_empty() => {
                    let detail = "the stream ended inside an event";
                    return RelayEnd::Broken(FailedAttempt::cut(detail));
                }
                Ok(None) => stream.ended = true,
                Ok(Some(bytes)) => match stream.splitter.push(&bytes) {
                    Ok(events) => {
                        stream.events = events;
                        if let Err(failed) = stream.buffered.set(stream.splitter.partial().len()) {
                            return RelayEnd::Broken(failed);
                        }
                    }
                    Err(error) => return broken(&error.to_string()),
                },
            }
        }
    }

    async fn pass_on(&mut self, event: StreamEvent) -> Result<(), RelayEnd> {
        match self.order.advance(event.number) {
            EventPosition::Duplicate => return Ok(()),
            EventPosition::Gap => return Err(broken("an event is missing")),
            EventPosition::Next => {}
        }
        self.note_pause();
        self.passed += 1;
        let sending = self.sender.send(Ok(Bytes::from(event.bytes)));
        sending.await.map_err(|_| RelayEnd::CallerLeft)
    }

    fn note_pause(&mut self) {
        let now = Instant::now();
        if let Some(last) = self.last_event_at.replace(now) {
            let pause = now - last;
            self.longest_pause = self.longest_pause.max(pause);
            let since_start = self.exchange.gateway.now();
            let mut pauses = self.exchange.gateway.event_gaps.borrow_mut();
            pauses.entry(self.exchange.service.clone()).or_default().record(since_start, pause);
        }
    }

    /// Continues after the last event that the caller has.
    async fn resume(&mut self) -> Result<OpenStream, &'static str> {
        let resumable = self.exchange.route.repeat == RepeatRule::ResumableStream;
        let Some(last) = self.order.last().filter(|_| resumable) else {
            return Err("the stream cannot be continued");
        };
        if !self.exchange.state.may_retry() {
            return Err("no further attempt allowed");
        }
        let give_up = self.exchange.give_up;
        let next = self.exchange.next_sound(Some(last));
        let resumed = tokio::select! {
            biased;
            () = self.sender.closed() => return Err("the caller left"),
            resumed = tokio::time::timeout_at(give_up, next) => resumed,
        };
        match resumed {
            Ok(Ok(SoundAnswer::Stream(stream))) => Ok(*stream),
            Ok(Ok(SoundAnswer::Whole { .. })) => Err("the next server gave no stream"),
            Ok(Err(_)) => Err("no server continued the stream"),
            Err(_) => Err("the route's timeout passed"),
        }
    }

    fn end(mut self, outcome: &'static str, detail: &str) {
        self.note_events();
        self.log.end(outcome, 200, detail);
    }

    async fn cut(mut self, reason: &str) {
        self.note_events();
        self.log.end("cut", 200, reason);
        // A caller that has left needs no sign that the stream is cut.
        let _ = self.sender.send(Err(StreamCut)).await;
    }

    fn note_events(&self) {
        let class = &self.exchange.route.name;
        self.exchange.gateway.metrics.record_latency("longest-pause", class, self.longest_pause);
        self.exchange.gateway.journal.note(
            "stream-ended",
            self.exchange.attempt_id(),
            o!("events" => self.passed,
               "longest_pause_ms" => self.longest_pause.as_millis() as u64,
               "attempts" => self.exchange.state.sent + 1),
        );
    }
}

/// Reads the next bytes of a stream; one that another server may continue is
/// given up when its own falls silent.
async fn read_stream(
    exchange: &Exchange,
    stream: &mut OpenStream,
) -> Result<Option<Bytes>, FailedAttempt> {
    let gateway = &exchange.gateway;
    let resumable = exchange.route.repeat == RepeatRule::ResumableStream;
    let reading = stream.answer.next_bytes();
    let read = if resumable && exchange.state.may_retry_after_failure() {
        unless_silent(gateway, &exchange.service, &stream.choice.server, reading).await
    } else {
        reading.await
    };
    if let Ok(Some(_)) = read {
        gateway.silence_detector.borrow_mut().record_event(gateway.now(), &stream.choice.server);
    }
    read
}

fn broken(detail: &str) -> RelayEnd {
    RelayEnd::Broken(FailedAttempt::broken(detail))
}
