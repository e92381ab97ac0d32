//! Long-poll client through which an entry exchanges updates with the control replicas.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use papayatray_core::clock::Millis;
use papayatray_wire::peer::CallError;
use papayatray_wire::peer::Cursor;
use papayatray_wire::peer::GatewayVersions;
use papayatray_wire::peer::Method;
use papayatray_wire::peer::SyncReply;
use papayatray_wire::peer::SyncRequest;
use smol::Timer;
use smol::future::FutureExt;

use super::state::Gateway;
use crate::observe::Level;
use crate::observe::event;
use crate::peer::Peers;

/// Time-out of a sync request, including the delay of the long poll.
const SYNC_TIMEOUT: Millis = Millis::new(1_200);
/// Back-off after the first failed call; doubles with each further failure.
const MIN_BACKOFF: Millis = Millis::new(100);
/// Longest back-off after a failed call.
const MAX_BACKOFF: Millis = Millis::new(1_000);

/// Syncs an entry with every control replica: reports the entry's loads, tallies and suspects, and
/// receives the plan, the roll-outs and the lists of endpoints and entries.
#[derive(Debug)]
pub(super) struct SyncClient {
    gateway: Arc<Gateway>,
    peers: Arc<Peers>,
    /// Addresses of the control replicas that the entry syncs with.
    replicas: Mutex<BTreeSet<String>>,
}

/// Progress of the sync with one control replica.
#[derive(Debug, Default)]
struct ReplicaSync {
    cursor: Cursor,
    /// Number of the last cached-prefix update received from the replica.
    prefixes_received: u64,
    /// Number of the last cached-prefix update that the replica has acknowledged.
    prefixes_acknowledged: u64,
    /// Number of the last departure that the replica has acknowledged.
    departures_acknowledged: u64,
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

    /// Starts syncing with the control replicas at these addresses, if not started yet.
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
            let sent_at = self.gateway.clock.now();
            let request = self.sync_request(&address, &sync);
            let sync_needed = self.gateway.sync_needed.listen();
            let call = async {
                let reply =
                    self.peers
                        .call::<_, SyncReply>(&address, Method::Sync, &request, SYNC_TIMEOUT);
                Some(reply.await)
            };
            // A change at this entry abandons the long poll: the next request reports it at once.
            let local_change = async {
                sync_needed.await;
                None
            };
            match call.or(local_change).await {
                Some(Ok(reply)) => {
                    sync.prefixes_acknowledged = request.cached_prefixes.last_number;
                    sync.departures_acknowledged = request.departures.last_number;
                    self.apply_reply(&address, &mut sync, reply, sent_at);
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
        let (loads, departures, cached_prefixes) = {
            let fleet = gateway.fleet();
            (
                fleet.local_loads(),
                fleet.departures_since(sync.departures_acknowledged),
                fleet.cached_prefixes_since(sync.prefixes_acknowledged),
            )
        };
        SyncRequest {
            info: gateway.info(),
            versions: GatewayVersions {
                plan: gateway
                    .route_table()
                    .map_or_else(Default::default, |table| table.version()),
                endpoints: sync.cursor,
                entries: gateway.entries_version(address),
                rollouts: gateway.rollouts().changes(),
                cached_prefixes: sync.prefixes_received,
            },
            tallies: gateway.tallies(),
            loads,
            suspects: gateway.suspects(),
            departures,
            cached_prefixes,
        }
    }

    fn apply_reply(
        self: &Arc<Self>,
        address: &str,
        sync: &mut ReplicaSync,
        reply: SyncReply,
        sent_at: Millis,
    ) {
        if sync.cursor.incarnation != reply.endpoints.cursor.incarnation {
            sync.prefixes_received = 0;
            // A replica that restarted has lost the departures that it acknowledged before.
            sync.departures_acknowledged = 0;
        }
        sync.cursor = reply.endpoints.cursor;
        if let Some(prefixes) = &reply.cached_prefixes {
            sync.prefixes_received = prefixes.last_number;
        }
        let controls = reply.controls.clone();
        self.gateway.apply_sync(address, reply, sent_at);
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
