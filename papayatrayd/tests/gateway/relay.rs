//! Whole answers: what is passed on, what is repeated, and what a refusal promises.

use std::time::Duration;
use std::time::Instant;

use papayatray_core::gateway::crashes::Suspect;
use papayatray_core::id::EndpointId;
use papayatray_core::id::Fingerprint;
use papayatray_core::id::Incarnation;
use papayatray_core::suspicion::EndpointIncarnation;

use crate::endpoint::Fake;
use crate::endpoint::Step;
use crate::endpoint::answer;
use crate::endpoint::not_run;
use crate::rig::Rig;
use crate::rig::plan;

fn good(text: &'static str) -> Fake {
    Fake::start(move |_, got| vec![Step::Send(answer(got, "200 OK", text))])
}

/// Returns an endpoint that breaks each answer off by `bytes` that end with the connection.
fn broken(bytes: &'static str) -> Fake {
    Fake::start(move |_, got| {
        let id = got.header("papayatray-request").unwrap_or_default();
        let bytes = bytes.replace("ID", id).into_bytes();
        vec![Step::Send(bytes), Step::Close]
    })
}

const CUT: &str = "HTTP/1.1 200 OK\r\nPapayatray-Request: ID\r\nPapayatray-Ran: s\r\n\
                   Content-Length: 100\r\n\r\nhalf";
const NO_HTTP: &str = "garbage that is no answer\r\n\r\n";

#[test]
fn answer_is_passed_on_unchanged() {
    let fake = Fake::start(|_, got| {
        let bytes = answer(got, "418 Teapot", "short and stout");
        vec![Step::Send(bytes)]
    });
    let rig = Rig::start(&[&fake]);
    let got = rig.ask("/safe/kettle?lid=on", "X-Own: kept\r\n");
    assert_eq!((got.status, got.body.as_str()), (418, "short and stout"));
    assert!(got.head.contains("papayatray-ran: stamp"), "{}", got.head);
    let sent = &fake.got()[0];
    assert!(sent.head.starts_with("post /safe/kettle?lid=on http/1.1"));
    assert_eq!(sent.header("x-own"), Some("kept"));
    assert_eq!(sent.body, b"body");
}

#[test]
fn headers_of_the_gateway_alone_are_never_the_callers() {
    let fake = good("ok");
    let rig = Rig::start(&[&fake]);
    let forged = "Papayatray-Organisation: other\r\nPapayatray-Endpoint: e9\r\n\
                  Authorization: Bearer key-1\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\n";
    rig.ask("/safe/", forged);
    let sent = &fake.got()[0];
    assert_eq!(sent.header("papayatray-organisation"), None);
    assert_eq!(sent.header("papayatray-endpoint"), Some("e0"));
    assert_eq!(sent.header("authorization"), None);
    assert_eq!(sent.header("x-hop"), None);
}

#[test]
fn key_names_the_organisation_and_unknown_keys_are_refused() {
    let fake = good("ok");
    let rig = Rig::start(&[&fake]);
    let known = rig.ask("/keyed/", "Authorization: Bearer key-1\r\n");
    assert_eq!(known.status, 200);
    assert_eq!(
        fake.got()[0].header("papayatray-organisation"),
        Some("mill")
    );
    assert_eq!(
        rig.ask("/keyed/", "Authorization: Bearer key-2\r\n").status,
        401
    );
    assert_eq!(rig.ask("/keyed/", "").status, 401);
    assert_eq!(fake.got().len(), 1);
}

#[test]
fn entry_without_a_plan_says_not_run_and_when_to_come_back() {
    let rig = Rig::blank();
    let got = rig.ask("/safe/", "");
    assert_eq!(got.status, 503);
    assert!(got.head.contains("retry-after: "), "{}", got.head);
}

#[test]
fn request_that_meets_the_first_plan_on_its_way_is_served() {
    let fake = good("ok");
    let rig = Rig::blank();
    let asking = std::thread::scope(|scope| {
        let asking = scope.spawn(|| rig.ask("/safe/", ""));
        std::thread::sleep(Duration::from_millis(100));
        rig.learn(plan(), &[&fake]);
        asking.join().unwrap()
    });
    assert_eq!(asking.status, 200);
}

#[test]
fn path_without_a_route_is_not_found() {
    let rig = Rig::start(&[]);
    assert_eq!(rig.ask("/nowhere/", "").status, 404);
}

#[test]
fn repeatable_request_is_made_good_after_a_cut_answer() {
    for bytes in [CUT, NO_HTTP, ""] {
        let (bad, fine) = (broken(bytes), good("ok"));
        let rig = Rig::start(&[&bad, &fine]);
        for _ in 0..6 {
            let got = rig.ask("/safe/", "");
            assert_eq!(
                (got.status, got.body.as_str()),
                (200, "ok"),
                "after {bytes:?}"
            );
        }
    }
}

#[test]
fn request_that_may_run_once_is_not_repeated_after_a_cut_answer() {
    for bytes in [CUT, NO_HTTP, ""] {
        let (one, two) = (broken(bytes), broken(bytes));
        let rig = Rig::start(&[&one, &two]);
        assert_eq!(rig.ask("/once/", "").status, 502, "after {bytes:?}");
        assert_eq!(one.got().len() + two.got().len(), 1);
    }
}

#[test]
fn request_that_was_turned_down_goes_elsewhere_even_if_it_may_run_once() {
    let busy = Fake::start(|_, got| vec![Step::Send(not_run(got))]);
    let fine = good("ok");
    let rig = Rig::start(&[&busy, &fine]);
    for _ in 0..6 {
        assert_eq!(rig.ask("/once/", "").status, 200);
    }
    assert_eq!(fine.got().len(), 6);
}

#[test]
fn request_that_all_turned_down_is_refused_as_not_run() {
    let busy = Fake::start(|_, got| vec![Step::Send(not_run(got))]);
    let rig = Rig::start(&[&busy]);
    let got = rig.ask("/once/", "");
    assert_eq!(got.status, 503);
    assert!(got.head.contains("retry-after: "), "{}", got.head);
}

#[test]
fn status_that_promises_not_run_is_not_passed_on_without_the_endpoints_word() {
    let fake = Fake::start(|_, got| {
        let text = String::from_utf8(answer(got, "503 Odd", "")).unwrap();
        vec![Step::Send(
            text.replace("Papayatray-Ran: stamp\r\n", "").into_bytes(),
        )]
    });
    let rig = Rig::start(&[&fake]);
    assert_eq!(rig.ask("/once/", "").status, 502);
}

#[test]
fn answer_to_another_request_never_reaches_the_caller() {
    let fake = Fake::start(|_, got| {
        let text = String::from_utf8(answer(got, "200 OK", "not yours")).unwrap();
        vec![Step::Send(text.replace("r-1", "r-0").into_bytes())]
    });
    let rig = Rig::start(&[&fake]);
    let got = rig.ask("/once/", "");
    assert_eq!(got.status, 502);
    assert!(!got.body.contains("not yours"));
}

#[test]
fn second_answer_on_a_connection_is_not_taken_for_the_next_requests() {
    let fake = Fake::start(|number, got| {
        let mut bytes = answer(got, "200 OK", &format!("answer {number}"));
        bytes.extend(answer(got, "200 OK", "extra"));
        vec![Step::Send(bytes)]
    });
    let rig = Rig::start(&[&fake]);
    for number in 0..5 {
        let got = rig.ask("/safe/", "");
        assert_eq!(got.body, format!("answer {number}"));
    }
}

#[test]
fn answer_without_a_length_is_whole_when_its_connection_ends() {
    let fake =
        broken("HTTP/1.1 200 OK\r\nPapayatray-Request: ID\r\nPapayatray-Ran: s\r\n\r\nto the end");
    let rig = Rig::start(&[&fake]);
    let got = rig.ask("/safe/", "");
    assert_eq!((got.status, got.body.as_str()), (200, "to the end"));
}

#[test]
fn success_without_the_proof_of_having_run_is_not_passed_on() {
    let fake = Fake::start(|_, got| {
        let text = String::from_utf8(answer(got, "200 OK", "who knows")).unwrap();
        vec![Step::Send(
            text.replace("Papayatray-Ran: stamp\r\n", "").into_bytes(),
        )]
    });
    let rig = Rig::start(&[&fake]);
    assert_eq!(rig.ask("/once/", "").status, 502);
}

#[test]
fn route_timeout_ends_a_silent_request_at_once() {
    let fake = Fake::start(|_, _| vec![Step::Wait(Duration::from_secs(5))]);
    let rig = Rig::start(&[&fake]);
    let begin = Instant::now();
    assert_eq!(rig.ask("/brief/", "").status, 504);
    assert!(begin.elapsed() < Duration::from_secs(3));
}

#[test]
fn endpoint_is_told_no_more_time_than_the_caller_has() {
    let fake = good("ok");
    let rig = Rig::start(&[&fake]);
    rig.ask("/safe/", "Papayatray-Deadline-Ms: 700\r\n");
    rig.ask("/safe/", "Papayatray-Deadline-Ms: 90000\r\n");
    let left = |at: usize| -> u64 {
        let got = fake.got();
        got[at]
            .header("papayatray-deadline-ms")
            .unwrap()
            .parse()
            .unwrap()
    };
    assert!(left(0) <= 700);
    assert!(left(1) <= 3_000, "the route's timeout holds too");
}

#[test]
fn endpoints_own_failure_is_passed_on_once_all_attempts_are_used() {
    let fake = || Fake::start(|_, got| vec![Step::Send(answer(got, "500 Oops", "broken"))]);
    let (one, two) = (fake(), fake());
    let rig = Rig::start(&[&one, &two]);
    let got = rig.ask("/safe/", "");
    assert_eq!((got.status, got.body.as_str()), (500, "broken"));
    assert_eq!(one.got().len() + two.got().len(), 2);
}

#[test]
fn head_with_two_framings_runs_nothing_twice() {
    let fake = good("ok");
    let rig = Rig::start(&[&fake]);
    let smuggled = "Transfer-Encoding: chunked\r\n";
    rig.post(
        "/safe/",
        smuggled,
        "0\r\n\r\nPOST /once/ HTTP/1.1\r\nHost: orders.example\r\n\r\n",
    );
    let paths: Vec<String> = fake.got().iter().map(|got| got.head.clone()).collect();
    assert!(
        paths.iter().all(|head| !head.starts_with("post /once/")),
        "{paths:?}"
    );
}

#[test]
fn request_that_crashed_three_endpoints_is_refused_everywhere() {
    let fake = good("ok");
    let rig = Rig::start(&[&fake]);
    assert_eq!(rig.ask("/safe/", "").status, 200);
    let crashed = (0..3).map(|number| EndpointIncarnation {
        endpoint: EndpointId::new(format!("gone-{number}")).unwrap(),
        incarnation: Incarnation(1),
    });
    rig.learn_suspects(vec![Suspect {
        fingerprint: fingerprint("/safe/", "body"),
        crashed: crashed.collect(),
    }]);
    assert_eq!(rig.ask("/safe/", "").status, 503);
    assert_eq!(rig.post("/safe/", "", "another body").status, 200);
    assert_eq!(fake.got().len(), 2);
}

#[test]
fn crash_is_told_apart_from_a_lost_answer() {
    let lost = broken("");
    let rig = Rig::start(&[&lost]);
    rig.ask("/once/", "");
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(rig.suspects(), 0, "the endpoint still listens");
}

/// Returns the digest of a request without a key.
fn fingerprint(path: &str, body: &str) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    for part in [path, "", body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    let mut first = [0; 16];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    Fingerprint(u128::from_le_bytes(first))
}
