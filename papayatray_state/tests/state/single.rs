//! One replica whose peers the test simulates, for rules of Raft that generated histories rarely
//! exercise.

use std::collections::BTreeMap;

use papayatray_core::clock::Millis;
use papayatray_core::id::Incarnation;
use papayatray_core::id::Term;
use papayatray_core::id::VmId;
use papayatray_state::replica::Entry;
use papayatray_state::replica::Envelope;
use papayatray_state::replica::HardState;
use papayatray_state::replica::LEADER_LEASE;
use papayatray_state::replica::Members;
use papayatray_state::replica::Message;
use papayatray_state::replica::Payload;
use papayatray_state::replica::PersistedState;
use papayatray_state::replica::Position;
use papayatray_state::replica::Ready;
use papayatray_state::replica::Replica;
use papayatray_state::replica::ReplicaId;
use papayatray_state::replica::Role;
use papayatray_state::replica::SendMark;
use papayatray_state::replica::Snapshot;

/// Time at which the replica starts.
pub const START: Millis = Millis::new(10_000);
/// Time at which the election timeout of a replica without a leader has expired.
const ELECTION_DUE: Millis = Millis::new(12_000);

fn replica_id(number: u64) -> ReplicaId {
    ReplicaId {
        vm: VmId::new(format!("vm-{number}")).unwrap(),
        folder: Incarnation(number),
    }
}

const fn position(term: u64, index: u64) -> Position {
    Position {
        term: Term(term),
        index,
    }
}

/// Replica 1 of three voters, with one entry of term 1 after its snapshot.
pub struct Single {
    replica: Replica,
    /// Number of its start that the replica has stated in its rollback checks.
    requested_start: Option<u64>,
}

impl Single {
    /// Starts the replica, of which replica 2 has confirmed that its folder was not rolled back.
    pub fn start() -> Self {
        let members = Members::founding((1..=3).map(|n| (replica_id(n), String::new())));
        let snapshot = Snapshot {
            position: position(0, 1),
            members,
            state: Vec::new(),
        };
        let entries = vec![Entry {
            position: position(1, 2),
            payload: Payload::Noop,
        }];
        let hard_state = HardState {
            term: Term(1),
            vote: None,
        };
        let restored = PersistedState {
            hard_state,
            snapshot,
            entries,
        };
        // No address; the random seed is 1.
        let mut replica = Replica::new(replica_id(1), "", restored, 1, START);
        replica.tick(START);
        let checks = replica.take_ready().messages;
        let requested_start = checks.iter().find_map(|sent| match sent.message {
            Message::RollbackCheckRequest { start, .. } => start,
            _ => None,
        });
        let mut single = Self {
            replica,
            requested_start,
        };
        let reply = Message::RollbackCheckReply {
            acknowledged: None,
            confirmed_start: None,
        };
        single.receive(2, START, reply);
        single
    }

    /// Returns the number of its start that the replica has stated.
    pub const fn requested_start(&self) -> Option<u64> {
        self.requested_start
    }

    /// Makes the replica the leader of term 2; returns the mark of its first messages too.
    pub fn lead() -> (Self, SendMark) {
        let mut single = Self::start();
        single.replica.tick(ELECTION_DUE);
        let (term, granted) = (Term(2), true);
        single.receive(2, ELECTION_DUE, Message::PreVoteReply { term, granted });
        let elected = single.receive(2, ELECTION_DUE, Message::VoteReply { term, granted });
        assert_eq!(single.replica.role(), Role::Leader);
        (single, last_mark(&elected))
    }

    /// Delivers a message, makes its effects durable, and returns them.
    pub fn receive(&mut self, from: u64, at: Millis, message: Message) -> Ready {
        let ready = self.receive_unsynced(from, at, message);
        self.replica.mark_persisted();
        ready
    }

    /// Delivers a message and returns its effects, while they are not durable yet.
    fn receive_unsynced(&mut self, from: u64, at: Millis, message: Message) -> Ready {
        let envelope = Envelope {
            from: replica_id(from),
            address: format!("vm-{from}"),
            to: replica_id(1),
            message,
        };
        self.replica.receive(at, envelope);
        self.replica.take_ready()
    }
}

/// Returns a request for a vote in term 3, from a candidate whose last entry is at `last`.
fn vote_request(last: Position) -> Message {
    Message::VoteRequest {
        term: Term(3),
        last,
        is_transfer: false,
    }
}

fn granted(ready: &Ready) -> Option<bool> {
    ready.messages.iter().find_map(|sent| match sent.message {
        Message::VoteReply { granted, .. } => Some(granted),
        _ => None,
    })
}

/// Returns the mark of the last message that the leader has sent.
fn last_mark(ready: &Ready) -> SendMark {
    let mut marks = ready.messages.iter().filter_map(|sent| match sent.message {
        Message::AppendRequest { mark, .. } => Some(mark),
        _ => None,
    });
    marks.next_back().expect("a message with a mark")
}

/// Returns a reply that acknowledges the log up to `index` to the leader of term 2.
const fn append_reply(index: u64, mark: SendMark) -> Message {
    Message::AppendReply {
        term: Term(2),
        matched: Some(index),
        last: index,
        mark,
    }
}

#[test]
fn candidate_with_an_older_log_gets_no_vote() {
    let mut single = Single::start();
    let shorter = single.receive(2, ELECTION_DUE, vote_request(position(1, 1)));
    assert_eq!(granted(&shorter), Some(false));
    let equal = single.receive(3, ELECTION_DUE, vote_request(position(1, 2)));
    assert_eq!(
        granted(&equal),
        Some(true),
        "the rejected candidate did not use up the vote"
    );
}

#[test]
fn candidate_whose_longer_log_ends_in_an_older_term_gets_no_vote() {
    let mut single = Single::start();
    let longer = single.receive(2, ELECTION_DUE, vote_request(position(0, 9)));
    assert_eq!(granted(&longer), Some(false));
}

#[test]
fn leader_counts_itself_only_for_entries_durable_on_its_disk() {
    let (mut single, mark) = Single::lead();
    single.receive(2, ELECTION_DUE, append_reply(3, mark));
    assert_eq!(single.replica.commit(), 3);
    let index = single.replica.propose(ELECTION_DUE, vec![vec![1]]).unwrap();
    single.receive_unsynced(2, ELECTION_DUE, append_reply(index, mark));
    assert_eq!(
        single.replica.commit(),
        3,
        "one disk of three has stored the entry"
    );
    single.replica.mark_persisted();
    assert_eq!(single.replica.commit(), index);
}

#[test]
fn leader_lease_is_counted_from_when_the_answered_message_was_sent() {
    let (mut single, mark) = Single::lead();
    let sent = ELECTION_DUE;
    let answered = sent + Millis::new(200);
    single.receive(2, answered, append_reply(3, mark));
    let end = sent + LEADER_LEASE;
    assert_eq!(single.replica.current_until(answered), Some(end));
    single.replica.tick(end);
    assert_eq!(
        single.replica.current_until(end),
        None,
        "no later message was answered"
    );
}

#[test]
fn entry_of_an_older_term_is_not_committed_by_counting_its_replicas() {
    // The entry of term 1 was never committed by its own leader; a later leader may commit it only
    // together with an entry of its own term.
    let (mut single, mark) = Single::lead();
    single.receive(2, ELECTION_DUE, append_reply(2, mark));
    assert_eq!(
        single.replica.commit(),
        1,
        "a quorum has stored the entry, but another leader may still replace it"
    );
    single.receive(2, ELECTION_DUE, append_reply(3, mark));
    assert_eq!(
        single.replica.commit(),
        3,
        "the leader's own entry commits both"
    );
}

/// Guards against an answer that moves the lease although another process or term sent the message.
#[test]
fn answer_that_belongs_to_no_message_of_the_leadership_acknowledges_nothing() {
    let (mut single, mark) = Single::lead();
    single.receive(2, ELECTION_DUE, append_reply(3, mark));
    let end = ELECTION_DUE + LEADER_LEASE;
    let times = [1, ELECTION_DUE.as_u64(), 3_600_000, u64::MAX];
    let foreign = times.map(|time| postcard::to_stdvec(&time).unwrap());
    let foreign = foreign.map(|bytes| postcard::from_bytes(&bytes).unwrap());
    for mark in [SendMark::NONE].into_iter().chain(foreign) {
        let later = ELECTION_DUE + Millis::new(100);
        for matched in [None, Some(3)] {
            let reply = Message::AppendReply {
                term: Term(2),
                matched,
                last: 9,
                mark,
            };
            single.receive(3, later, reply);
        }
        assert_eq!(single.replica.current_until(later), Some(end), "{mark:?}");
    }
    assert_eq!(single.replica.foreign_replies(), 10);
}

/// Guards against an answer that looks like an acknowledgement to a leader of an earlier build, which
/// takes the mark for a time.
#[test]
fn message_of_an_older_term_is_answered_without_its_mark() {
    let mut single = Single::start();
    let mark: SendMark = postcard::from_bytes(&[7]).unwrap();
    let rejected = single.receive(
        2,
        START,
        Message::AppendRequest {
            term: Term(0),
            previous: position(0, 1),
            entries: Vec::new(),
            commit: 1,
            mark,
            acknowledged_by: BTreeMap::new(),
        },
    );
    let [reply] = rejected.messages.as_slice() else {
        panic!("one answer, not {:?}", rejected.messages);
    };
    assert_eq!(
        reply.message,
        Message::AppendReply {
            term: Term(1),
            matched: None,
            last: 2,
            mark: SendMark::NONE,
        }
    );
}
