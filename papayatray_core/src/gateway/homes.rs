//! Home regions: the regions to which the requests of a route or an organisation are confined.
//!
//! Load: requests whose data must not leave some regions, while the endpoints there are lost or full
//! and those of other regions are idle.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::id::DataCentre;
use crate::id::Region;

/// Region of each data centre that the settings name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Regions(BTreeMap<DataCentre, Region>);

impl Regions {
    /// Creates the regions of these data centres.
    pub const fn new(regions: BTreeMap<DataCentre, Region>) -> Self {
        Self(regions)
    }

    /// Returns the region of a data centre, or `None` if the settings do not name it.
    pub fn region(&self, data_centre: &DataCentre) -> Option<&Region> {
        self.0.get(data_centre)
    }
}

/// Home regions of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Homes {
    /// Regions, or `None` if the request may go anywhere.
    regions: Option<BTreeSet<Region>>,
}

impl Homes {
    /// Returns the home regions that a route and an organisation have in common; an empty set of one
    /// of them is no bound.
    ///
    /// Two sets without a common region leave the request no endpoint.
    pub fn common(route: &BTreeSet<Region>, organisation: &BTreeSet<Region>) -> Self {
        let regions = match (route.is_empty(), organisation.is_empty()) {
            (true, true) => None,
            (false, true) => Some(route.clone()),
            (true, false) => Some(organisation.clone()),
            (false, false) => Some(route.intersection(organisation).cloned().collect()),
        };
        Self { regions }
    }

    /// Returns whether the request is confined to some regions.
    pub const fn is_bounded(&self) -> bool {
        self.regions.is_some()
    }

    /// Returns whether the request may reach endpoints of a data centre.
    pub fn contains(&self, data_centre: &DataCentre, regions: &Regions) -> bool {
        let Some(homes) = &self.regions else {
            return true;
        };
        let region = regions.region(data_centre);
        region.is_some_and(|region| homes.contains(region))
    }

    /// Returns whether an entry of the data centre `carrier` may carry the request for an entry of
    /// the data centre `caller`.
    pub fn may_carry(&self, carrier: &DataCentre, caller: &DataCentre, regions: &Regions) -> bool {
        let region = regions.region(carrier);
        self.contains(carrier, regions)
            || carrier == caller
            || (region.is_some() && region == regions.region(caller))
    }
}
