//! Entries that cannot open connections to endpoints which other entries reach.

use std::io::Read;
use std::io::Write;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use papayatray_core::directory::Endpoint;
use papayatrayd::observe::SystemClock;

use crate::endpoint::DeadAddress;
use crate::endpoint::Failure;
use crate::endpoint::FakeEndpoint;
use crate::endpoint::Proxy;
use crate::endpoint::Step;
use crate::endpoint::end;
use crate::endpoint::event;
use crate::endpoint::response;
use crate::endpoint::stream_head;
use crate::rig::AMPLE_RETRIES;
use crate::rig::Rig;
use crate::rig::announcement;
use crate::rig::plan;

/// Time-out of waits; generous, because the tests do not check how fast something happens.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Endpoints of the service.
const ENDPOINTS: usize = 6;

/// Returns an endpoint that serves streams and other requests.
fn healthy() -> FakeEndpoint {
    FakeEndpoint::start(|_, request| {
        if request.head.starts_with("post /stream/") {
            let head = stream_head(request, 90);
            return vec![
                Step::Send(head),
                Step::Send(event(1)),
                Step::Wait(Duration::from_millis(20)),
                Step::Send(event(2)),
                Step::Send(end()),
            ];
        }
        vec![Step::Send(response(request, "200 OK", "ok"))]
    })
}

/// Entries that know each other, and the endpoints of the service.
struct Play {
    endpoints: Vec<FakeEndpoint>,
    dead: Vec<DeadAddress>,
    cut_off: Rig,
    others: Vec<Rig>,
}

impl Play {
    /// Starts an entry to which all endpoints are dead, and `others` entries that reach them.
    fn start(failure: Failure, others: usize) -> Self {
        let play = Self::start_whole(failure, others);
        play.cut(0..ENDPOINTS);
        play
    }

    /// Starts entries that reach all endpoints.
    fn start_whole(failure: Failure, others: usize) -> Self {
        let endpoints: Vec<_> = (0..ENDPOINTS).map(|_| healthy()).collect();
        let dead = (0..ENDPOINTS).map(|_| DeadAddress::new(failure)).collect();
        let known: Vec<_> = endpoints.iter().collect();
        let start = |number: usize| entry(&format!("vm-{number}"), &known);
        let play = Self {
            cut_off: start(1),
            others: (0..others).map(|number| start(number + 2)).collect(),
            endpoints,
            dead,
        };
        play.cut_off
            .apply_peers(&play.others.iter().collect::<Vec<_>>());
        play
    }

    /// Cuts the entry off from these endpoints.
    fn cut<I>(&self, numbers: I)
    where
        I: IntoIterator<Item = usize>,
    {
        let announcements = numbers.into_iter().map(|number| Endpoint {
            address: self.dead[number].address.to_string(),
            sequence: 2,
            ..announcement(number, &self.endpoints[number])
        });
        self.cut_off
            .apply_announcements(plan(), announcements.collect());
    }

    /// Returns how many requests the endpoints have received.
    fn arrivals(&self) -> usize {
        self.endpoints.iter().map(|e| e.requests().len()).sum()
    }
}

impl Play {
    /// Ends the cut of all endpoints.
    fn heal(&self) {
        let announcements = self.endpoints.iter().enumerate();
        let announcements = announcements.map(|(number, fake)| Endpoint {
            sequence: 3,
            ..announcement(number, fake)
        });
        self.cut_off
            .apply_announcements(plan(), announcements.collect());
    }
}

/// Returns an entry that knows these endpoints and no other entry.
fn entry(name: &str, endpoints: &[&FakeEndpoint]) -> Rig {
    let rig = Rig::with_name(name, Arc::new(SystemClock::default()), AMPLE_RETRIES);
    rig.apply_update(plan(), endpoints);
    rig
}

/// Waits until a condition holds.
fn wait<F>(what: &str, condition: F)
where
    F: Fn() -> bool,
{
    let begin = Instant::now();
    while !condition() {
        assert!(begin.elapsed() < WAIT_TIMEOUT, "{what}");
        thread::sleep(Duration::from_millis(10));
    }
}

/// Checks that each of some requests to an entry that is cut off is answered, and runs once.
fn assert_served(failure: Failure, others: usize) {
    let play = Play::start(failure, others);
    for (number, path) in [
        "/once/", "/safe/", "/stream/", "/once/", "/stream/", "/safe/",
    ]
    .into_iter()
    .enumerate()
    {
        let response = play.cut_off.request(path, "");
        assert_eq!(response.status, 200, "{failure:?} {path}: {response:?}");
        if path == "/stream/" {
            assert!(response.body.contains("id: 2"), "{response:?}");
        }
        assert_eq!(play.arrivals(), number + 1, "{failure:?} {path}");
    }
}

#[test]
fn entry_whose_connections_are_refused_serves_through_another_entry() {
    assert_served(Failure::Refused, 1);
}

#[test]
fn entry_whose_connections_hang_serves_through_another_entry() {
    assert_served(Failure::Silent, 2);
}

#[test]
fn entry_that_loses_most_endpoints_serves_through_another_entry() {
    for failure in [Failure::Refused, Failure::Silent] {
        let play = Play::start_whole(failure, 1);
        assert_eq!(play.cut_off.request("/once/", "").status, 200);
        play.cut(1..ENDPOINTS);
        for _ in 0..12 {
            assert_eq!(
                play.cut_off.request("/once/", "").status,
                200,
                "{failure:?}"
            );
        }
        assert_eq!(play.arrivals(), 13);
    }
}

#[test]
fn entry_returns_to_direct_connections_after_a_cut() {
    let play = Play::start(Failure::Refused, 1);
    for _ in 0..4 {
        assert_eq!(play.cut_off.request("/safe/", "").status, 200);
    }
    wait("the cut is confirmed", || {
        play.cut_off.gateway.info().is_cut_off
    });
    play.heal();
    wait("the cut ends", || !play.cut_off.gateway.info().is_cut_off);
    // Without the other entry, requests arrive only over the entry's own connections.
    play.cut_off.apply_peers(&[]);
    for _ in 0..12 {
        assert_eq!(play.cut_off.request("/once/", "").status, 200);
    }
}

#[test]
fn callers_are_led_past_an_entry_that_is_cut_off() {
    let play = Play::start(Failure::Refused, 1);
    let other = &play.others[0];
    other.apply_peers(&[&play.cut_off]);
    assert_eq!(other.gateway.caller_entries().len(), 2);
    for _ in 0..4 {
        assert_eq!(play.cut_off.request("/safe/", "").status, 200);
    }
    wait("the cut is confirmed", || {
        play.cut_off.gateway.info().is_cut_off
    });
    other.apply_peers(&[&play.cut_off]);
    let listed = other.gateway.caller_entries();
    assert_eq!(
        listed.keys().collect::<Vec<_>>(),
        [&other.gateway.vm],
        "{listed:?}"
    );
}

#[test]
fn endpoints_that_are_down_for_all_entries_are_no_cut() {
    let dead: Vec<_> = (0..ENDPOINTS)
        .map(|_| DeadAddress::new(Failure::Refused))
        .collect();
    let announcements: Vec<_> = dead
        .iter()
        .enumerate()
        .map(|(number, dead)| Endpoint {
            address: dead.address.to_string(),
            ..announcement(number, &healthy())
        })
        .collect();
    let rigs = [entry("vm-1", &[]), entry("vm-2", &[])];
    for (rig, other) in [(&rigs[0], &rigs[1]), (&rigs[1], &rigs[0])] {
        rig.apply_announcements(plan(), announcements.clone());
        rig.apply_peers(&[other]);
    }
    for _ in 0..4 {
        for rig in &rigs {
            let response = rig.request("/once/", "");
            assert_eq!(response.status, 503);
            assert!(response.retry_after() > 0.0);
            assert!(!rig.gateway.info().is_cut_off);
        }
    }
}

#[test]
fn entries_that_are_all_cut_off_do_not_send_in_circles() {
    let play = Play::start(Failure::Refused, 1);
    let other = &play.others[0];
    other.apply_peers(&[&play.cut_off]);
    let announcements = play.endpoints.iter().enumerate();
    let announcements = announcements.map(|(number, fake)| Endpoint {
        address: play.dead[number].address.to_string(),
        sequence: 2,
        ..announcement(number, fake)
    });
    other.apply_announcements(plan(), announcements.collect());
    for _ in 0..6 {
        for rig in [&play.cut_off, other] {
            assert_eq!(rig.request("/once/", "").status, 503);
        }
    }
    assert_eq!(play.arrivals(), 0);
}

#[test]
fn request_that_must_not_run_twice_is_not_repeated_after_a_loss_behind_another_entry() {
    let crashing: Vec<_> = (0..3)
        .map(|_| FakeEndpoint::start(|_, _| vec![Step::Close]))
        .collect();
    let known: Vec<_> = crashing.iter().collect();
    let (cut_off, other) = (entry("vm-1", &[]), entry("vm-2", &known));
    let dead = DeadAddress::new(Failure::Refused);
    let announcements = crashing.iter().enumerate();
    let announcements = announcements.map(|(number, fake)| Endpoint {
        address: dead.address.to_string(),
        ..announcement(number, fake)
    });
    cut_off.apply_announcements(plan(), announcements.collect());
    cut_off.apply_peers(&[&other]);
    assert_eq!(cut_off.request("/once/", "").status, 502);
    let arrivals: usize = crashing.iter().map(|e| e.requests().len()).sum();
    assert_eq!(arrivals, 1);
}

#[test]
fn stream_that_breaks_behind_another_entry_is_resumed() {
    let endpoint = || {
        FakeEndpoint::start(|_, request| {
            let head = stream_head(request, 90);
            if request.header("last-event-id") == Some("1") {
                vec![Step::Send(head), Step::Send(event(2)), Step::Send(end())]
            } else {
                vec![Step::Send(head), Step::Send(event(1)), Step::Close]
            }
        })
    };
    let endpoints = [endpoint(), endpoint(), endpoint()];
    let known: Vec<_> = endpoints.iter().collect();
    let (cut_off, other) = (entry("vm-1", &[]), entry("vm-2", &known));
    let dead = DeadAddress::new(Failure::Refused);
    let announcements = endpoints.iter().enumerate();
    let announcements = announcements.map(|(number, fake)| Endpoint {
        address: dead.address.to_string(),
        ..announcement(number, fake)
    });
    cut_off.apply_announcements(plan(), announcements.collect());
    cut_off.apply_peers(&[&other]);
    let response = cut_off.request("/stream/", "");
    assert_eq!(response.status, 200);
    assert_eq!(response.body.matches("id: 1\n").count(), 1);
    assert_eq!(response.body.matches("id: 2\n").count(), 1);
    assert!(response.body.ends_with("0\r\n\r\n"), "{response:?}");
}

#[test]
fn endpoint_stops_work_when_the_caller_of_a_cut_off_entry_leaves() {
    let endless = FakeEndpoint::start(|_, request| {
        let mut steps = vec![Step::Send(stream_head(request, 90))];
        for id in 1..2_000 {
            steps.extend([Step::Send(event(id)), Step::Wait(Duration::from_millis(10))]);
        }
        steps
    });
    let (cut_off, other) = (entry("vm-1", &[]), entry("vm-2", &[&endless]));
    let dead = DeadAddress::new(Failure::Refused);
    let announcements = vec![Endpoint {
        address: dead.address.to_string(),
        ..announcement(0, &endless)
    }];
    cut_off.apply_announcements(plan(), announcements);
    cut_off.apply_peers(&[&other]);
    let stream = cut_off.start_request("/stream/", "", "");
    wait("the request arrives", || endless.requests().len() == 1);
    drop(stream);
    wait("the endpoint loses its connection", || {
        endless.aborted_responses() == 1
    });
}

#[test]
fn headers_of_a_hop_reach_neither_endpoint_nor_caller() {
    let play = Play::start(Failure::Refused, 1);
    let forged = "Papayatray-Hop-Endpoint: e9\r\nPapayatray-Hop-Failure: lost\r\n";
    let response = play.cut_off.request("/safe/", forged);
    assert_eq!(response.status, 200);
    assert!(!response.head.contains("papayatray-hop"), "{response:?}");
    let arrived = play.endpoints.iter().flat_map(FakeEndpoint::requests);
    for request in arrived {
        assert!(!request.head.contains("papayatray-hop"), "{request:?}");
    }
}

#[test]
fn process_without_the_key_cannot_send_through_an_entry() {
    let fake = healthy();
    let rig = entry("vm-1", &[&fake]);
    let address = rig.gateway.info().peer_address;
    let mut stream = std::net::TcpStream::connect(address).unwrap();
    let request = "POST /once/ HTTP/1.1\r\nPapayatray-Request: r-1\r\n\
                   Papayatray-Hop-Endpoint: e0\r\nPapayatray-Hop-Incarnation: 1\r\n\
                   Papayatray-Hop-Remaining-Ms: 1000\r\nContent-Length: 0\r\n\r\n";
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = Vec::new();
    // The entry may reset the connection instead of closing it.
    let _ended = stream.read_to_end(&mut answer);
    assert!(!String::from_utf8_lossy(&answer).contains("HTTP"));
    assert_eq!(fake.requests().len(), 0);
}

/// Entry that reaches endpoints through proxies, and another one that reaches them directly.
struct ProxiedPlay {
    proxies: Vec<Proxy>,
    cut_off: Rig,
    _other: Rig,
}

impl ProxiedPlay {
    fn start(endpoints: &[FakeEndpoint]) -> Self {
        let proxies: Vec<_> = endpoints.iter().map(|e| Proxy::start(e.address)).collect();
        let known: Vec<_> = endpoints.iter().collect();
        let (cut_off, other) = (entry("vm-1", &[]), entry("vm-2", &known));
        let announcements = endpoints.iter().enumerate();
        let announcements = announcements.map(|(number, fake)| Endpoint {
            address: proxies[number].address.to_string(),
            ..announcement(number, fake)
        });
        cut_off.apply_announcements(plan(), announcements.collect());
        cut_off.apply_peers(&[&other]);
        Self {
            proxies,
            cut_off,
            _other: other,
        }
    }

    /// Cuts the entry off from all endpoints, and closes its connections.
    fn cut(&self) {
        for proxy in &self.proxies {
            proxy.refuse();
        }
        for proxy in &self.proxies {
            proxy.close();
        }
    }
}

#[test]
fn connections_that_a_cut_closes_are_no_crash_of_endpoints() {
    let endpoints: Vec<_> = (0..ENDPOINTS)
        .map(|_| {
            FakeEndpoint::start(|_, request| {
                vec![
                    Step::Wait(Duration::from_millis(400)),
                    Step::Send(response(request, "200 OK", "ok")),
                ]
            })
        })
        .collect();
    let play = ProxiedPlay::start(&endpoints);
    thread::scope(|scope| {
        let callers: Vec<_> = (0..12)
            .map(|_| scope.spawn(|| play.cut_off.request("/safe/", "").status))
            .collect();
        let arrivals = || endpoints.iter().map(|e| e.requests().len()).sum::<usize>();
        wait("the requests arrive", || arrivals() >= 12);
        play.cut();
        for caller in callers {
            assert_eq!(caller.join().unwrap(), 200);
        }
    });
    assert_eq!(play.cut_off.suspect_count(), 0);
}

#[test]
fn attempt_after_a_lost_connection_uses_a_new_one() {
    let endpoints: Vec<_> = (0..ENDPOINTS)
        .map(|_| {
            FakeEndpoint::start(|_, request| {
                if request.predecessors > 0 {
                    return vec![Step::Close];
                }
                vec![
                    Step::Wait(Duration::from_millis(100)),
                    Step::Send(response(request, "200 OK", "ok")),
                ]
            })
        })
        .collect();
    let rig = entry("vm-1", &endpoints.iter().collect::<Vec<_>>());
    // Concurrent requests leave idle connections to all endpoints.
    thread::scope(|scope| {
        for _ in 0..24 {
            scope.spawn(|| assert_eq!(rig.request("/safe/", "").status, 200));
        }
    });
    assert_eq!(rig.request("/safe/", "").status, 200);
}
