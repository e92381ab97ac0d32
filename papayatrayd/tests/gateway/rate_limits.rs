//! Endpoints that state how many requests a second they take from all entries together.

use std::sync::Arc;

use papayatray_core::clock::Clock;
use papayatray_core::clock::Millis;
use papayatray_core::directory::Endpoint;
use papayatray_core::gateway::entry_register::EntryUpdates;
use papayatray_core::gateway::plan::Plan;
use papayatray_core::id::Incarnation;
use papayatray_wire::peer::EndpointUpdates;
use papayatray_wire::peer::SyncReply;
use papayatray_wire::peer::SyncRequest;

use crate::endpoint::FakeEndpoint;
use crate::endpoint::Step;
use crate::endpoint::not_run;
use crate::endpoint::response;
use crate::endpoint::with_header;
use crate::rig::AMPLE_RETRIES;
use crate::rig::AdvancedClock;
use crate::rig::Rig;
use crate::rig::announcement;
use crate::rig::plan;
use crate::sync::first_request;
use crate::sync::replica;

/// Entries of the smallest deployments.
const ENTRIES: usize = 7;
/// Time from the first statement of a limit until it binds.
const CONTACT_TIME: Millis = Millis::from_secs(3);
/// Span over which requests are compared with the limit.
const WINDOW: Millis = Millis::from_secs(4);
/// Multiple of the limit that requests may reach within a window.
const TOLERANCE: f64 = 1.5;
/// Requests beyond the multiple that are tolerated within a window.
const SLACK: f64 = 5.0;

/// Returns an endpoint that states this limit in each response.
fn limiting_endpoint(rate: &'static str) -> FakeEndpoint {
    FakeEndpoint::start(move |_, request| {
        let line = format!("Papayatray-Rate-Limit: {rate}\r\n");
        vec![Step::Send(with_header(
            response(request, "200 OK", "limited"),
            &line,
        ))]
    })
}

fn steady_endpoint() -> FakeEndpoint {
    FakeEndpoint::start(|_, request| vec![Step::Send(response(request, "200 OK", "steady"))])
}

/// Entries that know one another and these endpoints, and share a clock.
pub struct Site<'a> {
    /// Clock of all entries.
    pub clock: Arc<AdvancedClock>,
    /// Entries.
    pub entries: Vec<Rig>,
    endpoints: Vec<&'a FakeEndpoint>,
}

impl<'a> Site<'a> {
    fn start(endpoints: &[&'a FakeEndpoint]) -> Self {
        let all = endpoints.iter().enumerate();
        let announced = all.map(|(index, fake)| announcement(index, fake));
        Self::start_with(&plan(), endpoints, &announced.collect::<Vec<_>>())
    }

    /// Starts entries with this plan and these announcements of the endpoints.
    pub fn start_with(plan: &Plan, endpoints: &[&'a FakeEndpoint], announced: &[Endpoint]) -> Self {
        let clock = Arc::new(AdvancedClock::default());
        let names = (0..ENTRIES).map(|index| format!("vm-{index}"));
        let entries = names.map(|name| {
            let clock = Arc::clone(&clock) as Arc<dyn Clock>;
            let entry = Rig::with_name(&name, clock, AMPLE_RETRIES);
            entry.apply_announcements(plan.clone(), announced.to_vec());
            entry
        });
        let site = Self {
            entries: entries.collect(),
            endpoints: endpoints.to_vec(),
            clock,
        };
        site.sync();
        site
    }

    /// Gives all entries the list of entries, the leader's time and a heartbeat of each endpoint.
    pub fn sync(&self) {
        let infos = self.entries.iter().map(|entry| entry.gateway.info());
        let entries = EntryUpdates {
            number: 1,
            is_complete: true,
            changed: infos.collect(),
            removed: Vec::new(),
        };
        let all = self.endpoints.iter().enumerate();
        let renewed = all.map(|(index, endpoint)| announcement(index, endpoint).id);
        let reply = SyncReply {
            is_current: true,
            version: plan().version,
            entries,
            endpoints: EndpointUpdates {
                renewed: renewed.collect(),
                ..EndpointUpdates::default()
            },
            wall: self.clock.wall(),
            ..SyncReply::default()
        };
        for entry in &self.entries {
            let now = self.clock.now();
            entry.gateway.apply_sync("control", reply.clone(), now);
        }
    }

    /// Sends a request to each entry every 250 ms, and returns the arrival times at `endpoint`.
    pub fn play(&self, duration: Millis, endpoint: &FakeEndpoint) -> Vec<Millis> {
        self.play_with(duration, endpoint, Self::sync)
    }

    /// Sends requests like [`Self::play`]; the entries hear from control replicas by `sync` only.
    pub fn play_with<F>(&self, duration: Millis, endpoint: &FakeEndpoint, sync: F) -> Vec<Millis>
    where
        F: Fn(&Self),
    {
        let step = Millis::new(250);
        let mut arrivals = Vec::new();
        for _ in 0..duration.as_u64() / step.as_u64() {
            self.clock.advance(step);
            sync(self);
            for entry in &self.entries {
                let before = endpoint.requests().len();
                entry.request("/safe/x", "");
                let received = endpoint.requests().len() - before;
                arrivals.extend(std::iter::repeat_n(self.clock.now(), received));
            }
        }
        arrivals
    }
}

/// Returns the most arrivals within a window, after the contact time from the first of them.
fn most_in_window(arrivals: &[Millis]) -> usize {
    let binds_at = arrivals[0] + CONTACT_TIME;
    let bound: Vec<Millis> = arrivals
        .iter()
        .copied()
        .filter(|t| *t >= binds_at)
        .collect();
    let counts = bound.iter().enumerate().map(|(index, start)| {
        let rest = bound[index..].iter();
        rest.take_while(|time| time.since(*start) < WINDOW).count()
    });
    counts.max().unwrap_or(0)
}

fn allowed(rate: f64) -> f64 {
    TOLERANCE * rate * WINDOW.as_u64() as f64 / 1_000.0 + SLACK
}

#[test]
fn rate_limit_of_an_endpoint_is_not_exceeded_by_all_entries_together() {
    let (limited, steady) = (limiting_endpoint("1"), steady_endpoint());
    let site = Site::start(&[&limited, &steady]);
    let arrivals = site.play(Millis::from_secs(30), &limited);
    let most = most_in_window(&arrivals);
    assert!(most as f64 <= allowed(1.0), "{most} requests in 4 s");
}

#[test]
fn requests_of_all_kinds_count_towards_the_limit() {
    // The time slot of an entry comes every 700 s, and may begin during the test otherwise.
    let limited = limiting_endpoint("0.01");
    let site = Site::start(&[&limited]);
    let entry = &site.entries[0];
    assert_eq!(entry.request("/safe/x", "").status, 200);
    for path in ["/safe/x", "/stream/x", "/once/x", "/sized/x"] {
        assert_eq!(entry.request(path, "").status, 503, "{path}");
    }
    assert_eq!(limited.requests().len(), 1);
}

#[test]
fn request_is_refused_at_once_while_every_endpoint_is_at_its_limit() {
    let limited = limiting_endpoint("0.5");
    let site = Site::start(&[&limited]);
    let entry = &site.entries[0];
    entry.request("/safe/x", "");
    let refused = entry.request("/safe/x", "");
    assert_eq!(refused.status, 503);
    // Seven entries share a request every two seconds; the random addition is up to a half.
    let seconds = refused.retry_after();
    assert!((0.25..=21.0).contains(&seconds), "{}", refused.head);
}

#[test]
fn endpoint_that_states_its_limit_no_longer_gets_any_number_of_requests() {
    let endpoint = FakeEndpoint::start(|number, request| {
        let whole = response(request, "200 OK", "body");
        let is_limited = number < 2;
        vec![Step::Send(if is_limited {
            with_header(whole, "Papayatray-Rate-Limit: 10\r\n")
        } else {
            whole
        })]
    });
    let site = Site::start(&[&endpoint]);
    let arrivals = site.play(Millis::from_secs(20), &endpoint);
    // The third response lifts the limit at the entry that gets it; each entry gets one in turn.
    assert!(arrivals.len() > 300, "{}", arrivals.len());
}

#[test]
fn rejection_without_the_statement_does_not_lift_the_limit() {
    let endpoint = FakeEndpoint::start(|number, request| {
        vec![Step::Send(if number == 0 {
            let whole = response(request, "200 OK", "body");
            with_header(whole, "Papayatray-Rate-Limit: 1\r\n")
        } else {
            not_run(request)
        })]
    });
    let site = Site::start(&[&endpoint]);
    let entry = &site.entries[0];
    entry.request("/safe/x", "");
    for _ in 0..40 {
        site.clock.advance(Millis::new(500));
        site.sync();
        entry.request("/safe/x", "");
    }
    // A request a second for seven entries leaves three for one of them in 20 s.
    assert!(
        endpoint.requests().len() <= 4,
        "{}",
        endpoint.requests().len()
    );
}

#[test]
fn unreadable_statement_leaves_the_limit_as_it_was() {
    let endpoint = FakeEndpoint::start(|number, request| {
        let rate = if number == 0 { "0.1" } else { "much" };
        let line = format!("Papayatray-Rate-Limit: {rate}\r\n");
        let whole = response(request, "200 OK", "body");
        vec![Step::Send(with_header(whole, &line))]
    });
    let site = Site::start(&[&endpoint]);
    let entry = &site.entries[0];
    for _ in 0..200 {
        entry.request("/safe/x", "");
        site.clock.advance(Millis::from_secs(1));
        site.sync();
    }
    // One of seven entries has a request in 70 s.
    assert!((2..=4).contains(&endpoint.requests().len()));
}

#[test]
fn restarted_endpoint_is_not_limited() {
    let limited = limiting_endpoint("0.5");
    let site = Site::start(&[&limited]);
    let entry = &site.entries[0];
    entry.request("/safe/x", "");
    entry.apply_incarnation(plan(), &[&limited], Incarnation(2), 1);
    assert_eq!(entry.request("/safe/x", "").status, 200);
    assert_eq!(limited.requests().len(), 2);
}

#[test]
fn rate_limit_is_neither_passed_on_nor_taken_from_a_caller() {
    let limited = limiting_endpoint("5");
    let site = Site::start(&[&limited]);
    let answered = site.entries[0].request("/safe/x", "Papayatray-Rate-Limit: 9\r\n");
    assert_eq!(answered.status, 200);
    assert!(!answered.head.contains("papayatray-rate-limit"));
    let forwarded = limited.requests();
    assert_eq!(forwarded[0].header("papayatray-rate-limit"), None);
}

#[test]
fn entries_that_were_not_told_keep_to_the_limit_too() {
    let limited = limiting_endpoint("0.5");
    let site = Site::start(&[&limited]);
    let [told, other] = [&site.entries[0], &site.entries[1]];
    told.request("/safe/x", "");
    let replica = replica();
    let report = SyncRequest {
        rate_statements: told.gateway.rate_statements_since(0),
        ..first_request("vm-0")
    };
    smol::block_on(replica.sync(report));
    let reply = smol::block_on(replica.sync(first_request("vm-1")));
    let now = site.clock.now();
    other.gateway.apply_sync("replica", reply, now);
    assert_eq!(other.request("/safe/x", "").status, 503);
    assert_eq!(limited.requests().len(), 1);
}
