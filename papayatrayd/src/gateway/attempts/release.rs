//! Release that a request may use while another one is in roll-out, and the failures that count against it.

use super::Attempts;
use crate::gateway::attempt::InFlightAttempt;

/// How it is decided whether a request without a session may use the release in roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReleaseChoice {
    /// By the request's draw.
    Draw,
    /// The canary gets it beyond its share.
    Granted,
}

impl Attempts {
    /// Records that the endpoint of an attempt failed the request, for its health and its release.
    pub(in crate::gateway) fn record_failure(&mut self, attempt: &InFlightAttempt) {
        attempt.record_failure();
        let is_target = self.gateway.is_in_rollout(&attempt.endpoint);
        self.failures.record(attempt.endpoint.clone(), is_target);
    }

    /// Counts the failed responses for their releases, as another endpoint has answered the request.
    pub(in crate::gateway) fn count_failures(&mut self) {
        for endpoint in self.failures.take_counted() {
            let route = &self.request.route.name;
            self.gateway.record_failed_response(&endpoint, route);
        }
    }

    /// Returns the number that decides whether the next attempt may use the release in roll-out.
    ///
    /// Requests of a session all have the same one. Any other request that this release has failed is
    /// sent to another one.
    pub(super) fn release_draw(&self) -> f64 {
        if self.request.has_session {
            self.request.session_draw
        } else if self.failures.has_failed_at_target() {
            1.0
        } else if self.release_choice == ReleaseChoice::Granted {
            0.0
        } else {
            self.request.session_draw
        }
    }

    /// Asks for an additional request of the canary, if the request has no session.
    pub(super) fn request_grant(&mut self) {
        let service = &self.request.service;
        if self.release_choice == ReleaseChoice::Draw
            && !self.request.has_session
            && self.gateway.grant_canary(service)
        {
            self.release_choice = ReleaseChoice::Granted;
        }
    }

    /// Takes back a grant that was not used.
    pub(super) fn take_back_grant(&mut self) {
        if self.release_choice == ReleaseChoice::Granted {
            self.gateway.take_back_canary(&self.request.service);
            self.release_choice = ReleaseChoice::Draw;
        }
    }
}

impl Drop for Attempts {
    fn drop(&mut self) {
        self.count_failures();
    }
}
