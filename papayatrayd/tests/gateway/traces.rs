//! Trace spans of a request and its attempts.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use papayatrayd::gateway::MetricsPage;
use papayatrayd::gateway::serve_http;
use papayatrayd::observe::set_up_traces;
use papayatrayd::tasks::Tasks;
use serde_json::Value;

use crate::endpoint::FakeEndpoint;
use crate::endpoint::Step;
use crate::endpoint::response;
use crate::rig::Rig;

const TRACE_ID: &str = "0af7651916cd43dd8448eb211c80319c";
const CALLER_SPAN_ID: &str = "b7ad6b7169203331";

/// Returns the spans of a trace, read over HTTP from a metrics page of the entry.
fn spans(rig: &Rig, trace: &str) -> Vec<Value> {
    let page = MetricsPage::new(String::new).with_traces(rig.gateway.traces.clone());
    let tasks = Tasks::new(1).unwrap();
    let listener = smol::block_on(smol::net::TcpListener::bind("127.0.0.1:0")).unwrap();
    let address = listener.local_addr().unwrap();
    tasks.spawn(serve_http(listener, Arc::new(page), tasks.clone()));
    let mut stream = TcpStream::connect(address).unwrap();
    let request = format!("GET /traces/{trace} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    let (head, body) = response.split_once("\r\n\r\n").unwrap();
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    serde_json::from_str(body).unwrap()
}

fn spans_named<'a>(spans: &'a [Value], name: &str) -> Vec<&'a Value> {
    spans.iter().filter(|span| span["name"] == name).collect()
}

/// The trace of a caller continues through the entry to each endpoint, with the attempt as parent.
#[test]
fn sampled_trace_has_spans_for_the_request_and_each_attempt() {
    let faulty_endpoint = FakeEndpoint::start(|_, request| {
        vec![Step::Send(response(
            request,
            "500 Internal Server Error",
            "no",
        ))]
    });
    let healthy_endpoint =
        FakeEndpoint::start(|_, request| vec![Step::Send(response(request, "200 OK", "done"))]);
    let rig = Rig::start(&[&faulty_endpoint, &healthy_endpoint]);
    set_up_traces(&rig.gateway.traces);
    let header = format!("traceparent: 00-{TRACE_ID}-{CALLER_SPAN_ID}-01\r\n");
    while faulty_endpoint.requests().is_empty() {
        assert_eq!(rig.request("/safe/x", &header).status, 200);
    }
    let forwarded = faulty_endpoint.requests()[0]
        .header("traceparent")
        .unwrap()
        .to_owned();
    assert!(
        forwarded.starts_with(&format!("00-{TRACE_ID}-")),
        "{forwarded}"
    );
    assert!(
        !forwarded.contains(CALLER_SPAN_ID),
        "the endpoint must see the attempt as its parent: {forwarded}"
    );
    let max_polls = 100;
    let mut found = Vec::new();
    for _ in 0..max_polls {
        found = spans(&rig, TRACE_ID);
        let attempts = spans_named(&found, "gateway.attempt");
        let failed = attempts.iter().any(|s| s["attributes"]["outcome"] == "500");
        if failed && !spans_named(&found, "gateway.request").is_empty() {
            break;
        }
        thread::sleep(Duration::from_millis(50));
    }
    let requests = spans_named(&found, "gateway.request");
    assert!(
        requests.iter().all(|span| span["parent"] == CALLER_SPAN_ID),
        "{found:?}"
    );
    assert_eq!(requests[0]["attributes"]["route"], "/safe/");
    let attempts = spans_named(&found, "gateway.attempt");
    let failed = attempts
        .iter()
        .find(|s| s["attributes"]["outcome"] == "500")
        .unwrap();
    assert_eq!(failed["attributes"]["endpoint"], "e0");
    assert!(requests.iter().any(|span| span["span"] == failed["parent"]));
    assert!(spans(&rig, "00000000000000000000000000000001").is_empty());
}

/// A trace that the caller did not sample is not recorded, and its header is forwarded unchanged.
#[test]
fn unsampled_request_keeps_its_trace_headers() {
    let healthy_endpoint =
        FakeEndpoint::start(|_, request| vec![Step::Send(response(request, "200 OK", "done"))]);
    let rig = Rig::start(&[&healthy_endpoint]);
    let traceparent = format!("00-{TRACE_ID}-{CALLER_SPAN_ID}-00");
    let header = format!("traceparent: {traceparent}\r\n");
    assert_eq!(rig.request("/safe/x", &header).status, 200);
    assert_eq!(
        healthy_endpoint.requests()[0].header("traceparent"),
        Some(traceparent.as_str())
    );
    assert_eq!(rig.request("/safe/x", "").status, 200);
    assert_eq!(healthy_endpoint.requests()[1].header("traceparent"), None);
}
