//! Log entries, hard state, snapshots, and the messages between replicas.

use std::collections::BTreeMap;

use papayatray_core::clock::Millis;
use papayatray_core::id::Term;
use serde::Deserialize;
use serde::Serialize;

use super::Members;
use super::ReplicaId;

/// Index of an entry in the log; the first is 1.
pub type Index = u64;

/// Term and index of a log entry, ordered by term first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Term of the leader that created the entry.
    pub term: Term,
    /// Index of the entry.
    pub index: Index,
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing; each leader appends one at the start of its term, because it can commit entries of
    /// earlier terms only together with one of its own.
    Noop,
    /// Encoded command for the state machine.
    Command(Vec<u8>),
    /// New member list, which applies as soon as the entry is in the log, committed or not.
    Members(Members),
}

/// Log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term and index of the entry.
    pub position: Position,
    /// Content of the entry.
    pub payload: Payload,
}

/// State that a replica must persist in addition to the log and the snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: Term,
    /// Candidate that received the replica's vote in this term.
    pub vote: Option<ReplicaId>,
}

/// State of the deployment at one log position, which replaces all entries up to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position of the last entry that the state includes.
    pub position: Position,
    /// Members as of that position.
    pub members: Members,
    /// Encoded state machine; empty for a new deployment.
    pub state: Vec<u8>,
}

/// Mark that a leader puts on its messages, by which it recognises their answers.
///
/// Only the leadership that has sent the message can tell from it when that was: a time alone would mean
/// something else to another process, whose clock starts anew, and to a later term of the same process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SendMark(u64);

impl SendMark {
    /// Mark of an answer that acknowledges no message.
    pub const NONE: Self = Self(0);
}

/// Marks of one leadership: they count the milliseconds since its start from a number that it has drawn.
#[derive(Clone, Copy, Debug)]
pub(super) struct SendMarks {
    base: u64,
    start: Millis,
}

impl SendMarks {
    /// Creates the marks of a leadership that starts at `start` and has drawn the number `drawn`.
    pub(super) const fn new(drawn: u64, start: Millis) -> Self {
        // Half of the range is left for the count, and 0 for `SendMark::NONE`.
        let base = (drawn >> 1) | 1;
        Self { base, start }
    }

    /// Returns the mark of a message that is sent at `now`.
    pub(super) const fn mark(self, now: Millis) -> SendMark {
        SendMark(self.base + now.since(self.start).as_u64())
    }

    /// Returns when this leadership sent the message with the mark, or `None` if it did not.
    pub(super) fn sent_at(self, mark: SendMark, now: Millis) -> Option<Millis> {
        let elapsed = Millis::new(mark.0.checked_sub(self.base)?);
        let sent_at = self.start + elapsed;
        (sent_at <= now).then_some(sent_at)
    }
}

/// Message between replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether the receiver would vote for the sender, without raising anyone's term.
    PreVoteRequest {
        /// Term of the election that the sender would start.
        term: Term,
        /// Position of the sender's last entry.
        last: Position,
    },
    /// Answers [`Message::PreVoteRequest`].
    PreVoteReply {
        /// Term of the request if the vote would be given, else the term of the replying replica.
        term: Term,
        /// Whether the vote would be given.
        granted: bool,
    },
    /// Asks for a vote.
    VoteRequest {
        /// Term of the election.
        term: Term,
        /// Position of the sender's last entry.
        last: Position,
        /// Whether the leader transfers its leadership to the sender and so has given up its lease.
        is_transfer: bool,
    },
    /// Answers [`Message::VoteRequest`].
    VoteReply {
        /// Term of the replying replica.
        term: Term,
        /// Whether the vote was given.
        granted: bool,
    },
    /// Replicates entries; without entries it is a heartbeat.
    AppendRequest {
        /// Term of the leader.
        term: Term,
        /// Position of the entry that precedes `entries`.
        previous: Position,
        /// Entries to append.
        entries: Vec<Entry>,
        /// Index of the last committed entry.
        commit: Index,
        /// Mark of this message.
        mark: SendMark,
        /// Highest index that each replica has acknowledged in this term; heartbeats only.
        acknowledged_by: BTreeMap<ReplicaId, Index>,
    },
    /// Answers [`Message::AppendRequest`] and [`Message::InstallSnapshot`].
    AppendReply {
        /// Term of the replying replica.
        term: Term,
        /// Index up to which the logs agree; `None` if they differ at the preceding entry.
        matched: Option<Index>,
        /// Last index of the replying replica; after a mismatch the leader goes back to the entry
        /// after it, or further.
        last: Index,
        /// Mark of the message that the receiver has accepted; [`SendMark::NONE`] if the receiver has
        /// rejected it, because it belongs to an older term.
        mark: SendMark,
    },
    /// Replaces the receiver's log and state by a snapshot.
    InstallSnapshot {
        /// Term of the leader.
        term: Term,
        /// The snapshot.
        snapshot: Snapshot,
        /// Mark of this message.
        mark: SendMark,
    },
    /// Transfers leadership: the receiver starts an election without waiting for its timeout.
    TimeoutNow {
        /// Term of the leader that steps down.
        term: Term,
    },
    /// Asks a member for the highest log position that, to its knowledge, the sender acknowledged.
    ///
    /// A restarted replica sends it before it takes part again, to find out whether its data folder
    /// was rolled back to an older copy. A learner that hears from no leader sends it too: if it
    /// was removed, a leader with automatic repair sends [`Message::Removed`].
    RollbackCheckRequest {
        /// Term that the sender has on disk.
        term: Term,
        /// Last index that the sender has on disk.
        last: Index,
        /// Number of the sender's start, while a promise from before it may bind the sender.
        start: Option<u64>,
    },
    /// Answers [`Message::RollbackCheckRequest`].
    RollbackCheckReply {
        /// Highest term and index that the asking replica has acknowledged, as far as the answering
        /// one knows.
        acknowledged: Option<(Term, Index)>,
        /// The `start` of the request, if the answering replica did not lead.
        confirmed_start: Option<u64>,
    },
    /// Announces a replica with an empty data folder.
    AnnounceBlank {
        /// Address of the sender.
        address: String,
        /// Replica whose data folder the sender's VM discarded as corrupt or outdated.
        predecessor: Option<ReplicaId>,
    },
    /// Sends the founding members to a blank replica that is one of them.
    Bootstrap {
        /// The founding members.
        members: Members,
    },
    /// Informs a replica that it is no longer a member.
    Removed {
        /// Term of the leader.
        term: Term,
    },
}

/// Message with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Sender.
    pub from: ReplicaId,
    /// Address of the sender, for a receiver that has no member list yet.
    pub address: String,
    /// Receiver.
    pub to: ReplicaId,
    /// The message.
    pub message: Message,
}
