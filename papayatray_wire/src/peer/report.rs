//! Reports for operators.

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

/// State of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaReport {
    /// VM and folder.
    pub id: String,
    /// Whether the replica counts.
    pub voter: bool,
    /// Address for the system's own processes.
    pub address: String,
}

/// State of an entry, as the leader sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryReport {
    /// The entry.
    pub info: EntryInfo,
    /// Revision that the entry works by.
    pub revision: Revision,
    /// Requests that the entry says it has billed since it started.
    pub billed: u64,
    /// Bills in the ledger that name the entry.
    pub recorded: u64,
}

/// State of a deployment, as one control replica sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// VM that answers.
    pub vm: VmId,
    /// Part that the replica plays.
    pub role: String,
    /// How far the replica has come with starting.
    pub boot: String,
    /// Term of the replica.
    pub term: u64,
    /// Leader that the replica knows of.
    pub leader: Option<VmId>,
    /// Last committed entry of the log.
    pub commit: u64,
    /// Whether the replica's disk has failed.
    pub failed: bool,
    /// Configuration that stands.
    pub revision: Revision,
    /// Configuration that is in force everywhere, where that is known.
    pub in_force: Option<Revision>,
    /// Replicas of the log.
    pub replicas: Vec<ReplicaReport>,
    /// Blank replicas that wait to be taken in.
    pub blanks: Vec<String>,
    /// Entries with a lease; known to the leader only.
    pub entries: Vec<EntryReport>,
}

/// Request of the bills.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct BillsRequest {
    /// Organisation to list; all where absent.
    pub organisation: Option<OrganisationId>,
    /// Whether single bills are wanted beside the sums.
    pub lines: bool,
}

/// Bills.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bills {
    /// Sums by account.
    pub totals: Vec<(Account, Total)>,
    /// Single bills that are kept.
    pub lines: Vec<Bill>,
}

/// Request of the history.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct HistoryRequest {
    /// Revision after which changes are listed.
    pub after: Revision,
}

/// Accepted changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// Changes, oldest first.
    pub changes: Vec<Accepted>,
}
