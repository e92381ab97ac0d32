//! Replicated state machine, to which committed commands are applied.

use papayatray_core::catalogue::Catalogue;
use papayatray_core::catalogue::Change;
use papayatray_core::catalogue::ChangeHistory;
use papayatray_core::catalogue::Outcome;
use papayatray_core::claim::ClaimDecision;
use papayatray_core::claim::ClaimRequest;
use papayatray_core::claim::Claims;
use papayatray_core::claim::StoredResponse;
use papayatray_core::clock::Millis;
use papayatray_core::exposure::Exposures;
use papayatray_core::format::FormatLevel;
use papayatray_core::gateway::evacuation::EvacuationTable;
use papayatray_core::gateway::plan::PublishedPlan;
use papayatray_core::gateway::rollout::RolloutDecision;
use papayatray_core::gateway::rollout::RolloutOrder;
use papayatray_core::gateway::rollout::RolloutState;
use papayatray_core::gateway::rollout::RolloutTable;
use papayatray_core::id::DataCentre;
use papayatray_core::id::Fingerprint;
use papayatray_core::id::PlanVersion;
use papayatray_core::id::RequestKey;
use papayatray_core::id::ServiceId;
use papayatray_core::id::VersionId;
use papayatray_core::id::VmId;
use papayatray_core::ledger::Bill;
use papayatray_core::ledger::Ledger;
use papayatray_core::suspicion::EndpointIncarnation;
use papayatray_core::suspicion::SuspectRegistry;
use papayatray_core::suspicion::TrialDecision;
use papayatray_core::suspicion::TrialRequest;
use serde::Deserialize;
use serde::Serialize;

use crate::packed_document::PackedDocument;
use crate::plan_document::PlanDocument;
use crate::snapshot_extension::SnapshotExtension;
use crate::snapshot_extension::StateError;

/// Command to the state machine.
///
/// The log stores it in a binary form without names, so the order of variants and fields must stay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Changes the configuration.
    Configure(Change),
    /// Claims a request that may run at most once.
    Claim(ClaimRequest),
    /// Records the response and the bill of a claimed request.
    FinishClaim {
        /// Response to return if the request is sent again.
        response: StoredResponse,
        /// Bill of the request.
        bill: Bill,
    },
    /// Releases a claim whose request was certainly never sent to an endpoint.
    ReleaseClaim {
        /// Key of the claimed request.
        key: RequestKey,
        /// Entry that holds the claim.
        entry: VmId,
    },
    /// Records bills; a bill for a request that has one already changes nothing.
    Bill(Vec<Bill>),
    /// Grants the entry that proposes this command a quota: a number of requests that it may send
    /// to a version in roll-out.
    GrantExposures {
        /// Version in roll-out.
        version: VersionId,
        /// Largest quota to grant, in requests.
        max_exposures: u32,
    },
    /// Records that an endpoint crashed while it ran these requests.
    ReportCrash {
        /// Incarnation of the endpoint that crashed.
        incarnation: EndpointIncarnation,
        /// Fingerprints of the requests that were in flight.
        fingerprints: Vec<Fingerprint>,
    },
    /// Asks to run a suspect in an isolation trial.
    BeginTrial(TrialRequest),
    /// Records that a suspect ran in its trial without a crash.
    ClearSuspect {
        /// Fingerprint of the suspect.
        fingerprint: Fingerprint,
        /// Entry that ran the trial.
        entry: VmId,
    },
    /// Ends a trial whose request never reached an endpoint.
    ReleaseTrial {
        /// Fingerprint of the suspect.
        fingerprint: Fingerprint,
        /// Entry that was granted the trial.
        entry: VmId,
    },
    /// Publishes a plan; a plan that is not newer than the published one changes nothing.
    Publish(#[serde(with = "crate::plan_form::boxed")] Box<PublishedPlan>),
    /// Starts the roll-out of a service's release.
    BeginRollout(RolloutOrder),
    /// Ends the roll-out of a service's release.
    EndRollout {
        /// Service of the roll-out.
        service: ServiceId,
        /// Release that was rolled out.
        target: String,
        /// Final state.
        state: RolloutState,
    },
    /// Raises the format level; one that is not higher than that in force changes nothing.
    RaiseLevel(FormatLevel),
    /// Publishes a plan like [`Command::Publish`], as JSON text.
    PublishDocument(Box<PlanDocument>),
    /// Orders that endpoints of a data centre get no new requests.
    BeginEvacuation(DataCentre),
    /// Revokes the order of [`Command::BeginEvacuation`].
    FinishEvacuation(DataCentre),
    /// Publishes a plan like [`Command::Publish`], as compressed JSON text.
    PublishPacked(Box<PackedDocument>),
}

impl Command {
    /// Returns the format level that must be in force before the command may be proposed.
    pub const fn required_level(&self) -> FormatLevel {
        match self {
            Self::PublishDocument(_) => FormatLevel::PLAN_DOCUMENTS,
            Self::PublishPacked(_) => FormatLevel::PACKED_PLANS,
            Self::BeginEvacuation(_) | Self::FinishEvacuation(_) => FormatLevel::EVACUATIONS,
            // The leader proposes a raise only once all replicas can decode it.
            _ => FormatLevel::BASE,
        }
    }
}

/// Command with the time at which the leader received it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimestampedCommand {
    /// Time since the Unix epoch.
    pub at: Millis,
    /// Command to apply.
    pub command: Command,
}

/// Result of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Outcome of a change.
    Configured(Outcome),
    /// Whether the request may run.
    Claim(ClaimDecision),
    /// Number of bills recorded; a bill for a request that has one already is not counted.
    Billed(u32),
    /// Quota granted, in requests that may be sent to the version; 0 if there is none
    /// to grant now.
    Exposed(u32),
    /// Whether the suspect may run.
    Trial(TrialDecision),
    /// The command was applied and has no result.
    Done,
    /// Version of the plan that is now published.
    Published(PlanVersion),
    /// Whether the roll-out was started.
    Rollout(RolloutDecision),
}

/// Replicated state of a deployment.
///
/// Snapshots store it in a binary form without names, so the order of the fields must stay. New fields
/// are skipped there and go to the [extension](SnapshotExtension) that follows from level 1 on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateMachine {
    changes: ChangeHistory,
    claims: Claims,
    ledger: Ledger,
    exposures: Exposures,
    suspects: SuspectRegistry,
    /// Latest timestamp of the applied commands.
    clock: Millis,
    /// Published plan.
    #[serde(with = "crate::plan_form::optional")]
    publication: Option<Box<PublishedPlan>>,
    rollouts: RolloutTable,
    #[serde(skip)]
    extension: SnapshotExtension,
}

impl StateMachine {
    /// Decodes the state of a snapshot; an empty state yields a new state machine.
    ///
    /// # Errors
    ///
    /// Fails if the bytes cannot be decoded, or if they are of a level that this build does not read.
    pub fn from_state(state: &[u8]) -> Result<Self, StateError> {
        if state.is_empty() {
            return Ok(Self::default());
        }
        let (mut machine, rest): (Self, _) = postcard::take_from_bytes(state)?;
        if !rest.is_empty() {
            machine.extension = SnapshotExtension::decode(rest)?;
        }
        if let (Some(publication), Some(text)) = (&mut machine.publication, &machine.extension.plan)
        {
            // The plan's binary form lacks fields that the text may have.
            publication.plan = serde_json::from_str(text)?;
        }
        Ok(machine)
    }

    /// Encodes the state for a snapshot.
    ///
    /// # Errors
    ///
    /// Fails if the state cannot be encoded.
    pub fn to_state(&self) -> Result<Vec<u8>, StateError> {
        let mut state = postcard::to_stdvec(self)?;
        if self.level() > FormatLevel::BASE {
            state.extend(self.extension.encode()?);
        }
        Ok(state)
    }

    /// Applies a command.
    ///
    /// The clock of the state machine never goes back: a command whose timestamp is earlier than
    /// that of a previous command is applied at the time of the latter.
    pub fn apply(&mut self, timestamped: &TimestampedCommand) -> Reply {
        self.clock = self.clock.max(timestamped.at);
        let now = self.clock;
        match &timestamped.command {
            Command::Configure(change) => Reply::Configured(self.changes.decide(change, now)),
            Command::Claim(request) => Reply::Claim(self.claims.claim(request, now)),
            Command::FinishClaim { response, bill } => {
                self.claims.finish(&bill.key, response.clone());
                Reply::Billed(u32::from(self.ledger.record(bill, now)))
            }
            Command::ReleaseClaim { key, entry } => {
                self.claims.release(key, entry);
                Reply::Done
            }
            Command::Bill(bills) => {
                let recorded = bills.iter().filter(|bill| self.ledger.record(bill, now));
                Reply::Billed(u32::try_from(recorded.count()).unwrap_or(u32::MAX))
            }
            Command::GrantExposures {
                version,
                max_exposures,
            } => Reply::Exposed(self.grant_exposures(version, *max_exposures, now)),
            Command::ReportCrash {
                incarnation,
                fingerprints,
            } => {
                self.suspects.report(incarnation, fingerprints, now);
                Reply::Done
            }
            Command::BeginTrial(request) => Reply::Trial(self.suspects.begin_trial(request, now)),
            Command::ClearSuspect { fingerprint, entry } => {
                self.suspects.clear_suspect(*fingerprint, entry);
                Reply::Done
            }
            Command::ReleaseTrial { fingerprint, entry } => {
                self.suspects.release_trial(*fingerprint, entry);
                Reply::Done
            }
            Command::Publish(publication) => Reply::Published(self.publish(publication, None)),
            Command::BeginRollout(order) => Reply::Rollout(self.rollouts.begin(order, now)),
            Command::EndRollout {
                service,
                target,
                state,
            } => {
                self.rollouts.end(service, target, *state);
                Reply::Done
            }
            Command::RaiseLevel(level) => {
                self.extension.level = self.extension.level.max(*level);
                Reply::Done
            }
            Command::PublishDocument(document) => {
                let text = Some(document.text());
                Reply::Published(self.publish(document.publication(), text))
            }
            Command::PublishPacked(document) => {
                let text = Some(document.text());
                Reply::Published(self.publish(document.publication(), text))
            }
            Command::BeginEvacuation(data_centre) => {
                self.extension.evacuations.begin(data_centre, now);
                Reply::Done
            }
            Command::FinishEvacuation(data_centre) => {
                self.extension.evacuations.finish(data_centre);
                Reply::Done
            }
        }
    }

    /// Publishes the plan if it is newer than the published one; returns the newer
    /// of the two versions.
    ///
    /// `text` is the plan as JSON text if it was logged so.
    fn publish(&mut self, publication: &PublishedPlan, text: Option<&str>) -> PlanVersion {
        let current = self
            .publication
            .as_ref()
            .map(|published| published.plan.version);
        let is_newer = current.is_none_or(|version| publication.plan.version > version);
        if is_newer {
            self.publication = Some(Box::new(publication.clone()));
            self.extension.plan = text.map(str::to_owned);
        }
        current.unwrap_or_default().max(publication.plan.version)
    }

    fn grant_exposures(&mut self, version: &VersionId, max_exposures: u32, now: Millis) -> u32 {
        let definition = self.changes.catalogue().versions.get(version);
        definition.map_or(0, |definition| {
            self.exposures
                .grant(version, &definition.stage, max_exposures, now)
        })
    }

    /// Returns the current configuration.
    pub const fn catalogue(&self) -> &Catalogue {
        self.changes.catalogue()
    }

    /// Returns the accepted configuration changes and the outcome of each change id.
    pub const fn changes(&self) -> &ChangeHistory {
        &self.changes
    }

    /// Returns the claims of requests that may run at most once.
    pub const fn claims(&self) -> &Claims {
        &self.claims
    }

    /// Returns the ledger of bills.
    pub const fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the exposure quotas granted so far, by version.
    pub const fn exposures(&self) -> &Exposures {
        &self.exposures
    }

    /// Returns the published plan, if there is one.
    pub fn publication(&self) -> Option<&PublishedPlan> {
        self.publication.as_deref()
    }

    /// Returns the roll-outs of services' releases.
    pub const fn rollouts(&self) -> &RolloutTable {
        &self.rollouts
    }

    /// Returns the format level in force.
    pub const fn level(&self) -> FormatLevel {
        self.extension.level
    }

    /// Returns the evacuated data centres.
    pub const fn evacuations(&self) -> &EvacuationTable {
        &self.extension.evacuations
    }

    /// Returns the requests suspected of crashing endpoints.
    pub const fn suspects(&self) -> &SuspectRegistry {
        &self.suspects
    }
}
