//! Evidence that an entry's plan is the newest, without which keyed requests are refused.
//!
//! Load it answers: all processes start anew at once, and callers with few tries come back before
//! the control replicas have a leader.

use crate::clock::Millis;

/// Part of the revocation bound that may pass, in tenths; the rest covers clocks and scheduling.
const USED_TENTHS: u64 = 9;
/// Longest wait of a request for the first evidence: control VMs that start 0.5 s later, an
/// election of 0.7 s, and the news of it.
const FIRST_WAIT: Millis = Millis::new(1_500);
/// Part of its deadline that a request may wait so, as a divisor: the rest is for running it.
const WAIT_SHARE: u64 = 3;
/// Age of the process up to which the first evidence may still be on its way.
const YOUNG: Millis = Millis::from_secs(4);

/// Returns how long a request may wait for the first evidence at a process of this age.
///
/// A caller has few tries: one that waits for the control replicas to elect a leader after a
/// restart is served, where one that is refused may come back too early.
pub fn startup_wait(age: Millis, deadline: Option<Millis>) -> Millis {
    if age > YOUNG {
        return Millis::ZERO;
    }
    let share = deadline.map(|deadline| Millis::new(deadline.as_u64() / WAIT_SHARE));
    share.unwrap_or(FIRST_WAIT).min(FIRST_WAIT)
}

/// Evidence of a quorum that the plan at hand is the newest.
#[derive(Clone, Copy, Debug)]
pub struct RatingTable {
    horizon: Millis,
    asked: Option<Millis>,
}

impl RatingTable {
    /// Creates a holder of evidence for a bound within which revoked keys must stop working.
    pub const fn new(bound: Millis) -> Self {
        Self {
            horizon: Millis::new(bound.as_u64() * USED_TENTHS / 10),
            asked: None,
        }
    }

    /// Takes in evidence that was asked for at `asked`.
    ///
    /// The moment of the question counts: a key may have been revoked right after it.
    pub fn renew(&mut self, asked: Millis) {
        self.asked = self.asked.max(Some(asked));
    }

    /// Returns the age of the evidence, if there is any.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.asked.map(|asked| now.since(asked))
    }

    /// Tells whether keyed requests may be served.
    pub fn is_fresh(&self, now: Millis) -> bool {
        self.age(now).is_some_and(|age| age < self.horizon)
    }
}
