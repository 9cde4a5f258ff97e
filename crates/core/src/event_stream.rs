//! Splits a stream of server-sent events into whole events.
//!
//! Only whole events are passed on, so that a stream that breaks off inside an
//! event can be continued by another server after the last whole one.

/// Number that a server gives to an event; grows within a stream.
pub type EventNumber = u64;

/// A whole event with its closing blank line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Bytes as the server sent them.
    pub bytes: Vec<u8>,
    /// Number of the event, if it has one.
    pub number: Option<EventNumber>,
}

/// Bytes that are no stream of events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// An event is larger than the splitter takes.
    #[error("an event is larger than {0} bytes; the stream is cut")]
    EventTooLarge(usize),
    /// Too much came without a numbered event.
    #[error("no numbered event in {0} bytes; the stream is cut")]
    NoEvents(usize),
}

/// Collects bytes until an event is whole.
#[derive(Debug, Clone, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    scanned: usize,
    /// Bytes since the last numbered event.
    unnumbered: usize,
}

/// Largest event, in bytes; events hold some hundred.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Bytes of comments and blank lines that may come between two numbered events; a
/// comment that keeps a connection open holds some ten.
const MAX_UNNUMBERED_BYTES: usize = 16 * 1024;

impl EventSplitter {
    /// Takes bytes in and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<StreamEvent>, StreamError> {
        self.pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.find_end() {
            let rest = self.pending.split_off(end);
            let bytes = std::mem::replace(&mut self.pending, rest);
            self.scanned = 0;
            let number = event_number(&bytes);
            self.unnumbered = if number.is_some() { 0 } else { self.unnumbered + bytes.len() };
            if self.unnumbered > MAX_UNNUMBERED_BYTES {
                return Err(StreamError::NoEvents(MAX_UNNUMBERED_BYTES));
            }
            events.push(StreamEvent { number, bytes });
        }
        if self.pending.len() > MAX_EVENT_BYTES {
            return Err(StreamError::EventTooLarge(MAX_EVENT_BYTES));
        }
        Ok(events)
    }

    /// Returns the bytes of an event that is not whole.
    pub fn partial(&self) -> &[u8] {
        &self.pending
    }

    /// Returns the length up to the first blank line, if there is one.
    fn find_end(&mut self) -> Option<usize> {
        let start = self.scanned.saturating_sub(3);
        for index in start..self.pending.len() {
            let upto = &self.pending[..=index];
            if upto.ends_with(b"\n\n") || upto.ends_with(b"\n\r\n") {
                return Some(index + 1);
            }
        }
        self.scanned = self.pending.len();
        None
    }
}

fn event_number(event: &[u8]) -> Option<EventNumber> {
    let line = event.split(|&byte| byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}

/// What to do with an event of a stream that may have been continued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventPosition {
    /// The event follows the last one and is passed on.
    Next,
    /// The caller has the event already.
    Duplicate,
    /// Events between the last one and this are missing.
    Gap,
}

/// Order of the events that a caller received.
#[derive(Debug, Clone, Copy, Default)]
pub struct EventOrder {
    last: Option<EventNumber>,
}

impl EventOrder {
    /// Starts after the event that the caller says it has.
    pub fn after(last: Option<EventNumber>) -> EventOrder {
        EventOrder { last }
    }

    /// Number of the last event that the caller has.
    pub fn last(&self) -> Option<EventNumber> {
        self.last
    }

    /// Judges the next event, and takes it in when it is the next one.
    ///
    /// Numbers that start anywhere are taken for the first event; from then on
    /// each event carries the next number.
    pub fn advance(&mut self, number: Option<EventNumber>) -> EventPosition {
        let Some(number) = number else {
            return EventPosition::Next;
        };
        match self.last {
            Some(last) if number <= last => return EventPosition::Duplicate,
            Some(last) if number > last + 1 => return EventPosition::Gap,
            _ => {}
        }
        self.last = Some(number);
        EventPosition::Next
    }
}
