//! Messages of the gateway between entries and control.

use papayatray_core::clock::Millis;
use papayatray_core::directory::Endpoint;
use papayatray_core::gateway::crashes::Suspect;
use papayatray_core::gateway::notes::UpdateBatch;
use papayatray_core::gateway::plan::Plan;
use papayatray_core::gateway::rollout::RolloutTable;
use papayatray_core::gateway::warmth::CachedPrefix;
use papayatray_core::id::EndpointId;
use papayatray_core::id::Incarnation;
use papayatray_core::id::PlanVersion;
use papayatray_core::id::ServiceId;
use papayatray_core::lease::EntryInfo;
use papayatray_core::rollout::Tally;
use serde::Deserialize;
use serde::Serialize;

/// Time for which a control replica holds the answer to a sync while nothing is new.
pub const SYNC_POLL_TIMEOUT: Millis = Millis::new(200);

/// Place in the news of one process of a control replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// Start of the process.
    pub incarnation: Incarnation,
    /// Number of the last news taken in.
    pub number: u64,
}

/// What an entry has from one control replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayVersions {
    /// Plan that the entry works by.
    pub plan: PlanVersion,
    /// News of endpoints taken in.
    pub news: Cursor,
    /// Version of the list of entries.
    pub entries: u64,
    /// Version of the roll-outs.
    pub rollouts: u64,
    /// Number of the last note on warm prefixes, of the process that `news` names.
    pub warm: u64,
}

/// What a release of a service did at one entry since that entry started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseTally {
    /// The service.
    pub service: ServiceId,
    /// The release.
    pub release: String,
    /// Good and bad answers.
    pub tally: Tally,
}

/// Work that requests still have to do at an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// The endpoint.
    pub id: EndpointId,
    /// Requests that run or wait.
    pub running: u32,
    /// Milliseconds of reading prompts.
    pub reading: u32,
}

/// Request of [`Method::Sync`](super::Method::Sync), from an entry to each control replica.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The entry.
    pub info: EntryInfo,
    /// What the entry has.
    pub seen: GatewayVersions,
    /// What releases did.
    pub tallies: Vec<ReleaseTally>,
    /// Work of this entry's requests by endpoint.
    pub loads: Vec<EndpointLoad>,
    /// Requests whose endpoints crashed while they ran them, as this entry has seen it.
    pub suspects: Vec<Suspect>,
    /// Prefixes of prompts that this entry's requests made endpoints read, by number.
    pub warm: UpdateBatch<CachedPrefix>,
}

/// Departure of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Deregistration {
    /// The endpoint.
    pub id: EndpointId,
    /// Its start, where it was told; otherwise the start that is known.
    pub incarnation: Option<Incarnation>,
}

/// News of endpoints.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EndpointUpdates {
    /// Place in the news up to which this goes.
    pub upto: Cursor,
    /// Endpoints that came or changed.
    pub changed: Vec<Endpoint>,
    /// Endpoints that left without an announcement of their own.
    pub departed: Vec<Deregistration>,
    /// Endpoints that have been heard of lately.
    pub renewed: Vec<EndpointId>,
}

/// Answer to [`SyncRequest`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SyncReply {
    /// Whether the plan is the newest, by a leader that a quorum stood behind after the question.
    pub is_current: bool,
    /// Version of the plan that the replica has.
    pub version: PlanVersion,
    /// The plan, where the entry has an older one.
    pub plan: Option<Plan>,
    /// News of endpoints.
    pub news: EndpointUpdates,
    /// Version of the list of entries.
    pub entries_version: u64,
    /// Entries, where they changed.
    pub entries: Option<Vec<EntryInfo>>,
    /// Roll-outs, where they changed, with the replica's time of day.
    pub rollouts: Option<RolloutTable>,
    /// Time of day at the replica.
    pub wall: Millis,
    /// Addresses of the control replicas.
    pub controls: Vec<String>,
    /// Work by endpoint of all other entries' requests; only from the leader.
    pub loads: Option<Vec<EndpointLoad>>,
    /// Suspects of all entries that ask this replica.
    pub suspects: Vec<Suspect>,
    /// Prefixes of prompts that other entries' requests made endpoints read; only from the
    /// leader.
    pub warm: Option<UpdateBatch<CachedPrefix>>,
}

/// Request of [`Method::Spread`](super::Method::Spread): a departure, from one control replica to
/// the others, before it is acknowledged.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Spread {
    /// Endpoints that changed.
    pub changed: Vec<Endpoint>,
    /// Endpoints that left without an announcement of their own.
    pub departed: Vec<Deregistration>,
}

/// Answer to [`Method::Read`](super::Method::Read).
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReadReply {
    /// Text of the newest publication, if it was asked for.
    pub source: Option<String>,
    /// Roll-outs.
    pub rollouts: RolloutTable,
}
