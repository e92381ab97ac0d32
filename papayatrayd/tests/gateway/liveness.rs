//! Connections whose other end is silent.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use papayatray_core::clock::Millis;
use papayatrayd::liveness::SILENCE_LIMIT;
use papayatrayd::liveness::limit_silence;
use rustix::net::sockopt;

use crate::endpoint::FakeEndpoint;
use crate::endpoint::Step;
use crate::endpoint::response;
use crate::rig::Rig;

/// Longest silence of a sound endpoint.
const SOUND_SILENCE: Millis = Millis::new(1_500);
/// Kind of the timer in `/proc/net/tcp` that sends keep-alive probes.
const KEEP_ALIVE_TIMER: &str = "02";

/// Returns the kinds of the timers of this system's connections to an address.
fn timers(address: SocketAddr) -> Vec<String> {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let port = format!(":{:04X}", address.port());
    let lines = table.lines().skip(1).map(str::split_whitespace);
    let columns = lines.map(|line| line.map(str::to_owned).collect::<Vec<_>>());
    let to_address = columns.filter(|columns| columns[2].ends_with(&port));
    to_address
        .filter_map(|columns| Some(columns[5].split_once(':')?.0.to_owned()))
        .collect()
}

#[test]
fn connection_that_waits_for_a_response_is_probed() {
    let fake = FakeEndpoint::start(|_, request| {
        vec![
            Step::Wait(Duration::from_millis(600)),
            Step::Send(response(request, "200 OK", "late")),
        ]
    });
    let rig = Rig::start(&[&fake]);
    thread::scope(|scope| {
        let waiting = scope.spawn(|| rig.request("/safe/", ""));
        while fake.requests().is_empty() {
            thread::sleep(Duration::from_millis(5));
        }
        // The request's own acknowledgement takes the timer for a moment.
        thread::sleep(Duration::from_millis(200));
        assert_eq!(timers(fake.address), [KEEP_ALIVE_TIMER]);
        assert_eq!(waiting.join().unwrap().status, 200);
    });
}

#[test]
fn sound_endpoint_that_is_silent_for_a_while_keeps_its_connections() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    limit_silence(&stream).unwrap();
    let limit = Millis::new(u64::from(sockopt::tcp_user_timeout(&stream).unwrap()));
    assert_eq!(limit, SILENCE_LIMIT);
    let interval = sockopt::tcp_keepintvl(&stream).unwrap();
    let count = sockopt::tcp_keepcnt(&stream).unwrap();
    let total = sockopt::tcp_keepidle(&stream).unwrap() + interval * count;
    assert_eq!(total, limit.to_duration());
    assert!(limit.to_duration() >= SOUND_SILENCE.to_duration() + interval);
    assert!(sockopt::socket_keepalive(&stream).unwrap());
}
