//! Splits a stream of server-sent events into events.

use std::io::Read;

use crate::AnswerReader;
use crate::BackendError;

/// Largest event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Number of bytes that a read requests.
const READ_CHUNK_BYTES: usize = 4 * 1024;
/// Line end and blank line that end an event.
const EVENT_TERMINATOR: &[u8] = b"\n\n";

/// Reader of server-sent events; returns each with its closing blank line.
pub struct EventReader<R> {
    reader: R,
    buffer: Vec<u8>,
    /// Length of the buffer's prefix that holds no terminator.
    searched_bytes: usize,
    at_end: bool,
}

impl<R: Read> EventReader<R> {
    /// Creates a reader of the events in `reader`.
    pub fn new(reader: R) -> EventReader<R> {
        EventReader { reader, buffer: Vec::new(), searched_bytes: 0, at_end: false }
    }

    /// Removes the first complete event from the buffer.
    fn take_event(&mut self) -> Option<Vec<u8>> {
        let search_start = self.searched_bytes.saturating_sub(EVENT_TERMINATOR.len() - 1);
        let position = self.buffer[search_start..]
            .windows(EVENT_TERMINATOR.len())
            .position(|window| window == EVENT_TERMINATOR);
        match position {
            Some(offset) => {
                let rest = self.buffer.split_off(search_start + offset + EVENT_TERMINATOR.len());
                self.searched_bytes = 0;
                Some(std::mem::replace(&mut self.buffer, rest))
            }
            None => {
                self.searched_bytes = self.buffer.len();
                None
            }
        }
    }

    /// Appends a chunk to the buffer; fails if the current event is too large.
    fn read_more(&mut self) -> Result<(), BackendError> {
        let filled = self.buffer.len();
        if filled > MAX_EVENT_BYTES {
            return Err(BackendError::Interrupted(format!(
                "an event over {MAX_EVENT_BYTES} bytes"
            )));
        }
        self.buffer.resize(filled + READ_CHUNK_BYTES, 0);
        let read_result = self.reader.read(&mut self.buffer[filled..]);
        let read_count = read_result.map_err(|error| BackendError::Interrupted(error.to_string()));
        self.buffer.truncate(filled + *read_count.as_ref().unwrap_or(&0));
        self.at_end = read_count? == 0;
        Ok(())
    }
}

impl<R: Read + Send> AnswerReader for EventReader<R> {
    fn next_chunk(&mut self) -> Result<Option<Vec<u8>>, BackendError> {
        loop {
            if let Some(event) = self.take_event() {
                return Ok(Some(event));
            }
            if self.at_end && self.buffer.is_empty() {
                return Ok(None);
            }
            if self.at_end {
                return Err(BackendError::Interrupted(
                    "the stream ended within an event".to_string(),
                ));
            }
            self.read_more()?;
        }
    }
}
