//! Elections after a restart: callers wait until a leader is there, but a replica must not help a
//! candidate while a leader's lease may rely on an answer that the replica has forgotten.

use papayatray_core::clock::Millis;
use papayatray_core::id::Term;
use papayatray_state::replica::Message;
use papayatray_state::replica::Position;

use crate::cluster::Cluster;
use crate::cluster::change;
use crate::replicas::settled_cluster;
use crate::single::START;
use crate::single::Single;

/// Time after the start at which an earlier leader's lease may still hold.
const SOON: Millis = Millis::new(10_100);

/// Returns a cluster of three VMs that have all lost power.
fn cluster_without_power() -> Cluster {
    let (mut cluster, _) = settled_cluster();
    for vm in 0..3 {
        cluster.crash(vm, 0);
    }
    cluster
}

/// Checks that a leader is there within half of the time for which a restarted replica is bound.
fn assert_elects_at_once(mut cluster: Cluster, case: usize) {
    // 200 ms.
    cluster.settle_with_delay(40, 5);
    let leader = cluster.leader();
    assert!(leader.is_some(), "case {case}\n{}", cluster.describe());
}

/// Guards against a lease that counts answers to heartbeats of the leader's earlier process.
#[test]
fn answer_to_an_earlier_process_extends_no_lease() {
    let (mut cluster, leader) = settled_cluster();
    let (near, far) = ((leader + 1) % 3, (leader + 2) % 3);
    // The times of the first process lie 20 s ahead of the clock of the second one.
    cluster.settle(500);
    cluster.advance(100);
    cluster.delay_messages();
    cluster.crash(leader, 0);
    cluster.crash(far, 0);
    cluster.start(leader);
    cluster.settle(60);
    if cluster.leader() == Some(near) {
        let now = cluster.clock(near);
        cluster
            .node_mut(near)
            .replica_mut()
            .transfer_leadership(now);
        cluster.settle(20);
    }
    cluster.start(far);
    cluster.settle(20);
    assert_eq!(cluster.leader(), Some(leader), "{}", cluster.describe());
    cluster.release_delayed();
    cluster.settle(2);
    cluster.isolate(leader);
    // The invariants of the cluster allow one current leader at a time.
    cluster.settle(60);
    let next = cluster.leader().expect("the others elect a leader");
    cluster.propose(next, change(1, 0));
    cluster.settle(10);
    let replica = cluster.node(leader).replica();
    assert!(!replica.is_current(cluster.clock(leader)));
}

/// Guards against a second founding by announcements from before the first one.
#[test]
fn late_announcements_of_blank_founders_found_no_second_group() {
    let mut cluster = Cluster::new(3);
    cluster.advance(200);
    cluster.delay_messages();
    cluster.settle(60);
    assert!(cluster.leader().is_some());
    cluster.crash(0, 0);
    cluster.wipe(0);
    cluster.start(0);
    cluster.release_delayed();
    cluster.settle(60);
    let boot = cluster.node(0).replica().boot();
    assert!(boot.is_blank(), "{}", cluster.describe());
}

/// Guards against waiting for the lease of a leader that all members have confirmed to be gone.
#[test]
fn replicas_that_have_all_restarted_elect_at_once() {
    for late in 0..3 {
        let mut cluster = cluster_without_power();
        for vm in (0..3).filter(|vm| *vm != late) {
            cluster.start(vm);
        }
        cluster.settle(3);
        cluster.start(late);
        assert_elects_at_once(cluster, late);
    }
}

/// Guards against waiting for a member that cannot confirm, as its disk was lost with the power.
#[test]
fn replicas_elect_at_once_beside_one_that_lost_its_disk() {
    for lost in 0..3 {
        let mut cluster = cluster_without_power();
        cluster.wipe(lost);
        for vm in 0..3 {
            cluster.start(vm);
        }
        assert_elects_at_once(cluster, lost);
    }
}

/// Guards against a second leader beside one that is cut off from all but a replica that restarted.
#[test]
fn replica_that_restarts_beside_its_leader_stays_bound() {
    for rounds in 0..8 {
        let (mut cluster, leader) = settled_cluster();
        let (restarted, other) = ((leader + 1) % 3, (leader + 2) % 3);
        cluster
            .blocked_links
            .extend([(leader, other), (other, leader)]);
        // The other replica is ready to campaign, as it has not heard from the leader for long.
        cluster.settle(20);
        cluster.crash(restarted, 0);
        cluster.start(restarted);
        // The invariants of the cluster allow one valid lease at a time.
        cluster.settle_with_delay(rounds, 5);
        cluster
            .blocked_links
            .extend([(leader, restarted), (restarted, leader)]);
        cluster.settle_with_delay(80, 5);
    }
}

/// Guards against an answer that was delayed over a restart, from before its sender led.
#[test]
fn answers_to_an_earlier_start_do_not_release_a_replica() {
    let mut single = Single::start();
    let pre_vote = Message::PreVoteRequest {
        term: Term(2),
        last: Position {
            term: Term(1),
            index: 2,
        },
    };
    let is_granted = |single: &mut Single| {
        let ready = single.receive(2, SOON, pre_vote.clone());
        let mut messages = ready.messages.into_iter();
        messages.any(|sent| matches!(sent.message, Message::PreVoteReply { granted: true, .. }))
    };
    let confirmation = |start| Message::RollbackCheckReply {
        acknowledged: None,
        confirmed_start: start,
    };
    let start = single.requested_start().expect("the start is stated");
    for peer in [2, 3] {
        single.receive(peer, START, confirmation(Some(start + 1)));
        single.receive(peer, START, confirmation(None));
    }
    assert!(!is_granted(&mut single), "no answer belongs to this start");
    single.receive(2, START, confirmation(Some(start)));
    assert!(!is_granted(&mut single), "replica 3 may lead");
    single.receive(3, START, confirmation(Some(start)));
    assert!(is_granted(&mut single), "both have confirmed the start");
}

/// Guards against a promise that is taken for void although its leader leads.
#[test]
fn leader_does_not_confirm_the_start_of_another_replica() {
    let (mut single, _) = Single::lead();
    let request = Message::RollbackCheckRequest {
        term: Term(2),
        last: 2,
        start: Some(7),
    };
    let ready = single.receive(3, START, request);
    let confirmed = ready.messages.iter().find_map(|sent| match sent.message {
        Message::RollbackCheckReply {
            confirmed_start, ..
        } => Some(confirmed_start),
        _ => None,
    });
    assert_eq!(confirmed, Some(None));
}
