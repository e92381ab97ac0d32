//! Long-poll client through which an entry exchanges updates with the control replicas.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use papayatray_core::clock::Millis;
use papayatray_core::format::FormatLevel;
use papayatray_core::gateway::replicas::ReplicaRole;
use papayatray_core::gateway::replicas::ReplicaTable;
use papayatray_core::gateway::replicas::ReplicaView;
use papayatray_core::gateway::updates::UpdateBatch;
use papayatray_core::id::PlanVersion;
use papayatray_wire::link::ClusterKey;
use papayatray_wire::peer::CallError;
use papayatray_wire::peer::Cursor;
use papayatray_wire::peer::GatewayVersions;
use papayatray_wire::peer::Method;
use papayatray_wire::peer::STANDBY_POLL_TIMEOUT;
use papayatray_wire::peer::SYNC_POLL_TIMEOUT;
use papayatray_wire::peer::SyncReply;
use papayatray_wire::peer::SyncRequest;
use smol::Timer;
use smol::future;
use smol::future::FutureExt;

use super::plan_client::PlanClient;
use super::state::Gateway;
use crate::observe::Level;
use crate::observe::event;
use crate::peer::Peers;

/// Shortest time-out of a sync request, beyond the delay of its long poll. It doubles with each one
/// in a row, and is longer on a link on which replies take long, so that a busy link delays the
/// sync and does not prevent it.
const MIN_SYNC_TIMEOUT: Millis = Millis::new(1_000);
/// Longest time-out of a sync request, beyond the delay of its long poll.
const MAX_SYNC_TIMEOUT: Millis = Millis::new(4_000);
/// Multiple of the delay of the last reply from which on the next one is late.
const LATE_FACTOR: u64 = 2;
/// Back-off after the first failed call; doubles with each further failure.
const MIN_BACKOFF: Millis = Millis::new(100);
/// Longest back-off after a failed call.
const MAX_BACKOFF: Millis = Millis::new(1_000);

/// Syncs an entry with every control replica: reports the entry's loads, tallies and crashes, and
/// receives the plan, the roll-outs and the lists of endpoints and entries.
#[derive(Debug)]
pub struct SyncClient {
    gateway: Arc<Gateway>,
    peers: Peers,
    /// Receives the plan.
    plan_client: Arc<PlanClient>,
    /// Control replicas that the entry syncs with, by address.
    replicas: Mutex<ReplicaTable>,
}

/// Progress of the sync with one control replica.
#[derive(Debug, Default)]
struct ReplicaSync {
    cursor: Cursor,
    /// Newest plan that the replica has named.
    named_plan: PlanVersion,
    /// Number of the last cached-prefix update received from the replica.
    prefixes_received: u64,
    /// Number of the last heartbeat received.
    heartbeats_received: u64,
    /// Number of the last change of loads received since the replica became the leader.
    loads_received: u64,
    /// Number of the last change of speeds received since the replica became the leader.
    speeds_received: u64,
    /// Number of the last findings on crashes received.
    findings_received: u64,
    /// Number of the last change of a rate limit received.
    rate_statements_received: u64,
    /// Number of the last change of a rate limit that the replica has acknowledged.
    rate_statements_acknowledged: u64,
    /// Number of the last cached-prefix update that the replica has acknowledged.
    prefixes_acknowledged: u64,
    /// Number of the last departure that the replica has acknowledged.
    departures_acknowledged: u64,
    /// Number of the last crash report that the replica has acknowledged.
    crashes_acknowledged: u64,
    is_reachable: bool,
    backoff: Millis,
    /// Time that the last reply took beyond its long poll.
    reply_delay: Millis,
    /// Calls that timed out since the last reply.
    timeouts: u32,
    /// Whether the last call was abandoned for a change at this entry. The next one is not, as
    /// calls would never end while changes follow each other faster than replies arrive.
    was_abandoned: bool,
}

impl SyncClient {
    /// Creates a client that syncs with no replica yet.
    ///
    /// Both sides of each connection prove that they hold `key`.
    pub fn new(gateway: Arc<Gateway>, key: ClusterKey) -> Self {
        let peers = Peers::new(gateway.tasks.clone(), key.clone());
        let plan_client = Arc::new(PlanClient::new(Arc::clone(&gateway), key));
        gateway.tasks.spawn(Arc::clone(&plan_client).run());
        Self {
            gateway,
            peers,
            plan_client,
            replicas: Mutex::default(),
        }
    }

    /// Starts syncing with the control replicas at these addresses, if not started yet.
    pub fn add_replicas(self: &Arc<Self>, controls: &[String]) {
        for address in controls {
            if self.replicas().add(address) {
                event(Level::Info, "control_known", &[("address", address)]);
                let syncing = Arc::clone(self).sync_with(address.clone());
                self.gateway.tasks.spawn(syncing);
            }
        }
    }

    fn replicas(&self) -> MutexGuard<'_, ReplicaTable> {
        self.replicas.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn sync_with(self: Arc<Self>, address: String) {
        let mut sync = ReplicaSync {
            backoff: MIN_BACKOFF,
            ..ReplicaSync::default()
        };
        loop {
            let sent_at = self.gateway.clock.now();
            let request = self.sync_request(&address, &sync, sent_at);
            let timeout = request.poll_timeout + sync.timeout();
            let sync_needed = self.gateway.sync_needed.listen();
            let call = async {
                let reply =
                    self.peers
                        .call::<_, SyncReply>(&address, Method::Sync, &request, timeout);
                Some(reply.await)
            };
            // A change at this entry abandons the long poll: the next request reports it at once.
            let may_abandon = !sync.was_abandoned;
            let local_change = async {
                if may_abandon {
                    sync_needed.await;
                } else {
                    future::pending::<()>().await;
                }
                None
            };
            match call.or(local_change).await {
                Some(Ok(reply)) => {
                    sync.prefixes_acknowledged = request.cached_prefixes.last_number;
                    sync.departures_acknowledged = request.departures.last_number;
                    sync.crashes_acknowledged = request.crashes.last_number;
                    sync.rate_statements_acknowledged = request.rate_statements.last_number;
                    let poll_end = sent_at + request.poll_timeout;
                    let reply_delay = self.gateway.clock.now().since(poll_end);
                    self.apply_reply(&address, &mut sync, reply, sent_at);
                    sync.record_success(&address, reply_delay);
                }
                Some(Err(error)) => {
                    self.gateway.metrics.count_event("sync_failed");
                    self.replicas().record_failure(&address);
                    self.plan_client.record_failure(&address);
                    sync.record_failure(&address, &error);
                    Timer::after(sync.backoff.to_duration()).await;
                    sync.backoff = sync.backoff.doubled(1, MAX_BACKOFF);
                }
                None => {
                    self.gateway.metrics.count_event("sync_abandoned");
                    sync.was_abandoned = true;
                }
            }
        }
    }

    fn sync_request(&self, address: &str, sync: &ReplicaSync, now: Millis) -> SyncRequest {
        let gateway = &self.gateway;
        let plan = gateway
            .route_table()
            .map_or_else(Default::default, |table| table.version());
        let (role, wants_plan) = {
            let replicas = self.replicas();
            (
                replicas.role(address),
                !self.plan_client.has_sources() && replicas.is_plan_source(address, plan, now),
            )
        };
        // Loads and prefixes are exchanged through the leader alone.
        let is_standby = role == ReplicaRole::Standby;
        let (loads, departures, cached_prefixes, gaps, evacuations, data_centres) = {
            let mut fleet = gateway.fleet();
            let cached_prefixes = if is_standby {
                UpdateBatch {
                    last_number: sync.prefixes_acknowledged,
                    updates: Vec::new(),
                }
            } else {
                fleet.cached_prefixes_since(sync.prefixes_acknowledged)
            };
            (
                (!is_standby).then(|| fleet.report_work()),
                fleet.departures_since(sync.departures_acknowledged),
                cached_prefixes,
                if is_standby {
                    Vec::new()
                } else {
                    fleet.take_gap_sums()
                },
                fleet.evacuations().changes(),
                fleet.data_centres().clone(),
            )
        };
        SyncRequest {
            info: gateway.info(),
            versions: GatewayVersions {
                plan,
                named_plan: sync.named_plan,
                endpoints: sync.cursor,
                entries: gateway.entries_number(address),
                rollouts: gateway.rollouts().changes(),
                cached_prefixes: sync.prefixes_received,
                heartbeats: sync.heartbeats_received,
                loads: sync.loads_received,
                findings: sync.findings_received,
                rate_statements: sync.rate_statements_received,
                speeds: sync.speeds_received,
                evacuations,
            },
            poll_timeout: if is_standby {
                STANDBY_POLL_TIMEOUT
            } else {
                SYNC_POLL_TIMEOUT
            },
            expects_leader: role == ReplicaRole::Leader,
            wants_plan,
            reads_compact: true,
            tallies: gateway.tallies(),
            loads,
            crashes: gateway.crash_reports_since(sync.crashes_acknowledged),
            answers: gateway.answer_report(address),
            departures,
            rate_statements: gateway.rate_statements_since(sync.rate_statements_acknowledged),
            cached_prefixes,
            gaps,
            format: FormatLevel::HIGHEST,
            data_centres,
        }
    }

    /// Decodes the compact loads and cached prefixes of a reply into their usual fields.
    ///
    /// Without the loads, the entry asks for all of them with the next sync.
    fn expand_hints(&self, reply: &mut SyncReply) {
        let mut fleet = self.gateway.fleet();
        fleet.add_keys(&reply.endpoints.changed);
        let Some(compact) = reply.hints.take() else {
            return;
        };
        let hints = fleet.decode_hints(&compact);
        drop(fleet);
        match hints {
            Ok(hints) => {
                reply.loads = Some(hints.loads);
                reply.cached_prefixes = Some(hints.prefixes);
            }
            Err(error) => event(Level::Warn, "hints_unread", &[("error", &error)]),
        }
    }

    fn apply_reply(
        self: &Arc<Self>,
        address: &str,
        sync: &mut ReplicaSync,
        mut reply: SyncReply,
        sent_at: Millis,
    ) {
        self.expand_hints(&mut reply);
        sync.record_reply(&reply);
        let now = self.gateway.clock.now();
        let view = ReplicaView {
            is_leader: reply.is_current,
            is_near: reply.data_centre.as_ref() == Some(&self.gateway.data_centre),
            plan: reply.version,
        };
        self.replicas().record_reply(address, &view, now);
        let controls = reply.controls.clone();
        let sends_pieces = reply.serves_pieces;
        self.gateway.apply_sync(address, reply, sent_at);
        self.plan_client.record_reply(address, &view, sends_pieces);
        self.add_replicas(&controls);
    }
}

impl ReplicaSync {
    /// Records the numbers of the updates in a reply.
    fn record_reply(&mut self, reply: &SyncReply) {
        if self.cursor.incarnation != reply.endpoints.cursor.incarnation {
            self.prefixes_received = 0;
            // A replica that restarted has lost what it acknowledged before.
            self.departures_acknowledged = 0;
            self.crashes_acknowledged = 0;
            self.rate_statements_acknowledged = 0;
        }
        self.cursor = reply.endpoints.cursor;
        self.named_plan = reply.version;
        self.heartbeats_received = reply.endpoints.heartbeats;
        if let Some(findings) = &reply.findings {
            self.findings_received = findings.number;
        }
        self.rate_statements_received = reply.rate_statements.last_number;
        // Another leader numbers the loads anew, so the first reply of a leader has all of them.
        self.loads_received = reply.loads.as_ref().map_or(0, |loads| loads.number);
        self.speeds_received = reply.speeds.as_ref().map_or(0, |speeds| speeds.number);
        if let Some(prefixes) = &reply.cached_prefixes {
            self.prefixes_received = prefixes.last_number;
        }
    }

    /// Returns the time-out of the next call, beyond the delay of its long poll.
    fn timeout(&self) -> Millis {
        let late = Millis::new(self.reply_delay.as_u64() * LATE_FACTOR);
        late.max(MIN_SYNC_TIMEOUT)
            .doubled(self.timeouts, MAX_SYNC_TIMEOUT)
    }

    fn record_success(&mut self, address: &str, reply_delay: Millis) {
        self.reply_delay = reply_delay;
        self.timeouts = 0;
        self.was_abandoned = false;
        self.backoff = MIN_BACKOFF;
        if !self.is_reachable {
            self.is_reachable = true;
            event(Level::Info, "control_reached", &[("address", &address)]);
        }
    }

    fn record_failure(&mut self, address: &str, error: &CallError) {
        if matches!(error, CallError::Timeout) {
            self.timeouts = self.timeouts.saturating_add(1);
        }
        self.was_abandoned = false;
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
