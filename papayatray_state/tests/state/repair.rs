//! Automatic repair of the member list: lost disks, replaced VMs, and removed replicas.
//!
//! `crash(vm, 0)` loses all unsynced bytes; `settle` counts rounds of 40 ms.

use papayatray_core::catalogue::Outcome;

use crate::cluster::Cluster;
use crate::cluster::change;

/// Rounds of 40 ms within which a repair must complete; they add up to the required 4 s.
const REPAIR_ROUNDS: usize = 100;

/// Returns a self-repairing cluster of three VMs, and its leader.
fn settled_cluster() -> (Cluster, usize) {
    let mut cluster = Cluster::self_repairing(3);
    cluster.settle(60);
    let leader = cluster.leader().expect("a leader");
    (cluster, leader)
}

/// Commits configuration change `number` on the leader.
fn commit_change(cluster: &mut Cluster, number: u64) {
    let leader = cluster.leader().expect("a leader");
    let base = cluster.node(leader).machine().catalogue().revision.0;
    cluster.propose(leader, change(number, base));
    cluster.settle(10);
    let outcome = cluster.replies.changes.values().last();
    assert!(matches!(outcome, Some(Outcome::Accepted(_))), "{outcome:?}");
}

fn voters(cluster: &Cluster) -> Vec<String> {
    let leader = cluster.leader().expect("a leader");
    let replica = cluster.node(leader).replica();
    let members = replica.log().members_at(replica.commit());
    members.voters().map(ToString::to_string).collect()
}

#[test]
fn wiped_replica_rejoins_without_an_operator() {
    let (mut cluster, leader) = settled_cluster();
    commit_change(&mut cluster, 1);
    let lost = (leader + 1) % 3;
    cluster.crash(lost, 0);
    cluster.wipe(lost);
    cluster.start(lost);
    cluster.settle(REPAIR_ROUNDS);
    let joining = cluster.vms[lost].id.to_string();
    assert_eq!(voters(&cluster).len(), 3);
    assert!(voters(&cluster).contains(&joining));
    cluster.check_durability();
}

#[test]
fn wiped_replica_rejoins_under_a_leader_that_is_no_founder() {
    let mut cluster = Cluster::self_repairing(5);
    cluster.settle(REPAIR_ROUNDS);
    commit_change(&mut cluster, 1);
    // The first three VMs are the founders.
    while cluster.leader().is_none_or(|leader| leader < 3) {
        if let Some(leader) = cluster.leader() {
            cluster.crash(leader, 0);
            cluster.settle(25);
            cluster.start(leader);
        }
        cluster.settle(25);
    }
    let lost = 0;
    cluster.crash(lost, 0);
    cluster.wipe(lost);
    cluster.start(lost);
    cluster.settle(REPAIR_ROUNDS);
    let joining = cluster.vms[lost].id.to_string();
    assert!(
        voters(&cluster).contains(&joining),
        "{}",
        cluster.describe()
    );
    cluster.check_durability();
}

#[test]
fn deployment_survives_the_loss_of_another_disk_right_after_a_repair() {
    let (mut cluster, leader) = settled_cluster();
    commit_change(&mut cluster, 1);
    for lost in [(leader + 1) % 3, (leader + 2) % 3, leader] {
        cluster.crash(lost, 0);
        cluster.wipe(lost);
        cluster.start(lost);
        cluster.settle(REPAIR_ROUNDS);
        assert_eq!(voters(&cluster).len(), 3, "{}", cluster.describe());
    }
    cluster.check_durability();
    commit_change(&mut cluster, 2);
}

#[test]
fn lost_vm_is_replaced_by_a_vm_of_another_name() {
    let (mut cluster, leader) = settled_cluster();
    commit_change(&mut cluster, 1);
    let lost = (leader + 1) % 3;
    cluster.crash(lost, 0);
    let spare = cluster.add_vm("vm-9");
    cluster.start(spare);
    cluster.settle(REPAIR_ROUNDS);
    let joining = cluster.vms[spare].id.to_string();
    assert!(
        voters(&cluster).contains(&joining),
        "{}",
        cluster.describe()
    );
    assert_eq!(voters(&cluster).len(), 3);
    // The repaired deployment tolerates the next loss, here of the leader.
    cluster.crash(leader, 0);
    cluster.settle(60);
    commit_change(&mut cluster, 2);
    cluster.check_durability();
}

#[test]
fn planned_replacement_adds_a_fourth_voter_and_returns_to_three() {
    let (mut cluster, leader) = settled_cluster();
    let spare = cluster.add_vm("vm-9");
    cluster.start(spare);
    cluster.settle(30);
    assert_eq!(voters(&cluster).len(), 4, "{}", cluster.describe());
    cluster.crash((leader + 1) % 3, 0);
    cluster.settle(REPAIR_ROUNDS);
    assert_eq!(voters(&cluster).len(), 3, "{}", cluster.describe());
    commit_change(&mut cluster, 1);
}

#[test]
fn removed_replica_learns_of_its_removal_and_joins_as_a_new_replica() {
    let (mut cluster, leader) = settled_cluster();
    let lost = (leader + 1) % 3;
    for other in 0..3 {
        cluster.blocked_links.extend([(lost, other), (other, lost)]);
    }
    let spare = cluster.add_vm("vm-9");
    cluster.start(spare);
    cluster.settle(REPAIR_ROUNDS);
    assert_eq!(voters(&cluster).len(), 3);
    cluster.blocked_links.clear();
    cluster.settle(60);
    let is_stale = cluster.node(lost).replica().boot().is_stale();
    assert!(is_stale, "{}", cluster.describe());
    cluster.reset_if_stale(lost);
    cluster.settle(60);
    let joining = cluster.vms[lost].id.to_string();
    assert!(
        voters(&cluster).contains(&joining),
        "{}",
        cluster.describe()
    );
}

#[test]
fn followers_forward_the_announcement_of_a_blank_replica_to_the_leader() {
    let (mut cluster, leader) = settled_cluster();
    let spare = cluster.add_vm("vm-9");
    cluster.start(spare);
    let (joining, leader_vm) = (
        cluster.vms[spare].id.clone(),
        cluster.vms[leader].name.clone(),
    );
    for _ in 0..4 {
        cluster.advance(40);
        // The blank replica's own messages to the leader's VM, with folder number 0, are lost.
        cluster
            .network
            .retain(|envelope| envelope.to.vm != leader_vm || envelope.to.folder.0 != 0);
        while !cluster.network.is_empty() {
            cluster.deliver(0);
        }
    }
    let members = cluster.node(leader).replica().members();
    assert!(members.get(&joining).is_some(), "{}", cluster.describe());
}

#[test]
fn replicas_with_bootstrap_disabled_never_found_a_deployment() {
    let mut cluster = Cluster::self_repairing(3);
    for vm in 0..3 {
        cluster.node_mut(vm).disable_bootstrap();
    }
    cluster.settle(100);
    assert_eq!(cluster.leader(), None);
}

/// Rounds of 40 ms within which sound replicas must take part again after the last start: a second.
const OPEN_ROUNDS: usize = 25;
/// Rounds of 40 ms within which the group must have a leader: the recovery bound of twelve seconds.
const RECOVERY_ROUNDS: usize = 300;

/// Loses the disk of one of five replicas, crashes the leader `leader_delay` rounds later, and lets the
/// repair have its time. Then all lose power, and `others` their disks too.
///
/// `lost` and `others` are counted from the leader.
fn assert_recovery(lost: usize, leader_delay: usize, others: [usize; 2]) {
    let mut cluster = Cluster::self_repairing(5);
    cluster.settle(REPAIR_ROUNDS);
    commit_change(&mut cluster, 1);
    let leader = cluster.leader().expect("a leader");
    let vm = |offset: usize| (leader + offset) % 5;
    cluster.crash(vm(lost), 0);
    cluster.wipe(vm(lost));
    cluster.start(vm(lost));
    cluster.settle(leader_delay);
    cluster.crash(leader, 0);
    cluster.settle(5);
    cluster.start(leader);
    cluster.settle(REPAIR_ROUNDS);
    for number in 0..5 {
        cluster.crash(number, 0);
    }
    cluster.network.clear();
    for other in others {
        cluster.wipe(vm(other));
    }
    for number in 0..5 {
        cluster.start(number);
    }
    cluster.settle(OPEN_ROUNDS);
    let open = (0..5).filter(|number| cluster.node(*number).replica().boot().is_open());
    assert!(open.count() >= 3, "{}", cluster.describe());
    cluster.settle(RECOVERY_ROUNDS);
    assert!(cluster.leader().is_some(), "{}", cluster.describe());
    cluster.check_durability();
}

#[test]
fn group_recovers_from_a_loss_of_power_and_of_two_disks_after_a_repair_under_a_leader_change() {
    for lost in 1..5 {
        for leader_delay in (0..25).step_by(2) {
            for others in [[0, 1], [0, 2], [1, 3], [2, 4], [3, 4]] {
                if !others.contains(&lost) {
                    assert_recovery(lost, leader_delay, others);
                }
            }
        }
    }
}
