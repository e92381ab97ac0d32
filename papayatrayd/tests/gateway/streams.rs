//! Streamed responses: forwarding of events, resumption at another endpoint, and disconnects.

use std::io::Read;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use papayatray_core::clock::Millis;
use papayatray_core::directory::Endpoint;
use papayatray_core::gateway::arrivals::ArrivalBound;
use papayatray_core::gateway::plan::Plan;
use papayatray_core::gateway::plan::Route;
use papayatray_core::gateway::plan::RouteKind;
use papayatray_core::id::PlanVersion;
use papayatray_wire::peer::Deregistration;
use papayatray_wire::peer::EndpointUpdates;
use papayatray_wire::peer::SyncReply;
use papayatrayd::observe::SystemClock;

use crate::endpoint::FakeEndpoint;
use crate::endpoint::ReceivedRequest;
use crate::endpoint::Step;
use crate::endpoint::chunk;
use crate::endpoint::end;
use crate::endpoint::event;
use crate::endpoint::stream_head;
use crate::rig::ReceivedResponse;
use crate::rig::Rig;
use crate::rig::announcement;
use crate::rig::plan;
use crate::rig::route;

/// Returns the steps of a complete stream of the events `from..=to`.
///
/// Here and below, 90 is a model confidence high enough for the gateway to use no larger model.
fn events(request: &ReceivedRequest, from: u64, to: u64) -> Vec<Step> {
    let mut steps = vec![Step::Send(stream_head(request, 90))];
    steps.extend((from..=to).map(|id| Step::Send(event(id))));
    steps.push(Step::Send(end()));
    steps
}

/// Returns an endpoint that sends the events after the one that a request names, up to `last`.
fn resuming(last: u64) -> FakeEndpoint {
    FakeEndpoint::start(move |_, request| {
        let from = request
            .header("last-event-id")
            .and_then(|id| id.parse().ok());
        events(request, from.unwrap_or(0) + 1, last)
    })
}

/// Returns an endpoint that sends two events and then follows `steps`.
fn interrupted(steps: Vec<Step>) -> FakeEndpoint {
    FakeEndpoint::start(move |_, request| {
        let mut all = vec![
            Step::Send(stream_head(request, 90)),
            Step::Send(event(1)),
            Step::Send(event(2)),
        ];
        all.extend(steps.clone());
        all
    })
}

/// Returns the ids of the received events, and whether the stream ended with its last chunk.
fn received_events(response: &ReceivedResponse) -> (Vec<u64>, bool) {
    let lines = response.body.lines();
    let ids = lines.filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
    (ids.collect(), response.body.ends_with("0\r\n\r\n"))
}

/// Asserts that each of several requests receives all events up to `last` once and in order.
fn assert_complete(rig: &Rig, last: u64) {
    for _ in 0..6 {
        let response = rig.request("/stream/", "");
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(
            received_events(&response),
            ((1..=last).collect(), true),
            "{response:?}"
        );
    }
}

#[test]
fn events_are_forwarded_without_buffering() {
    let fake = FakeEndpoint::start(|_, request| {
        vec![
            Step::Send(stream_head(request, 90)),
            Step::Send(event(1)),
            Step::Wait(Duration::from_millis(800)),
            Step::Send(event(2)),
            Step::Send(end()),
        ]
    });
    let rig = Rig::start(&[&fake]);
    let mut stream = rig.start_request("/stream/", "", "body");
    let start = Instant::now();
    let mut bytes = Vec::new();
    while !String::from_utf8_lossy(&bytes).contains("piece 1") {
        let mut buffer = [0; 256];
        let count = stream.read(&mut buffer).unwrap();
        assert!(count > 0, "the stream ended early");
        bytes.extend_from_slice(&buffer[..count]);
    }
    assert!(
        start.elapsed() < Duration::from_millis(600),
        "the event was buffered"
    );
}

#[test]
fn broken_stream_is_resumed_after_the_last_whole_event() {
    let cut_connection = vec![Step::Close];
    let cut_event = vec![Step::Send(chunk("id: 3\nda")), Step::Close];
    let early_end = vec![Step::Send(chunk("id: 3\ndata: half")), Step::Send(end())];
    for steps in [cut_connection, cut_event, early_end] {
        let (faulty_endpoint, healthy_endpoint) = (interrupted(steps), resuming(5));
        assert_complete(&Rig::start(&[&faulty_endpoint, &healthy_endpoint]), 5);
    }
}

#[test]
fn stalled_stream_is_resumed_even_while_comments_arrive() {
    let trickle = (0..30).flat_map(|_| {
        let comment = Step::Send(chunk(": still here\n"));
        [comment, Step::Wait(Duration::from_millis(100))]
    });
    let (faulty_endpoint, healthy_endpoint) = (interrupted(trickle.collect()), resuming(4));
    let rig = Rig::start(&[&faulty_endpoint, &healthy_endpoint]);
    for _ in 0..2 {
        let response = rig.request("/stream/", "Papayatray-Deadline-Ms: 20000\r\n");
        assert_eq!(
            received_events(&response).0,
            (1..=4).collect::<Vec<u64>>(),
            "{response:?}"
        );
    }
}

/// Guards against a stream that is cut off for its silence though no other endpoint may go on with it.
#[test]
fn silent_stream_that_cannot_be_resumed_is_waited_for() {
    const SILENCE: Duration = Duration::from_millis(3_500);
    let silent = FakeEndpoint::start(|_, request| {
        let mut steps = vec![Step::Send(stream_head(request, 90)), Step::Send(event(1))];
        steps.push(Step::Wait(SILENCE));
        steps.extend([Step::Send(event(2)), Step::Send(end())]);
        steps
    });
    let kind = RouteKind::Stream { resumable: false };
    let lasting = Route {
        timeout: Millis::from_secs(10),
        ..route(kind, "/lasting/")
    };
    let rig = Rig::without_plan();
    let plan = Plan {
        routes: vec![lasting],
        ..plan()
    };
    rig.apply_update(plan, &[&silent]);
    let received = rig.request("/lasting/x", "Papayatray-Deadline-Ms: 9000\r\n");
    assert_eq!(received_events(&received), (vec![1, 2], true));
}

#[test]
fn events_repeated_after_a_resume_are_dropped() {
    let faulty_endpoint = interrupted(vec![Step::Close]);
    // An endpoint that ignores the event id and starts with the first event.
    let healthy_endpoint = FakeEndpoint::start(|_, request| events(request, 1, 4));
    assert_complete(&Rig::start(&[&faulty_endpoint, &healthy_endpoint]), 4);
}

#[test]
fn stream_that_cannot_be_resumed_ends_without_its_last_chunk() {
    let faulty_endpoint = interrupted(vec![Step::Close]);
    let rig = Rig::start(&[&faulty_endpoint]);
    let response = rig.request("/stream/", "");
    assert_eq!(
        received_events(&response),
        (vec![1, 2], false),
        "{response:?}"
    );
}

#[test]
fn disconnect_of_the_caller_aborts_the_response_of_the_endpoint() {
    let fake = FakeEndpoint::start(|_, request| {
        let mut steps = vec![Step::Send(stream_head(request, 90))];
        for id in 1..200 {
            steps.push(Step::Send(event(id)));
            steps.push(Step::Wait(Duration::from_millis(20)));
        }
        steps
    });
    let rig = Rig::start(&[&fake]);
    let mut stream = rig.start_request("/stream/", "", "body");
    let mut buffer = [0; 64];
    assert!(stream.read(&mut buffer).unwrap() > 0);
    drop(stream);
    let start = Instant::now();
    while fake.aborted_responses() == 0 {
        assert!(
            start.elapsed() < Duration::from_secs(10),
            "the endpoint's response was not aborted"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Starts an endpoint whose small model answers with low confidence.
fn unsure_if_small() -> FakeEndpoint {
    FakeEndpoint::start(|_, request| {
        let is_small = request.header("papayatray-model") == Some("small");
        let confidence = if is_small { 10 } else { 95 };
        let text = if is_small { "small" } else { "large" };
        vec![
            Step::Send(stream_head(request, confidence)),
            Step::Send(chunk(&format!("id: 1\ndata: {text}\n\n"))),
            Step::Send(end()),
        ]
    })
}

/// While endpoints lose many answers, retries use up the budget. An answer that has begun must then
/// be passed on, not dropped for one of a larger model that may not be asked any more.
#[test]
fn response_with_low_confidence_is_kept_while_the_retry_budget_is_exhausted() {
    let (one, two) = (unsure_if_small(), unsure_if_small());
    let no_retries = ArrivalBound {
        ratio: 0.0,
        slack: 0.0,
        window: Millis::from_secs(10),
    };
    let rig = Rig::with_arrivals(Arc::new(SystemClock::default()), no_retries);
    rig.apply_update(plan(), &[&one, &two]);
    let response = rig.request("/sized/", "Papayatray-Model: *\r\n");
    assert_eq!(response.status, 200);
    assert!(response.body.contains("small"), "{response:?}");
}

#[test]
fn response_with_low_confidence_is_replaced_by_that_of_a_larger_model() {
    let (one, two) = (unsure_if_small(), unsure_if_small());
    let rig = Rig::start(&[&one, &two]);
    let response = rig.request("/sized/", "Papayatray-Model: *\r\n");
    assert!(
        response.body.contains("large") && !response.body.contains("small"),
        "{response:?}"
    );
}

#[test]
fn named_model_gets_421_where_the_gateway_chooses() {
    let fake = resuming(1);
    let rig = Rig::start(&[&fake]);
    assert_eq!(
        rig.request("/sized/", "Papayatray-Model: large\r\n").status,
        421
    );
    assert_eq!(fake.requests().len(), 0);
}

#[test]
fn caller_resumes_after_its_last_event() {
    let fake = resuming(5);
    let rig = Rig::start(&[&fake]);
    let response = rig.request("/stream/", "Last-Event-Id: 3\r\n");
    assert_eq!(received_events(&response), (vec![4, 5], true));
}

/// Guards against losing events that arrive together with the end of the connection. Whether they
/// are read in one piece depends on timing, so many callers repeat the request.
#[test]
fn events_before_a_break_are_forwarded() {
    let faulty_endpoint = FakeEndpoint::start(|_, request| {
        let parts = [stream_head(request, 90), event(1), event(2)];
        vec![Step::Send(parts.concat()), Step::Close]
    });
    let rig = Rig::start(&[&faulty_endpoint]);
    thread::scope(|scope| {
        for _ in 0..32 {
            scope.spawn(|| {
                for _ in 0..40 {
                    let response = rig.request("/stream/", "");
                    assert_eq!(
                        received_events(&response),
                        (vec![1, 2], false),
                        "{response:?}"
                    );
                }
            });
        }
    });
}

/// Returns an endpoint that streams twelve events with this pause before each.
fn pacing_endpoint(pause: Duration) -> FakeEndpoint {
    FakeEndpoint::start(move |_, request| {
        let mut steps = vec![Step::Send(stream_head(request, 90))];
        for id in 1..=12 {
            steps.extend([Step::Wait(pause), Step::Send(event(id))]);
        }
        steps.push(Step::Send(end()));
        steps
    })
}

#[test]
fn streams_of_a_release_that_sends_events_slowly_count_against_it() {
    let [usual, slow] = [Duration::from_millis(1), Duration::from_millis(150)].map(pacing_endpoint);
    let rig = Rig::without_plan();
    rig.apply_update(plan(), &[&usual]);
    for _ in 0..5 {
        assert_eq!(rig.request("/stream/x", "").status, 200);
    }
    let replacement = Endpoint {
        release: "v2".to_owned(),
        ..announcement(1, &slow)
    };
    let departed = Deregistration {
        id: announcement(0, &usual).id,
        incarnation: None,
    };
    let update = SyncReply {
        endpoints: EndpointUpdates {
            changed: vec![replacement],
            deregistered: vec![departed],
            ..EndpointUpdates::default()
        },
        ..SyncReply::default()
    };
    rig.gateway
        .apply_sync("control", update, rig.gateway.clock.now());
    for _ in 0..3 {
        assert_eq!(rig.request("/stream/x", "").status, 200);
    }
    let results = rig.gateway.tallies();
    let paces: Vec<_> = results
        .iter()
        .map(|tally| (tally.release.as_str(), tally.results.paces.bad))
        .collect();
    assert_eq!(paces, [("v1", 0), ("v2", 3)]);
}

/// Guards against a caller that states its own urgency, and against an order that the plan does not
/// call for.
#[test]
fn urgency_is_stated_only_for_model_streams_of_a_plan_with_different_ranks() {
    let endpoint = resuming(2);
    let rig = Rig::start(&[&endpoint]);
    let urgencies = |path: &str| {
        let headers = "papayatray-model: *\r\npapayatray-urgency: 0\r\n";
        assert_eq!(rig.request(path, headers).status, 200);
        let requests = endpoint.requests();
        let last = requests.last().unwrap();
        last.header("papayatray-urgency").map(str::to_owned)
    };
    assert_eq!(urgencies("/sized/"), None);
    let mut plan = plan();
    let mut other = plan.routes[4].clone();
    other.prefix = "/other/".to_owned();
    other.rank = 2;
    plan.routes.push(other);
    plan.version = PlanVersion(2);
    rig.apply_update(plan, &[&endpoint]);
    assert_eq!(urgencies("/sized/").as_deref(), Some("3"));
    assert_eq!(urgencies("/other/").as_deref(), Some("5"));
    assert_eq!(urgencies("/stream/"), None);
}
