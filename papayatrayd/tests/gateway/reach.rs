//! Entries that cannot open connections to endpoints which other entries reach.

use std::sync::Arc;
use std::time::Duration;

use papayatray_core::directory::Endpoint;
use papayatrayd::observe::SystemClock;

use crate::endpoint::DeadAddress;
use crate::endpoint::Failure;
use crate::endpoint::FakeEndpoint;
use crate::endpoint::Step;
use crate::endpoint::end;
use crate::endpoint::event;
use crate::endpoint::response;
use crate::endpoint::stream_head;
use crate::rig::AMPLE_RETRIES;
use crate::rig::Rig;
use crate::rig::announcement;
use crate::rig::plan;

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
        let start = |number: usize| {
            let rig = Rig::with_name(
                &format!("vm-{number}"),
                Arc::new(SystemClock::default()),
                AMPLE_RETRIES,
            );
            rig.apply_update(plan(), &endpoints.iter().collect::<Vec<_>>());
            rig
        };
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
