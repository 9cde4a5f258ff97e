//! Stand-in for a server that sends endless answers, to test that readers bound them.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::site::listen;

/// Maximum number of bytes per write.
const CHUNK_BYTES: usize = 16 * 1024;
/// Pause before each write of a slow server.
const SLOW_PAUSE: Duration = Duration::from_millis(100);
/// Bytes per write of a slow server.
const SLOW_CHUNK_BYTES: usize = 8;

/// Part of an HTTP answer that never ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FloodKind {
    /// The status line.
    StatusLine,
    /// The value of one header.
    Header,
    /// An endless list of headers.
    Headers,
    /// Interim (1xx) responses before the final one.
    InterimHeads,
    /// A body that goes on past its `Content-Length`.
    PastLength,
    /// Chunks of a chunked body, without a last one.
    Chunks,
    /// The size line of a chunk.
    ChunkSize,
    /// An endless list of trailers after the last chunk.
    Trailers,
    /// An event stream of blank lines, which form no events.
    NoEvents,
    /// One event of an event stream.
    LongEvent,
}

impl FloodKind {
    /// All kinds: four that flood heads, four bodies, two event streams.
    pub const ALL: [FloodKind; 10] = [
        FloodKind::StatusLine,
        FloodKind::Header,
        FloodKind::Headers,
        FloodKind::InterimHeads,
        FloodKind::PastLength,
        FloodKind::Chunks,
        FloodKind::ChunkSize,
        FloodKind::Trailers,
        FloodKind::NoEvents,
        FloodKind::LongEvent,
    ];

    /// Returns the text that is sent once, with `headers` in its head, and the text that is
    /// repeated after it.
    fn texts(self, headers: &str) -> (String, String) {
        let head = format!("HTTP/1.1 200 OK\r\n{headers}");
        let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
        match self {
            FloodKind::StatusLine => ("HTTP/1.1 200 O".to_string(), "K".repeat(64)),
            FloodKind::Header => (format!("{head}X-Long: "), "x".repeat(64)),
            FloodKind::Headers => (head, "X-More: and more\r\n".to_string()),
            FloodKind::InterimHeads => {
                (String::new(), "HTTP/1.1 102 Processing\r\n\r\n".to_string())
            }
            FloodKind::PastLength => {
                (format!("{head}Content-Length: 2\r\n\r\n{{}}"), "x".repeat(64))
            }
            FloodKind::Chunks => (chunked, format!("40\r\n{}\r\n", "x".repeat(64))),
            FloodKind::ChunkSize => (chunked, "0".repeat(64)),
            FloodKind::Trailers => (format!("{chunked}0\r\n"), "X-More: and more\r\n".to_string()),
            FloodKind::NoEvents => (chunked, "2\r\n\n\n\r\n".to_string()),
            FloodKind::LongEvent => {
                (format!("{chunked}6\r\ndata: \r\n"), format!("40\r\n{}\r\n", "x".repeat(64)))
            }
        }
    }
}

/// Handle of a server that sends endless answers; clones share the server.
#[derive(Clone)]
pub struct FloodServer {
    kind: FloodKind,
    slow: bool,
    headers: String,
    bytes_sent: Arc<AtomicU64>,
    open_connections: Arc<AtomicU64>,
}

impl FloodServer {
    /// Starts a server on a free port of `ip`. `headers` are complete header lines that each
    /// answer's head includes; a `slow` server sends a few bytes at a time.
    pub async fn start(
        ip: IpAddr,
        kind: FloodKind,
        slow: bool,
        headers: &str,
    ) -> std::io::Result<(FloodServer, SocketAddr)> {
        let (listener, address) = listen(ip).await?;
        let (bytes_sent, open_connections) = (Arc::default(), Arc::default());
        let server =
            FloodServer { kind, slow, headers: headers.to_string(), bytes_sent, open_connections };
        let accepting = server.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let connection = accepting.clone();
                tokio::spawn(async move {
                    connection.open_connections.fetch_add(1, Ordering::Relaxed);
                    // An error is expected: the peer closes the connection eventually.
                    let _ = connection.send_endlessly(stream).await;
                    connection.open_connections.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        Ok((server, address))
    }

    /// Returns the number of repeated bytes that were sent.
    pub fn sent(&self) -> u64 {
        self.bytes_sent.load(Ordering::Relaxed)
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> u64 {
        self.open_connections.load(Ordering::Relaxed)
    }

    /// Reads one request head, then answers until the peer closes the connection.
    async fn send_endlessly(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut request = Vec::new();
        while !request.windows(4).any(|four| four == b"\r\n\r\n") {
            if stream.read_buf(&mut request).await? == 0 {
                return Ok(());
            }
        }
        let (start, repeated) = self.kind.texts(&self.headers);
        stream.write_all(start.as_bytes()).await?;
        let chunk = repeated.repeat(CHUNK_BYTES / repeated.len());
        loop {
            if self.slow {
                for bytes in chunk.as_bytes().chunks(SLOW_CHUNK_BYTES) {
                    tokio::time::sleep(SLOW_PAUSE).await;
                    stream.write_all(bytes).await?;
                    self.bytes_sent.fetch_add(bytes.len() as u64, Ordering::Relaxed);
                }
            } else {
                stream.write_all(chunk.as_bytes()).await?;
                self.bytes_sent.fetch_add(chunk.len() as u64, Ordering::Relaxed);
            }
        }
    }
}
