//! Streams are split into complete events, however the bytes are divided, and kept in order.

use std::time::Duration;
use std::time::Instant;

use bolero::check;
use cuminpick::event_stream::EventOrder;
use cuminpick::event_stream::EventPosition;
use cuminpick::event_stream::EventSplitter;

const STREAM: &[u8] =
    b"id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: c\n\nid: 4\r\ndata: d\r\n\r\nid: 5\ndata";

fn split(pieces: &[&[u8]]) -> (Vec<Vec<u8>>, Vec<u8>) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for piece in pieces {
        events.extend(splitter.push(piece).unwrap().into_iter().map(|event| event.bytes));
    }
    (events, splitter.partial().to_vec())
}

#[test]
fn any_pieces() {
    let whole = split(&[STREAM]);
    assert_eq!(whole.0.len(), 4);
    assert_eq!(whole.1, b"id: 5\ndata");
    check!().with_type::<Vec<u8>>().for_each(|offsets| {
        let mut boundaries: Vec<usize> =
            offsets.iter().map(|offset| usize::from(*offset) % STREAM.len()).collect();
        boundaries.push(0);
        boundaries.push(STREAM.len());
        boundaries.sort_unstable();
        let pieces: Vec<&[u8]> =
            boundaries.windows(2).map(|pair| &STREAM[pair[0]..pair[1]]).collect();
        assert_eq!(split(&pieces), whole);
    });
}

#[test]
fn numbers_read() {
    let mut splitter = EventSplitter::default();
    let events = splitter.push(STREAM).unwrap();
    let numbers: Vec<Option<u64>> = events.iter().map(|event| event.number).collect();
    assert_eq!(numbers, [Some(1), Some(2), None, Some(4)]);
}

#[test]
fn huge_event() {
    let mut splitter = EventSplitter::default();
    let piece = vec![b'x'; 700_000];
    assert!(splitter.push(&piece).is_ok());
    assert!(splitter.push(&piece).is_err());
}

/// A few comments or blank lines may come between events; too many without a numbered
/// event are an error.
#[test]
fn unnumbered_bounded() {
    for filler in ["\n\n", ": ping\n\n", "data: x\r\n\r\n"] {
        let mut splitter = EventSplitter::default();
        for number in 0..200 {
            let piece = format!("{filler}{filler}id: {number}\ndata: a\n\n");
            assert!(splitter.push(piece.as_bytes()).is_ok());
        }
        assert!(splitter.push(filler.repeat(20_000).as_bytes()).is_err());
    }
}

#[test]
fn resumed_order() {
    let mut order = EventOrder::after(Some(3));
    assert_eq!(order.advance(Some(3)), EventPosition::Duplicate);
    assert_eq!(order.advance(Some(4)), EventPosition::Next);
    assert_eq!(order.advance(Some(6)), EventPosition::Gap);
    assert_eq!(order.advance(Some(5)), EventPosition::Next);
    assert_eq!(order.last(), Some(5));
}

/// Returns the shortest of a few times that it takes to split `count` events that arrive together.
fn splitting_time(count: usize) -> Duration {
    let bytes = "id:1\n\n".repeat(count);
    let runs = (0..5).map(|_| {
        let started = Instant::now();
        let events = EventSplitter::default().push(bytes.as_bytes()).unwrap();
        assert_eq!(events.len(), count);
        started.elapsed()
    });
    runs.min().unwrap()
}

/// Guards against a server that stops a gateway with small events that arrive together: each event
/// moved all bytes after it.
#[test]
fn many_small_events() {
    let (few, many) = (splitting_time(8_000), splitting_time(64_000));
    assert!(many < few * 24, "{few:?} for 8,000 events, {many:?} for 64,000");
}
