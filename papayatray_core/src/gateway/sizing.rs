//! Model cascade: a request starts on the smallest model and moves to the largest one if the
//! smaller model reports low confidence.
//!
//! The smallest model suffices for many requests of a route; a larger one costs time, money and an
//! attempt from the shared budget.

use crate::clock::Millis;

/// Confidence, from 0 to 100, below which a smaller model's response is dropped.
const MIN_CONFIDENCE: u32 = 50;
/// Tenths of the latency objective within which the larger model's first event must be expected.
///
/// Slightly more than ten: a good response that is somewhat late is worth more to the caller than
/// a poor one in time.
const MAX_FIRST_EVENT_TENTHS: u64 = 11;

/// State of a request when a model has begun to respond.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// Index of the responding model among the route's sizes, smallest first.
    pub size_index: usize,
    /// Number of sizes of the route.
    pub size_count: usize,
    /// The model's confidence in its response, from 0 to 100, if it reports one.
    pub confidence: Option<u32>,
    /// Time since the request arrived.
    pub elapsed: Millis,
    /// Objective for the time to the first event.
    pub objective: Millis,
    /// Number of attempts that the request may still make.
    pub attempts_left: u32,
}

/// Returns the index of the size to start with.
pub const fn first_size() -> usize {
    0
}

/// Returns the size to restart the request on, if the current response should be dropped.
///
/// `expected_latency` returns the expected time to the first event of a size; it is called only if
/// the confidence is low. The request moves straight to the largest size, since a second restart
/// would use another attempt and more time.
pub fn next_size<F>(progress: &Progress, expected_latency: F) -> Option<usize>
where
    F: FnOnce(usize) -> Option<Millis>,
{
    let largest = progress.size_count.checked_sub(1)?;
    let is_unsure = progress.confidence? < MIN_CONFIDENCE;
    if !is_unsure || progress.size_index >= largest || progress.attempts_left == 0 {
        return None;
    }
    let limit = Millis::new(progress.objective.as_u64() * MAX_FIRST_EVENT_TENTHS / 10);
    (progress.elapsed + expected_latency(largest)? < limit).then_some(largest)
}
