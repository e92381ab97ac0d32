//! Admission: paying requests take precedence over trial requests, and long jobs do not starve.

use papayatray_core::admission::Admission;
use papayatray_core::admission::AdmissionRequest;
use papayatray_core::admission::Gate;
use papayatray_core::admission::LONG_JOB_MAX_DELAY;
use papayatray_core::admission::QueueOutcome;
use papayatray_core::catalogue::Class;
use papayatray_core::clock::Millis;
use proptest::proptest;

fn admission_request(ticket: u64, class: Class) -> AdmissionRequest {
    AdmissionRequest {
        ticket,
        class,
        is_long: false,
        deadline: Millis::MAX,
    }
}

#[test]
fn paying_request_runs_at_once_despite_a_flood_of_trial_requests() {
    let now = Millis::new(1_000);
    let mut gate = Gate::new(10);
    for ticket in 0..500 {
        gate.offer(admission_request(ticket, Class::Trial), now);
    }
    assert_eq!(
        gate.offer(admission_request(900, Class::Paying), now),
        Admission::Run
    );
}

#[test]
fn queued_paying_request_runs_before_queued_trial_requests() {
    let now = Millis::new(1_000);
    let mut gate = Gate::new(2);
    gate.offer(admission_request(1, Class::Paying), now);
    gate.offer(admission_request(2, Class::Paying), now);
    assert_eq!(
        gate.offer(admission_request(3, Class::Trial), now),
        Admission::Wait
    );
    assert_eq!(
        gate.offer(admission_request(4, Class::Paying), now),
        Admission::Wait
    );
    gate.finish(Class::Paying, Some(Millis::new(10)));
    assert_eq!(gate.next(now), Some(QueueOutcome::Run(4)));
}

#[test]
fn full_queue_sheds_a_trial_request_for_a_paying_one() {
    let now = Millis::new(1_000);
    let mut gate = Gate::new(1);
    gate.offer(admission_request(0, Class::Paying), now);
    for ticket in 1..=4 {
        assert_eq!(
            gate.offer(admission_request(ticket, Class::Trial), now),
            Admission::Wait
        );
    }
    assert!(matches!(
        gate.offer(admission_request(5, Class::Trial), now),
        Admission::Shed(_)
    ));
    assert_eq!(
        gate.offer(admission_request(6, Class::Paying), now),
        Admission::Wait
    );
    assert!(
        matches!(gate.next(now), Some(QueueOutcome::Shed(4, _))),
        "the newest trial request is shed"
    );
}

#[test]
fn long_job_waits_behind_short_ones_until_its_maximum_delay() {
    let now = Millis::new(1_000);
    let mut gate = Gate::new(1);
    gate.offer(admission_request(0, Class::Paying), now);
    let long = AdmissionRequest {
        is_long: true,
        ..admission_request(1, Class::Paying)
    };
    assert_eq!(gate.offer(long, now), Admission::Wait);
    let later = now + LONG_JOB_MAX_DELAY;
    assert_eq!(
        gate.offer(admission_request(2, Class::Paying), later),
        Admission::Wait
    );
    gate.finish(Class::Paying, None);
    assert_eq!(
        gate.next(later),
        Some(QueueOutcome::Run(1)),
        "a long job past its maximum delay runs first"
    );
}

#[test]
fn queued_request_past_its_deadline_is_shed() {
    let now = Millis::new(1_000);
    let mut gate = Gate::new(1);
    gate.offer(admission_request(0, Class::Paying), now);
    let soon = AdmissionRequest {
        deadline: now + Millis::new(5_000),
        ..admission_request(1, Class::Paying)
    };
    assert_eq!(gate.offer(soon, now), Admission::Wait);
    let outcome = gate.next(now + Millis::new(5_000));
    assert!(
        matches!(outcome, Some(QueueOutcome::Shed(1, _))),
        "{outcome:?}"
    );
}

#[test]
fn request_that_would_miss_its_deadline_is_shed_on_arrival() {
    let now = Millis::new(1_000);
    let mut gate = Gate::new(1);
    gate.offer(admission_request(0, Class::Paying), now);
    let urgent = AdmissionRequest {
        deadline: now + Millis::new(1),
        ..admission_request(1, Class::Paying)
    };
    assert!(matches!(gate.offer(urgent, now), Admission::Shed(_)));
}

proptest! {
    #[test]
    fn gate_respects_its_limit_and_loses_no_request(
        limit in 1..20_u32,
        steps in proptest::collection::vec((0..4_u8, proptest::bool::ANY), 1..300),
    ) {
        let mut gate = Gate::new(limit);
        let mut now = Millis::new(1_000);
        let mut running: Vec<(u64, Class)> = Vec::new();
        let mut waiting: std::collections::BTreeMap<u64, Class> = std::collections::BTreeMap::new();
        for (ticket, (step, is_paying)) in steps.into_iter().enumerate() {
            let ticket = ticket as u64;
            let class = if is_paying { Class::Paying } else { Class::Trial };
            now = now + Millis::new(7);
            // Steps 0 and 1 offer a request, 2 finishes a running one, and 3 cancels a queued one;
            // 2 also does the latter if no request is running.
            match step {
                0 | 1 => match gate.offer(admission_request(ticket, class), now) {
                    Admission::Run => running.push((ticket, class)),
                    Admission::Wait => drop(waiting.insert(ticket, class)),
                    Admission::Shed(retry) => assert!(retry > Millis::ZERO),
                },
                2 if !running.is_empty() => {
                    let (_, class) = running.remove(0);
                    gate.finish(class, Some(Millis::new(20)));
                }
                _ => {
                    if let Some((ticket, _)) = waiting.pop_first() {
                        assert!(gate.cancel(ticket));
                    }
                }
            }
            while let Some(outcome) = gate.next(now) {
                match outcome {
                    QueueOutcome::Run(ticket) => running.push((ticket, waiting.remove(&ticket).unwrap())),
                    QueueOutcome::Shed(ticket, _) => drop(waiting.remove(&ticket).unwrap()),
                }
            }
            assert!(running.len() <= limit as usize);
            assert_eq!(gate.running() as usize, running.len());
            assert_eq!(gate.waiting(), waiting.len());
            let is_paying_waiting = waiting.values().any(|class| *class == Class::Paying);
            assert!(!is_paying_waiting || running.len() == limit as usize, "no paying request waits while there is room");
        }
    }
}
