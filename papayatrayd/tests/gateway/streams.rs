//! Streams: events as they come, resumed elsewhere, ended with their callers.

use std::io::Read;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::endpoint::Fake;
use crate::endpoint::Got;
use crate::endpoint::Step;
use crate::endpoint::chunk;
use crate::endpoint::end;
use crate::endpoint::event;
use crate::endpoint::stream_head;
use crate::rig::Answer;
use crate::rig::Rig;

/// Returns the steps of a stream of the events `from..=to`, with its end.
fn events(got: &Got, from: u64, to: u64) -> Vec<Step> {
    let mut steps = vec![Step::Send(stream_head(got, 90))];
    steps.extend((from..=to).map(|id| Step::Send(event(id))));
    steps.push(Step::Send(end()));
    steps
}

/// Returns an endpoint that goes on after the last event that a request names.
fn sound(last: u64) -> Fake {
    Fake::start(move |_, got| {
        let from = got.header("last-event-id").and_then(|id| id.parse().ok());
        events(got, from.unwrap_or(0) + 1, last)
    })
}

/// Returns an endpoint that sends two events and then breaks off by `steps`.
fn breaking(steps: Vec<Step>) -> Fake {
    Fake::start(move |_, got| {
        let mut all = vec![
            Step::Send(stream_head(got, 90)),
            Step::Send(event(1)),
            Step::Send(event(2)),
        ];
        all.extend(steps.clone());
        all
    })
}

/// Returns the numbers of the events that a caller got, and whether the stream ended whole.
fn received(answer: &Answer) -> (Vec<u64>, bool) {
    let lines = answer.body.lines();
    let ids = lines.filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
    (ids.collect(), answer.body.ends_with("0\r\n\r\n"))
}

fn assert_whole(rig: &Rig, last: u64) {
    for _ in 0..6 {
        let got = rig.ask("/stream/", "");
        assert_eq!(got.status, 200, "{got:?}");
        assert_eq!(received(&got), ((1..=last).collect(), true), "{got:?}");
    }
}

#[test]
fn stream_is_passed_on_event_by_event() {
    let fake = Fake::start(|_, got| {
        vec![
            Step::Send(stream_head(got, 90)),
            Step::Send(event(1)),
            Step::Wait(Duration::from_millis(800)),
            Step::Send(event(2)),
            Step::Send(end()),
        ]
    });
    let rig = Rig::start(&[&fake]);
    let mut stream = rig.send("/stream/", "", "body");
    let begin = Instant::now();
    let mut bytes = Vec::new();
    while !String::from_utf8_lossy(&bytes).contains("piece 1") {
        let mut some = [0; 256];
        let count = stream.read(&mut some).unwrap();
        assert!(count > 0, "the stream ended early");
        bytes.extend_from_slice(&some[..count]);
    }
    assert!(
        begin.elapsed() < Duration::from_millis(600),
        "the event was held"
    );
}

#[test]
fn broken_stream_is_resumed_after_the_last_whole_event() {
    let cut_connection = vec![Step::Close];
    let cut_event = vec![Step::Send(chunk("id: 3\nda")), Step::Close];
    let early_end = vec![Step::Send(chunk("id: 3\ndata: half")), Step::Send(end())];
    for steps in [cut_connection, cut_event, early_end] {
        let (bad, fine) = (breaking(steps), sound(5));
        assert_whole(&Rig::start(&[&bad, &fine]), 5);
    }
}

#[test]
fn stuck_stream_is_resumed_elsewhere_though_bytes_trickle() {
    let trickle = (0..30).flat_map(|_| {
        let comment = Step::Send(chunk(": still here\n"));
        [comment, Step::Wait(Duration::from_millis(100))]
    });
    let (bad, fine) = (breaking(trickle.collect()), sound(4));
    let rig = Rig::start(&[&bad, &fine]);
    for _ in 0..2 {
        let got = rig.ask("/stream/", "Papayatray-Deadline-Ms: 20000\r\n");
        assert_eq!(received(&got).0, (1..=4).collect::<Vec<u64>>(), "{got:?}");
    }
}

#[test]
fn event_that_comes_again_is_passed_on_once() {
    let bad = breaking(vec![Step::Close]);
    // An endpoint that begins anew, whatever the request names.
    let fine = Fake::start(|_, got| events(got, 1, 4));
    assert_whole(&Rig::start(&[&bad, &fine]), 4);
}

#[test]
fn stream_that_nobody_can_finish_does_not_look_whole() {
    let bad = breaking(vec![Step::Close]);
    let rig = Rig::start(&[&bad]);
    let got = rig.ask("/stream/", "");
    assert_eq!(received(&got), (vec![1, 2], false), "{got:?}");
}

#[test]
fn callers_leaving_ends_the_endpoints_work() {
    let fake = Fake::start(|_, got| {
        let mut steps = vec![Step::Send(stream_head(got, 90))];
        for id in 1..200 {
            steps.push(Step::Send(event(id)));
            steps.push(Step::Wait(Duration::from_millis(20)));
        }
        steps
    });
    let rig = Rig::start(&[&fake]);
    let mut stream = rig.send("/stream/", "", "body");
    let mut some = [0; 64];
    assert!(stream.read(&mut some).unwrap() > 0);
    drop(stream);
    let begin = Instant::now();
    while fake.left() == 0 {
        assert!(begin.elapsed() < Duration::from_secs(10), "work goes on");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn doubtful_answer_is_dropped_and_asked_of_the_largest_model() {
    let fake = || {
        Fake::start(|_, got| {
            let is_small = got.header("papayatray-model") == Some("small");
            let confidence = if is_small { 10 } else { 95 };
            let text = if is_small { "small" } else { "large" };
            vec![
                Step::Send(stream_head(got, confidence)),
                Step::Send(chunk(&format!("id: 1\ndata: {text}\n\n"))),
                Step::Send(end()),
            ]
        })
    };
    let (one, two) = (fake(), fake());
    let rig = Rig::start(&[&one, &two]);
    let got = rig.ask("/sized/", "Papayatray-Model: *\r\n");
    assert!(
        got.body.contains("large") && !got.body.contains("small"),
        "{got:?}"
    );
}

#[test]
fn named_model_is_refused_where_the_gateway_chooses() {
    let fake = sound(1);
    let rig = Rig::start(&[&fake]);
    assert_eq!(
        rig.ask("/sized/", "Papayatray-Model: large\r\n").status,
        421
    );
    assert_eq!(fake.got().len(), 0);
}

#[test]
fn caller_that_resumes_gets_what_follows() {
    let fake = sound(5);
    let rig = Rig::start(&[&fake]);
    let got = rig.ask("/stream/", "Last-Event-Id: 3\r\n");
    assert_eq!(received(&got), (vec![4, 5], true));
}

/// The endpoint's last bytes and the end of its connection come at once, many times over.
#[test]
fn events_that_came_before_a_break_reach_the_caller() {
    let broken = Fake::start(|_, got| {
        let parts = [stream_head(got, 90), event(1), event(2)];
        vec![Step::Send(parts.concat()), Step::Close]
    });
    let rig = Rig::start(&[&broken]);
    thread::scope(|scope| {
        for _ in 0..32 {
            scope.spawn(|| {
                for _ in 0..40 {
                    let got = rig.ask("/stream/", "");
                    assert_eq!(received(&got), (vec![1, 2], false), "{got:?}");
                }
            });
        }
    });
}
