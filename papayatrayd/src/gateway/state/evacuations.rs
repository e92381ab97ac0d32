//! Operators' orders that endpoints of a data centre get no new requests.

use papayatray_core::gateway::evacuation::EvacuationTable;

use super::Gateway;
use crate::observe::Level;
use crate::observe::event;

impl Gateway {
    /// Applies the evacuations of a control replica, if they are newer than those of this entry.
    pub(super) fn apply_evacuations(&self, evacuations: EvacuationTable) {
        let names: Vec<&str> = evacuations.iter().map(|(name, _)| name.as_str()).collect();
        let names = names.join(",");
        let applied = self.fleet().set_evacuations(evacuations);
        let Some(evacuated) = applied else {
            return;
        };
        for id in &evacuated {
            self.connections.close_idle(id);
        }
        event(
            Level::Info,
            "evacuations_applied",
            &[("data_centres", &names), ("endpoints", &evacuated.len())],
        );
    }
}
