//! Exposure quotas: how many requests this entry may run on a version in roll-out, out of the
//! roll-out's exposure, which the leader shares among the entries.

use std::sync::Arc;

use papayatray_core::catalogue::Stage;
use papayatray_core::clock::Millis;
use papayatray_core::id::VersionId;
use papayatray_state::machine::Command;
use papayatray_state::machine::Reply;
use smol::Timer;

use super::Entry;
use super::PoolTarget;

/// Interval between two checks for versions in roll-out whose quota is used up.
const REQUEST_INTERVAL: Millis = Millis::new(1_000);
/// Maximum number of exposures requested at once; a small number paces a roll-out step, so that
/// evidence about the version can arrive in between.
const MAX_EXPOSURES_PER_REQUEST: u32 = 8;
/// Time within which the leader must grant a quota.
const PROPOSE_TIMEOUT: Millis = Millis::new(2_000);

impl Entry {
    /// Requests exposure quotas for versions in roll-out, until the process ends.
    pub(super) async fn maintain_quotas(self: Arc<Self>) {
        loop {
            Timer::after(REQUEST_INTERVAL.to_duration()).await;
            for version in self.versions_without_quota() {
                let command = Command::GrantExposures {
                    version: version.clone(),
                    max_exposures: MAX_EXPOSURES_PER_REQUEST,
                };
                if let Ok(Reply::Exposed(quota)) =
                    self.leader.propose(command, PROPOSE_TIMEOUT).await
                {
                    self.quotas().add(&version, quota);
                }
            }
        }
    }

    /// Returns the served versions in an unpaused roll-out that have no quota left.
    ///
    /// Quotas of versions that are no longer in roll-out are dropped.
    fn versions_without_quota(&self) -> Vec<VersionId> {
        let view = self.view();
        let is_running = |stage: &Stage| matches!(stage, Stage::RollOut { paused: false, .. });
        let versions = view
            .catalogue
            .versions
            .iter()
            .filter(|(_, v)| is_running(&v.stage));
        let mut quotas = self.quotas();
        let in_roll_out = |id: &VersionId| {
            let stage = view.catalogue.versions.get(id).map(|v| &v.stage);
            matches!(stage, Some(Stage::RollOut { .. }))
        };
        quotas.retain(in_roll_out);
        versions
            .map(|(id, _)| id)
            .filter(|id| quotas.remaining(id) == 0)
            .filter(|id| self.registry.is_served(&PoolTarget::Version((*id).clone())))
            .cloned()
            .collect()
    }
}
