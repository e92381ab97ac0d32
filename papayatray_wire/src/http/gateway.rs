//! Bodies of the operator interface of the gateway.

use papayatray_core::clock::Millis;
use papayatray_core::gateway::evacuation::EvacuationTable;
use papayatray_core::id::DataCentre;
use serde::Deserialize;
use serde::Serialize;

/// Evacuated data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationItem {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Wall-clock time of the order, since the Unix epoch.
    pub ordered_at_ms: Millis,
}

/// Response to `GET /v1/evacuations`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationsResponse {
    /// Evacuated data centres, by name.
    pub evacuations: Vec<EvacuationItem>,
}

impl From<&EvacuationTable> for EvacuationsResponse {
    fn from(table: &EvacuationTable) -> Self {
        let evacuations = table
            .iter()
            .map(|(data_centre, ordered_at)| EvacuationItem {
                data_centre: data_centre.clone(),
                ordered_at_ms: ordered_at,
            });
        Self {
            evacuations: evacuations.collect(),
        }
    }
}

/// Error response of the gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayErrorResponse {
    /// Message to the operator.
    pub error: String,
}
