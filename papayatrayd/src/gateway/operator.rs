//! Service of a control replica that carries out operators' orders and applies endpoints'
//! announcements.

use std::collections::BTreeMap;
use std::sync::Arc;

use displaydoc::Display;
use http::StatusCode;
use papayatray_core::clock::Millis;
use papayatray_core::directory::Endpoint;
use papayatray_core::gateway::plan::PlanError;
use papayatray_core::gateway::plan::PublishedPlan;
use papayatray_core::gateway::rollout::Rollout;
use papayatray_core::gateway::rollout::RolloutDecision;
use papayatray_core::gateway::rollout::RolloutOrder;
use papayatray_core::id::PlanVersion;
use papayatray_core::id::ServiceId;
use papayatray_core::id::VmId;
use papayatray_state::machine::Command;
use papayatray_state::machine::Reply;
use papayatray_wire::peer::Deregistration;
use papayatray_wire::peer::Method;
use papayatray_wire::peer::ReadReply;
use papayatray_wire::peer::SpreadRequest;
use smol::channel;
use smol::future::FutureExt;

use super::control_state::ControlState;
use super::metrics::GatewayMetrics;
use super::metrics::GaugeValues;
use crate::entry::LeaderClient;
use crate::entry::LeaderError;
use crate::observe::Level;
use crate::observe::event;
use crate::peer::Peers;

/// Time-out of a call to the leader; less than the 1 s after which operators ask another replica.
const LEADER_TIMEOUT: Millis = Millis::new(900);
/// Time-out for passing a deregistration on to the other control replicas.
const SPREAD_TIMEOUT: Millis = Millis::new(700);

/// Reason why an order was not carried out.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum OperatorError {
    /// the plan is invalid: {0}
    Invalid(PlanError),
    /// another roll-out of the service is running; wait for its end
    Busy,
    /// no leader could be reached, or it did not reply in time; the order may still take effect
    Unavailable,
}

impl std::error::Error for OperatorError {}

impl OperatorError {
    /// Returns the HTTP status that reports the error.
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::Invalid(_) => StatusCode::BAD_REQUEST,
            Self::Busy => StatusCode::CONFLICT,
            Self::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

impl From<LeaderError> for OperatorError {
    fn from(_error: LeaderError) -> Self {
        Self::Unavailable
    }
}

/// Carries out orders and announcements received by one control replica.
#[derive(Debug)]
pub struct OperatorService {
    /// State of the replica.
    pub state: Arc<ControlState>,
    /// Metrics.
    pub metrics: GatewayMetrics,
    /// Peer address of this replica.
    peer_address: String,
    peers: Arc<Peers>,
    leader: LeaderClient,
}

impl OperatorService {
    pub(super) fn new(
        state: Arc<ControlState>,
        peer_address: String,
        peers: Arc<Peers>,
        controls: BTreeMap<VmId, String>,
    ) -> Self {
        Self {
            state,
            metrics: GatewayMetrics::default(),
            peer_address,
            leader: LeaderClient::new(Arc::clone(&peers), controls),
            peers,
        }
    }

    pub(super) fn update_replicas(&self, controls: &BTreeMap<VmId, String>) {
        self.leader.set_controls(controls);
    }

    /// Returns all metrics in the text exposition format.
    pub fn render_metrics(&self) -> String {
        let (endpoints, entries) = self.state.counts();
        self.metrics.render(&GaugeValues {
            plan: self.state.version().0,
            endpoints,
            entries,
            suspects: self.state.suspect_count(),
            is_leader: self.state.has_leader_lease(),
            ..GaugeValues::default()
        })
    }

    /// Publishes a plan; returns the version in force, which may be newer than that of the plan.
    ///
    /// # Errors
    ///
    /// Returns [`OperatorError::Invalid`] for an invalid plan, or [`OperatorError::Unavailable`].
    pub async fn publish(&self, publication: PublishedPlan) -> Result<PlanVersion, OperatorError> {
        let version = publication.plan.version;
        if let Err(error) = publication.plan.check() {
            self.metrics.count_event("plan_refused");
            event(
                Level::Warn,
                "plan_refused",
                &[("version", &version), ("error", &error)],
            );
            return Err(OperatorError::Invalid(error));
        }
        let current_version = self.state.version();
        if current_version >= version && current_version > PlanVersion::default() {
            event(
                Level::Info,
                "plan_overtaken",
                &[("version", &version), ("held", &current_version)],
            );
            return Ok(current_version);
        }
        let command = Command::Publish(Box::new(publication));
        let reply = self.leader.propose(command, LEADER_TIMEOUT).await;
        if let Err(error) = &reply {
            event(
                Level::Warn,
                "plan_not_accepted",
                &[("version", &version), ("error", error)],
            );
        }
        match reply? {
            Reply::Published(accepted) => {
                self.metrics.count_event("plan_accepted");
                event(
                    Level::Info,
                    "plan_accepted",
                    &[("version", &version), ("stands", &accepted)],
                );
                Ok(accepted)
            }
            _ => Err(OperatorError::Unavailable),
        }
    }

    /// Returns the source text of the newest plan, or `None` before one was published.
    ///
    /// # Errors
    ///
    /// Returns [`OperatorError::Unavailable`] if no leader can confirm which plan is the newest.
    pub async fn read_plan(&self) -> Result<Option<String>, OperatorError> {
        Ok(self.read(true).await?.source)
    }

    /// Returns the newest roll-out of a service, or `None` if there was none.
    ///
    /// # Errors
    ///
    /// Returns [`OperatorError::Unavailable`] if no leader can confirm which roll-out is the
    /// newest.
    pub async fn read_rollout(
        &self,
        service: &ServiceId,
    ) -> Result<Option<Rollout>, OperatorError> {
        Ok(self.read(false).await?.rollouts.get(service).cloned())
    }

    /// Returns the newest state that the leader confirms; the reply includes the plan's source text
    /// only if `with_source` is true.
    async fn read(&self, with_source: bool) -> Result<ReadReply, OperatorError> {
        let reply = self
            .leader
            .call(Method::Read, &with_source, LEADER_TIMEOUT)
            .await;
        Ok(reply?)
    }

    /// Starts a roll-out.
    ///
    /// # Errors
    ///
    /// Returns [`OperatorError::Busy`] while another one is running, or
    /// [`OperatorError::Unavailable`].
    pub async fn begin_rollout(&self, order: RolloutOrder) -> Result<(), OperatorError> {
        let names = (order.service.clone(), order.target.clone());
        let command = Command::BeginRollout(order);
        let reply = self.leader.propose(command, LEADER_TIMEOUT).await?;
        event(
            Level::Info,
            "rollout_ordered",
            &[
                ("service", &names.0),
                ("target", &names.1),
                ("reply", &format!("{reply:?}")),
            ],
        );
        match reply {
            Reply::Rollout(RolloutDecision::Accepted) => Ok(()),
            Reply::Rollout(RolloutDecision::Busy) => Err(OperatorError::Busy),
            _ => Err(OperatorError::Unavailable),
        }
    }

    /// Applies an announcement of an endpoint, which endpoints repeat as their heartbeat.
    ///
    /// An announcement that the endpoint is leaving is passed on to the other replicas before this
    /// method returns, so that the loss of this replica does not lose it.
    ///
    /// # Errors
    ///
    /// Returns [`OperatorError::Unavailable`] if no other replica acknowledged that announcement.
    pub async fn announce(&self, endpoint: Endpoint) -> Result<(), OperatorError> {
        self.metrics.count_event("heartbeat");
        let has_changed = self.state.announce(&endpoint);
        if !endpoint.leaving || !has_changed {
            return Ok(());
        }
        self.spread(SpreadRequest {
            changed: vec![endpoint],
            deregistered: Vec::new(),
        })
        .await
    }

    /// Deregisters an endpoint.
    ///
    /// When this method returns, another replica, if there is one, has recorded the deregistration
    /// too.
    ///
    /// # Errors
    ///
    /// Returns [`OperatorError::Unavailable`] if no other replica acknowledged the deregistration.
    pub async fn deregister(&self, deregistration: Deregistration) -> Result<(), OperatorError> {
        self.state.deregister(&deregistration);
        self.spread(SpreadRequest {
            changed: Vec::new(),
            deregistered: vec![deregistration],
        })
        .await
    }

    /// Passes changes on to the other control replicas, and waits until all have replied or the
    /// time-out has passed; one acknowledgement is enough.
    async fn spread(&self, spread: SpreadRequest) -> Result<(), OperatorError> {
        let mut others = self.state.controls();
        others.retain(|address| *address != self.peer_address);
        if others.is_empty() {
            return Ok(());
        }
        let other_count = others.len();
        let spread = Arc::new(spread);
        let (sender, receiver) = channel::bounded(other_count);
        for address in others {
            let peers = Arc::clone(&self.peers);
            let spread = Arc::clone(&spread);
            let sender = sender.clone();
            self.peers.spawn(async move {
                let result: Result<(), _> = peers
                    .call(&address, Method::Spread, &*spread, SPREAD_TIMEOUT)
                    .await;
                // The receiver is gone if the time-out has passed.
                let _ = sender.try_send(result.is_ok());
            });
        }
        let mut acknowledgements = 0;
        let waiting = async {
            for _ in 0..other_count {
                acknowledgements += usize::from(receiver.recv().await == Ok(true));
            }
        };
        let timeout = async {
            smol::Timer::after(SPREAD_TIMEOUT.to_duration()).await;
        };
        waiting.or(timeout).await;
        if acknowledgements == 0 {
            event(
                Level::Warn,
                "departure_not_spread",
                &[("others", &other_count)],
            );
            return Err(OperatorError::Unavailable);
        }
        Ok(())
    }
}
