//! Decisions, each against a plain baseline on the same seeded arrivals.
//!
//! The numbers are the same in every run, but for the cost of a decision, which is timed.

mod admission;
mod choice;
mod cost;
mod poison;
mod rollout;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::report::Report;

/// Seeds over which each decision is measured.
const SEEDS: u64 = 10;

pub(crate) fn run(report: &mut Report) {
    choice::run(report);
    rollout::run(report);
    admission::run(report);
    poison::run(report);
    cost::run(report);
}

/// Returns the random numbers of a seed.
fn random(seed: u64) -> StdRng {
    StdRng::seed_from_u64(seed)
}

/// Returns a random share from zero to one.
fn share(random: &mut StdRng) -> f64 {
    random.random::<f64>()
}

/// Returns a random span with the mean `mean`, as of independent arrivals.
fn exponential(random: &mut StdRng, mean: f64) -> f64 {
    -mean * (1.0 - share(random)).ln()
}
