//! Failed responses of one request, and which of them count against the releases that gave them.
//!
//! Load: requests that every release fails, such as look-ups of what does not exist, beside a release that
//! fails some of its own.

/// Failures of one request that have not been counted yet.
///
/// A request that also fails at another endpoint is at fault itself, unless only endpoints of the
/// release in roll-out have failed it.
#[derive(Clone, Debug)]
pub struct RequestFailures<F> {
    /// Failures, and whether they are of the release in roll-out.
    pending: Vec<(F, bool)>,
    is_own_fault: bool,
}

impl<F> Default for RequestFailures<F> {
    fn default() -> Self {
        Self {
            pending: Vec::new(),
            is_own_fault: false,
        }
    }
}

impl<F> RequestFailures<F> {
    /// Records that an endpoint failed the request.
    pub fn record(&mut self, failure: F, is_target: bool) {
        let is_confirmed = |(_, was_target): &(F, bool)| !(*was_target && is_target);
        if self.is_own_fault || self.pending.iter().any(is_confirmed) {
            self.is_own_fault = true;
            self.pending.clear();
        } else {
            self.pending.push((failure, is_target));
        }
    }

    /// Returns whether the release in roll-out has failed the request.
    pub fn has_failed_at_target(&self) -> bool {
        self.pending.iter().any(|(_, is_target)| *is_target)
    }

    /// Removes and returns the failures that count; called once the request has succeeded or ended.
    pub fn take_counted(&mut self) -> Vec<F> {
        self.pending.drain(..).map(|(failure, _)| failure).collect()
    }
}
