//! Admission control: latency of paying requests under a flood of trial requests, compared with an
//! admission control that ignores classes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use papayatray_core::admission::Admission;
use papayatray_core::admission::AdmissionRequest;
use papayatray_core::admission::Gate;
use papayatray_core::admission::QueueOutcome;
use papayatray_core::catalogue::Class;
use papayatray_core::clock::Millis;

use super::SEEDS;
use super::exponential;
use super::seeded_rng;
use crate::plot::Curve;
use crate::report::Report;
use crate::report::percentile;

/// Number of requests that the pool runs concurrently.
const SLOTS: u32 = 160;
/// Mean service time in milliseconds.
const MEAN_SERVICE_MS: f64 = 400.0;
/// Load of paying requests, as a share of the capacity.
const PAYING_LOAD: f64 = 0.6;
/// Load of trial requests during the flood, as a multiple of the capacity.
const FLOOD_LOAD: f64 = 10.0;
/// Duration of a simulation; the flood lasts from a quarter to three quarters of it.
const RUN_MS: u64 = 60_000;

/// Load, without (`Quiet`) or with a flood of trial requests, and whether admission control
/// distinguishes the classes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scenario {
    Quiet,
    Flood,
    FloodWithoutClasses,
}

/// Event of a simulation, with the ticket and the class of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    End(u64, Class),
    Arrive(u64, Class),
}

/// Measures of a simulation: latencies of paying requests in milliseconds, and counts.
#[derive(Debug, Default)]
struct Outcome {
    paying_latencies: Vec<f64>,
    paying_shed: f64,
    trials_served: f64,
}

pub(super) fn run(report: &mut Report) {
    let mut quiet = simulate_all_seeds(Scenario::Quiet);
    let mut flood = simulate_all_seeds(Scenario::Flood);
    let mut without_classes = simulate_all_seeds(Scenario::FloodWithoutClasses);
    let p95 = |outcome: &mut Outcome| percentile(&mut outcome.paying_latencies, 0.95);
    let (quiet_p95, flood_p95, without_classes_p95) =
        (p95(&mut quiet), p95(&mut flood), p95(&mut without_classes));
    report.add("admission", "paying_p95_quiet_ms", quiet_p95);
    report.add("admission", "paying_p95_flood_ms", flood_p95);
    report.add("admission", "paying_p95_ratio", flood_p95 / quiet_p95);
    report.add("admission", "paying_shed_in_flood", flood.paying_shed);
    report.add("admission", "trials_served_in_flood", flood.trials_served);
    report.add(
        "admission",
        "paying_p95_ratio_without_classes",
        without_classes_p95 / quiet_p95,
    );
    report.add(
        "admission",
        "paying_shed_without_classes",
        without_classes.paying_shed,
    );
    let curve = |name: &str, outcome: &Outcome| {
        let count = outcome.paying_latencies.len().max(1) as f64;
        let points = outcome.paying_latencies.iter().enumerate().step_by(50);
        Curve {
            name: name.to_owned(),
            points: points
                .map(|(index, value)| (index as f64 / count, *value))
                .collect(),
        }
    };
    let curves = [
        curve("quiet", &quiet),
        curve("flood", &flood),
        curve("plain", &without_classes),
    ];
    let axes = ("share of paying requests", "ms");
    report.plot(
        "admission",
        "Paying latency under a trial flood",
        axes,
        &curves,
    );
}

fn simulate_all_seeds(scenario: Scenario) -> Outcome {
    let mut sum = Outcome::default();
    for seed in 0..SEEDS {
        let outcome = simulate(seed, scenario);
        sum.paying_latencies.extend(outcome.paying_latencies);
        sum.paying_shed += outcome.paying_shed;
        sum.trials_served += outcome.trials_served;
    }
    sum
}

/// Returns the arrivals for a seed in order of time; the paying ones are equal in all scenarios.
fn arrivals(seed: u64, scenario: Scenario) -> BTreeSet<(u64, Event)> {
    let mut events = BTreeSet::new();
    let capacity = f64::from(SLOTS) / MEAN_SERVICE_MS;
    // Adds arrivals of a class between two times; `salt` keeps random numbers and tickets of the
    // classes apart.
    let mut add = |class, mean_gap: f64, from: u64, to: u64, salt: u64| {
        let mut rng = seeded_rng(seed * 2 + salt);
        let mut at = from as f64;
        let mut number = salt << 32;
        loop {
            at += exponential(&mut rng, mean_gap);
            if at >= to as f64 {
                return;
            }
            number += 1;
            #[expect(
                clippy::cast_possible_truncation,
                reason = "milliseconds of a simulation"
            )]
            #[expect(clippy::cast_sign_loss, reason = "times are not negative")]
            events.insert((at as u64, Event::Arrive(number, class)));
        }
    };
    add(Class::Paying, 1.0 / (capacity * PAYING_LOAD), 0, RUN_MS, 0);
    if scenario != Scenario::Quiet {
        add(
            Class::Trial,
            1.0 / (capacity * FLOOD_LOAD),
            RUN_MS / 4,
            RUN_MS * 3 / 4,
            1,
        );
    }
    events
}

/// Simulates one pool; without classes, every request is admitted as a paying one.
fn simulate(seed: u64, scenario: Scenario) -> Outcome {
    let mut events = arrivals(seed, scenario);
    let mut rng = seeded_rng(seed + 77);
    let mut gate = Gate::new(SLOTS);
    let mut outcome = Outcome::default();
    // Arrival time and class of queued requests, by ticket.
    let mut waiting: BTreeMap<u64, (u64, Class)> = BTreeMap::new();
    while let Some((at, event)) = events.pop_first() {
        let now = Millis::new(at);
        // Starts to run a request and schedules its end.
        let mut begin = |ticket: u64, arrived_at: u64, class: Class, outcome: &mut Outcome| {
            let service = exponential(&mut rng, MEAN_SERVICE_MS);
            #[expect(
                clippy::cast_possible_truncation,
                reason = "milliseconds of a simulation"
            )]
            #[expect(clippy::cast_sign_loss, reason = "times are not negative")]
            events.insert((at + service as u64 + 1, Event::End(ticket, class)));
            match class {
                Class::Paying => outcome
                    .paying_latencies
                    .push((at - arrived_at) as f64 + service),
                Class::Trial => outcome.trials_served += 1.0,
            }
        };
        match event {
            Event::Arrive(ticket, class) => {
                let admitted_class = if scenario == Scenario::FloodWithoutClasses {
                    Class::Paying
                } else {
                    class
                };
                let deadline = now + Millis::from_secs(10);
                let request = AdmissionRequest {
                    ticket,
                    class: admitted_class,
                    is_long: false,
                    deadline,
                };
                match gate.offer(request, now) {
                    Admission::Run => begin(ticket, at, class, &mut outcome),
                    Admission::Wait => drop(waiting.insert(ticket, (at, class))),
                    Admission::Shed(_) => {
                        outcome.paying_shed += f64::from(u8::from(class == Class::Paying));
                    }
                }
            }
            Event::End(_, class) => {
                let admitted_class = if scenario == Scenario::FloodWithoutClasses {
                    Class::Paying
                } else {
                    class
                };
                gate.finish(admitted_class, None);
            }
        }
        while let Some(queued) = gate.next(now) {
            match queued {
                QueueOutcome::Run(ticket) => {
                    if let Some((arrived_at, class)) = waiting.remove(&ticket) {
                        begin(ticket, arrived_at, class, &mut outcome);
                    }
                }
                QueueOutcome::Shed(ticket, _) => {
                    let dropped = waiting.remove(&ticket);
                    let is_paying = dropped.is_some_and(|(_, class)| class == Class::Paying);
                    outcome.paying_shed += f64::from(u8::from(is_paying));
                }
            }
        }
    }
    outcome
}
