//! Detects requests that state both a content length and a transfer coding. Two parsers may
//! disagree about where such a request ends (request smuggling), so it is refused.
//!
//! The HTTP library prefers one of the two and drops the other from the headers, so the
//! check reads the bytes of the head as they were received.

use std::cell::RefCell;
use std::rc::Rc;

use cuminpick_platform::read_hook::ReadHook;

/// Bytes of a head that are copied for the check; the HTTP library refuses heads above the
/// configured bound.
const MAX_COPIED_BYTES: usize = 64 * 1024;

/// Bytes that a connection has received since the last request was read.
#[derive(Debug, Clone, Default)]
pub struct HeadBytes {
    bytes: Rc<RefCell<Vec<u8>>>,
}

impl HeadBytes {
    /// Whether the latest head states both a content length and a transfer coding.
    pub fn is_conflicting(&self) -> bool {
        has_conflicting_framing(&self.bytes.borrow())
    }

    /// Discards the bytes of a request that was read.
    pub fn clear(&self) {
        self.bytes.borrow_mut().clear();
    }
}

/// Whether a head states both a content length and a transfer coding.
pub fn has_conflicting_framing(bytes: &[u8]) -> bool {
    let end = bytes.windows(4).position(|four| four == b"\r\n\r\n").unwrap_or(bytes.len());
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    let has = |name: &str| head.lines().skip(1).any(|line| line.starts_with(name));
    has("content-length") && has("transfer-encoding")
}

impl ReadHook for HeadBytes {
    fn on_read(&mut self, read: &[u8]) -> std::io::Result<()> {
        let mut bytes = self.bytes.borrow_mut();
        let free = MAX_COPIED_BYTES.saturating_sub(bytes.len());
        bytes.extend_from_slice(&read[..read.len().min(free)]);
        Ok(())
    }
}
