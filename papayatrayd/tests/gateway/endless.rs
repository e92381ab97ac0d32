//! Endpoints that send bytes which are no response, without end, and responses that end with their
//! connection.

use std::time::Duration;

use crate::endpoint::FakeEndpoint;
use crate::endpoint::ReceivedRequest;
use crate::endpoint::Step;
use crate::endpoint::chunk;
use crate::endpoint::event;
use crate::endpoint::response;
use crate::endpoint::stream_head;
use crate::rig::ReceivedResponse;
use crate::rig::Rig;

/// Blocks of an endless response; together far more than the gateway may buffer.
const BLOCKS: usize = 4_000;
/// Length of a block.
const BLOCK_BYTES: usize = 16 << 10;

/// Returns an endpoint that sends `head` and then `block` until the connection is closed.
fn endless<F>(head: F, block: Vec<u8>) -> FakeEndpoint
where
    F: Fn(&ReceivedRequest) -> Vec<u8> + Send + Sync + 'static,
{
    FakeEndpoint::start(move |_, request| {
        let blocks = std::iter::repeat_n(Step::Send(block.clone()), BLOCKS);
        let start = [Step::Send(head(request))];
        start.into_iter().chain(blocks).collect()
    })
}

fn healthy() -> FakeEndpoint {
    FakeEndpoint::start(|_, request| {
        let from = request
            .header("last-event-id")
            .and_then(|id| id.parse().ok());
        if request.head.contains(" /stream/") {
            let mut steps = vec![Step::Send(stream_head(request, 90))];
            steps.extend((from.unwrap_or(0) + 1..=3).map(|id: u64| Step::Send(event(id))));
            steps.push(Step::Send(b"0\r\n\r\n".to_vec()));
            return steps;
        }
        vec![Step::Send(response(request, "200 OK", "whole"))]
    })
}

/// Asserts that callers get whole responses of the healthy endpoint, and that the connection to the
/// endless one is closed once it is asked.
fn assert_endless_is_left(endless: &FakeEndpoint, path: &str, expected: &str) {
    let healthy = healthy();
    let rig = Rig::start(&[endless, &healthy]);
    let mut sent = 0;
    while endless.requests().is_empty() || sent < 4 {
        sent += 1;
        assert!(sent < 1_000, "the endless endpoint gets no request");
        let received = rig.request(path, "");
        assert_eq!(received.status, 200, "{}", received.head);
        assert!(received.body.contains(expected), "{}", received.body.len());
        assert!(received.body.len() < BLOCK_BYTES);
    }
    // The endpoint notices the closed connection some time after the caller has its response.
    let mut waits = 0;
    while endless.aborted_responses() == 0 {
        waits += 1;
        assert!(waits < 1_000, "the connection stays open");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn filler() -> Vec<u8> {
    vec![b'a'; BLOCK_BYTES]
}

#[test]
fn endless_head_is_no_response() {
    let faulty = endless(|_| b"HTTP/1.1 200 OK\r\nX-Filler: ".to_vec(), filler());
    assert_endless_is_left(&faulty, "/safe/x", "whole");
}

#[test]
fn endless_bytes_without_a_status_line_are_no_response() {
    let faulty = endless(|_| Vec::new(), filler());
    assert_endless_is_left(&faulty, "/safe/x", "whole");
}

#[test]
fn endless_interim_responses_are_no_response() {
    let block = b"HTTP/1.1 100 Continue\r\n\r\n".repeat(200);
    let faulty = endless(|_| Vec::new(), block);
    assert_endless_is_left(&faulty, "/safe/x", "whole");
}

#[test]
fn endless_body_without_a_length_is_no_response() {
    let head = |request: &ReceivedRequest| {
        let whole = response(request, "200 OK", "");
        String::from_utf8(whole)
            .unwrap()
            .replace("Content-Length: 0\r\n", "")
            .into_bytes()
    };
    assert_endless_is_left(&endless(head, filler()), "/safe/x", "whole");
}

#[test]
fn endless_chunks_are_no_response() {
    let head = |request: &ReceivedRequest| stream_head(request, 90);
    let block = chunk(&"a".repeat(BLOCK_BYTES));
    assert_endless_is_left(&endless(head, block), "/safe/x", "whole");
}

#[test]
fn endless_chunks_of_one_byte_are_no_response() {
    let block = chunk("a").repeat(BLOCK_BYTES / 8);
    for path in ["/safe/x", "/stream/x"] {
        let head = |request: &ReceivedRequest| stream_head(request, 90);
        let expected = if path == "/safe/x" { "whole" } else { "id: 3" };
        assert_endless_is_left(&endless(head, block.clone()), path, expected);
    }
}

/// Guards against an endpoint that is asked again and again although none of its responses ends.
#[test]
fn endpoint_of_endless_responses_gets_few_requests() {
    let block = chunk("a").repeat(BLOCK_BYTES / 8);
    let endless = endless(|request| stream_head(request, 90), block);
    let (one, other) = (healthy(), healthy());
    let rig = Rig::start(&[&endless, &one, &other]);
    let is_failed = || rig.request("/once/x", "").status == 502;
    assert!((0..1_000).any(|_| is_failed()), "no request failed");
    let failed = 1 + (0..100).filter(|_| is_failed()).count();
    assert!(failed <= 5, "{failed} requests failed");
    assert_eq!(endless.requests().len(), failed);
}

/// Guards against limits that refuse a response of the largest size in the chunks of a usual server.
#[test]
fn longest_response_in_small_chunks_is_forwarded_whole() {
    const LONGEST_BYTES: usize = 4 << 20;
    for chunk_bytes in [64, 1_460, 8 << 10, 64 << 10] {
        let endpoint = FakeEndpoint::start(move |_, request| {
            let mut body = chunk(&"a".repeat(chunk_bytes)).repeat(LONGEST_BYTES / chunk_bytes);
            let rest = LONGEST_BYTES % chunk_bytes;
            if rest > 0 {
                body.extend(chunk(&"a".repeat(rest)));
            }
            body.extend(b"0\r\n\r\n");
            vec![Step::Send(stream_head(request, 90)), Step::Send(body)]
        });
        let rig = Rig::start(&[&endpoint]);
        let received = rig.request("/safe/x", "Papayatray-Deadline-Ms: 20000\r\n");
        assert_eq!(received.status, 200, "{chunk_bytes}: {}", received.head);
        assert_eq!(received.body.len(), LONGEST_BYTES, "{chunk_bytes}");
    }
}

/// Guards against memory that stays reserved after the bodies have been forwarded.
#[test]
fn memory_of_forwarded_bodies_is_released() {
    let endpoint = FakeEndpoint::start(|_, request| {
        let text = "a".repeat(300 << 10);
        if request.head.contains(" /stream/") {
            let event = chunk(&format!("id: 1\ndata: {text}\n\n"));
            let end = b"0\r\n\r\n".to_vec();
            return vec![
                Step::Send(stream_head(request, 90)),
                Step::Send([event, end].concat()),
            ];
        }
        vec![Step::Send(response(request, "200 OK", &text))]
    });
    let rig = Rig::start(&[&endpoint]);
    for path in ["/safe/x", "/stream/x"] {
        let received = rig.request_with_body(path, "", &"b".repeat(10_000));
        assert_eq!(received.status, 200, "{}", received.head);
        assert!(received.body.len() >= 300 << 10);
    }
    let mut waits = 0;
    while rig.gateway.buffers.used() > 0 {
        waits += 1;
        assert!(waits < 1_000, "{} bytes", rig.gateway.buffers.used());
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn endless_stream_without_an_event_is_no_response() {
    let head = |request: &ReceivedRequest| stream_head(request, 90);
    let block = chunk(&"a".repeat(BLOCK_BYTES));
    assert_endless_is_left(&endless(head, block), "/stream/x", "id: 3");
}

/// Comments and empty lines are no events: a stream of them has not started.
#[test]
fn endless_comments_are_no_response() {
    for block in [": nothing yet\n\n", "\n\n\n\n", "\r\n\r\n"] {
        let head = |request: &ReceivedRequest| stream_head(request, 90);
        let block = chunk(&block.repeat(1_000));
        assert_endless_is_left(&endless(head, block), "/stream/x", "id: 3");
    }
}

#[test]
fn comments_that_trickle_after_an_event_do_not_keep_a_stalled_stream() {
    let stalled = FakeEndpoint::start(|_, request| {
        let mut steps = vec![Step::Send(stream_head(request, 90)), Step::Send(event(1))];
        for _ in 0..60 {
            steps.push(Step::Send(chunk(": still here\n\n")));
            steps.push(Step::Wait(Duration::from_millis(100)));
        }
        steps
    });
    let healthy = healthy();
    let rig = Rig::start(&[&stalled, &healthy]);
    let mut sent = 0;
    while stalled.requests().is_empty() {
        sent += 1;
        assert!(sent < 1_000, "the stalled endpoint gets no request");
        let received = rig.request("/stream/x", "Papayatray-Deadline-Ms: 20000\r\n");
        assert_eq!(ids(&received), [1, 2, 3], "{received:?}");
    }
}

fn ids(received: &ReceivedResponse) -> Vec<u64> {
    let lines = received.body.lines();
    lines
        .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
        .collect()
}

/// Returns the head of a stream that has neither a length nor chunks.
fn unframed_head(request: &ReceivedRequest) -> Vec<u8> {
    let head = String::from_utf8(stream_head(request, 90)).unwrap();
    head.replace("Transfer-Encoding: chunked\r\n", "")
        .into_bytes()
}

#[test]
fn stream_without_chunks_ends_with_its_connection() {
    let unframed = FakeEndpoint::start(|_, request| {
        let body = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
        let bytes = [unframed_head(request), body.as_bytes().to_vec()].concat();
        vec![Step::Send(bytes), Step::Close]
    });
    let rig = Rig::start(&[&unframed]);
    let received = rig.request("/stream/x", "");
    assert_eq!(ids(&received), [1, 2]);
    assert!(received.body.ends_with("0\r\n\r\n"), "{received:?}");
}

#[test]
fn stream_without_chunks_that_ends_within_an_event_is_resumed() {
    for rest in ["id: 2\ndata: b", "id: 2\ndata: b\n", "i"] {
        let broken = FakeEndpoint::start(move |_, request| {
            let body = format!("id: 1\ndata: a\n\n{rest}");
            let bytes = [unframed_head(request), body.into_bytes()].concat();
            vec![Step::Send(bytes), Step::Close]
        });
        let healthy = healthy();
        let rig = Rig::start(&[&broken, &healthy]);
        let mut sent = 0;
        while broken.requests().is_empty() {
            sent += 1;
            assert!(sent < 1_000, "the broken endpoint gets no request");
            let received = rig.request("/stream/x", "");
            assert_eq!(ids(&received), [1, 2, 3], "{rest:?}: {received:?}");
            assert!(received.body.ends_with("0\r\n\r\n"), "{received:?}");
        }
    }
}
