//! News between entries: endpoints that come, renew and leave, and new suspects.

use std::collections::BTreeSet;
use std::sync::Arc;

use papayatray_core::clock::Millis;
use papayatray_core::directory::Endpoint;
use papayatray_core::id::Fingerprint;
use papayatray_wire::peer::CallError;
use papayatray_wire::peer::Method;
use papayatray_wire::peer::Push;
use smol::Timer;
use smol::channel;
use smol::future::FutureExt;

use super::Entry;

/// Time over which renewals are gathered into one message.
const GATHER: Millis = Millis::new(100);
/// Time within which another entry must answer.
const PUSH_LIMIT: Millis = Millis::new(1_000);
/// Time that a request waits for the other entries to learn of its suspicion.
const SUSPECT_WAIT: Millis = Millis::new(250);
/// News that may wait.
const QUEUE: usize = 4_096;

/// News that wait to be passed on.
#[derive(Debug)]
pub(super) struct News {
    queue: channel::Sender<Endpoint>,
    waiting: channel::Receiver<Endpoint>,
}

impl Default for News {
    fn default() -> Self {
        let (queue, waiting) = channel::bounded(QUEUE);
        Self { queue, waiting }
    }
}

impl Entry {
    /// Takes in an endpoint's own announcement and passes it on.
    pub fn register_endpoint(&self, endpoint: Endpoint) -> bool {
        let is_news = self.registry.announce(&endpoint);
        if is_news {
            let _ = self.news.queue.try_send(endpoint);
        }
        is_news
    }

    /// Takes in an endpoint's good-bye and passes it on.
    pub fn left(&self, id: &papayatray_core::id::EndpointId) -> bool {
        let Some(endpoint) = self.registry.leave(id) else {
            return false;
        };
        let _ = self.news.queue.try_send(endpoint);
        true
    }

    /// Takes in what another entry passes on.
    pub fn apply_push(&self, push: &Push) {
        for endpoint in &push.endpoints {
            self.registry.announce(endpoint);
        }
        self.add_suspects(&push.suspects);
    }

    /// Passes news on until the process ends.
    pub(super) async fn pass_on(self: Arc<Self>) {
        while let Ok(first) = self.news.waiting.recv().await {
            let mut push = Push {
                endpoints: vec![first],
                ..Push::default()
            };
            let is_urgent = |endpoint: &Endpoint| endpoint.leaving || endpoint.sequence <= 1;
            if !is_urgent(&push.endpoints[0]) {
                Timer::after(GATHER.to_duration()).await;
            }
            while let Ok(next) = self.news.waiting.try_recv() {
                push.endpoints.push(next);
            }
            let push = Arc::new(push);
            for address in self.other_entries() {
                let telling = tell(Arc::clone(&self), address, Arc::clone(&push), None);
                self.tasks.spawn(telling);
            }
        }
    }

    /// Tells the other entries of new suspects, and waits a little for them to hear it.
    pub async fn broadcast_suspects(self: &Arc<Self>, suspects: BTreeSet<Fingerprint>) {
        self.add_suspects(&suspects);
        let push = Arc::new(Push {
            suspects,
            ..Push::default()
        });
        let (done, told) = channel::unbounded();
        for address in self.other_entries() {
            let telling = tell(
                Arc::clone(self),
                address,
                Arc::clone(&push),
                Some(done.clone()),
            );
            self.tasks.spawn(telling);
        }
        drop(done);
        let all_told = async { while told.recv().await.is_ok() {} };
        let timeout = async {
            Timer::after(SUSPECT_WAIT.to_duration()).await;
        };
        all_told.or(timeout).await;
    }

    fn other_entries(&self) -> Vec<String> {
        let view = self.view();
        let others = view.entries.values().filter(|info| info.vm != self.vm);
        others.map(|info| info.peer_address.clone()).collect()
    }
}

async fn tell(
    entry: Arc<Entry>,
    address: String,
    push: Arc<Push>,
    done: Option<channel::Sender<()>>,
) {
    let told: Result<(), CallError> = entry
        .peers
        .call(&address, Method::Push, &*push, PUSH_LIMIT)
        .await;
    if told.is_err() {
        // A lost message may mean a connection that went silent: one more try, on a new one.
        let _: Result<(), CallError> = entry
            .peers
            .call(&address, Method::Push, &*push, PUSH_LIMIT)
            .await;
    }
    drop(done);
}
