//! Entry's side of the exchange with the control replicas, through which all news come.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use papayatray_core::clock::Millis;
use papayatray_wire::peer::CallError;
use papayatray_wire::peer::Cursor;
use papayatray_wire::peer::GatewaySeen;
use papayatray_wire::peer::Method;
use papayatray_wire::peer::SyncRequest;
use papayatray_wire::peer::Synced;
use smol::Timer;
use smol::future::FutureExt;

use super::state::Gateway;
use crate::observe::Level;
use crate::observe::event;
use crate::peer::Peers;

/// Time within which a control replica must answer; it may hold the answer for a while.
const SYNC_TIMEOUT: Millis = Millis::new(1_200);
/// First backoff after a failed call; doubles with each further one.
const MIN_BACKOFF: Millis = Millis::new(100);
/// Longest backoff between two calls.
const MAX_BACKOFF: Millis = Millis::new(1_000);

/// Keeps an entry up to date with every control replica.
#[derive(Debug)]
pub(super) struct SyncClient {
    gateway: Arc<Gateway>,
    peers: Arc<Peers>,
    replicas: Mutex<BTreeSet<String>>,
}

/// What one control replica has prefixes_sent.
#[derive(Debug, Default)]
struct ReplicaSync {
    cursor: Cursor,
    /// Number of the last note on kept prefixes that has been prefixes_received from it.
    prefixes_received: u64,
    /// Number of the last note on kept prefixes that it has been prefixes_sent.
    prefixes_sent: u64,
    is_reachable: bool,
    backoff: Millis,
}

impl SyncClient {
    pub(super) fn new(gateway: Arc<Gateway>, peers: Arc<Peers>) -> Self {
        Self {
            gateway,
            peers,
            replicas: Mutex::default(),
        }
    }

    /// Starts to ask the control replicas at these addresses, where it does not yet.
    pub(super) fn add_replicas(self: &Arc<Self>, controls: &[String]) {
        for address in controls {
            if self.replicas().insert(address.clone()) {
                event(Level::Info, "control_known", &[("address", address)]);
                let syncing = Arc::clone(self).sync_with(address.clone());
                self.gateway.tasks.spawn(syncing);
            }
        }
    }

    fn replicas(&self) -> MutexGuard<'_, BTreeSet<String>> {
        self.replicas.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn sync_with(self: Arc<Self>, address: String) {
        let mut sync = ReplicaSync {
            backoff: MIN_BACKOFF,
            ..ReplicaSync::default()
        };
        loop {
            let asked_at = self.gateway.clock.now();
            let request = self.sync_request(&address, &sync);
            let sync_needed = self.gateway.sync_needed.listen();
            let call = async {
                let synced =
                    self.peers
                        .call::<_, Synced>(&address, Method::Sync, &request, SYNC_TIMEOUT);
                Some(synced.await)
            };
            let changed = async {
                sync_needed.await;
                None
            };
            match call.or(changed).await {
                Some(Ok(synced)) => {
                    sync.prefixes_sent = request.warm.upto;
                    self.apply_reply(&address, &mut sync, synced, asked_at);
                    sync.record_success(&address);
                }
                Some(Err(error)) => {
                    sync.record_failure(&address, &error);
                    Timer::after(sync.backoff.to_duration()).await;
                    sync.backoff = Millis::new(sync.backoff.as_u64() * 2).min(MAX_BACKOFF);
                }
                None => {}
            }
        }
    }

    fn sync_request(&self, address: &str, sync: &ReplicaSync) -> SyncRequest {
        let gateway = &self.gateway;
        let (loads, warm) = {
            let fleet = gateway.fleet();
            (
                fleet.local_loads(),
                fleet.cached_prefixes_since(sync.prefixes_sent),
            )
        };
        SyncRequest {
            info: gateway.info(),
            seen: GatewaySeen {
                plan: gateway
                    .table()
                    .map_or_else(Default::default, |table| table.version()),
                news: sync.cursor,
                entries: gateway.entries_version(address),
                rollouts: gateway.rollouts().changes(),
                warm: sync.prefixes_received,
            },
            tallies: gateway.tallies(),
            loads,
            suspects: gateway.suspects(),
            warm,
        }
    }

    fn apply_reply(
        self: &Arc<Self>,
        address: &str,
        sync: &mut ReplicaSync,
        synced: Synced,
        asked_at: Millis,
    ) {
        if sync.cursor.incarnation != synced.news.upto.incarnation {
            sync.prefixes_received = 0;
        }
        sync.cursor = synced.news.upto;
        if let Some(warm) = &synced.warm {
            sync.prefixes_received = warm.upto;
        }
        let controls = synced.controls.clone();
        self.gateway.apply_sync(address, synced, asked_at);
        self.add_replicas(&controls);
    }
}

impl ReplicaSync {
    fn record_success(&mut self, address: &str) {
        self.backoff = MIN_BACKOFF;
        if !self.is_reachable {
            self.is_reachable = true;
            event(Level::Info, "control_reached", &[("address", &address)]);
        }
    }

    fn record_failure(&mut self, address: &str, error: &CallError) {
        if self.is_reachable {
            self.is_reachable = false;
            event(
                Level::Warn,
                "control_lost",
                &[("address", &address), ("error", error)],
            );
        }
    }
}
