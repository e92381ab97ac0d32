//! Admission control: latency of paying requests under a flood of trial requests, compared with an
//! admission that ignores classes.

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

/// Requests that the pool runs concurrently.
const SLOTS: u32 = 160;
/// Mean service time in milliseconds.
const MEAN_SERVICE_MS: f64 = 400.0;
/// Load of paying requests, as a share of the capacity.
const PAYING_LOAD: f64 = 0.6;
/// Load of trial requests during the flood, as a multiple of the capacity.
const FLOOD_LOAD: f64 = 10.0;
/// Duration of a simulation; the flood lasts from a quarter to three quarters of it.
const RUN_MS: u64 = 60_000;

/// Load, and whether admission knows the classes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scenario {
    Quiet,
    Flood,
    FloodWithoutClasses,
}

/// Event of a simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    End(u64, Class),
    Arrive(u64, Class),
}

/// Measures of a simulation: latencies of paying requests in milliseconds, and counts.
#[derive(Debug, Default)]
struct Outcome {
    paying: Vec<f64>,
    paying_shed: f64,
    trials: f64,
}

pub(super) fn run(report: &mut Report) {
    let mut quiet = all(Scenario::Quiet);
    let mut flood = all(Scenario::Flood);
    let mut plain = all(Scenario::FloodWithoutClasses);
    let p95 = |outcome: &mut Outcome| percentile(&mut outcome.paying, 0.95);
    let (base, own, without) = (p95(&mut quiet), p95(&mut flood), p95(&mut plain));
    report.add("admission", "paying_p95_quiet_ms", base);
    report.add("admission", "paying_p95_flood_ms", own);
    report.add("admission", "paying_p95_ratio", own / base);
    report.add("admission", "paying_shed_in_flood", flood.paying_shed);
    report.add("admission", "trials_served_in_flood", flood.trials);
    report.add(
        "admission",
        "paying_p95_ratio_without_classes",
        without / base,
    );
    report.add(
        "admission",
        "paying_shed_without_classes",
        plain.paying_shed,
    );
    let curve = |name: &str, outcome: &Outcome| {
        let count = outcome.paying.len().max(1) as f64;
        let points = outcome.paying.iter().enumerate().step_by(50);
        Curve {
            name: name.to_owned(),
            points: points
                .map(|(at, value)| (at as f64 / count, *value))
                .collect(),
        }
    };
    let curves = [
        curve("quiet", &quiet),
        curve("flood", &flood),
        curve("plain", &plain),
    ];
    let axes = ("share of paying requests", "ms");
    report.plot(
        "admission",
        "Paying latency under a trial flood",
        axes,
        &curves,
    );
}

fn all(scenario: Scenario) -> Outcome {
    let mut sum = Outcome::default();
    for seed in 0..SEEDS {
        let outcome = simulate(seed, scenario);
        sum.paying.extend(outcome.paying);
        sum.paying_shed += outcome.paying_shed;
        sum.trials += outcome.trials;
    }
    sum
}

/// Returns the arrivals for a seed in order of time; the paying ones are equal in all scenarios.
fn arrivals(seed: u64, scenario: Scenario) -> BTreeSet<(u64, Event)> {
    let mut events = BTreeSet::new();
    let capacity = f64::from(SLOTS) / MEAN_SERVICE_MS;
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

fn simulate(seed: u64, scenario: Scenario) -> Outcome {
    let mut events = arrivals(seed, scenario);
    let mut rng = seeded_rng(seed + 77);
    let mut gate = Gate::new(SLOTS);
    let mut outcome = Outcome::default();
    let mut waiting: BTreeMap<u64, (u64, Class)> = BTreeMap::new();
    while let Some((at, event)) = events.pop_first() {
        let now = Millis::new(at);
        let mut begin = |ticket: u64, since: u64, class: Class, outcome: &mut Outcome| {
            let service = exponential(&mut rng, MEAN_SERVICE_MS);
            #[expect(
                clippy::cast_possible_truncation,
                reason = "milliseconds of a simulation"
            )]
            #[expect(clippy::cast_sign_loss, reason = "times are not negative")]
            events.insert((at + service as u64 + 1, Event::End(ticket, class)));
            match class {
                Class::Paying => outcome.paying.push((at - since) as f64 + service),
                Class::Trial => outcome.trials += 1.0,
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
                let wish = AdmissionRequest {
                    ticket,
                    class: admitted_class,
                    is_long: false,
                    deadline,
                };
                match gate.offer(wish, now) {
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
        while let Some(turn) = gate.next(now) {
            match turn {
                QueueOutcome::Run(ticket) => {
                    if let Some((since, class)) = waiting.remove(&ticket) {
                        begin(ticket, since, class, &mut outcome);
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
