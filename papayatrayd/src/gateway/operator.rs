//! Service of a control replica that carries out operators' orders and applies endpoints'
//! announcements.

use std::collections::BTreeMap;
use std::sync::Arc;

use displaydoc::Display;
use http::StatusCode;
use papayatray_core::clock::Millis;
use papayatray_core::directory::Endpoint;
use papayatray_core::format::FormatLevel;
use papayatray_core::gateway::evacuation::EvacuationTable;
use papayatray_core::gateway::plan::PlanError;
use papayatray_core::gateway::plan::PublishedPlan;
use papayatray_core::gateway::rollout::Rollout;
use papayatray_core::gateway::rollout::RolloutDecision;
use papayatray_core::gateway::rollout::RolloutOrder;
use papayatray_core::id::DataCentre;
use papayatray_core::id::PlanVersion;
use papayatray_core::id::ServiceId;
use papayatray_core::id::VmId;
use papayatray_state::machine::Command;
use papayatray_state::machine::Reply;
use papayatray_state::plan_document::PlanDocument;
use papayatray_state::plan_document::fits_binary_form;
use papayatray_wire::peer::Deregistration;
use papayatray_wire::peer::LevelReport;
use papayatray_wire::peer::Method;
use papayatray_wire::peer::ReadReply;
use papayatray_wire::peer::SpreadRequest;
use smol::channel;
use smol::future::FutureExt;

use super::buffers::BufferPool;
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
    /// no endpoint, entry or setting names the data centre {0}; check its name
    UnknownDataCentre(DataCentre),
    /// the order needs format level {needed}, and level {current} is in force; repeat it once all processes are of a build that reads that level
    NeedsLevel {
        /// Level that the order needs.
        needed: FormatLevel,
        /// Level in force.
        current: FormatLevel,
    },
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
            Self::UnknownDataCentre(_) => StatusCode::NOT_FOUND,
            Self::NeedsLevel { .. } | Self::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
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
    /// Memory for buffered bodies.
    pub buffers: Arc<BufferPool>,
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
        buffers: Arc<BufferPool>,
    ) -> Self {
        Self {
            state,
            metrics: GatewayMetrics::default(),
            buffers,
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
            foreign_replies: self.state.foreign_replies(),
            format_level: self.state.level().0,
            format_lowest: self.state.lowest_level().0,
            evacuated: self.state.evacuations().len(),
            buffered: self.buffers.used(),
            ..GaugeValues::default()
        })
    }

    /// Publishes a plan; returns the version in force, which may be newer than that of the plan.
    ///
    /// # Errors
    ///
    /// Returns [`OperatorError::Invalid`] for an invalid plan, [`OperatorError::NeedsLevel`] for one that
    /// cannot be logged at the format level in force, or [`OperatorError::Unavailable`].
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
        let command = self.publish_command(publication)?;
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

    /// Returns the command that publishes a plan in the form that the format level in force asks for.
    fn publish_command(&self, publication: PublishedPlan) -> Result<Command, OperatorError> {
        let is_document = self.state.level() >= FormatLevel::PLAN_DOCUMENTS;
        if !is_document && fits_binary_form(&publication) {
            return Ok(Command::Publish(Box::new(publication)));
        }
        let document = PlanDocument::try_from(publication);
        let document = document.map_err(|error| {
            event(Level::Error, "plan_not_encoded", &[("error", &error)]);
            OperatorError::Unavailable
        })?;
        if self.state.level() >= FormatLevel::PACKED_PLANS {
            return Ok(Command::PublishPacked(Box::new(document.into())));
        }
        let command = Command::PublishDocument(Box::new(document));
        self.check_level("publish", &command)?;
        Ok(command)
    }

    /// Checks that the format level that a command needs is in force.
    fn check_level(&self, order: &str, command: &Command) -> Result<(), OperatorError> {
        let needed = command.required_level();
        let current = self.state.level();
        if current >= needed {
            return Ok(());
        }
        event(
            Level::Warn,
            "order_needs_level",
            &[
                ("order", &order),
                ("needed", &needed),
                ("in_force", &current),
            ],
        );
        Err(OperatorError::NeedsLevel { needed, current })
    }

    /// Orders that endpoints of a data centre get no new requests; an order that stands is repeated without
    /// effect.
    ///
    /// # Errors
    ///
    /// Returns [`OperatorError::UnknownDataCentre`], [`OperatorError::NeedsLevel`] or
    /// [`OperatorError::Unavailable`].
    pub async fn begin_evacuation(&self, data_centre: DataCentre) -> Result<(), OperatorError> {
        let command = Command::BeginEvacuation(data_centre.clone());
        self.order_evacuation("begin", &data_centre, command).await
    }

    /// Revokes the order of [`Self::begin_evacuation`]; has no effect without one.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Self::begin_evacuation`].
    pub async fn finish_evacuation(&self, data_centre: DataCentre) -> Result<(), OperatorError> {
        let command = Command::FinishEvacuation(data_centre.clone());
        self.order_evacuation("finish", &data_centre, command).await
    }

    async fn order_evacuation(
        &self,
        order: &str,
        data_centre: &DataCentre,
        command: Command,
    ) -> Result<(), OperatorError> {
        if !self.state.may_be_evacuated(data_centre) {
            return Err(OperatorError::UnknownDataCentre(data_centre.clone()));
        }
        self.check_level(order, &command)?;
        let reply = self.leader.propose(command, LEADER_TIMEOUT).await;
        let result = reply
            .as_ref()
            .map_or_else(ToString::to_string, |_| "committed".to_owned());
        event(
            Level::Info,
            "evacuation_ordered",
            &[
                ("order", &order),
                ("data_centre", data_centre),
                ("result", &result),
            ],
        );
        match reply? {
            Reply::Done => Ok(()),
            _ => Err(OperatorError::Unavailable),
        }
    }

    /// Returns the evacuated data centres.
    ///
    /// # Errors
    ///
    /// Returns [`OperatorError::Unavailable`] if no leader can confirm which orders stand.
    pub async fn read_evacuations(&self) -> Result<EvacuationTable, OperatorError> {
        Ok(self.read(false).await?.evacuations)
    }

    /// Returns the format levels of the deployment.
    ///
    /// # Errors
    ///
    /// Returns [`OperatorError::Unavailable`] if no leader can be reached.
    pub async fn read_levels(&self) -> Result<LevelReport, OperatorError> {
        Ok(self.read(false).await?.levels)
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
