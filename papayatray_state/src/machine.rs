//! The machine that committed commands drive.

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
use papayatray_core::gateway::plan::PublishedPlan;
use papayatray_core::gateway::rollout::RolloutDecision;
use papayatray_core::gateway::rollout::RolloutOrder;
use papayatray_core::gateway::rollout::RolloutState;
use papayatray_core::gateway::rollout::RolloutTable;
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

/// Command to the machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Changes the configuration.
    Configure(Change),
    /// Asks to run a request that may run at most once.
    Claim(ClaimRequest),
    /// Records answer and bill of a claimed request.
    Finish {
        /// The answer.
        answer: StoredResponse,
        /// The bill.
        bill: Bill,
    },
    /// Gives back a claim whose request was certainly never sent.
    Release {
        /// Request of the claim.
        key: RequestKey,
        /// Entry that held it.
        entry: VmId,
    },
    /// Records bills.
    Bill(Vec<Bill>),
    /// Asks for exposures of a version in roll-out.
    GrantExposures {
        /// The version.
        version: VersionId,
        /// Most exposures that are wanted.
        want: u32,
    },
    /// Records that an endpoint crashed while it ran these requests.
    Report {
        /// Start of the endpoint that ended in the crash.
        life: EndpointIncarnation,
        /// Requests that were in flight.
        fingerprints: Vec<Fingerprint>,
    },
    /// Asks to run a suspect.
    BeginTrial(TrialRequest),
    /// Records that a suspect ran without a crash.
    ClearSuspect {
        /// The suspect.
        fingerprint: Fingerprint,
        /// Entry that ran it.
        entry: VmId,
    },
    /// Records that a suspect never reached an endpoint.
    ReleaseTrial {
        /// The suspect.
        fingerprint: Fingerprint,
        /// Entry that was to run it.
        entry: VmId,
    },
    /// Publishes a plan of the gateway; one that is not newer changes nothing.
    Publish(Box<PublishedPlan>),
    /// Begins the roll-out of a service's release.
    BeginRollout(RolloutOrder),
    /// Ends the roll-out of a service's release.
    EndRollout {
        /// The service.
        service: ServiceId,
        /// Release that was rolled out.
        target: String,
        /// How it ended.
        state: RolloutState,
    },
}

/// Command with the moment at which its leader took it in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimestampedCommand {
    /// Moment in milliseconds since the Unix epoch.
    pub at: Millis,
    /// The command.
    pub command: Command,
}

/// Answer to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// What became of a change.
    Configured(Outcome),
    /// Whether the request may run.
    Claim(ClaimDecision),
    /// How many of the bills were their requests' first.
    Billed(u32),
    /// How many exposures were granted.
    Exposed(u32),
    /// Whether the suspect may run.
    Trial(TrialDecision),
    /// Nothing more to tell.
    Done,
    /// Version of the plan that stands.
    Published(PlanVersion),
    /// Whether a roll-out began.
    Rollout(RolloutDecision),
}

/// All state that survives.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateMachine {
    book: ChangeHistory,
    claims: Claims,
    ledger: Ledger,
    exposures: Exposures,
    suspicion: SuspectRegistry,
    clock: Millis,
    publication: Option<Box<PublishedPlan>>,
    rollouts: RolloutTable,
}

impl StateMachine {
    /// Returns the machine that a snapshot's state holds; empty state makes a new machine.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the bytes.
    pub fn from_state(state: &[u8]) -> Result<Self, postcard::Error> {
        if state.is_empty() {
            return Ok(Self::default());
        }
        postcard::from_bytes(state)
    }

    /// Returns the machine's state for a snapshot.
    ///
    /// # Errors
    ///
    /// Returns why the state cannot be encoded.
    pub fn to_state(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// Applies a command; the machine's time never goes back.
    pub fn apply(&mut self, stamped: &TimestampedCommand) -> Reply {
        self.clock = self.clock.max(stamped.at);
        let now = self.clock;
        match &stamped.command {
            Command::Configure(change) => Reply::Configured(self.book.decide(change, now)),
            Command::Claim(wish) => Reply::Claim(self.claims.claim(wish, now)),
            Command::Finish { answer, bill } => {
                self.claims.finish(&bill.key, answer.clone());
                Reply::Billed(u32::from(self.ledger.record(bill, now)))
            }
            Command::Release { key, entry } => {
                self.claims.release(key, entry);
                Reply::Done
            }
            Command::Bill(bills) => {
                let firsts = bills.iter().filter(|bill| self.ledger.record(bill, now));
                Reply::Billed(u32::try_from(firsts.count()).unwrap_or(u32::MAX))
            }
            Command::GrantExposures { version, want } => {
                Reply::Exposed(self.expose(version, *want, now))
            }
            Command::Report { life, fingerprints } => {
                self.suspicion.report(life, fingerprints, now);
                Reply::Done
            }
            Command::BeginTrial(wish) => Reply::Trial(self.suspicion.begin(wish, now)),
            Command::ClearSuspect { fingerprint, entry } => {
                self.suspicion.clear_suspect(*fingerprint, entry);
                Reply::Done
            }
            Command::ReleaseTrial { fingerprint, entry } => {
                self.suspicion.release_trial(*fingerprint, entry);
                Reply::Done
            }
            Command::Publish(publication) => Reply::Published(self.publish(publication)),
            Command::BeginRollout(order) => Reply::Rollout(self.rollouts.begin(order, now)),
            Command::EndRollout {
                service,
                target,
                state,
            } => {
                self.rollouts.end(service, target, *state);
                Reply::Done
            }
        }
    }

    /// Keeps the newer of two publications and returns its version.
    fn publish(&mut self, publication: &PublishedPlan) -> PlanVersion {
        let held = self.publication.as_ref().map(|own| own.plan.version);
        let is_newer = held.is_none_or(|version| publication.plan.version > version);
        if is_newer {
            self.publication = Some(Box::new(publication.clone()));
        }
        held.unwrap_or_default().max(publication.plan.version)
    }

    fn expose(&mut self, version: &VersionId, want: u32, now: Millis) -> u32 {
        let known = self.book.catalogue().versions.get(version);
        known.map_or(0, |own| {
            self.exposures.grant(version, &own.stage, want, now)
        })
    }

    /// Returns the configuration that stands.
    pub const fn catalogue(&self) -> &Catalogue {
        self.book.catalogue()
    }

    /// Returns the changes with their history.
    pub const fn book(&self) -> &ChangeHistory {
        &self.book
    }

    /// Returns the claims.
    pub const fn claims(&self) -> &Claims {
        &self.claims
    }

    /// Returns the ledger.
    pub const fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the exposures granted.
    pub const fn exposures(&self) -> &Exposures {
        &self.exposures
    }

    /// Returns the newest published plan, if there is one.
    pub fn publication(&self) -> Option<&PublishedPlan> {
        self.publication.as_deref()
    }

    /// Returns the roll-outs of services' releases.
    pub const fn rollouts(&self) -> &RolloutTable {
        &self.rollouts
    }

    /// Returns the requests under suspicion.
    pub const fn suspicion(&self) -> &SuspectRegistry {
        &self.suspicion
    }
}
