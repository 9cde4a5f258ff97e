//! Complete and truncated answers, and a refused connection.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use cuminpick_backends::BackendError;
use cuminpick_backends::BackendRequest;
use cuminpick_backends::BackendServer;
use cuminpick_backends::HttpBackend;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;

/// Answers one connection with `text` and closes it; returns the base URL.
fn serve_once(text: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let base = format!("http://{}", listener.local_addr().unwrap());
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = Vec::new();
        while !request.ends_with(b"{}") {
            let mut part = [0; 256];
            let count = stream.read(&mut part).unwrap();
            request.extend_from_slice(&part[..count]);
        }
        stream.write_all(text.as_bytes()).unwrap();
    });
    base
}

/// Reads an answer to its end and returns its body, or the error.
fn read_answer(text: &'static str) -> Result<Vec<u8>, BackendError> {
    let backend = HttpBackend::new(&serve_once(text), Duration::from_secs(5));
    let request = BackendRequest {
        path: "/v1/work".to_string(),
        headers: Vec::new(),
        body: b"{}".to_vec(),
        fresh_connection: true,
    };
    let (_, mut reader) = backend.call(&request)?;
    let mut body = Vec::new();
    while let Some(chunk) = reader.next_chunk()? {
        body.extend(chunk);
    }
    Ok(body)
}

#[test]
fn complete_stream() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                  transfer-encoding: chunked\r\n\r\nb\r\ndata: one\n\n\r\n0\r\n\r\n";
    assert_eq!(read_answer(answer).unwrap(), b"data: one\n\n");
}

#[test]
fn truncated_stream() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                  transfer-encoding: chunked\r\n\r\nb\r\ndata: one\n\n\r\n";
    assert!(matches!(read_answer(answer), Err(BackendError::Interrupted(_))));
}

#[test]
fn truncated_chunk() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                  transfer-encoding: chunked\r\n\r\nb\r\ndata: o";
    assert!(matches!(read_answer(answer), Err(BackendError::Interrupted(_))));
}

#[test]
fn truncated_body() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\nonly a part";
    assert!(matches!(read_answer(answer), Err(BackendError::Interrupted(_))));
}

#[test]
fn truncated_head() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-le";
    assert!(matches!(read_answer(answer), Err(BackendError::Interrupted(_))));
}

#[test]
fn refused_connection() {
    // The port stays bound, so that no other test listens on it.
    let unused = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    unused.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    let unused_address = unused.local_addr().unwrap().as_socket().unwrap();
    let backend = HttpBackend::new(&format!("http://{unused_address}"), Duration::from_secs(5));
    let request = BackendRequest {
        path: "/v1/work".to_string(),
        headers: Vec::new(),
        body: Vec::new(),
        fresh_connection: true,
    };
    assert!(matches!(backend.call(&request), Err(BackendError::Unreachable(_))));
}

/// Guards against an answer whose status is that of no answer, such as 000 or 999: the request may have
/// run.
#[test]
fn status_000() {
    for text in [
        "HTTP/1.1 000 X\r\ncontent-length: 2\r\n\r\nok",
        "HTTP/1.1 099 X\r\ncontent-length: 2\r\n\r\nok",
        "HTTP/1.1 600 X\r\ncontent-length: 2\r\n\r\nok",
        "HTTP/1.1 999 X\r\ncontent-length: 2\r\n\r\nok",
    ] {
        let answer = read_answer(text);
        assert!(matches!(answer, Err(BackendError::Interrupted(_))), "{text}: {answer:?}");
    }
}
