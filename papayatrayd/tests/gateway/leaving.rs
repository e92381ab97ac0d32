//! Endpoints that state in a response that they are leaving get no further request.

use papayatray_core::gateway::updates::UpdateBatch;
use papayatray_core::id::Incarnation;
use papayatray_wire::peer::Deregistration;
use papayatray_wire::peer::SyncRequest;

use crate::endpoint::FakeEndpoint;
use crate::endpoint::ReceivedRequest;
use crate::endpoint::Step;
use crate::endpoint::chunk;
use crate::endpoint::end;
use crate::endpoint::event;
use crate::endpoint::not_run;
use crate::endpoint::response;
use crate::endpoint::with_header;
use crate::rig::Rig;
use crate::rig::announcement;
use crate::rig::plan;
use crate::sync::first_request;
use crate::sync::replica;

/// Header by which an endpoint states that it is leaving.
const LEAVING: &str = "Papayatray-Leaving: 1\r\n";

fn sync_request(vm: &str, departures: UpdateBatch<Deregistration>) -> SyncRequest {
    SyncRequest {
        departures,
        ..first_request(vm)
    }
}

/// Starts an endpoint whose every response states that it is leaving.
fn leaving_endpoint<F>(respond: F) -> FakeEndpoint
where
    F: Fn(&ReceivedRequest) -> Vec<u8> + Send + Sync + 'static,
{
    FakeEndpoint::start(move |_, request| vec![Step::Send(with_header(respond(request), LEAVING))])
}

fn steady_endpoint() -> FakeEndpoint {
    FakeEndpoint::start(|_, request| vec![Step::Send(response(request, "200 OK", "steady"))])
}

/// Sends requests until `leaving` has received one, then twenty more; returns how many requests it
/// has received in the end.
fn requests_in_total(rig: &Rig, leaving: &FakeEndpoint) -> usize {
    for _ in 0..200 {
        if !leaving.requests().is_empty() {
            break;
        }
        rig.request("/safe/x", "");
    }
    for _ in 0..20 {
        assert_eq!(rig.request("/safe/x", "").status, 200);
    }
    leaving.requests().len()
}

#[test]
fn endpoint_that_states_leaving_in_a_success_gets_no_further_request() {
    let leaving = leaving_endpoint(|request| response(request, "200 OK", "last"));
    let rig = Rig::start(&[&leaving, &steady_endpoint()]);
    assert_eq!(requests_in_total(&rig, &leaving), 1);
}

#[test]
fn endpoint_that_states_leaving_in_a_rejection_gets_no_further_request() {
    let leaving = leaving_endpoint(not_run);
    let rig = Rig::start(&[&leaving, &steady_endpoint()]);
    assert_eq!(requests_in_total(&rig, &leaving), 1);
}

#[test]
fn endpoint_that_states_leaving_in_an_error_gets_no_further_request() {
    let leaving = leaving_endpoint(|request| response(request, "500 Broken", "failed"));
    let rig = Rig::start(&[&leaving, &steady_endpoint()]);
    assert_eq!(requests_in_total(&rig, &leaving), 1);
}

#[test]
fn stream_whose_head_states_leaving_is_finished_and_is_the_last() {
    let leaving = FakeEndpoint::start(|_, request| {
        let head = with_header(crate::endpoint::stream_head(request, 90), LEAVING);
        vec![
            Step::Send(head),
            Step::Send(event(1)),
            Step::Send(chunk("id: 2\ndata: piece 2\n\n")),
            Step::Send(end()),
        ]
    });
    let rig = Rig::start(&[&leaving]);
    let streamed = rig.request("/stream/x", "");
    assert_eq!(streamed.status, 200);
    assert!(streamed.body.contains("piece 2"), "{}", streamed.body);
    assert_eq!(rig.request("/stream/x", "").status, 503);
    assert_eq!(leaving.requests().len(), 1);
}

#[test]
fn restarted_endpoint_is_used_although_its_former_incarnation_left() {
    let fake = FakeEndpoint::start(|number, request| {
        let whole = response(request, "200 OK", "body");
        let is_first = number == 0;
        vec![Step::Send(if is_first {
            with_header(whole, LEAVING)
        } else {
            whole
        })]
    });
    let rig = Rig::start(&[&fake]);
    assert_eq!(rig.request("/safe/x", "").status, 200);
    // An announcement of the incarnation that left changes nothing.
    rig.apply_incarnation(plan(), &[&fake], Incarnation(1), 2);
    assert_eq!(rig.request("/safe/x", "").status, 503);
    rig.apply_incarnation(plan(), &[&fake], Incarnation(2), 1);
    assert_eq!(rig.request("/safe/x", "").status, 200);
}

#[test]
fn other_entries_learn_of_the_departure_from_a_control_replica() {
    let leaving = leaving_endpoint(|request| response(request, "200 OK", "last"));
    let first = Rig::start(&[&leaving]);
    assert_eq!(first.request("/safe/x", "").status, 200);
    let replica = replica();
    assert!(replica.announce(&announcement(0, &leaving)));
    smol::block_on(replica.sync(sync_request("vm-1", first.gateway.departures_since(0))));
    let second = Rig::start(&[&leaving]);
    let reply = smol::block_on(replica.sync(sync_request("vm-2", UpdateBatch::default())));
    let now = second.gateway.clock.now();
    second.gateway.apply_sync("control", reply, now);
    assert_eq!(second.request("/safe/x", "").status, 503);
    assert_eq!(leaving.requests().len(), 1);
}

#[test]
fn header_is_neither_passed_on_nor_taken_from_a_caller() {
    let leaving = leaving_endpoint(|request| response(request, "200 OK", "last"));
    let steady = steady_endpoint();
    let rig = Rig::start(&[&leaving]);
    let answered = rig.request("/safe/x", "");
    assert_eq!(answered.status, 200);
    assert!(!answered.head.contains("papayatray-leaving"));
    let rig = Rig::start(&[&steady]);
    for _ in 0..2 {
        assert_eq!(rig.request("/safe/x", LEAVING).status, 200);
    }
    let forwarded = steady.requests();
    assert!(
        forwarded
            .iter()
            .all(|request| request.header("papayatray-leaving").is_none())
    );
}
