//! Decision algorithms, each compared with a simple baseline on the same seeded input.
//!
//! All results are deterministic except the cost of a decision, which is timed.

mod admission;
mod choice;
mod cold;
mod cost;
pub(crate) mod plain_releases;
mod poison;
mod reach;
pub(crate) mod releases;
mod rollout;
mod uneven;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::report::Report;

/// Number of seeds with which each simulation runs.
const SEEDS: u64 = 10;

pub(crate) fn run(report: &mut Report) {
    choice::run(report);
    rollout::run(report);
    admission::run(report);
    poison::run(report);
    reach::run(report);
    releases::run(report);
    plain_releases::run(report);
    uneven::run(report);
    cold::run(report);
    cost::run(report);
}

/// Returns a random number generator with a seed.
fn seeded_rng(seed: u64) -> StdRng {
    StdRng::seed_from_u64(seed)
}

/// Returns a random number from zero to one.
fn uniform(rng: &mut StdRng) -> f64 {
    rng.random::<f64>()
}

/// Returns an exponentially distributed number with mean `mean`, as for independent arrivals.
fn exponential(rng: &mut StdRng, mean: f64) -> f64 {
    -mean * (1.0 - uniform(rng)).ln()
}
