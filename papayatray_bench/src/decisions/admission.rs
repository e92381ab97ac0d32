//! Admission: paying latency under a trial flood, against a fixed limit without classes.

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
use super::random;
use crate::plot::Curve;
use crate::report::Report;
use crate::report::percentile;

/// Requests that the pool runs at once.
const SLOTS: u32 = 160;
/// Mean service time in milliseconds.
const SERVICE: f64 = 400.0;
/// Share of the capacity that paying requests use.
const PAYING: f64 = 0.6;
/// Times the capacity that trials ask for in the flood.
const FLOOD: f64 = 10.0;
/// Milliseconds of a run; the flood lasts from a quarter to three quarters.
const SPAN: u64 = 60_000;

/// What a run is like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Run {
    Quiet,
    Flood,
    FloodWithoutClasses,
}

/// Event of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    End(u64, Class),
    Arrive(u64, Class),
}

/// Measures of a run.
#[derive(Debug, Default)]
struct Outcome {
    paying: Vec<f64>,
    paying_shed: f64,
    trials: f64,
}

pub(super) fn run(report: &mut Report) {
    let mut quiet = all(Run::Quiet);
    let mut flood = all(Run::Flood);
    let mut plain = all(Run::FloodWithoutClasses);
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

fn all(run: Run) -> Outcome {
    let mut sum = Outcome::default();
    for seed in 0..SEEDS {
        let outcome = play(seed, run);
        sum.paying.extend(outcome.paying);
        sum.paying_shed += outcome.paying_shed;
        sum.trials += outcome.trials;
    }
    sum
}

/// Returns the arrivals of a seed, in order of time; paying ones are the same in every run.
fn arrivals(seed: u64, run: Run) -> BTreeSet<(u64, Event)> {
    let mut events = BTreeSet::new();
    let capacity = f64::from(SLOTS) / SERVICE;
    let mut add = |class, gap: f64, from: u64, to: u64, salt: u64| {
        let mut random = random(seed * 2 + salt);
        let mut at = from as f64;
        let mut number = salt << 32;
        loop {
            at += exponential(&mut random, gap);
            if at >= to as f64 {
                return;
            }
            number += 1;
            #[expect(clippy::cast_possible_truncation, reason = "milliseconds of a run")]
            #[expect(clippy::cast_sign_loss, reason = "times are not negative")]
            events.insert((at as u64, Event::Arrive(number, class)));
        }
    };
    add(Class::Paying, 1.0 / (capacity * PAYING), 0, SPAN, 0);
    if run != Run::Quiet {
        add(
            Class::Trial,
            1.0 / (capacity * FLOOD),
            SPAN / 4,
            SPAN * 3 / 4,
            1,
        );
    }
    events
}

fn play(seed: u64, run: Run) -> Outcome {
    let mut events = arrivals(seed, run);
    let mut random = random(seed + 77);
    let mut gate = Gate::new(SLOTS);
    let mut outcome = Outcome::default();
    let mut waiting: BTreeMap<u64, (u64, Class)> = BTreeMap::new();
    while let Some((at, event)) = events.pop_first() {
        let now = Millis::new(at);
        let mut begin = |ticket: u64, since: u64, class: Class, outcome: &mut Outcome| {
            let service = exponential(&mut random, SERVICE);
            #[expect(clippy::cast_possible_truncation, reason = "milliseconds of a run")]
            #[expect(clippy::cast_sign_loss, reason = "times are not negative")]
            events.insert((at + service as u64 + 1, Event::End(ticket, class)));
            match class {
                Class::Paying => outcome.paying.push((at - since) as f64 + service),
                Class::Trial => outcome.trials += 1.0,
            }
        };
        match event {
            Event::Arrive(ticket, class) => {
                let treated = if run == Run::FloodWithoutClasses {
                    Class::Paying
                } else {
                    class
                };
                let deadline = now + Millis::from_secs(10);
                let wish = AdmissionRequest {
                    ticket,
                    class: treated,
                    long: false,
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
                let treated = if run == Run::FloodWithoutClasses {
                    Class::Paying
                } else {
                    class
                };
                gate.finish(treated, None);
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
                    let refused = waiting.remove(&ticket);
                    let is_paying = refused.is_some_and(|(_, class)| class == Class::Paying);
                    outcome.paying_shed += f64::from(u8::from(is_paying));
                }
            }
        }
    }
    outcome
}
