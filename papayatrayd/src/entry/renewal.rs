//! Renewal of the entry's lease, through which all state comes.

use std::sync::Arc;

use papayatray_core::choice::Evidence;
use papayatray_core::clock::Millis;
use papayatray_wire::peer::Method;
use papayatray_wire::peer::Renew;
use papayatray_wire::peer::RenewReply;
use smol::Timer;

use super::Entry;
use crate::observe::Level;
use crate::observe::event;

/// Time within which the leader must answer; it may hold the answer for a while.
const LIMIT: Millis = Millis::new(1_500);
/// Time between two tries while no leader answers.
const PAUSE: Millis = Millis::new(100);
/// Longest wait for older sends before a renewal; a small part of the lease.
const SETTLE_LIMIT: Millis = Millis::new(250);
/// Time between two looks at the sends on their way.
const SETTLE_LOOK: Millis = Millis::new(2);

impl Entry {
    /// Renews the lease until the process ends.
    pub(super) async fn keep_lease(self: Arc<Self>) {
        let mut told = Evidence::default();
        let mut was_held = false;
        loop {
            let asked = self.clock.now();
            let ratings = self.ratings().clone();
            let renew = self.renew(&ratings, &told);
            let answer: Result<RenewReply, _> =
                self.leader.call(Method::Renew, &renew, LIMIT).await;
            match answer {
                Ok(answer) => {
                    told = ratings;
                    self.take_renewed(&answer, asked);
                    self.settle().await;
                }
                Err(error) => {
                    event(Level::Debug, "renew_failed", &[("error", &error)]);
                    // Another leader may have lost what the last one was told.
                    told = Evidence::default();
                    Timer::after(PAUSE.to_duration()).await;
                }
            }
            let is_held = self.has_lease();
            if is_held != was_held {
                was_held = is_held;
                let level = if is_held { Level::Info } else { Level::Error };
                event(level, "lease", &[("held", &is_held)]);
            }
        }
    }

    /// Gives sends that were checked under an older revision time to leave, so that the next
    /// renewal can acknowledge the newest one.
    async fn settle(&self) {
        let revision = self.view().seen.revision;
        let until = self.clock.now() + SETTLE_LIMIT;
        loop {
            let now = self.clock.now();
            if now >= until || self.sends.settled(revision, now) == revision {
                return;
            }
            Timer::after(SETTLE_LOOK.to_duration()).await;
        }
    }

    fn renew(&self, ratings: &Evidence, told: &Evidence) -> Renew {
        let seen = self.view().seen;
        Renew {
            info: self.info(),
            seen,
            settled: self.sends.settled(seen.revision, self.clock.now()),
            tallies: self.tallies().clone(),
            evidence: (ratings != told).then(|| ratings.clone()),
            billed: self.billing.billed(),
        }
    }

    fn take_renewed(&self, answer: &RenewReply, asked: Millis) {
        let view = self.view();
        let Some(next) = view.renewed(answer) else {
            event(
                Level::Warn,
                "renewal_ignored",
                &[("revision", &answer.seen.revision)],
            );
            self.forget_seen();
            return;
        };
        self.leader.learn(&answer.controls);
        if next.seen.revision != view.seen.revision {
            event(
                Level::Info,
                "configured",
                &[("revision", &next.seen.revision)],
            );
        }
        // First the new configuration, then the lease on it: never the other way round.
        let revision = next.seen.revision;
        self.set_view(next);
        self.lease().renew(revision, asked);
        self.metrics.gauge("entry.revision", revision.0);
    }
}
