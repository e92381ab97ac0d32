//! Tracking of sends, so that an entry acknowledges a configuration revision only when no request
//! checked against an older one can still reach an endpoint.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use papayatray_core::clock::Millis;
use papayatray_core::id::Revision;

/// Time after which written bytes count as received by the endpoint: a round trip in a region.
const TRANSIT_TIME: Millis = Millis::new(100);

/// Stage of a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SendStage {
    /// Not yet written completely; checked against the configuration, or about to be.
    Unwritten,
    /// Written completely at this time; ignored once [`TRANSIT_TIME`] has passed.
    Written(Millis),
}

/// Send in progress.
#[derive(Clone, Copy, Debug)]
struct TrackedSend {
    revision: Revision,
    stage: SendStage,
}

/// Sends to endpoints that are in progress, each with the revision that it was checked against.
#[derive(Debug, Default)]
pub struct SendTracker {
    state: Mutex<TrackerState>,
}

#[derive(Debug, Default)]
struct TrackerState {
    sends: BTreeMap<u64, TrackedSend>,
    last_number: u64,
}

impl SendTracker {
    /// Registers a send that is about to be checked against `revision`.
    ///
    /// Must be called before the check, since a send counts from its registration.
    pub fn begin(&self, revision: Revision) -> SendGuard<'_> {
        let mut state = self.state();
        state.last_number += 1;
        let number = state.last_number;
        let send = TrackedSend {
            revision,
            stage: SendStage::Unwritten,
        };
        state.sends.insert(number, send);
        SendGuard {
            tracker: self,
            number,
        }
    }

    /// Returns the highest revision up to `current` that the entry may acknowledge: no send checked
    /// against an older revision can still reach an endpoint.
    pub fn acknowledgeable_revision(&self, current: Revision, now: Millis) -> Revision {
        let state = self.state();
        let may_still_arrive = |send: &&TrackedSend| match send.stage {
            SendStage::Unwritten => true,
            SendStage::Written(at) => now.since(at) < TRANSIT_TIME,
        };
        let sends = state.sends.values().filter(may_still_arrive);
        sends.map(|send| send.revision).fold(current, Revision::min)
    }

    fn state(&self) -> MutexGuard<'_, TrackerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Registration of one send, removed when dropped.
///
/// The sender drops it once the response head has arrived or the send has failed.
#[derive(Debug)]
pub struct SendGuard<'a> {
    tracker: &'a SendTracker,
    number: u64,
}

impl SendGuard<'_> {
    /// Records that the whole request was written at `now`.
    pub fn mark_written(&self, now: Millis) {
        if let Some(send) = self.tracker.state().sends.get_mut(&self.number) {
            send.stage = SendStage::Written(now);
        }
    }
}

impl Drop for SendGuard<'_> {
    fn drop(&mut self) {
        self.tracker.state().sends.remove(&self.number);
    }
}
