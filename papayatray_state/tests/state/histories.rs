//! Generated histories of faults, through which the state keeps what it has promised.

use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop_oneof;
use proptest::proptest;
use proptest::test_runner::FileFailurePersistence;

use crate::cluster::Cluster;
use crate::cluster::bill;
use crate::cluster::change;
use crate::cluster::claim;

/// Histories in each run of the tests; `PAPAYATRAY_HISTORIES` sets another number.
const HISTORIES: u32 = 300;
/// Rounds within which a healed deployment must serve again.
const HEAL_ROUNDS: usize = 250;

/// Step of a history.
#[derive(Clone, Debug)]
enum Step {
    Pass(u64),
    Deliver(Vec<usize>),
    Drop(usize),
    Duplicate(usize),
    Cut(usize, usize),
    CutOff(usize),
    Heal,
    Crash(usize, usize),
    CrashAll(usize),
    Start(usize),
    Rate(usize, u64),
    Settle(usize),
    Change(usize, u64, u64),
    ChangeNow(u64),
    Claim(usize, u64, u64),
    Bill(usize, u64, u64),
    LoseDisk(usize),
    HandOver,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let vm = 0..3_usize;
    let step = prop_oneof![
        6 => (1..400_u64).prop_map(Step::Pass),
        8 => proptest::collection::vec(any::<usize>(), 1..12).prop_map(Step::Deliver),
        2 => any::<usize>().prop_map(Step::Drop),
        1 => any::<usize>().prop_map(Step::Duplicate),
        1 => (vm.clone(), vm.clone()).prop_map(|(a, b)| Step::Cut(a, b)),
        1 => vm.clone().prop_map(Step::CutOff),
        1 => proptest::strategy::Just(Step::Heal),
        1 => (vm.clone(), 0..64_usize).prop_map(|(vm, torn)| Step::Crash(vm, torn)),
        1 => (0..64_usize).prop_map(Step::CrashAll),
        2 => vm.clone().prop_map(Step::Start),
        1 => (vm.clone(), 900..1_100_u64).prop_map(|(vm, rate)| Step::Rate(vm, rate)),
        6 => (1..12_usize).prop_map(Step::Settle),
        3 => (vm.clone(), 0..12_u64, 0..6_u64).prop_map(|(vm, n, base)| Step::Change(vm, n, base)),
        4 => (0..40_u64).prop_map(Step::ChangeNow),
        4 => (vm.clone(), 0..8_u64, 0..3_u64).prop_map(|(vm, n, e)| Step::Claim(vm, n, e)),
        3 => (vm.clone(), 0..8_u64, 0..3_u64).prop_map(|(vm, n, e)| Step::Bill(vm, n, e)),
        1 => vm.prop_map(Step::LoseDisk),
        1 => proptest::strategy::Just(Step::HandOver),
    ];
    proptest::collection::vec(step, 10..120)
}

fn take(cluster: &mut Cluster, step: Step, lost: &mut Option<usize>, nonce: &mut u64) {
    match step {
        Step::Pass(millis) => cluster.pass(millis),
        Step::Deliver(places) => places.into_iter().for_each(|place| cluster.deliver(place)),
        Step::Drop(place) if !cluster.wire.is_empty() => {
            let place = place % cluster.wire.len();
            cluster.wire.remove(place);
        }
        Step::Duplicate(place) if !cluster.wire.is_empty() => {
            let again = cluster.wire[place % cluster.wire.len()].clone();
            cluster.wire.push(again);
        }
        Step::Drop(_) | Step::Duplicate(_) => {}
        Step::Cut(from, to) => {
            cluster.cuts.insert((from, to));
        }
        Step::CutOff(vm) => {
            for other in 0..cluster.vms.len() {
                cluster.cuts.extend([(vm, other), (other, vm)]);
            }
        }
        Step::Heal => cluster.cuts.clear(),
        Step::Crash(vm, torn) => cluster.crash(vm, torn),
        Step::CrashAll(torn) => (0..3).for_each(|vm| cluster.crash(vm, torn)),
        Step::Start(vm) => cluster.start(vm),
        Step::Rate(vm, rate) => cluster.set_rate(vm, rate),
        Step::Settle(rounds) => cluster.settle(rounds),
        Step::Change(vm, number, base) => cluster.propose(vm, change(number, base)),
        Step::ChangeNow(number) => {
            if let Some(leader) = cluster.leader() {
                let base = cluster.node(leader).machine().catalogue().revision.0;
                cluster.propose(leader, change(100 + number, base));
            }
        }
        Step::Claim(vm, number, entry) => {
            *nonce += 1;
            cluster.propose(vm, claim(number, entry, *nonce));
        }
        Step::Bill(vm, number, entry) => cluster.propose(vm, bill(number, entry)),
        Step::LoseDisk(vm) => lose_disk(cluster, vm, lost),
        Step::HandOver => {
            if let Some(leader) = cluster.leader() {
                let later = papayatray_core::clock::Millis::ZERO;
                cluster
                    .node_mut(leader)
                    .replica_mut()
                    .transfer_leadership(later);
            }
        }
    }
}

/// Loses a disk, as long as no other is lost and the founding is stored everywhere.
///
/// Two lost of three are more than any log of three replicas can bear.
fn lose_disk(cluster: &mut Cluster, vm: usize, lost: &mut Option<usize>) {
    let is_founded = (0..3).all(|vm| {
        let node = cluster.vms[vm].node.as_ref();
        node.is_some_and(|node| !node.replica().members().is_empty())
    });
    if lost.is_some() || !is_founded || cluster.leader().is_none() {
        return;
    }
    cluster.crash(vm, 0);
    cluster.wipe(vm);
    cluster.start(vm);
    *lost = Some(vm);
}

/// Does what an operator does after a lost disk: puts the blank replica in the lost one's place.
fn replace_lost(cluster: &mut Cluster, lost: &mut Option<usize>) {
    let (Some(vm), Some(leader)) = (*lost, cluster.leader()) else {
        return;
    };
    let newcomer = cluster.vms[vm].id.clone();
    let replica = cluster.node(leader).replica();
    // The repair is over once the newcomer counts in a committed entry, and not before.
    let members = replica.log().members_at(replica.commit());
    let stands = members.get(&newcomer).is_some_and(|member| member.voter);
    let predecessor = members.iter().map(|(id, _)| id.clone());
    let predecessor = predecessor
        .into_iter()
        .find(|id| id.vm == newcomer.vm && *id != newcomer);
    match predecessor {
        Some(predecessor) if !stands => {
            cluster
                .node_mut(leader)
                .replica_mut()
                .admit(&newcomer, Some(&predecessor));
        }
        None if stands => *lost = None,
        _ => {}
    }
}

fn run(steps: Vec<Step>) {
    run_on(Cluster::new(3), steps, replace_lost);
}

/// Waits for the replicas' own repair; notes when the newcomer counts.
fn watch_repair(cluster: &mut Cluster, lost: &mut Option<usize>) {
    let (Some(vm), Some(leader)) = (*lost, cluster.leader()) else {
        return;
    };
    // A newcomer that was let go again joins as a new replica, as the daemon sees to.
    cluster.renew_outdated(vm);
    let newcomer = cluster.vms[vm].id.clone();
    let replica = cluster.node(leader).replica();
    let members = replica.log().members_at(replica.commit());
    let is_alone = members
        .iter()
        .filter(|(id, _)| id.vm == newcomer.vm)
        .count()
        == 1;
    if members.is_voter(&newcomer) && is_alone {
        *lost = None;
    }
}

fn run_on<F>(mut cluster: Cluster, steps: Vec<Step>, mut replace_lost: F)
where
    F: FnMut(&mut Cluster, &mut Option<usize>),
{
    let mut lost = None;
    let mut nonce = 0;
    for step in steps {
        take(&mut cluster, step, &mut lost, &mut nonce);
        replace_lost(&mut cluster, &mut lost);
    }
    cluster.cuts.clear();
    for vm in 0..3 {
        cluster.start(vm);
    }
    for _ in 0..HEAL_ROUNDS {
        cluster.settle(1);
        replace_lost(&mut cluster, &mut lost);
    }
    let found = cluster.leader();
    assert!(
        found.is_some(),
        "a healed deployment has a leader\n{}",
        cluster.describe()
    );
    assert_eq!(
        lost,
        None,
        "a lost replica is replaced\n{}",
        cluster.describe()
    );
    let leader = found.expect("a leader");
    let base = cluster.node(leader).machine().catalogue().revision.0;
    cluster.propose(leader, change(9_999, base));
    cluster.settle(20);
    cluster.check_kept();
    let wanted = cluster.node(leader).machine().clone();
    for vm in 0..3 {
        assert_eq!(
            *cluster.node(vm).machine(),
            wanted,
            "all machines agree in the end"
        );
    }
}

fn config() -> ProptestConfig {
    let named = std::env::var("PAPAYATRAY_HISTORIES").ok();
    let cases = named
        .and_then(|text| text.parse().ok())
        .unwrap_or(HISTORIES);
    ProptestConfig {
        cases,
        max_shrink_iters: 4_000,
        failure_persistence: Some(Box::new(FileFailurePersistence::Off)),
        rng_seed: proptest::test_runner::RngSeed::Fixed(seed()),
        ..ProptestConfig::default()
    }
}

/// Returns the seed of the histories, the same in every run unless named.
fn seed() -> u64 {
    let named = std::env::var("PAPAYATRAY_SEED").ok();
    named.and_then(|text| text.parse().ok()).unwrap_or(2_026)
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn promises_of_the_state_hold_through_any_history(steps in steps()) {
        run(steps);
    }

    #[test]
    fn promises_hold_where_replicas_repair_themselves(steps in steps()) {
        run_on(Cluster::self_repairing(3), steps, watch_repair);
    }
}
