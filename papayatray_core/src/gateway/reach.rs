//! Reach: to which endpoints an entry can open connections, and whether it is cut off from a service.
//!
//! Load: the links of some entries, of a whole data centre or of all but one entry to the endpoints fail
//! for seconds, while callers, control replicas and other entries still reach those entries. Connections
//! are refused or never established. Seen from such an entry, all endpoints look as if they had crashed.
//!
//! A connection that fails says nothing about the cause. Connections that fail to several endpoints in a
//! row, with none opened in between, make the entry take itself for cut off from the service. It then
//! sends through other entries, which either confirm this, as endpoints answer there, or refute it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use displaydoc::Display;

use crate::clock::Millis;
use crate::id::EndpointId;
use crate::id::ServiceId;

/// Endpoints of a service to which connections must fail in a row for the entry to count as cut off;
/// half of the endpoints crashing at once rarely produce such a row before they are ejected.
const MIN_FAILED: usize = 3;
/// Endpoints of a service to which connections must be opened in a row for a cut to count as over.
const MIN_OPENED: usize = 2;
/// Endpoints of a service that other entries must find unreachable in a row to refute a cut.
const MIN_FAILED_ELSEWHERE: usize = 3;
/// Time for which a service is not taken for cut off again after other entries have refuted it.
const REFUTED_TIME: Millis = Millis::from_secs(1);

/// Way on which a request gets to an endpoint: over a connection of this entry, or through another
/// entry.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Path {
    /// direct
    Direct,
    /// indirect
    Indirect,
}

/// Change of an entry's reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachChange {
    /// The entry takes itself for cut off from the service.
    CutOff,
    /// Endpoints of the service answer through other entries.
    Confirmed,
    /// Other entries do not reach the endpoints either.
    Refuted,
    /// The entry reaches the service again.
    Restored,
}

/// Cut of an entry from a service.
#[derive(Clone, Debug, Default)]
struct Cut {
    /// Whether an endpoint has answered through another entry.
    is_confirmed: bool,
    /// Endpoints to which the entry has opened a connection since the cut began.
    reached: BTreeSet<EndpointId>,
    /// Endpoints that other entries could not reach, in a row.
    failed_elsewhere: BTreeSet<EndpointId>,
}

/// Reach of the endpoints of one service.
#[derive(Clone, Debug, Default)]
struct ServiceReach {
    /// Endpoints to which connections failed since one was last opened.
    failed: BTreeSet<EndpointId>,
    /// Endpoints to which connections were opened since one last failed.
    opened: BTreeSet<EndpointId>,
    /// Endpoints to which the last connection failed, and whether they have answered through another
    /// entry since.
    unreachable: BTreeMap<EndpointId, bool>,
    cut: Option<Cut>,
    /// Time at which a connection was last opened.
    opened_at: Millis,
    refuted_until: Millis,
}

/// Reach of all services' endpoints from one entry.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    services: BTreeMap<ServiceId, ServiceReach>,
}

/// # Evidence
impl Reach {
    /// Records that a connection to an endpoint was opened.
    ///
    /// `count` is the number of the service's endpoints that accept requests.
    pub fn record_opened(
        &mut self,
        service: &ServiceId,
        id: &EndpointId,
        count: usize,
        now: Millis,
    ) -> Option<ReachChange> {
        let reach = self.service(service);
        reach.opened_at = now;
        reach.unreachable.remove(id);
        reach.failed.clear();
        reach.opened.insert(id.clone());
        let is_over = reach.opened.len() >= MIN_OPENED.min(count.max(1));
        let cut = reach.cut.as_mut()?;
        cut.reached.insert(id.clone());
        if !is_over {
            return None;
        }
        reach.cut = None;
        Some(ReachChange::Restored)
    }

    /// Records that no connection to an endpoint could be opened, from `started_at` until now.
    ///
    /// One that was started before another was opened does not count towards a row, since the cut may
    /// have ended meanwhile. `count` is the number of the service's endpoints that accept requests.
    pub fn record_failed(
        &mut self,
        service: &ServiceId,
        id: &EndpointId,
        count: usize,
        started_at: Millis,
        now: Millis,
    ) -> Option<ReachChange> {
        let reach = self.service(service);
        reach.unreachable.entry(id.clone()).or_default();
        if started_at < reach.opened_at {
            return None;
        }
        reach.opened.clear();
        reach.failed.insert(id.clone());
        if let Some(cut) = &mut reach.cut {
            cut.reached.remove(id);
            return None;
        }
        if reach.failed.len() < MIN_FAILED.min(count.max(1)) || now < reach.refuted_until {
            return None;
        }
        reach.cut = Some(Cut::default());
        Some(ReachChange::CutOff)
    }

    /// Records that an endpoint answered through another entry.
    pub fn record_answered_elsewhere(
        &mut self,
        service: &ServiceId,
        id: &EndpointId,
    ) -> Option<ReachChange> {
        let reach = self.service(service);
        let cut = reach.cut.as_mut();
        if cut.is_some() || reach.unreachable.contains_key(id) {
            reach.unreachable.insert(id.clone(), true);
        }
        let cut = cut?;
        cut.failed_elsewhere.clear();
        let is_first = !std::mem::replace(&mut cut.is_confirmed, true);
        is_first.then_some(ReachChange::Confirmed)
    }

    /// Records that another entry could not open a connection to an endpoint either.
    ///
    /// `count` is the number of the service's endpoints that accept requests.
    pub fn record_failed_elsewhere(
        &mut self,
        service: &ServiceId,
        id: &EndpointId,
        count: usize,
        now: Millis,
    ) -> Option<ReachChange> {
        let reach = self.service(service);
        if let Some(has_answered) = reach.unreachable.get_mut(id) {
            *has_answered = false;
        }
        let cut = reach.cut.as_mut()?;
        cut.failed_elsewhere.insert(id.clone());
        if cut.failed_elsewhere.len() < MIN_FAILED_ELSEWHERE.min(count.max(1)) {
            return None;
        }
        reach.cut = None;
        reach.failed.clear();
        reach.refuted_until = now + REFUTED_TIME;
        Some(ReachChange::Refuted)
    }

    /// Drops what is known of an endpoint that is gone or was restarted.
    pub fn forget(&mut self, id: &EndpointId) {
        for reach in self.services.values_mut() {
            reach.unreachable.remove(id);
            reach.failed.remove(id);
            if let Some(cut) = &mut reach.cut {
                cut.failed_elsewhere.remove(id);
            }
        }
    }

    fn service(&mut self, service: &ServiceId) -> &mut ServiceReach {
        self.services.entry(service.clone()).or_default()
    }
}

/// # Decisions
impl Reach {
    /// Returns the way to an endpoint.
    pub fn path(&self, service: &ServiceId, id: &EndpointId) -> Path {
        let is_indirect = self.services.get(service).is_some_and(|reach| {
            let is_cut = reach
                .cut
                .as_ref()
                .is_some_and(|cut| !cut.reached.contains(id));
            is_cut || reach.unreachable.get(id).is_some_and(|answered| *answered)
        });
        if is_indirect {
            Path::Indirect
        } else {
            Path::Direct
        }
    }

    /// Returns whether the entry takes itself for cut off from a service.
    pub fn is_cut_off_from(&self, service: &ServiceId) -> bool {
        self.services
            .get(service)
            .is_some_and(|reach| reach.cut.is_some())
    }

    /// Returns whether the entry is cut off from every service that it has sent requests to, as answers
    /// through other entries have confirmed for at least one of them.
    pub fn is_cut_off(&self) -> bool {
        let mut cuts = self.services.values().map(|reach| reach.cut.as_ref());
        let has_confirmed = self
            .services
            .values()
            .any(|reach| reach.cut.as_ref().is_some_and(|cut| cut.is_confirmed));
        has_confirmed && cuts.all(|cut| cut.is_some())
    }

    /// Returns the number of endpoints to which the last connection failed.
    pub fn unreachable_count(&self) -> usize {
        let counts = self.services.values().map(|reach| reach.unreachable.len());
        counts.sum()
    }

    /// Returns the endpoints of a service to which the last connection failed.
    pub fn unreachable(&self, service: &ServiceId) -> impl Iterator<Item = &EndpointId> {
        let reach = self.services.get(service);
        reach.into_iter().flat_map(|reach| reach.unreachable.keys())
    }
}
