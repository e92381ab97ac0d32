//! Renewal of the entry's lease; the replies carry the replicated state that an entry needs.

use std::sync::Arc;

use papayatray_core::choice::RatingTable;
use papayatray_core::clock::Millis;
use papayatray_wire::peer::Method;
use papayatray_wire::peer::RenewReply;
use papayatray_wire::peer::RenewRequest;
use smol::Timer;

use super::Entry;
use crate::observe::Level;
use crate::observe::event;

/// Time-out of a renewal; longer than the leader's long-poll time-out.
const RENEW_TIMEOUT: Millis = Millis::new(1_500);
/// Back-off between two attempts while no leader replies.
const RETRY_BACKOFF: Millis = Millis::new(100);
/// Maximum wait, before a renewal, for sends that were checked against an older revision; a small
/// part of the lease.
const SEND_WAIT_TIMEOUT: Millis = Millis::new(250);
/// Interval between two checks during that wait.
const SEND_POLL_INTERVAL: Millis = Millis::new(2);

impl Entry {
    /// Renews the lease in a loop until the process ends.
    pub(super) async fn maintain_lease(self: Arc<Self>) {
        let mut reported_ratings = RatingTable::default();
        let mut lease_was_held = false;
        loop {
            let requested_at = self.clock.now();
            let ratings = self.ratings().clone();
            let request = self.renew_request(&ratings, &reported_ratings);
            let reply: Result<RenewReply, _> = self
                .leader
                .call(Method::Renew, &request, RENEW_TIMEOUT)
                .await;
            match reply {
                Ok(reply) => {
                    reported_ratings = ratings;
                    self.apply_reply(&reply, requested_at);
                    self.wait_for_older_sends().await;
                }
                Err(error) => {
                    event(Level::Debug, "renew_failed", &[("error", &error)]);
                    // A new leader may lack the ratings sent to the previous one: send all again.
                    reported_ratings = RatingTable::default();
                    Timer::after(RETRY_BACKOFF.to_duration()).await;
                }
            }
            let has_lease = self.has_lease();
            if has_lease != lease_was_held {
                lease_was_held = has_lease;
                let level = if has_lease { Level::Info } else { Level::Error };
                event(level, "lease", &[("held", &has_lease)]);
            }
        }
    }

    /// Waits until no send checked against an older revision can still reach an endpoint, so that
    /// the next renewal can acknowledge the newest revision.
    async fn wait_for_older_sends(&self) {
        let revision = self.view().part_versions.revision;
        let deadline = self.clock.now() + SEND_WAIT_TIMEOUT;
        loop {
            let now = self.clock.now();
            if now >= deadline || self.sends.acknowledgeable_revision(revision, now) == revision {
                return;
            }
            Timer::after(SEND_POLL_INTERVAL.to_duration()).await;
        }
    }

    fn renew_request(&self, ratings: &RatingTable, reported_ratings: &RatingTable) -> RenewRequest {
        let versions = self.view().part_versions;
        RenewRequest {
            info: self.info(),
            versions,
            acknowledged: self
                .sends
                .acknowledgeable_revision(versions.revision, self.clock.now()),
            tallies: self.tallies().clone(),
            evidence: (ratings != reported_ratings).then(|| ratings.clone()),
            billed: self.billing.committed_bills(),
        }
    }

    fn apply_reply(&self, reply: &RenewReply, requested_at: Millis) {
        let view = self.view();
        let Some(next) = view.renewed(reply) else {
            event(
                Level::Warn,
                "renewal_ignored",
                &[("revision", &reply.versions.revision)],
            );
            self.request_full_state();
            return;
        };
        self.leader.set_controls(&reply.controls);
        if next.part_versions.revision != view.part_versions.revision {
            event(
                Level::Info,
                "configured",
                &[("revision", &next.part_versions.revision)],
            );
        }
        // The view is set before the lease: a renewed lease lets new work start, and that work must
        // follow the new configuration.
        let revision = next.part_versions.revision;
        self.set_view(next);
        self.lease().renew(revision, requested_at);
        self.metrics.gauge("entry.revision", revision.0);
    }
}
