//! Splits a stream of server-sent events into events.

use std::io::Read;

use crate::AnswerReader;
use crate::BackendError;

/// Largest event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Bytes that are read at a time.
const READ_CHUNK: usize = 4 * 1024;
/// Blank line that ends an event.
const EVENT_END: &[u8] = b"\n\n";

/// Reads events, each with its closing blank line.
pub struct EventReader<R> {
    reader: R,
    buffer: Vec<u8>,
    searched: usize,
    ended: bool,
}

impl<R: Read> EventReader<R> {
    /// Reads events from `reader`.
    pub fn new(reader: R) -> EventReader<R> {
        EventReader { reader, buffer: Vec::new(), searched: 0, ended: false }
    }

    fn take_event(&mut self) -> Option<Vec<u8>> {
        let from = self.searched.saturating_sub(EVENT_END.len() - 1);
        let found = self.buffer[from..].windows(EVENT_END.len()).position(|end| end == EVENT_END);
        match found {
            Some(offset) => {
                let rest = self.buffer.split_off(from + offset + EVENT_END.len());
                self.searched = 0;
                Some(std::mem::replace(&mut self.buffer, rest))
            }
            None => {
                self.searched = self.buffer.len();
                None
            }
        }
    }

    fn fill(&mut self) -> Result<(), BackendError> {
        let length = self.buffer.len();
        if length > MAX_EVENT_BYTES {
            return Err(BackendError::Broken(format!("an event over {MAX_EVENT_BYTES} bytes")));
        }
        self.buffer.resize(length + READ_CHUNK, 0);
        let read = self.reader.read(&mut self.buffer[length..]);
        let count = read.map_err(|error| BackendError::Broken(error.to_string()));
        self.buffer.truncate(length + *count.as_ref().unwrap_or(&0));
        self.ended = count? == 0;
        Ok(())
    }
}

impl<R: Read + Send> AnswerReader for EventReader<R> {
    fn next_piece(&mut self) -> Result<Option<Vec<u8>>, BackendError> {
        loop {
            if let Some(event) = self.take_event() {
                return Ok(Some(event));
            }
            if self.ended && self.buffer.is_empty() {
                return Ok(None);
            }
            if self.ended {
                return Err(BackendError::Broken("the stream ended within an event".to_string()));
            }
            self.fill()?;
        }
    }
}
