//! One replica whose peers are played by the test: rules that histories seldom come near.

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
use papayatray_state::replica::Position;
use papayatray_state::replica::Ready;
use papayatray_state::replica::Replica;
use papayatray_state::replica::ReplicaId;
use papayatray_state::replica::Restored;
use papayatray_state::replica::Role;
use papayatray_state::replica::Snapshot;

const BEGIN: Millis = Millis::new(10_000);
/// Moment by which a replica that hears of no leader stands for election.
const LATER: Millis = Millis::new(12_000);

fn name(number: u64) -> ReplicaId {
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

/// Replica 1 of three, with an entry of term 1 after its snapshot.
struct Single {
    replica: Replica,
}

impl Single {
    fn start() -> Self {
        let members = Members::founding((1..=3).map(|n| (name(n), String::new())));
        let snapshot = Snapshot {
            position: position(0, 1),
            members,
            state: Vec::new(),
        };
        let entries = vec![Entry {
            position: position(1, 2),
            payload: Payload::Blank,
        }];
        let hard_state = HardState {
            term: Term(1),
            vote: None,
        };
        let restored = Restored {
            hard_state,
            snapshot,
            entries,
        };
        let mut replica = Replica::new(name(1), "", restored, 1, BEGIN);
        replica.tick(BEGIN);
        let mut single = Self { replica };
        single.hear(2, BEGIN, Message::HelloReply { known: None });
        single
    }

    /// Makes the replica the leader of term 2.
    fn lead() -> Self {
        let mut single = Self::start();
        single.replica.tick(LATER);
        let (term, granted) = (Term(2), true);
        single.hear(2, LATER, Message::PreVoteReply { term, granted });
        single.hear(2, LATER, Message::VoteReply { term, granted });
        assert_eq!(single.replica.role(), Role::Leader);
        single
    }

    /// Lets the replica hear a message, and store what follows; returns what it would send.
    fn hear(&mut self, from: u64, at: Millis, message: Message) -> Ready {
        let ready = self.hear_only(from, at, message);
        self.replica.stored();
        ready
    }

    /// The same with a disk that has not answered yet.
    fn hear_only(&mut self, from: u64, at: Millis, message: Message) -> Ready {
        let envelope = Envelope {
            from: name(from),
            to: name(1),
            message,
        };
        self.replica.receive(at, envelope);
        self.replica.take_ready()
    }
}

fn vote(last: Position) -> Message {
    Message::Vote {
        term: Term(3),
        last,
        transfer: false,
    }
}

fn granted(ready: &Ready) -> Option<bool> {
    ready.messages.iter().find_map(|own| match own.message {
        Message::VoteReply { granted, .. } => Some(granted),
        _ => None,
    })
}

const fn stored(index: u64, sent: Millis) -> Message {
    Message::AppendReply {
        term: Term(2),
        matched: Some(index),
        last: index,
        sent,
    }
}

#[test]
fn candidate_with_an_older_log_gets_no_vote() {
    let mut single = Single::start();
    let shorter = single.hear(2, LATER, vote(position(1, 1)));
    assert_eq!(granted(&shorter), Some(false));
    let equal = single.hear(3, LATER, vote(position(1, 2)));
    assert_eq!(granted(&equal), Some(true), "the vote was still free");
}

#[test]
fn candidate_whose_longer_log_ends_in_an_older_term_gets_no_vote() {
    let mut single = Single::start();
    let longer = single.hear(2, LATER, vote(position(0, 9)));
    assert_eq!(granted(&longer), Some(false));
}

#[test]
fn leader_counts_itself_only_for_what_its_disk_has() {
    let mut single = Single::lead();
    single.hear(2, LATER, stored(3, LATER));
    assert_eq!(single.replica.commit(), 3);
    let index = single.replica.propose(LATER, vec![vec![1]]).unwrap();
    single.hear_only(2, LATER, stored(index, LATER));
    assert_eq!(single.replica.commit(), 3, "one disk of three has it");
    single.replica.stored();
    assert_eq!(single.replica.commit(), index);
}

#[test]
fn leader_is_current_for_a_lease_after_it_asked_and_no_longer() {
    let mut single = Single::lead();
    let asked = LATER;
    let answered = asked + Millis::new(200);
    single.hear(2, answered, stored(3, asked));
    let end = asked + LEADER_LEASE;
    assert_eq!(single.replica.current_until(answered), Some(end));
    single.replica.tick(end);
    assert_eq!(
        single.replica.current_until(end),
        None,
        "nobody answered since"
    );
}

#[test]
fn entry_of_an_older_term_is_not_committed_by_counting_it() {
    // The entry of term 1 is one that its leader could not commit.
    let mut single = Single::lead();
    single.hear(2, LATER, stored(2, LATER));
    assert_eq!(
        single.replica.commit(),
        1,
        "a quorum has it, and it may still be replaced"
    );
    single.hear(2, LATER, stored(3, LATER));
    assert_eq!(
        single.replica.commit(),
        3,
        "the leader's own entry commits both"
    );
}
