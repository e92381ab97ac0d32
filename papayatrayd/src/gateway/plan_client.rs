//! Client through which an entry receives the plan from the control replicas, in pieces and on
//! connections of its own, so that nothing else waits behind them.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use event_listener::Event;
use papayatray_core::clock::Millis;
use papayatray_core::gateway::piece_sources::NextPiece;
use papayatray_core::gateway::piece_sources::PieceSources;
use papayatray_core::gateway::plan_copy::PlanCopy;
use papayatray_core::gateway::plan_log::PlanPiece;
use papayatray_core::gateway::replicas::ReplicaView;
use papayatray_core::id::PlanVersion;
use papayatray_wire::link::ClusterKey;
use papayatray_wire::peer::CallError;
use papayatray_wire::peer::Method;
use papayatray_wire::peer::PieceReply;
use papayatray_wire::peer::PieceRequest;
use smol::Timer;
use smol::future::FutureExt;

use super::state::Gateway;
use crate::observe::Level;
use crate::observe::event;
use crate::peer::Peers;

/// Longest pause between two pieces.
const MAX_PAUSE: Millis = Millis::new(200);

/// Keeps an entry's plan up to date with the newest one that a control replica names.
#[derive(Debug)]
pub(super) struct PlanClient {
    gateway: Arc<Gateway>,
    /// Connections that carry nothing but pieces.
    peers: Peers,
    sources: Mutex<PieceSources>,
    /// Notified after each reply of a replica.
    replied: Event,
}

impl PlanClient {
    pub(super) fn new(gateway: Arc<Gateway>, key: ClusterKey) -> Self {
        Self {
            peers: Peers::new(gateway.tasks.clone(), key),
            gateway,
            sources: Mutex::default(),
            replied: Event::new(),
        }
    }

    /// Records what a reply of a replica says about it.
    pub(super) fn record_reply(&self, address: &str, view: &ReplicaView, sends_pieces: bool) {
        let now = self.gateway.clock.now();
        self.sources()
            .record_reply(address, view, sends_pieces, now);
        self.replied.notify(usize::MAX);
    }

    /// Records that a replica did not answer a sync.
    pub(super) fn record_failure(&self, address: &str) {
        self.sources().avoid(address, self.gateway.clock.now());
    }

    /// Returns whether a replica sends pieces, so that no reply to a sync needs to hold the plan.
    pub(super) fn has_sources(&self) -> bool {
        self.sources().has_any()
    }

    /// Receives pieces whenever a newer plan is named, until the process ends.
    pub(super) async fn run(self: Arc<Self>) {
        let mut copy = PlanCopy::default();
        loop {
            let replied = self.replied.listen();
            let now = self.gateway.clock.now();
            let next = self.sources().next(self.held_version(), now);
            match next {
                NextPiece::From(address) => self.receive_piece(&address, &mut copy).await,
                NextPiece::Wait(time) => {
                    let waited = async {
                        Timer::after(time.to_duration()).await;
                    };
                    replied.or(waited).await;
                }
                NextPiece::UpToDate => replied.await,
            }
        }
    }

    /// Receives one piece; pauses after it unless it completes the plan.
    async fn receive_piece(&self, address: &str, copy: &mut PlanCopy) {
        let asked_at = self.gateway.clock.now();
        let timeout = self.sources().timeout();
        let request = PieceRequest {
            cursor: copy.cursor().clone(),
        };
        let reply = self
            .peers
            .call::<_, PieceReply>(address, Method::PlanPiece, &request, timeout)
            .await;
        let now = self.gateway.clock.now();
        let has_moved = match reply {
            Ok(reply) => self.apply_reply(address, reply, copy, asked_at),
            Err(error) => {
                self.record_error(address, &error, now);
                return;
            }
        };
        if !has_moved {
            self.sources().avoid(address, now);
            return;
        }
        self.sources().record_success();
        if copy.cursor().key.is_some() {
            // Leaves half of the link to callers and to the sync while a long transfer lasts.
            Timer::after(now.since(asked_at).min(MAX_PAUSE).to_duration()).await;
        }
    }

    /// Applies a piece; returns whether the entry's plan got closer to the newest one.
    fn apply_reply(
        &self,
        address: &str,
        reply: PieceReply,
        copy: &mut PlanCopy,
        asked_at: Millis,
    ) -> bool {
        let is_restart = reply.is_restart && copy.cursor().version > PlanVersion::default();
        let piece = match PlanPiece::try_from(reply) {
            Ok(piece) => piece,
            Err(error) => {
                event(Level::Warn, "piece_unread", &[("error", &error)]);
                return false;
            }
        };
        if is_restart {
            self.gateway.metrics.count_event("plan_restarted");
            event(
                Level::Info,
                "plan_restarted",
                &[("control", &address), ("held", &copy.cursor().version)],
            );
        }
        self.gateway.metrics.count_event("plan_piece");
        let before = copy.cursor().clone();
        match copy.apply(piece) {
            Ok(Some(table)) => self.gateway.put_in_force(table, address, asked_at),
            Ok(None) => {}
            Err(error) => {
                event(
                    Level::Warn,
                    "piece_refused",
                    &[("control", &address), ("error", &error)],
                );
                return false;
            }
        }
        *copy.cursor() != before
    }

    /// Returns the version of the plan in force, or 0 without one.
    fn held_version(&self) -> PlanVersion {
        let table = self.gateway.route_table();
        table.map_or_else(PlanVersion::default, |table| table.version())
    }

    fn record_error(&self, address: &str, error: &CallError, now: Millis) {
        if matches!(error, CallError::Timeout) {
            self.sources().record_timeout(address, now);
        } else {
            self.sources().avoid(address, now);
        }
        self.gateway.metrics.count_event("piece_failed");
        event(
            Level::Info,
            "piece_failed",
            &[("control", &address), ("error", error)],
        );
    }

    fn sources(&self) -> MutexGuard<'_, PieceSources> {
        self.sources.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
