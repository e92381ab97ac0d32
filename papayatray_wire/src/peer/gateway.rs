//! Messages between entries and control replicas of the gateway.

use papayatray_core::clock::Millis;
use papayatray_core::directory::Endpoint;
use papayatray_core::gateway::crashes::Suspect;
use papayatray_core::gateway::plan::Plan;
use papayatray_core::gateway::prefix_directory::CachedPrefix;
use papayatray_core::gateway::rollout::RolloutTable;
use papayatray_core::gateway::updates::UpdateBatch;
use papayatray_core::id::EndpointId;
use papayatray_core::id::Incarnation;
use papayatray_core::id::PlanVersion;
use papayatray_core::id::ServiceId;
use papayatray_core::lease::EntryInfo;
use papayatray_core::regression::Tally;
use serde::Deserialize;
use serde::Serialize;

/// Long-poll time-out of a sync: a control replica replies after this time even without updates.
pub const SYNC_POLL_TIMEOUT: Millis = Millis::new(200);

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
    /// Version of the list of entries.
    pub entries: u64,
    /// Version of the roll-outs.
    pub rollouts: u64,
    /// Number of the last update of cached prefixes, within the incarnation in `endpoints`.
    #[serde(rename = "warm")]
    pub cached_prefixes: u64,
}

/// Results of one release of a service at one entry since that entry started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseTally {
    /// Service of the release.
    pub service: ServiceId,
    /// Deployed build.
    pub release: String,
    /// Numbers of good and bad responses.
    pub tally: Tally,
}

/// Outstanding work of requests at an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Endpoint that does the work.
    pub id: EndpointId,
    /// Number of requests that run or wait there.
    pub running: u32,
    /// Estimated time in milliseconds that the outstanding prefill of their prompts takes.
    #[serde(rename = "reading")]
    pub prefill_ms: u32,
}

/// Request of [`Method::Sync`](super::Method::Sync), from an entry to each control replica.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SyncRequest {
    /// Entry that sends the request.
    pub info: EntryInfo,
    /// Versions of the state that the entry has.
    #[serde(rename = "seen")]
    pub versions: GatewayVersions,
    /// Results of each release at this entry.
    pub tallies: Vec<ReleaseTally>,
    /// Outstanding work of this entry's requests, by endpoint.
    pub loads: Vec<EndpointLoad>,
    /// Requests during which this entry has seen endpoints crash.
    pub suspects: Vec<Suspect>,
    /// Endpoints that stated to this entry that they are leaving.
    #[serde(default)]
    pub departures: UpdateBatch<Deregistration>,
    /// Prompt prefixes that endpoints have cached through requests of this entry.
    #[serde(rename = "warm")]
    pub cached_prefixes: UpdateBatch<CachedPrefix>,
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
    /// Endpoints that have announced themselves recently, changed or not.
    pub renewed: Vec<EndpointId>,
}

/// Reply to [`SyncRequest`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SyncReply {
    /// Whether `version` is proven to be the newest: the replica leads and its lease is valid.
    pub is_current: bool,
    /// Version of the plan that the replica has applied.
    pub version: PlanVersion,
    /// Plan, if the entry has an older one.
    pub plan: Option<Plan>,
    /// Updates of endpoints since the entry's cursor.
    #[serde(rename = "news")]
    pub endpoints: EndpointUpdates,
    /// Version of the list of entries.
    pub entries_version: u64,
    /// Entries, if they changed.
    pub entries: Option<Vec<EntryInfo>>,
    /// Roll-outs, if they changed; their times are from the same clock as `wall`.
    pub rollouts: Option<RolloutTable>,
    /// Wall-clock time of the replica since the Unix epoch.
    pub wall: Millis,
    /// Addresses of the control replicas.
    pub controls: Vec<String>,
    /// Outstanding work of all other entries' requests, by endpoint; only from the leader.
    pub loads: Option<Vec<EndpointLoad>>,
    /// Suspects known from all entries that sync with this replica.
    pub suspects: Vec<Suspect>,
    /// Prompt prefixes that endpoints have cached through requests of other entries; only from
    /// the leader.
    #[serde(rename = "warm")]
    pub cached_prefixes: Option<UpdateBatch<CachedPrefix>>,
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
}
