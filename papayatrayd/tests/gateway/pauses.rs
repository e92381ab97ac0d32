//! Endpoints that turn requests away for a stated time get none from this entry within it.

use std::sync::Arc;

use papayatray_core::clock::Clock;
use papayatray_core::clock::Millis;
use papayatray_core::id::Incarnation;

use crate::endpoint::FakeEndpoint;
use crate::endpoint::Step;
use crate::endpoint::response;
use crate::rig::AdvancedClock;
use crate::rig::Rig;
use crate::rig::plan;

/// Returns an endpoint that turns away every request with this `Retry-After`.
fn pausing_endpoint(retry_after: &'static str) -> FakeEndpoint {
    FakeEndpoint::start(move |_, request| {
        let id = request.header("papayatray-request").unwrap_or_default();
        let rejection = format!(
            "HTTP/1.1 503 Busy\r\nPapayatray-Request: {id}\r\nPapayatray-Not-Run: 1\r\n\
             Retry-After: {retry_after}\r\nContent-Length: 0\r\n\r\n",
        );
        vec![Step::Send(rejection.into_bytes())]
    })
}

#[test]
fn paused_endpoint_gets_no_request_until_its_time_is_over() {
    let paused = pausing_endpoint("300.5");
    let steady =
        FakeEndpoint::start(|_, request| vec![Step::Send(response(request, "200 OK", "steady"))]);
    let clock = Arc::new(AdvancedClock::default());
    let rig = Rig::with_clock(Arc::clone(&clock) as Arc<dyn Clock>);
    rig.apply_update(plan(), &[&paused, &steady]);
    let send_until_received = |count| {
        for _ in 0..200 {
            if paused.requests().len() >= count {
                return;
            }
            assert_eq!(rig.request("/safe/x", "").status, 200);
        }
    };
    send_until_received(1);
    for _ in 0..40 {
        assert_eq!(rig.request("/safe/x", "").status, 200);
    }
    assert_eq!(paused.requests().len(), 1);
    clock.advance(Millis::from_secs(301));
    send_until_received(2);
    assert_eq!(paused.requests().len(), 2);
}

#[test]
fn request_is_refused_at_once_while_every_endpoint_is_paused() {
    let endpoints = [pausing_endpoint("200"), pausing_endpoint("300")];
    let rig = Rig::start(&[&endpoints[0], &endpoints[1]]);
    // Each endpoint turns the first request away, and so comes to be paused.
    assert_eq!(rig.request("/safe/x", "").status, 503);
    let refused = rig.request("/safe/x", "");
    assert_eq!(refused.status, 503);
    // The earlier pause ends after 200 s at most; the random addition is up to a half of that.
    let seconds = refused.retry_after();
    assert!((150.0..=300.0).contains(&seconds), "{}", refused.head);
    let received = endpoints.iter().map(|fake| fake.requests().len());
    assert_eq!(received.sum::<usize>(), 2);
}

#[test]
fn streams_and_requests_that_run_once_respect_the_pause() {
    let paused = pausing_endpoint("200");
    let rig = Rig::start(&[&paused]);
    for path in ["/safe/x", "/stream/x", "/once/x", "/stream/x"] {
        assert_eq!(rig.request(path, "").status, 503);
    }
    assert_eq!(paused.requests().len(), 1);
}

#[test]
fn restarted_endpoint_is_not_paused() {
    let paused = pausing_endpoint("200");
    let rig = Rig::start(&[&paused]);
    rig.request("/safe/x", "");
    rig.apply_incarnation(plan(), &[&paused], Incarnation(2), 1);
    rig.request("/safe/x", "");
    assert_eq!(paused.requests().len(), 2);
}

#[test]
fn unusable_times_pause_nothing() {
    for value in ["0", "soon", "Wed, 21 Oct 2026 07:28:00 GMT", "-3", "inf"] {
        let endpoint = pausing_endpoint(value);
        let rig = Rig::start(&[&endpoint]);
        for _ in 0..2 {
            assert_eq!(rig.request("/safe/x", "").status, 503);
        }
        assert_eq!(endpoint.requests().len(), 2, "{value}");
    }
}
