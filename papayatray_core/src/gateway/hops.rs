//! Choice of the entry through which another entry sends to endpoints that it does not reach.
//!
//! Load: a few entries, a data centre or all but one entry are cut off from the endpoints at once, and the
//! requests of their callers come on top of those of the entries that pass them on.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::id::VmId;

/// Requests that an entry may have in flight through one other entry.
const MAX_IN_FLIGHT: u32 = 128;
/// Time for which an entry that did not pass a request on is not asked again.
const AVOIDED_TIME: Millis = Millis::from_secs(1);

/// Entry that may pass requests on.
#[derive(Clone, Copy, Debug)]
pub struct HopCandidate<'a> {
    /// VM of the entry.
    pub vm: &'a VmId,
    /// Whether it is in the data centre of the asking entry or of the endpoint, so that the detour
    /// crosses no further border of a data centre.
    pub is_near: bool,
}

/// State of one entry as a hop.
#[derive(Clone, Copy, Debug, Default)]
struct Hop {
    in_flight: u32,
    avoided_until: Millis,
}

/// Use that an entry makes of other entries as hops.
#[derive(Clone, Debug, Default)]
pub struct HopTable {
    hops: BTreeMap<VmId, Hop>,
}

impl HopTable {
    /// Picks the entry to send through, or returns `None` if none can be used.
    ///
    /// Of two entries drawn at random, near ones if there are any, the one with fewer requests in
    /// flight is picked. `draws` are random numbers.
    pub fn pick<'a>(
        &self,
        candidates: &[HopCandidate<'a>],
        draws: [u32; 2],
        now: Millis,
    ) -> Option<&'a VmId> {
        let usable = candidates.iter().filter(|c| self.is_usable(c.vm, now));
        let (near, far): (Vec<&HopCandidate<'a>>, Vec<_>) =
            usable.partition(|candidate| candidate.is_near);
        let nearest = if near.is_empty() { far } else { near };
        if nearest.is_empty() {
            return None;
        }
        let compared = draws.map(|draw| nearest[draw as usize % nearest.len()].vm);
        compared.into_iter().min_by_key(|vm| self.hop(vm).in_flight)
    }

    /// Records that a request was sent through an entry.
    pub fn start(&mut self, vm: &VmId) {
        self.hops.entry(vm.clone()).or_default().in_flight += 1;
    }

    /// Records that a request sent through an entry has ended.
    pub fn end(&mut self, vm: &VmId) {
        if let Some(hop) = self.hops.get_mut(vm) {
            hop.in_flight = hop.in_flight.saturating_sub(1);
        }
    }

    /// Records that an entry did not pass a request on; it is not asked again for some time.
    pub fn avoid(&mut self, vm: &VmId, now: Millis) {
        self.hops.entry(vm.clone()).or_default().avoided_until = now + AVOIDED_TIME;
    }

    fn hop(&self, vm: &VmId) -> Hop {
        self.hops.get(vm).copied().unwrap_or_default()
    }

    fn is_usable(&self, vm: &VmId, now: Millis) -> bool {
        let hop = self.hop(vm);
        hop.in_flight < MAX_IN_FLIGHT && hop.avoided_until <= now
    }
}
