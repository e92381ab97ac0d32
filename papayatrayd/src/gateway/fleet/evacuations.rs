//! Data centres whose endpoints get no new requests from this entry.

use std::collections::BTreeSet;

use papayatray_core::directory::Endpoint;
use papayatray_core::gateway::evacuation::EvacuationTable;
use papayatray_core::id::DataCentre;
use papayatray_core::id::EndpointId;

use super::Fleet;

/// # Evacuations
impl Fleet {
    /// Returns the evacuated data centres.
    pub(in crate::gateway) const fn evacuations(&self) -> &EvacuationTable {
        &self.evacuations
    }

    /// Applies a newer table; returns the endpoints in evacuated data centres, whose pooled connections must
    /// be closed, or `None` if the table is not newer.
    pub(in crate::gateway) fn set_evacuations(
        &mut self,
        evacuations: EvacuationTable,
    ) -> Option<Vec<EndpointId>> {
        if evacuations.changes() <= self.evacuations.changes() {
            return None;
        }
        self.evacuations = evacuations;
        let accepting = self.directory.accepting();
        let evacuated = accepting.filter(|endpoint| self.is_evacuated(endpoint));
        Some(evacuated.map(|endpoint| endpoint.id.clone()).collect())
    }

    /// Returns the data centres of the endpoints heard of so far.
    pub(in crate::gateway) const fn data_centres(&self) -> &BTreeSet<DataCentre> {
        &self.data_centres
    }

    /// Records that an endpoint named its data centre.
    pub(super) fn name_data_centre(&mut self, data_centre: &DataCentre) {
        if !self.data_centres.contains(data_centre) {
            self.data_centres.insert(data_centre.clone());
        }
    }

    /// Returns whether an endpoint must get no new requests.
    pub(super) fn is_evacuated(&self, endpoint: &Endpoint) -> bool {
        self.evacuations.is_evacuated(&endpoint.data_centre)
    }
}
