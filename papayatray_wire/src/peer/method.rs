//! Methods of the peer protocol, their requests and replies.

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
use papayatray_core::regression::Tally;
use papayatray_core::shared_parts::TrialCrash;
use papayatray_state::machine::Command;
use papayatray_state::machine::Reply;
use papayatray_state::node::ProposeError;
use serde::Deserialize;
use serde::Serialize;

/// Method that processes of a deployment call on each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// Renews an entry's lease; answered by the leader.
    Renew,
    /// Commits a command; answered by the leader.
    Propose,
    /// Sends updates of endpoints and suspects from one entry to another.
    Push,
    /// Reports the state of a replica and, on the leader, of the deployment.
    Status,
    /// Lists bills; answered by the leader.
    Bills,
    /// Lists accepted changes; answered by the leader.
    History,
    /// Replaces a lost replica; answered by the leader.
    Replace,
    /// Lists the spans of one trace that a VM still retains.
    Trace,
    /// Starts the graceful shutdown of a VM.
    Drain,
    /// Exchanges state between an entry of the gateway and a control replica; any replica answers.
    Sync,
    /// Sends the deregistration of an endpoint from one control replica to the others.
    Spread,
    /// Reads the roll-outs and, if its boolean parameter is true, the source text of the published
    /// plan; answered by the leader.
    Read,
    /// States which format levels a replica reads; any replica answers.
    Format,
    /// Returns the changes of the plan that follow what an entry has received; any replica answers.
    PlanPiece,
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
            Self::Format => "format",
            Self::PlanPiece => "plan_piece",
        }
    }
}

/// Request of [`Method::Renew`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RenewRequest {
    /// Entry that renews its lease.
    pub info: EntryInfo,
    /// Versions of the state that the entry has.
    #[serde(rename = "seen")]
    pub versions: EntryVersions,
    /// Highest revision that the entry acknowledges: no request that it checked against an older
    /// one can still reach an endpoint.
    #[serde(rename = "settled")]
    pub acknowledged: Revision,
    /// Results of each version at this entry since the entry started.
    pub tallies: BTreeMap<VersionId, Tally>,
    /// Quality ratings that this entry has received since it started, if they changed.
    pub evidence: Option<RatingTable>,
    /// Number of requests that this entry has billed since it started.
    pub billed: u64,
}

/// Versions of the parts of the state that entries receive from the leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryVersions {
    /// Revision of the configuration; 0 if the entry has none.
    pub revision: Revision,
    /// Version of the set of suspects.
    pub suspects: u64,
    /// Version of the list of entries.
    pub entries: u64,
    /// Version of the collected ratings.
    pub evidence: u64,
}

/// Reply to [`Method::Renew`]: renews the lease and brings the entry up to date.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RenewReply {
    /// Versions of the state that the leader has.
    #[serde(rename = "seen")]
    pub versions: EntryVersions,
    /// Changes since the entry's revision.
    pub changes: Vec<Accepted>,
    /// Whole configuration, if the retained changes do not go back to the entry's revision.
    pub catalogue: Option<Catalogue>,
    /// All suspects, if they changed.
    pub suspects: Option<BTreeSet<Fingerprint>>,
    /// Entries that were added, changed or removed, if any.
    pub entries: Option<EntryUpdate>,
    /// Ratings collected from all entries, if they changed.
    pub evidence: Option<RatingTable>,
    /// Highest revision that every entry has acknowledged, if the leader knows it.
    pub in_force: Option<Revision>,
    /// Addresses of the control replicas, by VM.
    pub controls: BTreeMap<VmId, String>,
}

/// Request of [`Method::Propose`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ProposeRequest {
    /// Command to commit, encoded as in the log.
    #[serde(with = "hex")]
    pub command: Command,
}

/// Reply to a method that only the leader answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum LeaderReply<T> {
    /// The leader's reply.
    #[serde(rename = "Answer")]
    Reply(T),
    /// The replica is not the leader and did nothing; the leader may be on the given VM.
    NotLeader(Option<VmId>),
}

/// Reply to [`Method::Propose`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ProposeReply {
    /// The command was committed, with this result.
    Committed(EncodedReply),
    /// Leadership was lost or the disk failed before the commit; the command may still take effect.
    Unknown,
    /// The leader's disk failed before the command was proposed; the command has no effect.
    DiskFailed,
}

/// Result of a command, serialised as hexadecimal text of its binary form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EncodedReply(#[serde(with = "hex")] pub Reply);

impl From<Result<Reply, ProposeError>> for LeaderReply<ProposeReply> {
    fn from(result: Result<Reply, ProposeError>) -> Self {
        match result {
            Ok(reply) => Self::Reply(ProposeReply::Committed(EncodedReply(reply))),
            Err(ProposeError::NotLeader) => Self::NotLeader(None),
            Err(ProposeError::Unknown) => Self::Reply(ProposeReply::Unknown),
            Err(ProposeError::DiskFailed) => Self::Reply(ProposeReply::DiskFailed),
        }
    }
}

/// Request of [`Method::Push`]: updates from one entry to another.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PushRequest {
    /// Endpoints that were announced, renewed or deregistered.
    pub endpoints: Vec<Endpoint>,
    /// Requests that have become suspects.
    pub suspects: BTreeSet<Fingerprint>,
    /// Crashes in isolation trials.
    #[serde(default)]
    pub trial_crashes: Vec<TrialCrash>,
    /// Prompt parts that requests with them, since answered, clear of crashes before.
    #[serde(default)]
    pub cleared_parts: BTreeSet<u64>,
}

/// Request of [`Method::Replace`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReplaceRequest {
    /// VM whose replica is lost.
    pub lost: VmId,
    /// VM of the blank replica that replaces it; may be the same VM.
    #[serde(rename = "newcomer")]
    pub joining: VmId,
}

/// Reply to [`Method::Replace`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplaceReply {
    /// The replacement has started.
    #[serde(rename = "Begun")]
    Started,
    /// Nothing was done, for the given reason.
    Refused(String),
}

/// Request of [`Method::Trace`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TraceRequest {
    /// Trace id in hexadecimal.
    pub trace: String,
}

/// Span of a trace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// Trace id in hexadecimal.
    pub trace: String,
    /// Span id in hexadecimal.
    pub span: String,
    /// Id of the parent span in hexadecimal.
    pub parent: String,
    /// VM that recorded the span.
    pub vm: VmId,
    /// Name of the operation.
    pub name: String,
    /// Start time in microseconds since the Unix epoch.
    pub begin: u64,
    /// Duration in microseconds.
    pub length: u64,
    /// Attributes of the span.
    pub attributes: BTreeMap<String, String>,
}

/// Long-poll time-out of a renewal: the leader replies after this time even without updates.
pub const RENEW_POLL_TIMEOUT: Millis = Millis::new(700);

/// Serialisation of commands and their results as hexadecimal text of their binary form.
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
        let bytes: Option<Vec<u8>> = pairs.map(parse_byte).collect();
        let bytes =
            bytes.ok_or_else(|| D::Error::custom("expected pairs of hexadecimal digits"))?;
        postcard::from_bytes(&bytes).map_err(D::Error::custom)
    }

    fn parse_byte(pair: &[u8]) -> Option<u8> {
        let text = std::str::from_utf8(pair)
            .ok()
            .filter(|text| text.len() == 2)?;
        u8::from_str_radix(text, 16).ok()
    }
}
