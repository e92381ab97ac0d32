//! Loads of the endpoints, summed over all entries and numbered so that only changes are sent.
//!
//! Load: a leader that tells hundreds of entries five times a second how busy each endpoint is.
//! Small changes do not alter where a request is placed, so they are not announced.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::id::EndpointId;
use crate::id::VmId;

/// Smallest change in running requests that is announced.
const MIN_RUNNING_CHANGE: u32 = 2;
/// Smallest change of the outstanding prefill time that is announced, in milliseconds.
const MIN_PREFILL_CHANGE_MS: u32 = 100;
/// Divisor of the announced value: a change is announced only if it exceeds this part of it.
const CHANGE_DIVISOR: u32 = 8;

/// Outstanding work of requests at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointWork {
    /// Requests running or waiting there.
    pub running: u32,
    /// Outstanding prefill time, in milliseconds.
    pub prefill_ms: u32,
}

impl EndpointWork {
    const fn is_idle(self) -> bool {
        self.running == 0 && self.prefill_ms == 0
    }

    fn plus(self, other: Self) -> Self {
        Self {
            running: self.running.saturating_add(other.running),
            prefill_ms: self.prefill_ms.saturating_add(other.prefill_ms),
        }
    }

    /// Returns this work without `other`, or zero where `other` is larger.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self {
            running: self.running.saturating_sub(other.running),
            prefill_ms: self.prefill_ms.saturating_sub(other.prefill_ms),
        }
    }

    /// Returns whether the difference from `announced` matters for placement.
    fn differs_from(self, announced: Self) -> bool {
        if self.is_idle() != announced.is_idle() {
            return true;
        }
        let running_limit = (announced.running / CHANGE_DIVISOR).max(MIN_RUNNING_CHANGE);
        let prefill_limit = (announced.prefill_ms / CHANGE_DIVISOR).max(MIN_PREFILL_CHANGE_MS);
        self.running.abs_diff(announced.running) >= running_limit
            || self.prefill_ms.abs_diff(announced.prefill_ms) >= prefill_limit
    }
}

/// Sum of an endpoint's work over all entries.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    work: EndpointWork,
    announced: EndpointWork,
    /// Number of the change that set `announced`.
    number: u64,
}

/// Changes of the sums since a number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkUpdates {
    /// Number of the last change included.
    pub number: u64,
    /// Whether endpoints that are not listed have no work.
    pub is_complete: bool,
    /// Sums over all entries, the receiver included.
    pub changed: Vec<(EndpointId, EndpointWork)>,
}

/// Work at each endpoint, by entry and summed.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    by_entry: BTreeMap<VmId, BTreeMap<EndpointId, EndpointWork>>,
    sums: BTreeMap<EndpointId, Sum>,
    last_number: u64,
}

impl LoadTable {
    /// Replaces the work that an entry reports.
    pub fn report(&mut self, entry: &VmId, work: &[(EndpointId, EndpointWork)]) {
        let reported: BTreeMap<EndpointId, EndpointWork> = work.iter().cloned().collect();
        let previous = self
            .by_entry
            .insert(entry.clone(), reported.clone())
            .unwrap_or_default();
        self.replace(&previous, &reported);
    }

    /// Removes the work that an entry reported.
    pub fn forget(&mut self, entry: &VmId) {
        if let Some(previous) = self.by_entry.remove(entry) {
            self.replace(&previous, &BTreeMap::new());
        }
    }

    /// Returns the changes after number `seen`, or all work for a `seen` of 0.
    pub fn updates_after(&self, seen: u64) -> WorkUpdates {
        let is_complete = seen == 0;
        let changed = self.sums.iter().filter(|(_, sum)| {
            if is_complete {
                !sum.announced.is_idle()
            } else {
                sum.number > seen
            }
        });
        WorkUpdates {
            number: self.last_number,
            is_complete,
            changed: changed
                .map(|(id, sum)| (id.clone(), sum.announced))
                .collect(),
        }
    }

    fn replace(
        &mut self,
        previous: &BTreeMap<EndpointId, EndpointWork>,
        reported: &BTreeMap<EndpointId, EndpointWork>,
    ) {
        for (id, work) in previous {
            let sum = self.sums.entry(id.clone()).or_default();
            sum.work = sum.work.minus(*work);
        }
        for (id, work) in reported {
            let sum = self.sums.entry(id.clone()).or_default();
            sum.work = sum.work.plus(*work);
        }
        for id in previous.keys().chain(reported.keys()) {
            self.announce_if_changed(id);
        }
    }

    fn announce_if_changed(&mut self, id: &EndpointId) {
        let Some(sum) = self.sums.get_mut(id) else {
            return;
        };
        if sum.work.differs_from(sum.announced) {
            self.last_number += 1;
            sum.announced = sum.work;
            sum.number = self.last_number;
        }
    }
}
