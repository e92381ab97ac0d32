//! Evacuations that this replica has applied, and the data centres that it has heard of.

use std::sync::Arc;

use papayatray_core::gateway::evacuation::EvacuationTable;
use papayatray_core::id::DataCentre;

use super::ControlState;
use super::Inner;

/// # Evacuations
impl ControlState {
    /// Returns the applied evacuations.
    pub(in crate::gateway) fn evacuations(&self) -> Arc<EvacuationTable> {
        Arc::clone(&self.inner().applied.evacuations)
    }

    /// Returns whether an order may name a data centre: the settings, an endpoint or an entry named it, it
    /// is evacuated, or neither this replica nor an entry in touch with it knows an endpoint yet.
    pub(in crate::gateway) fn may_be_evacuated(&self, data_centre: &DataCentre) -> bool {
        let inner = self.inner();
        inner.data_centres.contains(data_centre)
            || inner.applied.evacuations.is_evacuated(data_centre)
            || !inner.knows_endpoints
    }
}

impl Inner {
    /// Records that a process or the settings have named a data centre.
    pub(super) fn name_data_centre(&mut self, data_centre: &DataCentre) {
        if !self.data_centres.contains(data_centre) {
            self.data_centres.insert(data_centre.clone());
        }
    }
}
