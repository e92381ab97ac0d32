//! Responses that are no answer to the request: statuses that no final response has, responses that belong
//! to another request, and responses whose connection breaks while the request is still being sent.

use std::collections::BTreeSet;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use papayatray_core::directory::Endpoint;
use papayatrayd::observe::SystemClock;

use crate::endpoint::DeadAddress;
use crate::endpoint::Failure;
use crate::endpoint::FakeEndpoint;
use crate::endpoint::Step;
use crate::endpoint::not_run;
use crate::endpoint::response;
use crate::rig::AMPLE_RETRIES;
use crate::rig::ReceivedResponse;
use crate::rig::Rig;
use crate::rig::announcement;
use crate::rig::plan;

/// Status lines, without the version, that no final response has.
const INVALID_STATUSES: [&str; 7] = [
    "000 Zero",
    "099 Low",
    "101 Switching Protocols",
    "199 Interim",
    "600 High",
    "999 Highest",
    "0 Zero",
];
/// Paths of routes of each kind.
const PATHS: [&str; 3] = ["/safe/x", "/once/x", "/stream/x"];
/// Length of an upload that the endpoint's receive buffer does not hold.
const UPLOAD_BYTES: usize = 900 << 10;

/// Entry that reaches an endpoint at `address`, and one that reaches it through the first only.
struct Entries {
    direct: Rig,
    indirect: Rig,
    _dead: DeadAddress,
}

impl Entries {
    fn start(endpoint: &Endpoint) -> Self {
        let dead = DeadAddress::new(Failure::Refused);
        let entry = |name: &str, address: String| {
            let rig = Rig::with_name(name, Arc::new(SystemClock::default()), AMPLE_RETRIES);
            let known = Endpoint {
                address,
                ..endpoint.clone()
            };
            rig.apply_announcements(plan(), vec![known]);
            rig
        };
        let direct = entry("vm-1", endpoint.address.clone());
        let indirect = entry("vm-2", dead.address.to_string());
        indirect.apply_peers(&[&direct]);
        Self {
            direct,
            indirect,
            _dead: dead,
        }
    }

    fn all(&self) -> [(&'static str, &Rig); 2] {
        [
            ("directly", &self.direct),
            ("through another entry", &self.indirect),
        ]
    }
}

/// Returns whether a caller takes the response for a whole one of an endpoint.
fn is_whole_success(received: &ReceivedResponse) -> bool {
    let is_whole = if received.head.contains("transfer-encoding: chunked") {
        received.body.ends_with("0\r\n\r\n")
    } else {
        let mut lines = received.head.lines();
        let length = lines.find_map(|line| line.strip_prefix("content-length:"));
        length.is_none_or(|length| length.trim().parse() == Ok(received.body.len()))
    };
    (200..300).contains(&received.status) && is_whole
}

/// Guards against passing on 101 to a caller that asked for no upgrade, and statuses beyond 599.
#[test]
fn status_that_no_final_response_has_is_a_failure_of_the_endpoint() {
    for status in INVALID_STATUSES {
        let faulty = FakeEndpoint::start(move |_, request| {
            vec![Step::Send(response(request, status, "text")), Step::Close]
        });
        let entries = Entries::start(&announcement(0, &faulty));
        for (way, entry) in entries.all() {
            for path in PATHS {
                let received = entry.request(path, "");
                assert_eq!(received.status, 502, "{status} {way} {path}: {received:?}");
            }
        }
        assert!(!faulty.requests().is_empty(), "{status}");
    }
}

/// Guards against giving up a request that may be repeated because of such a status.
#[test]
fn request_is_repeated_after_an_invalid_status() {
    let faulty =
        FakeEndpoint::start(|_, request| vec![Step::Send(response(request, "999 Highest", "x"))]);
    let sound =
        FakeEndpoint::start(|_, request| vec![Step::Send(response(request, "200 OK", "whole"))]);
    let rig = Rig::start(&[&faulty, &sound]);
    while faulty.requests().is_empty() {
        assert_eq!(rig.request("/safe/x", "").status, 200);
    }
}

/// Guards against believing the mark "not run" of a late response to another request.
#[test]
fn not_run_mark_of_another_request_is_not_believed() {
    let faulty = FakeEndpoint::start(|_, request| {
        let text = String::from_utf8(not_run(request)).unwrap();
        vec![Step::Send(text.replace("r-1", "r-0").into_bytes())]
    });
    let sound =
        FakeEndpoint::start(|_, request| vec![Step::Send(response(request, "200 OK", "whole"))]);
    let rig = Rig::start(&[&faulty, &sound]);
    let mut statuses = BTreeSet::new();
    while faulty.requests().is_empty() {
        statuses.insert(rig.request("/once/x", "").status);
    }
    // The last request may have run at the first endpoint, so it gets no other one.
    assert!(statuses.contains(&502), "{statuses:?}");
    assert!(statuses.is_subset(&BTreeSet::from([200, 502])));
}

/// Starts an endpoint that answers at the head of a request with a part of a body without a length, and
/// resets the connection after `pause` with the upload unread; returns its address and the number of
/// its answers.
fn start_early_endpoint(pause: Duration) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let answers: Arc<AtomicUsize> = Arc::default();
    let counted = Arc::clone(&answers);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let counted = Arc::clone(&counted);
            thread::spawn(move || answer_early(stream, pause, &counted));
        }
    });
    (address, answers)
}

fn answer_early(mut stream: TcpStream, pause: Duration, answers: &AtomicUsize) {
    let mut head = Vec::new();
    let mut byte = [0; 1];
    while !head.ends_with(b"\r\n\r\n") {
        if !matches!(stream.read(&mut byte), Ok(1)) {
            return;
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
    let mut lines = head.lines();
    let id = lines.find_map(|line| line.strip_prefix("papayatray-request: "));
    let text = format!(
        "HTTP/1.1 200 OK\r\nPapayatray-Request: {}\r\nPapayatray-Ran: stamp\r\n\
         Content-Type: text/event-stream\r\n\r\nid: 1\ndata: {}\n\n",
        id.unwrap_or_default(),
        "a".repeat(3_000),
    );
    answers.fetch_add(1, Ordering::SeqCst);
    // The gateway may close the connection first.
    let _sent = stream.write_all(text.as_bytes());
    thread::sleep(pause);
    // Closing a connection with unread bytes resets it.
}

/// Guards against a part of a body that ends with a reset and is taken for a whole answer.
#[test]
fn answer_whose_connection_is_reset_during_the_upload_is_not_whole() {
    let upload = "u".repeat(UPLOAD_BYTES);
    for pause in [0, 30, 200] {
        let (address, answers) = start_early_endpoint(Duration::from_millis(pause));
        let known = FakeEndpoint::start(|_, _| Vec::new());
        let entries = Entries::start(&Endpoint {
            address: address.to_string(),
            ..announcement(0, &known)
        });
        for (way, entry) in entries.all() {
            for path in PATHS {
                let before = answers.load(Ordering::SeqCst);
                let received = entry.request_with_body(path, "", &upload);
                let head = &received.head;
                let is_reached = answers.load(Ordering::SeqCst) > before;
                assert!(is_reached, "{pause} ms {way} {path}: {head}");
                assert!(
                    !is_whole_success(&received),
                    "{pause} ms {way} {path}: {head}"
                );
            }
        }
    }
}
