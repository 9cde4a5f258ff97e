//! Splits a stream of server-sent events into complete events and checks their order.
//!
//! Only complete events are passed on, so that after a break within an event another
//! server can continue the stream after the last complete one.

/// Number from the `id` field of an event; grows by one with each event of a stream.
pub type EventNumber = u64;

/// A complete event, including the blank line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Bytes as the server sent them.
    pub bytes: Vec<u8>,
    /// Number of the event; `None` if it has no numeric `id`.
    pub number: Option<EventNumber>,
}

/// Reasons to reject bytes as a stream of events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// An event exceeds the maximum size, given in bytes.
    #[error("an event is larger than {0} bytes; the stream is cut")]
    EventTooLarge(usize),
    /// More than the given number of bytes came without a numbered event.
    #[error("no numbered event in {0} bytes; the stream is cut")]
    NoEvents(usize),
}

/// Buffers bytes until an event is complete.
#[derive(Debug, Clone, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    /// Length of the start of `pending` that is known to hold no blank line.
    scanned: usize,
    /// Bytes in complete events since the last numbered one.
    unnumbered_bytes: usize,
}

/// Largest event, in bytes; typical events have a few hundred.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Bytes of comments and blank lines that may come between two numbered events; a
/// keep-alive comment has about ten.
const MAX_UNNUMBERED_BYTES: usize = 16 * 1024;

impl EventSplitter {
    /// Appends bytes and returns the events that are complete with them.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<StreamEvent>, StreamError> {
        self.pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(end) = self.find_event_end(start) {
            let bytes = self.pending[start..end].to_vec();
            start = end;
            let number = event_number(&bytes);
            self.unnumbered_bytes =
                if number.is_some() { 0 } else { self.unnumbered_bytes + bytes.len() };
            if self.unnumbered_bytes > MAX_UNNUMBERED_BYTES {
                return Err(StreamError::NoEvents(MAX_UNNUMBERED_BYTES));
            }
            events.push(StreamEvent { number, bytes });
        }
        self.pending.drain(..start);
        self.scanned -= start;
        if self.pending.len() > MAX_EVENT_BYTES {
            return Err(StreamError::EventTooLarge(MAX_EVENT_BYTES));
        }
        Ok(events)
    }

    /// Returns the bytes of the last, incomplete event.
    pub fn partial(&self) -> &[u8] {
        &self.pending
    }

    /// Returns the end of the event that begins at `start`, after its blank line, or `None` if the
    /// pending bytes hold no blank line from there on.
    fn find_event_end(&mut self, start: usize) -> Option<usize> {
        for index in self.scanned.max(start)..self.pending.len() {
            let event = &self.pending[start..=index];
            if event.ends_with(b"\n\n") || event.ends_with(b"\n\r\n") {
                self.scanned = index + 1;
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

/// Position of an event relative to the last one that the caller has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventPosition {
    /// The event follows the last one, or has no number.
    Next,
    /// The caller has the event already.
    Duplicate,
    /// Events between the last one and this are missing.
    Gap,
}

/// Number of the last event that a caller received.
#[derive(Debug, Clone, Copy, Default)]
pub struct EventOrder {
    last: Option<EventNumber>,
}

impl EventOrder {
    /// Creates the order of a stream that continues after event `last`, which the caller
    /// states to have; `None` for a stream from the start.
    pub fn after(last: Option<EventNumber>) -> EventOrder {
        EventOrder { last }
    }

    /// Returns the number of the last event that the caller has.
    pub fn last(&self) -> Option<EventNumber> {
        self.last
    }

    /// Returns the position of an event, and records it as the last one if it is the next.
    ///
    /// The first event may have any number; each later one must have the next number.
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
