//! Reports for operators: status, bills and the history of changes.

use papayatray_core::catalogue::Accepted;
use papayatray_core::id::OrganisationId;
use papayatray_core::id::Revision;
use papayatray_core::id::VmId;
use papayatray_core::lease::EntryInfo;
use papayatray_core::ledger::Account;
use papayatray_core::ledger::Bill;
use papayatray_core::ledger::Total;
use serde::Deserialize;
use serde::Serialize;

/// Member of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaReport {
    /// Id of the replica: its VM and, after `#`, its folder number in hexadecimal.
    pub id: String,
    /// Whether the replica counts in quorums; if not, it is a learner.
    #[serde(rename = "voter")]
    pub is_voter: bool,
    /// Address at which the deployment's other processes connect to the replica's VM.
    pub address: String,
}

/// State of an entry, as known to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryReport {
    /// The entry, which has a lease.
    pub info: EntryInfo,
    /// Revision of the configuration that the entry uses.
    pub revision: Revision,
    /// Number of requests that the entry reports to have billed since it started.
    pub billed: u64,
    /// Number of bills in the ledger that name the entry.
    pub recorded: u64,
}

/// State of a deployment, as known to one control replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReply {
    /// VM of the replying replica.
    pub vm: VmId,
    /// Role of the replica in lower case: follower, precandidate, candidate or leader.
    pub role: String,
    /// Start-up stage of the replica: blank, confirming, open or stale.
    pub boot: String,
    /// Term of the replica.
    pub term: u64,
    /// VM of the leader, if the replica knows it.
    pub leader: Option<VmId>,
    /// Index of the last committed log entry.
    pub commit: u64,
    /// Whether the replica's disk has failed, or it cannot decode the log and has halted.
    pub failed: bool,
    /// Revision of the committed configuration.
    pub revision: Revision,
    /// Highest revision that every entry has acknowledged, so that no request checked against an
    /// older one can still reach an endpoint; `None` if the replica does not know it.
    pub in_force: Option<Revision>,
    /// Members of the replicated log.
    pub replicas: Vec<ReplicaReport>,
    /// Ids of the blank replicas that have announced themselves to this replica.
    pub blanks: Vec<String>,
    /// Entries with a lease; known to the leader only.
    pub entries: Vec<EntryReport>,
}

/// Request of [`Method::Bills`](super::Method::Bills).
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct BillsRequest {
    /// Organisation to list; `None` for all.
    pub organisation: Option<OrganisationId>,
    /// Whether to list each bill in addition to the totals.
    pub lines: bool,
}

/// Reply to [`Method::Bills`](super::Method::Bills).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillsReply {
    /// Totals by account.
    pub totals: Vec<(Account, Total)>,
    /// Bills that the ledger still retains, if requested.
    pub lines: Vec<Bill>,
}

/// Request of [`Method::History`](super::Method::History).
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct HistoryRequest {
    /// Only changes with a higher revision are listed.
    pub after: Revision,
}

/// Reply to [`Method::History`](super::Method::History).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryReply {
    /// Accepted changes, oldest first.
    pub changes: Vec<Accepted>,
}
