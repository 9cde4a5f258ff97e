//! Refuses requests whose body could be framed in two ways.
//!
//! The HTTP library prefers one of two conflicting framings and drops the other
//! from the headers, so the head is looked at as it came.

use std::cell::RefCell;
use std::rc::Rc;

use cuminpick_platform::read_hook::ReadHook;

/// Bytes of a head that are kept; heads above the configured bound are refused
/// by the HTTP library.
const KEPT_BYTES: usize = 64 * 1024;

/// Bytes that came since the last request was read.
#[derive(Debug, Clone, Default)]
pub struct HeadBytes {
    bytes: Rc<RefCell<Vec<u8>>>,
}

impl HeadBytes {
    /// Whether the head that came last states both a length and a transfer coding.
    pub fn conflicting(&self) -> bool {
        conflicting_framing(&self.bytes.borrow())
    }

    /// Forgets the bytes of a request that was read.
    pub fn clear(&self) {
        self.bytes.borrow_mut().clear();
    }
}

/// Whether a head states both a length and a transfer coding.
pub fn conflicting_framing(bytes: &[u8]) -> bool {
    let end = bytes.windows(4).position(|four| four == b"\r\n\r\n").unwrap_or(bytes.len());
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    let has = |name: &str| head.lines().skip(1).any(|line| line.starts_with(name));
    has("content-length") && has("transfer-encoding")
}

impl ReadHook for HeadBytes {
    fn on_read(&mut self, read: &[u8]) -> std::io::Result<()> {
        let mut bytes = self.bytes.borrow_mut();
        let room = KEPT_BYTES.saturating_sub(bytes.len());
        bytes.extend_from_slice(&read[..read.len().min(room)]);
        Ok(())
    }
}
