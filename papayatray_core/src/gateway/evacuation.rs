//! Evacuations: operators' orders that the endpoints of a data centre get no new requests.
//!
//! An order moves the requests of a whole data centre at once, some thousands a second at hundreds of
//! entries, so entries look the data centre up for each endpoint that they consider.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::id::DataCentre;

/// Evacuated data centres.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationTable {
    /// Wall-clock time of the order, by data centre.
    evacuated: BTreeMap<DataCentre, Millis>,
    changes: u64,
}

impl EvacuationTable {
    /// Evacuates a data centre; one that is evacuated already keeps the time of its order.
    ///
    /// `now` is the wall-clock time. Returns whether the table has changed.
    pub fn begin(&mut self, data_centre: &DataCentre, now: Millis) -> bool {
        if self.is_evacuated(data_centre) {
            return false;
        }
        self.evacuated.insert(data_centre.clone(), now);
        self.changes += 1;
        true
    }

    /// Ends the evacuation of a data centre; returns whether the table has changed.
    pub fn finish(&mut self, data_centre: &DataCentre) -> bool {
        let has_changed = self.evacuated.remove(data_centre).is_some();
        self.changes += u64::from(has_changed);
        has_changed
    }

    /// Returns whether endpoints of a data centre must get no new requests.
    pub fn is_evacuated(&self, data_centre: &DataCentre) -> bool {
        self.evacuated.contains_key(data_centre)
    }

    /// Returns the evacuated data centres with the wall-clock times of their orders.
    pub fn iter(&self) -> impl Iterator<Item = (&DataCentre, Millis)> {
        self.evacuated
            .iter()
            .map(|(data_centre, ordered_at)| (data_centre, *ordered_at))
    }

    /// Returns the number of evacuated data centres.
    pub fn len(&self) -> usize {
        self.evacuated.len()
    }

    /// Returns whether no data centre is evacuated.
    pub fn is_empty(&self) -> bool {
        self.evacuated.is_empty()
    }

    /// Returns the number of changes to the table, which serves as its version.
    pub const fn changes(&self) -> u64 {
        self.changes
    }
}
