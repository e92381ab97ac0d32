//! Repair without an operator: lost disks, replaced VMs, and replicas that were removed.

use papayatray_core::catalogue::Outcome;

use crate::cluster::Cluster;
use crate::cluster::change;

/// Rounds of 40 ms within which a repair must be over; the deployments' bound is 4 s.
const REPAIR_ROUNDS: usize = 100;

fn settled() -> (Cluster, usize) {
    let mut cluster = Cluster::self_repairing(3);
    cluster.settle(60);
    let leader = cluster.leader().expect("a leader");
    (cluster, leader)
}

fn accept(cluster: &mut Cluster, number: u64) {
    let leader = cluster.leader().expect("a leader");
    let base = cluster.node(leader).machine().catalogue().revision.0;
    cluster.propose(leader, change(number, base));
    cluster.settle(10);
    let outcome = cluster.answers.changes.values().last();
    assert!(matches!(outcome, Some(Outcome::Accepted(_))), "{outcome:?}");
}

fn voters(cluster: &Cluster) -> Vec<String> {
    let leader = cluster.leader().expect("a leader");
    let replica = cluster.node(leader).replica();
    let members = replica.log().members_at(replica.commit());
    members.voters().map(ToString::to_string).collect()
}

#[test]
fn emptied_replica_is_taken_in_again_without_an_operator() {
    let (mut cluster, leader) = settled();
    accept(&mut cluster, 1);
    let lost = (leader + 1) % 3;
    cluster.crash(lost, 0);
    cluster.wipe(lost);
    cluster.start(lost);
    cluster.settle(REPAIR_ROUNDS);
    let newcomer = cluster.vms[lost].id.to_string();
    assert_eq!(voters(&cluster).len(), 3);
    assert!(voters(&cluster).contains(&newcomer));
    cluster.check_kept();
}

#[test]
fn second_disk_may_go_right_after_the_repair() {
    let (mut cluster, leader) = settled();
    accept(&mut cluster, 1);
    for lost in [(leader + 1) % 3, (leader + 2) % 3, leader] {
        cluster.crash(lost, 0);
        cluster.wipe(lost);
        cluster.start(lost);
        cluster.settle(REPAIR_ROUNDS);
        assert_eq!(voters(&cluster).len(), 3, "{}", cluster.describe());
    }
    cluster.check_kept();
    accept(&mut cluster, 2);
}

#[test]
fn lost_vm_is_replaced_by_one_of_another_name() {
    let (mut cluster, leader) = settled();
    accept(&mut cluster, 1);
    let lost = (leader + 1) % 3;
    cluster.crash(lost, 0);
    let spare = cluster.add("vm-9");
    cluster.start(spare);
    cluster.settle(REPAIR_ROUNDS);
    let newcomer = cluster.vms[spare].id.to_string();
    assert!(
        voters(&cluster).contains(&newcomer),
        "{}",
        cluster.describe()
    );
    assert_eq!(voters(&cluster).len(), 3);
    // The next loss is borne as the first one was.
    cluster.crash(leader, 0);
    cluster.settle(60);
    accept(&mut cluster, 2);
    cluster.check_kept();
}

#[test]
fn planned_replacement_goes_over_four_voters_back_to_three() {
    let (mut cluster, leader) = settled();
    let spare = cluster.add("vm-9");
    cluster.start(spare);
    cluster.settle(30);
    assert_eq!(voters(&cluster).len(), 4, "{}", cluster.describe());
    cluster.crash((leader + 1) % 3, 0);
    cluster.settle(REPAIR_ROUNDS);
    assert_eq!(voters(&cluster).len(), 3, "{}", cluster.describe());
    accept(&mut cluster, 1);
}

#[test]
fn removed_replica_that_comes_back_learns_it_and_joins_anew() {
    let (mut cluster, leader) = settled();
    let lost = (leader + 1) % 3;
    for other in 0..3 {
        cluster.cuts.extend([(lost, other), (other, lost)]);
    }
    let spare = cluster.add("vm-9");
    cluster.start(spare);
    cluster.settle(REPAIR_ROUNDS);
    assert_eq!(voters(&cluster).len(), 3);
    cluster.cuts.clear();
    cluster.settle(60);
    let is_stale = cluster.node(lost).replica().boot().is_stale();
    assert!(is_stale, "{}", cluster.describe());
    cluster.renew_outdated(lost);
    cluster.settle(60);
    let newcomer = cluster.vms[lost].id.to_string();
    assert!(
        voters(&cluster).contains(&newcomer),
        "{}",
        cluster.describe()
    );
}

#[test]
fn blank_replica_reaches_the_leader_though_it_knows_only_followers() {
    let (mut cluster, leader) = settled();
    let spare = cluster.add("vm-9");
    cluster.start(spare);
    let (newcomer, known) = (
        cluster.vms[spare].id.clone(),
        cluster.vms[leader].name.clone(),
    );
    for _ in 0..4 {
        cluster.pass(40);
        // What the newcomer itself sends to the leader's VM is lost.
        cluster
            .wire
            .retain(|own| own.to.vm != known || own.to.folder.0 != 0);
        while !cluster.wire.is_empty() {
            cluster.deliver(0);
        }
    }
    let members = cluster.node(leader).replica().members();
    assert!(members.get(&newcomer).is_some(), "{}", cluster.describe());
}

#[test]
fn replicas_that_only_join_never_found_a_deployment() {
    let mut cluster = Cluster::self_repairing(3);
    for vm in 0..3 {
        cluster.node_mut(vm).disable_bootstrap();
    }
    cluster.settle(100);
    assert_eq!(cluster.leader(), None);
}
