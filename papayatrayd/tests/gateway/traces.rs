//! Spans of a request's way through the gateway.

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

use crate::endpoint::Fake;
use crate::endpoint::Step;
use crate::endpoint::answer;
use crate::rig::Rig;

const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";
const CALLER: &str = "b7ad6b7169203331";

fn spans(rig: &Rig, trace: &str) -> Vec<Value> {
    let page = MetricsPage::new(String::new).with_traces(rig.gateway.traces.clone());
    let tasks = Tasks::new(1).unwrap();
    let listener = smol::block_on(smol::net::TcpListener::bind("127.0.0.1:0")).unwrap();
    let address = listener.local_addr().unwrap();
    tasks.spawn(serve_http(listener, Arc::new(page), tasks.clone()));
    let mut stream = TcpStream::connect(address).unwrap();
    let request = format!("GET /traces/{trace} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    let (head, body) = answer.split_once("\r\n\r\n").unwrap();
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    serde_json::from_str(body).unwrap()
}

fn named<'a>(spans: &'a [Value], name: &str) -> Vec<&'a Value> {
    spans.iter().filter(|span| span["name"] == name).collect()
}

/// A caller's trace goes on through the entry to each endpoint that is asked.
#[test]
fn caller_finds_a_span_for_the_request_and_for_each_attempt() {
    let bad =
        Fake::start(|_, got| vec![Step::Send(answer(got, "500 Internal Server Error", "no"))]);
    let good = Fake::start(|_, got| vec![Step::Send(answer(got, "200 OK", "done"))]);
    let rig = Rig::start(&[&bad, &good]);
    set_up_traces(&rig.gateway.traces);
    let header = format!("traceparent: 00-{TRACE}-{CALLER}-01\r\n");
    while bad.got().is_empty() {
        assert_eq!(rig.ask("/safe/x", &header).status, 200);
    }
    let seen = bad.got()[0].header("traceparent").unwrap().to_owned();
    assert!(seen.starts_with(&format!("00-{TRACE}-")), "{seen}");
    assert!(
        !seen.contains(CALLER),
        "the endpoint's parent is the attempt: {seen}"
    );
    let patience = 100;
    let mut found = Vec::new();
    for _ in 0..patience {
        found = spans(&rig, TRACE);
        let outcomes = named(&found, "gateway.attempt");
        let failed = outcomes.iter().any(|s| s["attributes"]["outcome"] == "500");
        if failed && !named(&found, "gateway.request").is_empty() {
            break;
        }
        thread::sleep(Duration::from_millis(50));
    }
    let requests = named(&found, "gateway.request");
    assert!(
        requests.iter().all(|span| span["parent"] == CALLER),
        "{found:?}"
    );
    assert_eq!(requests[0]["attributes"]["route"], "/safe/");
    let attempts = named(&found, "gateway.attempt");
    let failed = attempts
        .iter()
        .find(|s| s["attributes"]["outcome"] == "500")
        .unwrap();
    assert_eq!(failed["attributes"]["endpoint"], "e0");
    assert!(requests.iter().any(|span| span["span"] == failed["parent"]));
    assert!(spans(&rig, "00000000000000000000000000000001").is_empty());
}

/// A caller who asks for no trace leaves none, and endpoints see its headers as they were.
#[test]
fn untraced_request_keeps_its_headers() {
    let good = Fake::start(|_, got| vec![Step::Send(answer(got, "200 OK", "done"))]);
    let rig = Rig::start(&[&good]);
    let parent = format!("00-{TRACE}-{CALLER}-00");
    let header = format!("traceparent: {parent}\r\n");
    assert_eq!(rig.ask("/safe/x", &header).status, 200);
    assert_eq!(good.got()[0].header("traceparent"), Some(parent.as_str()));
    assert_eq!(rig.ask("/safe/x", "").status, 200);
    assert_eq!(good.got()[1].header("traceparent"), None);
}
