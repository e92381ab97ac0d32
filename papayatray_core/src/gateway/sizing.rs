//! Choice of a model's size by the confidence of smaller ones.
//!
//! Load it answers: requests of unlike difficulty behind one route, where the smallest model
//! suffices for many and a larger one costs time, money and an attempt of the shared budget.

use crate::clock::Millis;

/// Confidence, from 0 to 100, under which an answer is not taken from the smallest model.
const CONFIDENCE_LEAST: u32 = 50;
/// Tenths of the objective within which a second run's first event must be expected.
///
/// A little more than the whole: a good answer that comes somewhat late is still worth more to its
/// caller than a poor one in time.
const FIT_TENTHS: u64 = 11;

/// What is known when a model has begun to answer.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// Place of the model among the route's sizes.
    pub size: usize,
    /// How many sizes the route has.
    pub sizes: usize,
    /// The model's own opinion of its answer, from 0 to 100, where it gives one.
    pub confidence: Option<u32>,
    /// Time since the request came.
    pub elapsed: Millis,
    /// Time to the first event that the caller is owed.
    pub objective: Millis,
    /// Attempts that are left.
    pub attempts: u32,
}

/// Returns the size to begin with.
pub const fn first_size() -> usize {
    0
}

/// Returns the size to ask instead, where the answer at hand is worth dropping.
///
/// `expected` tells the time until the first event of a model, if it were asked now; it is asked
/// for doubtful answers alone. The largest size follows at once: a second drop would use another
/// attempt and more time.
pub fn next_size<F>(progress: &Progress, expected: F) -> Option<usize>
where
    F: FnOnce(usize) -> Option<Millis>,
{
    let largest = progress.sizes.checked_sub(1)?;
    let is_doubtful = progress.confidence? < CONFIDENCE_LEAST;
    if !is_doubtful || progress.size >= largest || progress.attempts == 0 {
        return None;
    }
    let limit = Millis::new(progress.objective.as_u64() * FIT_TENTHS / 10);
    (progress.elapsed + expected(largest)? < limit).then_some(largest)
}
