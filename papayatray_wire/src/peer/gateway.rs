//! Messages between entries and control replicas of the gateway.

use std::collections::BTreeSet;

use papayatray_core::clock::Millis;
use papayatray_core::directory::Endpoint;
use papayatray_core::format::FormatLevel;
use papayatray_core::gateway::answers::AnswerReport;
use papayatray_core::gateway::crashes::CrashCause;
use papayatray_core::gateway::crashes::CrashReport;
use papayatray_core::gateway::endpoint_speed::GapSum;
use papayatray_core::gateway::endpoint_speed::SpeedUpdates;
use papayatray_core::gateway::entry_register::EntryUpdates;
use papayatray_core::gateway::evacuation::EvacuationTable;
use papayatray_core::gateway::load_table::EndpointWork;
use papayatray_core::gateway::load_table::WorkUpdates;
use papayatray_core::gateway::plan::Plan;
use papayatray_core::gateway::prefix_directory::CachedPrefix;
use papayatray_core::gateway::rate_limits::RateStatement;
use papayatray_core::gateway::release_evidence::ReleaseResults;
use papayatray_core::gateway::rollout::RolloutTable;
use papayatray_core::gateway::updates::UpdateBatch;
use papayatray_core::id::DataCentre;
use papayatray_core::id::EndpointId;
use papayatray_core::id::Incarnation;
use papayatray_core::id::PlanVersion;
use papayatray_core::id::ServiceId;
use papayatray_core::lease::EntryInfo;
use papayatray_state::replica::ReplicaId;
use serde::Deserialize;
use serde::Serialize;

use super::hints::CompactHints;

/// Long-poll time-out of a sync with the leader, which renews the entry's evidence: the leader
/// replies after this time even without updates.
pub const SYNC_POLL_TIMEOUT: Millis = Millis::new(200);
/// Long-poll time-out of a sync with a replica that is not the leader; it replies earlier if it
/// becomes the leader or has updates.
pub const STANDBY_POLL_TIMEOUT: Millis = Millis::from_secs(1);

/// Position in the endpoint updates of one control replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// Incarnation of the replica's process; each incarnation numbers its updates anew.
    pub incarnation: Incarnation,
    /// Number of the last update received.
    pub number: u64,
}

/// Versions of the state that an entry has received from one control replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayVersions {
    /// Version of the plan that the entry has applied.
    pub plan: PlanVersion,
    /// Position of the last endpoint update received.
    #[serde(rename = "news")]
    pub endpoints: Cursor,
    /// Newest plan that the replica has named.
    #[serde(default)]
    pub named_plan: PlanVersion,
    /// Number of the last change of the list of entries. This and the following numbers hold within
    /// the incarnation in `endpoints`.
    pub entries: u64,
    /// Version of the roll-outs.
    pub rollouts: u64,
    /// Number of the last update of cached prefixes.
    #[serde(rename = "warm")]
    pub cached_prefixes: u64,
    /// Number of the last heartbeat of an endpoint.
    #[serde(default)]
    pub heartbeats: u64,
    /// Number of the last change of the endpoints' loads, or 0 to get all.
    #[serde(default)]
    pub loads: u64,
    /// Number of the last findings on crashes.
    #[serde(default)]
    pub findings: u64,
    /// Number of the last change of a rate limit.
    #[serde(default)]
    pub rate_statements: u64,
    /// Number of the last change of the endpoints' speeds, or 0 to get all.
    #[serde(default)]
    pub speeds: u64,
    /// Version of the evacuations.
    #[serde(default)]
    pub evacuations: u64,
}

/// Results of one release of a service at one entry since that entry started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseTally {
    /// Service of the release.
    pub service: ServiceId,
    /// Deployed build.
    pub release: String,
    /// Numbers of good and bad results.
    pub results: ReleaseResults,
}

/// Request of [`Method::Sync`](super::Method::Sync), from an entry to each control replica.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SyncRequest {
    /// Entry that sends the request.
    pub info: EntryInfo,
    /// Versions of the state that the entry has.
    #[serde(rename = "seen")]
    pub versions: GatewayVersions,
    /// Time after which the replica replies even without updates.
    #[serde(rename = "wait")]
    pub poll_timeout: Millis,
    /// Whether the entry takes the replica for the leader; one that is not of the same opinion
    /// replies at once.
    pub expects_leader: bool,
    /// Whether the reply is to contain a newer plan, not only its version; for replicas that do not
    /// answer [`Method::PlanPiece`](super::Method::PlanPiece).
    pub wants_plan: bool,
    /// Whether the entry reads [`SyncReply::hints`] in place of `loads` and `cached_prefixes`.
    #[serde(default)]
    pub reads_compact: bool,
    /// Results of each release at this entry.
    pub tallies: Vec<ReleaseTally>,
    /// Outstanding work of this entry's requests, by endpoint; `None` to a replica that is not the
    /// leader.
    pub loads: Option<Vec<(EndpointId, EndpointWork)>>,
    /// Requests that endpoints were about to answer when they crashed.
    pub crashes: UpdateBatch<CrashReport>,
    /// Requests that endpoints have answered, as far as the replica has to know.
    #[serde(default)]
    pub answers: AnswerReport,
    /// Endpoints that stated to this entry that they are leaving.
    #[serde(default)]
    pub departures: UpdateBatch<Deregistration>,
    /// Changes of rate limits that endpoints stated to this entry.
    #[serde(default)]
    pub rate_statements: UpdateBatch<RateStatement>,
    /// Prompt prefixes that endpoints have cached through requests of this entry.
    #[serde(rename = "warm")]
    pub cached_prefixes: UpdateBatch<CachedPrefix>,
    /// Gaps between events of streams since the last request; none to a replica that is not the leader.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub gaps: Vec<GapSum>,
    /// Highest format level that the entry reads; level 0 from a build without the field.
    #[serde(default)]
    pub format: FormatLevel,
    /// Data centres of the endpoints that the entry has heard of since it started: an endpoint may send its
    /// heartbeats to another replica.
    #[serde(default)]
    pub data_centres: BTreeSet<DataCentre>,
}

/// Findings of a control replica on what makes endpoints crash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashFindings {
    /// Number of the findings, within the incarnation of the replica.
    pub number: u64,
    /// Causes of crashes: no entry may send a request with one.
    pub quarantined: Vec<CrashCause>,
    /// Possible causes, and the time since the first crash of each that counts; an entry reports later
    /// answers to requests with them.
    pub suspected: Vec<(CrashCause, Millis)>,
}

/// Deregistration of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Deregistration {
    /// Endpoint that is deregistered.
    pub id: EndpointId,
    /// Incarnation that is deregistered; `None` for the one that the receiver knows.
    pub incarnation: Option<Incarnation>,
}

/// Updates of endpoints since a cursor.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EndpointUpdates {
    /// Position of the last update included.
    #[serde(rename = "upto")]
    pub cursor: Cursor,
    /// Endpoints that registered or changed.
    pub changed: Vec<Endpoint>,
    /// Endpoints that were deregistered without a final announcement.
    #[serde(rename = "departed")]
    pub deregistered: Vec<Deregistration>,
    /// Number of the last heartbeat included in `renewed`.
    #[serde(default)]
    pub heartbeats: u64,
    /// Endpoints that sent a heartbeat since, changed or not.
    pub renewed: Vec<EndpointId>,
}

/// Reply to [`SyncRequest`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SyncReply {
    /// Whether `version` is proven to be the newest: the replica leads and its lease is valid.
    pub is_current: bool,
    /// Version of the plan that the replica has applied.
    pub version: PlanVersion,
    /// Plan, if the entry has an older one and wants it in the reply.
    pub plan: Option<Plan>,
    /// Whether the replica answers [`Method::PlanPiece`](super::Method::PlanPiece).
    #[serde(default)]
    pub serves_pieces: bool,
    /// Updates of endpoints since the entry's cursor.
    #[serde(rename = "news")]
    pub endpoints: EndpointUpdates,
    /// Data centre of the replica.
    #[serde(default)]
    pub data_centre: Option<DataCentre>,
    /// Changes of the list of entries.
    pub entries: EntryUpdates,
    /// Roll-outs, if they changed; their times are from the same clock as `wall`.
    pub rollouts: Option<RolloutTable>,
    /// Wall-clock time of the replica since the Unix epoch.
    pub wall: Millis,
    /// Addresses of the control replicas.
    pub controls: Vec<String>,
    /// Changes of the outstanding work at endpoints, of all entries' requests; only from the
    /// leader.
    pub loads: Option<WorkUpdates>,
    /// Findings on what makes endpoints crash, if they changed.
    pub findings: Option<CrashFindings>,
    /// Changes of rate limits that endpoints stated to other entries.
    #[serde(default)]
    pub rate_statements: UpdateBatch<RateStatement>,
    /// Prompt prefixes that endpoints have cached through requests of other entries; only from
    /// the leader.
    #[serde(rename = "warm")]
    pub cached_prefixes: Option<UpdateBatch<CachedPrefix>>,
    /// `loads` and `cached_prefixes` in compact form, to entries that read it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hints: Option<CompactHints>,
    /// Changes of the endpoints' speeds; only from the leader.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub speeds: Option<SpeedUpdates>,
    /// Evacuated data centres, if they changed.
    #[serde(default)]
    pub evacuations: Option<EvacuationTable>,
}

/// Request of [`Method::Spread`](super::Method::Spread): deregistrations, sent by one control
/// replica to the others before it acknowledges them.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SpreadRequest {
    /// Endpoints that announced that they are leaving.
    pub changed: Vec<Endpoint>,
    /// Endpoints that were deregistered without a final announcement.
    #[serde(rename = "departed")]
    pub deregistered: Vec<Deregistration>,
}

/// Reply to [`Method::Read`](super::Method::Read).
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReadReply {
    /// Source text of the published plan, if the call's boolean parameter was true.
    pub source: Option<String>,
    /// Roll-outs of services' releases.
    pub rollouts: RolloutTable,
    /// Evacuated data centres.
    #[serde(default)]
    pub evacuations: EvacuationTable,
    /// Format levels of the deployment.
    #[serde(default)]
    pub levels: LevelReport,
}

/// Format levels of a deployment, as its leader knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LevelReport {
    /// Level in force.
    pub in_force: FormatLevel,
    /// Levels of the processes.
    pub processes: Vec<ProcessLevel>,
}

/// Format level of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessLevel {
    /// VM of an entry, or id of a control replica.
    pub name: String,
    /// Highest level that the process reads; `None` if it has not answered.
    pub reads: Option<FormatLevel>,
}

/// Reply to [`Method::Format`](super::Method::Format).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormatReply {
    /// Replica that answers.
    pub replica: ReplicaId,
    /// Version of its build.
    pub build: String,
    /// Highest format level that it reads.
    pub reads: FormatLevel,
}
