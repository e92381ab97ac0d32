//! Model cascade: a request starts on the smallest model and moves to a larger one if the smaller
//! model reports low confidence.
//!
//! The smallest model suffices for many requests of a route; a larger one costs time, money and an
//! attempt from the shared budget.
//!
//! Load: long prompts that the largest model reads several times slower than the smallest, beside
//! streams at the same endpoints. Restarts on the largest model make those streams late, so they are
//! kept for the requests that need it.

use crate::clock::Millis;

/// Middle of the scale from 0 to 100 on which models state their confidence.
const MIDDLE_CONFIDENCE: u32 = 50;
/// Distance from [`MIDDLE_CONFIDENCE`] within which the next larger model is tried: the smallest model is
/// close to sufficing there, so a slightly larger one mostly does.
const NARROW_MARGIN: u32 = 15;
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
    /// Time until the caller's deadline.
    pub time_left: Millis,
    /// Number of attempts that the request may still make.
    pub attempts_left: u32,
}

/// Expected times of a request that is sent to a model now.
#[derive(Clone, Copy, Debug)]
pub struct ExpectedTimes {
    /// Time to the first event.
    pub first_event: Millis,
    /// Time to the end of the response.
    pub end: Millis,
}

/// Returns the index of the size to start with.
pub const fn first_size() -> usize {
    0
}

/// Returns the index of the size to restart the request on, if the current response should be dropped.
///
/// `expected_times` returns the expected times of a size; it is called only if the confidence is low. A
/// response that would end after the deadline is worth less to the caller than the one that has begun.
/// Only responses of the smallest model are dropped, since a second restart would use another attempt
/// and more time.
pub fn next_size<F>(progress: &Progress, expected_times: F) -> Option<usize>
where
    F: FnOnce(usize) -> Option<ExpectedTimes>,
{
    if progress.size_index != first_size() || progress.attempts_left == 0 {
        return None;
    }
    let size_index = sufficient_size(progress.confidence?, progress.size_count)?;
    let limit = Millis::new(progress.objective.as_u64() * MAX_FIRST_EVENT_TENTHS / 10);
    let expected = expected_times(size_index)?;
    let is_soon = progress.elapsed + expected.first_event < limit;
    (is_soon && expected.end < progress.time_left).then_some(size_index)
}

/// Returns the index of the smallest size that is likely to suffice where the smallest model's confidence
/// is `confidence`, or `None` if that is the smallest one or there is no larger one.
fn sufficient_size(confidence: u32, size_count: usize) -> Option<usize> {
    let largest = size_count.checked_sub(1)?;
    let size_index = if confidence < MIDDLE_CONFIDENCE - NARROW_MARGIN {
        largest
    } else if confidence < MIDDLE_CONFIDENCE + NARROW_MARGIN {
        largest.min(first_size() + 1)
    } else {
        first_size()
    };
    (size_index > first_size()).then_some(size_index)
}
