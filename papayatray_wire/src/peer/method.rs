//! Methods and their parameters.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use papayatray_core::catalogue::Accepted;
use papayatray_core::catalogue::Catalogue;
use papayatray_core::choice::RatingTable;
use papayatray_core::clock::Millis;
use papayatray_core::directory::Endpoint;
use papayatray_core::id::Fingerprint;
use papayatray_core::id::Revision;
use papayatray_core::id::VersionId;
use papayatray_core::id::VmId;
use papayatray_core::lease::EntryInfo;
use papayatray_core::lease::EntryUpdate;
use papayatray_core::rollout::Tally;
use papayatray_state::machine::Command;
use papayatray_state::machine::Reply;
use papayatray_state::node::Refusal;
use serde::Deserialize;
use serde::Serialize;

/// Method of the system's own processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// Renews an entry's lease; answered by the leader.
    Renew,
    /// Commits commands; answered by the leader.
    Propose,
    /// Passes on news between entries.
    Push,
    /// Tells the state of a replica and, on the leader, of the deployment.
    Status,
    /// Lists bills; answered by the leader.
    Bills,
    /// Lists accepted changes; answered by the leader.
    History,
    /// Replaces a lost replica; answered by the leader.
    Replace,
    /// Lists the spans of a trace that a VM remembers.
    Trace,
    /// Asks a VM to stop in a planned way.
    Drain,
    /// Brings an entry of the gateway up to date; answered by every control replica.
    Sync,
    /// Passes an endpoint's departure on between control replicas.
    Spread,
    /// Reads the published plan and the roll-outs; answered by the leader.
    Read,
}

impl Method {
    /// Returns the method's name on the wire.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Renew => "renew",
            Self::Propose => "propose",
            Self::Push => "push",
            Self::Status => "status",
            Self::Bills => "bills",
            Self::History => "history",
            Self::Replace => "replace",
            Self::Trace => "trace",
            Self::Drain => "drain",
            Self::Sync => "sync",
            Self::Spread => "spread",
            Self::Read => "read",
        }
    }
}

/// Request of [`Method::Renew`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Renew {
    /// The entry.
    pub info: EntryInfo,
    /// What the entry has.
    pub seen: EntryVersions,
    /// Configuration by which all work that still leaves the entry was checked.
    pub settled: Revision,
    /// What each version did at this entry since it started.
    pub tallies: BTreeMap<VersionId, Tally>,
    /// Ratings that came to this entry since it started, where they changed.
    pub evidence: Option<RatingTable>,
    /// Requests that this entry has billed since it started.
    pub billed: u64,
}

/// Versions of the state that an entry has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryVersions {
    /// Configuration that the entry works by.
    pub revision: Revision,
    /// Version of the suspects.
    pub suspects: u64,
    /// Version of the list of entries.
    pub entries: u64,
    /// Version of the evidence.
    pub evidence: u64,
}

/// Answer to [`Method::Renew`]: the lease is renewed, and here is what is new.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RenewReply {
    /// Versions of what the leader has.
    pub seen: EntryVersions,
    /// Changes since the entry's revision.
    pub changes: Vec<Accepted>,
    /// The whole configuration, where the changes do not reach back.
    pub catalogue: Option<Catalogue>,
    /// Requests under suspicion, where they changed.
    pub suspects: Option<BTreeSet<Fingerprint>>,
    /// Entries that came, changed or went, where any did.
    pub entries: Option<EntryUpdate>,
    /// Ratings of all entries, where they changed.
    pub evidence: Option<RatingTable>,
    /// Revision that is in force everywhere, where that is known.
    pub in_force: Option<Revision>,
    /// Addresses of the control replicas.
    pub controls: BTreeMap<VmId, String>,
}

/// Request of [`Method::Propose`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Propose {
    /// Command to commit, as it is stored.
    #[serde(with = "hex")]
    pub command: Command,
}

/// Answer to a method that only the leader answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum LeaderReply<T> {
    /// The leader's answer.
    Answer(T),
    /// This replica does not lead; the leader may be that VM. Nothing was done.
    NotLeader(Option<VmId>),
}

/// Answer to [`Method::Propose`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ProposeReply {
    /// The command was committed.
    Committed(EncodedReply),
    /// The command may or may not be accepted.
    Unknown,
    /// The leader's disk failed; the command was not accepted.
    DiskFailed,
}

/// Reply of the machine, in the form it is stored in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EncodedReply(#[serde(with = "hex")] pub Reply);

impl From<Result<Reply, Refusal>> for LeaderReply<ProposeReply> {
    fn from(result: Result<Reply, Refusal>) -> Self {
        match result {
            Ok(reply) => Self::Answer(ProposeReply::Committed(EncodedReply(reply))),
            Err(Refusal::NotLeader) => Self::NotLeader(None),
            Err(Refusal::Unknown) => Self::Answer(ProposeReply::Unknown),
            Err(Refusal::DiskFailed) => Self::Answer(ProposeReply::DiskFailed),
        }
    }
}

/// Request of [`Method::Push`]: news between entries.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Push {
    /// Announcements, renewals and departures of endpoints.
    pub endpoints: Vec<Endpoint>,
    /// Requests that have come under suspicion.
    pub suspects: BTreeSet<Fingerprint>,
}

/// Request of [`Method::Replace`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Replace {
    /// VM whose replica is lost.
    pub lost: VmId,
    /// VM whose blank replica takes its place; may be the same.
    pub newcomer: VmId,
}

/// Answer to [`Method::Replace`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplaceReply {
    /// The newcomer is being taken in.
    Begun,
    /// Nothing was done, for this reason.
    Refused(String),
}

/// Request of [`Method::Trace`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TraceRequest {
    /// Trace in hexadecimal.
    pub trace: String,
}

/// Span of a trace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// Trace in hexadecimal.
    pub trace: String,
    /// Span in hexadecimal.
    pub span: String,
    /// Span that this one is part of, in hexadecimal.
    pub parent: String,
    /// VM that the span was recorded on.
    pub vm: VmId,
    /// What was done.
    pub name: String,
    /// Begin in microseconds since the Unix epoch.
    pub begin: u64,
    /// Length in microseconds.
    pub length: u64,
    /// Attributes.
    pub attributes: BTreeMap<String, String>,
}

/// Time that a leader may hold a renewal while nothing is new.
pub const RENEW_POLL_TIMEOUT: Millis = Millis::new(700);

/// Stored form of commands and replies as hexadecimal text.
mod hex {
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serialize;
    use serde::Serializer;
    use serde::de::DeserializeOwned;
    use serde::de::Error as _;
    use serde::ser::Error as _;

    pub(super) fn serialize<T, S>(value: &T, serializer: S) -> Result<S::Ok, S::Error>
    where
        T: Serialize,
        S: Serializer,
    {
        let bytes = postcard::to_stdvec(value).map_err(S::Error::custom)?;
        let mut text = String::with_capacity(bytes.len() * 2);
        for byte in bytes {
            text.push(char::from_digit(u32::from(byte >> 4), 16).unwrap_or('0'));
            text.push(char::from_digit(u32::from(byte & 15), 16).unwrap_or('0'));
        }
        serializer.serialize_str(&text)
    }

    pub(super) fn deserialize<'de, T, D>(deserializer: D) -> Result<T, D::Error>
    where
        T: DeserializeOwned,
        D: Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        let pairs = text.as_bytes().chunks(2);
        let bytes: Option<Vec<u8>> = pairs.map(byte).collect();
        let bytes = bytes.ok_or_else(|| D::Error::custom("not hexadecimal"))?;
        postcard::from_bytes(&bytes).map_err(D::Error::custom)
    }

    fn byte(pair: &[u8]) -> Option<u8> {
        let text = std::str::from_utf8(pair)
            .ok()
            .filter(|text| text.len() == 2)?;
        u8::from_str_radix(text, 16).ok()
    }
}
