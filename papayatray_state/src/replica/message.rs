//! What replicas store and tell each other.

use std::collections::BTreeMap;

use papayatray_core::clock::Millis;
use papayatray_core::id::Term;
use serde::Deserialize;
use serde::Serialize;

use super::Members;
use super::ReplicaId;

/// Number of an entry in the log; the first is 1.
pub type Index = u64;

/// Place of an entry in the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Term in which the entry was made.
    pub term: Term,
    /// Number of the entry.
    pub index: Index,
}

/// Content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing; a leader's first entry.
    Blank,
    /// Command for the machine.
    Command(Vec<u8>),
    /// New members, in force from the moment the entry is in the log.
    Members(Members),
}

/// Entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Place of the entry.
    pub position: Position,
    /// Content of the entry.
    pub payload: Payload,
}

/// What a replica must remember beside the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: Term,
    /// Candidate that got the replica's vote in this term.
    pub vote: Option<ReplicaId>,
}

/// State at one place of the log, in place of all entries up to there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Place of the last entry that the state includes.
    pub position: Position,
    /// Members at that place.
    pub members: Members,
    /// State of the machine.
    pub state: Vec<u8>,
}

/// Message between replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether an election could be won, without disturbing anyone.
    PreVote {
        /// Term that the sender would stand in.
        term: Term,
        /// Last entry of the sender.
        last: Position,
    },
    /// Answers [`Message::PreVote`].
    PreVoteReply {
        /// Term that was asked about, or the answerer's own where that is higher.
        term: Term,
        /// Whether the vote would be given.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// Term that the sender stands in.
        term: Term,
        /// Last entry of the sender.
        last: Position,
        /// Whether the leader itself asked the sender to stand.
        is_transfer: bool,
    },
    /// Answers [`Message::Vote`].
    VoteReply {
        /// Term of the answerer.
        term: Term,
        /// Whether the vote was given.
        granted: bool,
    },
    /// Carries entries, or nothing as a heartbeat.
    Append {
        /// Term of the leader.
        term: Term,
        /// Entry before the first one carried.
        previous: Position,
        /// Entries to add.
        entries: Vec<Entry>,
        /// Number of the last committed entry.
        commit: Index,
        /// Moment of sending by the leader's clock.
        sent: Millis,
        /// Highest entry that each replica is known to have stored in this term.
        acknowledged_by: BTreeMap<ReplicaId, Index>,
    },
    /// Answers [`Message::Append`] and [`Message::Install`].
    AppendReply {
        /// Term of the answerer.
        term: Term,
        /// Number up to which the logs agree, or nothing where they do not.
        matched: Option<Index>,
        /// Last entry of the answerer, where to look for agreement.
        last: Index,
        /// The leader's own moment of sending, given back.
        sent: Millis,
    },
    /// Carries a snapshot.
    Install {
        /// Term of the leader.
        term: Term,
        /// The snapshot.
        snapshot: Snapshot,
        /// Moment of sending by the leader's clock.
        sent: Millis,
    },
    /// Asks the receiver to stand for election at once.
    TimeoutNow {
        /// Term of the leader that steps down.
        term: Term,
    },
    /// Asks a member what it knows of the sender, before the sender takes part again.
    RollbackCheck {
        /// Term that the sender has on disk.
        term: Term,
        /// Last entry that the sender has on disk.
        last: Index,
    },
    /// Answers [`Message::RollbackCheck`].
    RollbackCheckReply {
        /// Term and entry that the sender of the hello is known to have stored.
        known: Option<(Term, Index)>,
    },
    /// Tells of a replica with an empty folder.
    Blank {
        /// Address of the sender.
        address: String,
        /// Replica that the sender was before its folder was found corrupt.
        predecessor: Option<ReplicaId>,
    },
    /// Tells blank replicas who the founding members are.
    Bootstrap {
        /// The founding members.
        members: Members,
    },
    /// Tells a replica that it is no member any more.
    Removed {
        /// Term of the leader that tells.
        term: Term,
    },
}

/// Message with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Who sent the message.
    pub from: ReplicaId,
    /// Who is to get it.
    pub to: ReplicaId,
    /// The message.
    pub message: Message,
}
