//! Updates pushed between entries: endpoint announcements, deregistrations and evidence on
//! crashes.

use std::sync::Arc;

use papayatray_core::clock::Millis;
use papayatray_core::directory::Endpoint;
use papayatray_wire::peer::CallError;
use papayatray_wire::peer::Method;
use papayatray_wire::peer::PushRequest;
use smol::Timer;
use smol::channel;
use smol::future::FutureExt;

use super::Entry;

/// Time over which announcements are batched into one message.
const BATCH_DELAY: Millis = Millis::new(100);
/// Time-out of a push to another entry.
const PUSH_TIMEOUT: Millis = Millis::new(1_000);
/// Maximum time for which a broadcast of evidence waits for acknowledgements of the other entries.
const EVIDENCE_BROADCAST_TIMEOUT: Millis = Millis::new(250);
/// Maximum number of updates that wait to be relayed; further ones are dropped.
const QUEUE_CAPACITY: usize = 4_096;

/// Queue of endpoint updates to relay to the other entries.
#[derive(Debug)]
pub(super) struct UpdateQueue {
    sender: channel::Sender<Endpoint>,
    receiver: channel::Receiver<Endpoint>,
}

impl Default for UpdateQueue {
    fn default() -> Self {
        let (sender, receiver) = channel::bounded(QUEUE_CAPACITY);
        Self { sender, receiver }
    }
}

impl Entry {
    /// Registers an announced endpoint and relays a change to the other entries.
    ///
    /// Returns whether the announcement changed anything.
    pub fn register_endpoint(&self, endpoint: Endpoint) -> bool {
        let is_changed = self.registry.register(&endpoint);
        if is_changed {
            let _ = self.updates.sender.try_send(endpoint);
        }
        is_changed
    }

    /// Deregisters an endpoint and relays that to the other entries.
    ///
    /// Returns whether it was registered.
    pub fn deregister_endpoint(&self, id: &papayatray_core::id::EndpointId) -> bool {
        let Some(endpoint) = self.registry.deregister(id) else {
            return false;
        };
        let _ = self.updates.sender.try_send(endpoint);
        true
    }

    /// Applies the updates that another entry pushed.
    pub fn apply_push(&self, push: &PushRequest) {
        for endpoint in &push.endpoints {
            self.registry.register(endpoint);
        }
        self.add_suspects(&push.suspects);
        if push.trial_crashes.is_empty() && push.cleared_parts.is_empty() {
            return;
        }
        let now = self.clock.now();
        let mut shared_parts = self.shared_parts();
        for crash in &push.trial_crashes {
            shared_parts.record_crash(crash, now);
        }
        shared_parts.record_answer(&push.cleared_parts);
    }

    /// Relays queued updates to the other entries until the process ends.
    pub(super) async fn relay_updates(self: Arc<Self>) {
        while let Ok(first) = self.updates.receiver.recv().await {
            let mut push = PushRequest {
                endpoints: vec![first],
                ..PushRequest::default()
            };
            // Deregistrations and first announcements are relayed without delay.
            let is_urgent = |endpoint: &Endpoint| endpoint.leaving || endpoint.sequence <= 1;
            if !is_urgent(&push.endpoints[0]) {
                Timer::after(BATCH_DELAY.to_duration()).await;
            }
            while let Ok(next) = self.updates.receiver.try_recv() {
                push.endpoints.push(next);
            }
            let push = Arc::new(push);
            // `None`: nothing waits for the end of these pushes.
            for address in self.other_entries() {
                let sending = push_to(Arc::clone(&self), address, Arc::clone(&push), None);
                self.tasks.spawn(sending);
            }
        }
    }

    /// Records new suspects, or other evidence on crashes, here and at the other entries; waits a short
    /// time for their acknowledgements.
    pub async fn broadcast_evidence(self: &Arc<Self>, push: PushRequest) {
        self.apply_push(&push);
        let push = Arc::new(push);
        // Nothing is sent: the channel closes once every push has dropped its sender.
        let (done, pending) = channel::unbounded();
        for address in self.other_entries() {
            let sending = push_to(
                Arc::clone(self),
                address,
                Arc::clone(&push),
                Some(done.clone()),
            );
            self.tasks.spawn(sending);
        }
        drop(done);
        let all_acknowledged = async { while pending.recv().await.is_ok() {} };
        let timeout = async {
            Timer::after(EVIDENCE_BROADCAST_TIMEOUT.to_duration()).await;
        };
        all_acknowledged.or(timeout).await;
    }

    fn other_entries(&self) -> Vec<String> {
        let view = self.view();
        let others = view.entries.values().filter(|info| info.vm != self.vm);
        others.map(|info| info.peer_address.clone()).collect()
    }
}

/// Pushes updates to one entry, twice if necessary; then drops `done`, which signals the end.
async fn push_to(
    entry: Arc<Entry>,
    address: String,
    push: Arc<PushRequest>,
    done: Option<channel::Sender<()>>,
) {
    let result: Result<(), CallError> = entry
        .peers
        .call(&address, Method::Push, &*push, PUSH_TIMEOUT)
        .await;
    if result.is_err() {
        // The connection may have stalled without an error; the second attempt uses a new one.
        let _: Result<(), CallError> = entry
            .peers
            .call(&address, Method::Push, &*push, PUSH_TIMEOUT)
            .await;
    }
    drop(done);
}
