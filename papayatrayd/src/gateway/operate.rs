//! Orders of operators and announcements of endpoints, as a control replica takes them.

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
use papayatray_wire::peer::Spread;
use smol::channel;
use smol::future::FutureExt;

use super::hub::Hub;
use super::meter::Meter;
use super::meter::Snapshot;
use crate::entry::LeaderClient;
use crate::entry::LeaderError;
use crate::observe::Level;
use crate::observe::event;
use crate::peer::Peers;

/// Longest wait for the leader; operators ask another replica after a second.
const LEADER_LIMIT: Millis = Millis::new(900);
/// Longest wait for the other control replicas to hear of a departure.
const SPREAD_LIMIT: Millis = Millis::new(700);

/// Why an order was not carried out.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum OperatorError {
    /// the plan is invalid: {0}
    Invalid(PlanError),
    /// another roll-out of the service is running
    Busy,
    /// no leader could be reached, or it did not answer in time; the order may be carried out yet
    Unavailable,
}

impl std::error::Error for OperatorError {}

impl OperatorError {
    /// Returns the HTTP status that says so.
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

/// Takes orders and announcements at one control replica.
#[derive(Debug)]
pub struct OperatorService {
    /// What the replica knows.
    pub hub: Arc<Hub>,
    /// Metrics.
    pub meter: Meter,
    own: String,
    peers: Arc<Peers>,
    leader: LeaderClient,
}

impl OperatorService {
    pub(super) fn new(
        hub: Arc<Hub>,
        own: String,
        peers: Arc<Peers>,
        controls: BTreeMap<VmId, String>,
    ) -> Self {
        Self {
            hub,
            meter: Meter::default(),
            own,
            leader: LeaderClient::new(Arc::clone(&peers), controls),
            peers,
        }
    }

    pub(super) fn learn(&self, controls: &BTreeMap<VmId, String>) {
        self.leader.set_controls(controls);
    }

    /// Returns all metrics as text.
    pub fn render_metrics(&self) -> String {
        let (endpoints, entries) = self.hub.counts();
        self.meter.render(&Snapshot {
            plan: self.hub.version().0,
            endpoints,
            entries,
            leads: self.hub.is_current(),
            ..Snapshot::default()
        })
    }

    /// Publishes a plan; returns the version that stands.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the plan, or that nobody could take it.
    pub async fn publish(&self, publication: PublishedPlan) -> Result<PlanVersion, OperatorError> {
        let version = publication.plan.version;
        if let Err(error) = publication.plan.check() {
            self.meter.event("plan_refused");
            event(
                Level::Warn,
                "plan_refused",
                &[("version", &version), ("error", &error)],
            );
            return Err(OperatorError::Invalid(error));
        }
        let held = self.hub.version();
        if held >= version && held > PlanVersion::default() {
            event(
                Level::Info,
                "plan_overtaken",
                &[("version", &version), ("held", &held)],
            );
            return Ok(held);
        }
        let command = Command::Publish(Box::new(publication));
        let reply = self.leader.propose(command, LEADER_LIMIT).await;
        if let Err(error) = &reply {
            event(
                Level::Warn,
                "plan_not_accepted",
                &[("version", &version), ("error", error)],
            );
        }
        match reply? {
            Reply::Published(stands) => {
                self.meter.event("plan_accepted");
                event(
                    Level::Info,
                    "plan_accepted",
                    &[("version", &version), ("stands", &stands)],
                );
                Ok(stands)
            }
            _ => Err(OperatorError::Unavailable),
        }
    }

    /// Returns the text of the newest plan, if one was published.
    ///
    /// # Errors
    ///
    /// Returns that nobody can tell which plan is the newest.
    pub async fn read_plan(&self) -> Result<Option<String>, OperatorError> {
        Ok(self.read(true).await?.source)
    }

    /// Returns the newest roll-out of a service.
    ///
    /// # Errors
    ///
    /// Returns that nobody can tell.
    pub async fn read_rollout(
        &self,
        service: &ServiceId,
    ) -> Result<Option<Rollout>, OperatorError> {
        Ok(self.read(false).await?.rollouts.get(service).cloned())
    }

    async fn read(&self, with_source: bool) -> Result<ReadReply, OperatorError> {
        let reading = self
            .leader
            .call(Method::Read, &with_source, LEADER_LIMIT)
            .await;
        Ok(reading?)
    }

    /// Begins a roll-out.
    ///
    /// # Errors
    ///
    /// Returns that another one is running, or that nobody could take the order.
    pub async fn begin_rollout(&self, order: RolloutOrder) -> Result<(), OperatorError> {
        let named = (order.service.clone(), order.target.clone());
        let command = Command::BeginRollout(order);
        let reply = self.leader.propose(command, LEADER_LIMIT).await?;
        event(
            Level::Info,
            "rollout_ordered",
            &[
                ("service", &named.0),
                ("target", &named.1),
                ("reply", &format!("{reply:?}")),
            ],
        );
        match reply {
            Reply::Rollout(RolloutDecision::Accepted) => Ok(()),
            Reply::Rollout(RolloutDecision::Busy) => Err(OperatorError::Busy),
            _ => Err(OperatorError::Unavailable),
        }
    }

    /// Takes in an announcement; one of leaving is known to another replica too on return.
    ///
    /// # Errors
    ///
    /// Returns that no other replica could be told of the departure.
    pub async fn announce(&self, endpoint: Endpoint) -> Result<(), OperatorError> {
        self.meter.event("heartbeat");
        let is_change = self.hub.announce(&endpoint);
        if !endpoint.leaving || !is_change {
            return Ok(());
        }
        self.spread(Spread {
            changed: vec![endpoint],
            departed: Vec::new(),
        })
        .await
    }

    /// Takes in a departure; another replica knows it too on return.
    ///
    /// # Errors
    ///
    /// Returns that no other replica could be told.
    pub async fn depart(&self, departure: Deregistration) -> Result<(), OperatorError> {
        self.hub.depart(&departure);
        self.spread(Spread {
            changed: Vec::new(),
            departed: vec![departure],
        })
        .await
    }

    /// Tells the other control replicas, so that a departure outlives this one.
    async fn spread(&self, spread: Spread) -> Result<(), OperatorError> {
        let mut others = self.hub.controls();
        others.retain(|address| *address != self.own);
        if others.is_empty() {
            return Ok(());
        }
        let all = others.len();
        let spread = Arc::new(spread);
        let (done, told) = channel::bounded(all);
        for address in others {
            let peers = Arc::clone(&self.peers);
            let spread = Arc::clone(&spread);
            let done = done.clone();
            self.peers.spawn(async move {
                let result: Result<(), _> = peers
                    .call(&address, Method::Spread, &*spread, SPREAD_LIMIT)
                    .await;
                // The waiter may have gone with its time.
                let _ = done.try_send(result.is_ok());
            });
        }
        let mut heard = 0;
        let waiting = async {
            for _ in 0..all {
                heard += usize::from(told.recv().await == Ok(true));
            }
        };
        let timeout = async {
            smol::Timer::after(SPREAD_LIMIT.to_duration()).await;
        };
        waiting.or(timeout).await;
        if heard == 0 {
            event(Level::Warn, "departure_not_spread", &[("others", &all)]);
            return Err(OperatorError::Unavailable);
        }
        Ok(())
    }
}
