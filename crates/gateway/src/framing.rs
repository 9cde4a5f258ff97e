//! Refuses requests whose body could be framed in two ways.
//!
//! The HTTP library prefers one of two conflicting framings and drops the other
//! from the headers, so the head is looked at as it came.

use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

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

    fn keep(&self, read: &[u8]) {
        let mut bytes = self.bytes.borrow_mut();
        let room = KEPT_BYTES.saturating_sub(bytes.len());
        bytes.extend_from_slice(&read[..read.len().min(room)]);
    }
}

/// Whether a head states both a length and a transfer coding.
pub fn conflicting_framing(bytes: &[u8]) -> bool {
    let end = bytes.windows(4).position(|four| four == b"\r\n\r\n").unwrap_or(bytes.len());
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    let has = |name: &str| head.lines().skip(1).any(|line| line.starts_with(name));
    has("content-length") && has("transfer-encoding")
}

/// Connection of a caller that remembers the bytes of the current head.
pub struct WatchedStream {
    stream: TcpStream,
    head: HeadBytes,
}

impl WatchedStream {
    /// Watches a connection.
    pub fn new(stream: TcpStream, head: HeadBytes) -> WatchedStream {
        WatchedStream { stream, head }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.head.keep(&buffer.filled()[before..]);
        polled
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
