//! Exposures of versions in roll-out: portions that the entry asks for and uses.

use std::sync::Arc;

use papayatray_core::catalogue::Stage;
use papayatray_core::clock::Millis;
use papayatray_core::id::VersionId;
use papayatray_state::machine::Command;
use papayatray_state::machine::Reply;
use smol::Timer;

use super::Entry;
use super::Target;

/// Time between two looks at the portions.
const ASK_EVERY: Millis = Millis::new(1_000);
/// Most exposures asked for at once; it paces a step, so that evidence can come in between.
const PORTION: u32 = 8;
/// Time within which the leader must answer.
const LIMIT: Millis = Millis::new(2_000);

impl Entry {
    /// Keeps portions at hand for versions in roll-out.
    pub(super) async fn keep_portions(self: Arc<Self>) {
        loop {
            Timer::after(ASK_EVERY.to_duration()).await;
            for version in self.wanted_portions() {
                let command = Command::GrantExposures {
                    version: version.clone(),
                    want: PORTION,
                };
                if let Ok(Reply::Exposed(portion)) = self.leader.propose(command, LIMIT).await {
                    self.quotas().add(&version, portion);
                }
            }
        }
    }

    /// Returns the versions in roll-out for which the entry has nothing left.
    fn wanted_portions(&self) -> Vec<VersionId> {
        let view = self.view();
        let is_open = |stage: &Stage| matches!(stage, Stage::RollOut { paused: false, .. });
        let versions = view
            .catalogue
            .versions
            .iter()
            .filter(|(_, v)| is_open(&v.stage));
        let mut quotas = self.quotas();
        let in_roll_out = |id: &VersionId| {
            let stage = view.catalogue.versions.get(id).map(|v| &v.stage);
            matches!(stage, Some(Stage::RollOut { .. }))
        };
        quotas.keep(in_roll_out);
        versions
            .map(|(id, _)| id)
            .filter(|id| quotas.left(id) == 0)
            .filter(|id| self.registry.is_served(&Target::Version((*id).clone())))
            .cloned()
            .collect()
    }
}
