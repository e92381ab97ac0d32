//! Randomly generated histories of faults, during which the invariants of the state must hold.

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

/// Number of histories per test, unless `PAPAYATRAY_HISTORIES` sets another number.
const DEFAULT_HISTORIES: u32 = 300;
/// Rounds of 40 ms within which the deployment must have recovered once all faults have ended.
const MAX_RECOVERY_ROUNDS: usize = 250;

/// Step of a history; a comment names the fields of each.
#[derive(Clone, Debug)]
enum Step {
    /// Milliseconds.
    Advance(u64),
    /// Places of the messages in the network.
    Deliver(Vec<usize>),
    /// Place of the message in the network.
    Drop(usize),
    /// Place of the message in the network.
    Duplicate(usize),
    DelayMessages,
    ReleaseDelayed,
    /// VM that sends, VM that receives.
    BlockLink(usize, usize),
    /// VM.
    Isolate(usize),
    UnblockLinks,
    /// VM, unsynced bytes of each file that survive.
    Crash(usize, usize),
    /// Unsynced bytes of each file that survive.
    CrashAll(usize),
    /// VM.
    Start(usize),
    /// VM, whose process is replaced at once.
    Restart(usize),
    /// VM, thousandths of the rate of real time.
    SetClockRate(usize, u64),
    /// Rounds of 40 ms.
    Settle(usize),
    /// VM, number of the change, revision that it is based on.
    Change(usize, u64, u64),
    /// Number of the change, which is based on the leader's revision.
    ChangeOnLeader(u64),
    /// VM, number of the request, number of the entry.
    Claim(usize, u64, u64),
    /// VM, number of the request, number of the entry.
    Bill(usize, u64, u64),
    /// VM.
    LoseDisk(usize),
    TransferLeadership,
    RestartLeader,
    IsolateLeader,
}

/// Steps in which messages arrive late, after their senders have restarted and lead again.
fn late_message_steps() -> impl Strategy<Value = Vec<Step>> {
    let vm = 0..3_usize;
    let step = prop_oneof![
        // Heartbeats are in transit after this.
        3 => (80..160_u64).prop_map(Step::Advance),
        3 => proptest::strategy::Just(Step::DelayMessages),
        3 => proptest::strategy::Just(Step::ReleaseDelayed),
        3 => proptest::strategy::Just(Step::RestartLeader),
        1 => vm.clone().prop_map(Step::Restart),
        1 => vm.clone().prop_map(|vm| Step::Crash(vm, 0)),
        1 => vm.prop_map(Step::Start),
        3 => proptest::strategy::Just(Step::IsolateLeader),
        2 => proptest::strategy::Just(Step::UnblockLinks),
        1 => proptest::strategy::Just(Step::TransferLeadership),
        4 => (1..4_usize).prop_map(Step::Settle),
        4 => (10..60_usize).prop_map(Step::Settle),
        3 => (0..40_u64).prop_map(Step::ChangeOnLeader),
    ];
    proptest::collection::vec(step, 20..80)
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let vm = 0..3_usize;
    let step = prop_oneof![
        6 => (1..400_u64).prop_map(Step::Advance),
        8 => proptest::collection::vec(any::<usize>(), 1..12).prop_map(Step::Deliver),
        2 => any::<usize>().prop_map(Step::Drop),
        1 => any::<usize>().prop_map(Step::Duplicate),
        2 => proptest::strategy::Just(Step::DelayMessages),
        2 => proptest::strategy::Just(Step::ReleaseDelayed),
        1 => (vm.clone(), vm.clone()).prop_map(|(a, b)| Step::BlockLink(a, b)),
        1 => vm.clone().prop_map(Step::Isolate),
        1 => proptest::strategy::Just(Step::UnblockLinks),
        1 => (vm.clone(), 0..64_usize).prop_map(|(vm, torn)| Step::Crash(vm, torn)),
        1 => (0..64_usize).prop_map(Step::CrashAll),
        2 => vm.clone().prop_map(Step::Start),
        2 => vm.clone().prop_map(Step::Restart),
        1 => (vm.clone(), 900..1_100_u64).prop_map(|(vm, rate)| Step::SetClockRate(vm, rate)),
        6 => (1..12_usize).prop_map(Step::Settle),
        3 => (vm.clone(), 0..12_u64, 0..6_u64).prop_map(|(vm, n, base)| Step::Change(vm, n, base)),
        4 => (0..40_u64).prop_map(Step::ChangeOnLeader),
        4 => (vm.clone(), 0..8_u64, 0..3_u64).prop_map(|(vm, n, e)| Step::Claim(vm, n, e)),
        3 => (vm.clone(), 0..8_u64, 0..3_u64).prop_map(|(vm, n, e)| Step::Bill(vm, n, e)),
        1 => vm.prop_map(Step::LoseDisk),
        1 => proptest::strategy::Just(Step::TransferLeadership),
    ];
    proptest::collection::vec(step, 10..120)
}

fn apply_step(cluster: &mut Cluster, step: Step, lost: &mut Option<usize>, nonce: &mut u64) {
    match step {
        Step::Advance(millis) => cluster.advance(millis),
        Step::Deliver(places) => places.into_iter().for_each(|place| cluster.deliver(place)),
        Step::Drop(place) if !cluster.network.is_empty() => {
            let place = place % cluster.network.len();
            cluster.network.remove(place);
        }
        Step::Duplicate(place) if !cluster.network.is_empty() => {
            let again = cluster.network[place % cluster.network.len()].clone();
            cluster.network.push(again);
        }
        Step::Drop(_) | Step::Duplicate(_) => {}
        Step::DelayMessages => cluster.delay_messages(),
        Step::ReleaseDelayed => cluster.release_delayed(),
        Step::BlockLink(from, to) => {
            cluster.blocked_links.insert((from, to));
        }
        Step::Isolate(vm) => cluster.isolate(vm),
        Step::IsolateLeader => {
            if let Some(leader) = cluster.leader() {
                cluster.isolate(leader);
            }
        }
        Step::RestartLeader => {
            if let Some(leader) = cluster.leader() {
                cluster.crash(leader, 0);
                cluster.start(leader);
            }
        }
        Step::UnblockLinks => cluster.blocked_links.clear(),
        Step::Crash(vm, torn) => cluster.crash(vm, torn),
        Step::CrashAll(torn) => (0..3).for_each(|vm| cluster.crash(vm, torn)),
        Step::Start(vm) => cluster.start(vm),
        Step::Restart(vm) => {
            cluster.crash(vm, 0);
            cluster.start(vm);
        }
        Step::SetClockRate(vm, rate) => cluster.set_rate(vm, rate),
        Step::Settle(rounds) => cluster.settle(rounds),
        Step::Change(vm, number, base) => cluster.propose(vm, change(number, base)),
        Step::ChangeOnLeader(number) => {
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
        Step::TransferLeadership => {
            if let Some(leader) = cluster.leader() {
                let past = papayatray_core::clock::Millis::ZERO;
                cluster
                    .node_mut(leader)
                    .replica_mut()
                    .transfer_leadership(past);
            }
        }
    }
}

/// Loses a disk, unless another one is lost or some replica has not stored the founding members.
///
/// With two of three disks lost no quorum is left that has the committed entries.
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

/// Replaces the lost replica by the blank one on its VM, as an operator does after a lost disk.
fn replace_lost(cluster: &mut Cluster, lost: &mut Option<usize>) {
    let (Some(vm), Some(leader)) = (*lost, cluster.leader()) else {
        return;
    };
    let joining = cluster.vms[vm].id.clone();
    let replica = cluster.node(leader).replica();
    // The repair is complete only once a committed entry lists the joining replica as a voter.
    let members = replica.log().members_at(replica.commit());
    let is_voter = members.get(&joining).is_some_and(|member| member.is_voter);
    let predecessor = members.iter().map(|(id, _)| id.clone());
    let predecessor = predecessor
        .into_iter()
        .find(|id| id.vm == joining.vm && *id != joining);
    match predecessor {
        Some(predecessor) if !is_voter => {
            cluster
                .node_mut(leader)
                .replica_mut()
                .admit(&joining, Some(&predecessor));
        }
        None if is_voter => *lost = None,
        _ => {}
    }
}

fn run_with_manual_replacement(steps: Vec<Step>) {
    run_on(Cluster::new(3), steps, replace_lost);
}

/// Observes the automatic repair; clears `lost` once the joining replica is a committed voter.
fn watch_repair(cluster: &mut Cluster, lost: &mut Option<usize>) {
    let (Some(vm), Some(leader)) = (*lost, cluster.leader()) else {
        return;
    };
    // As with the daemon, a removed learner restarts as a new replica.
    cluster.reset_if_stale(vm);
    let joining = cluster.vms[vm].id.clone();
    let replica = cluster.node(leader).replica();
    let members = replica.log().members_at(replica.commit());
    let is_only_one = members.iter().filter(|(id, _)| id.vm == joining.vm).count() == 1;
    if members.is_voter(&joining) && is_only_one {
        *lost = None;
    }
}

/// Applies `steps`, ends all faults, and checks that the deployment recovers without data loss.
///
/// `repair` is called after each step and each round of the recovery, with the VM whose disk was
/// lost; it clears the VM once the VM's new replica is a voter.
fn run_on<F>(mut cluster: Cluster, steps: Vec<Step>, mut repair: F)
where
    F: FnMut(&mut Cluster, &mut Option<usize>),
{
    let mut lost = None;
    let mut nonce = 0;
    for step in steps {
        apply_step(&mut cluster, step, &mut lost, &mut nonce);
        repair(&mut cluster, &mut lost);
    }
    cluster.blocked_links.clear();
    for vm in 0..3 {
        cluster.start(vm);
    }
    for _ in 0..MAX_RECOVERY_ROUNDS {
        cluster.settle(1);
        repair(&mut cluster, &mut lost);
    }
    let leader = cluster.leader();
    assert!(
        leader.is_some(),
        "the deployment has a leader after all faults have ended\n{}",
        cluster.describe()
    );
    assert_eq!(
        lost,
        None,
        "a lost replica is replaced\n{}",
        cluster.describe()
    );
    let leader = leader.expect("a leader");
    let base = cluster.node(leader).machine().catalogue().revision.0;
    cluster.propose(leader, change(9_999, base));
    cluster.settle(20);
    cluster.check_durability();
    let expected = cluster.node(leader).machine().clone();
    for vm in 0..3 {
        assert_eq!(
            *cluster.node(vm).machine(),
            expected,
            "all state machines agree in the end"
        );
    }
}

fn config() -> ProptestConfig {
    let value = std::env::var("PAPAYATRAY_HISTORIES").ok();
    let cases = value
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_HISTORIES);
    ProptestConfig {
        cases,
        max_shrink_iters: 4_000,
        failure_persistence: Some(Box::new(FileFailurePersistence::Off)),
        rng_seed: proptest::test_runner::RngSeed::Fixed(seed()),
        ..ProptestConfig::default()
    }
}

/// Returns the seed of the histories: `PAPAYATRAY_SEED`, or a constant if it is not set.
fn seed() -> u64 {
    let value = std::env::var("PAPAYATRAY_SEED").ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(2_026)
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn invariants_hold_in_any_history_with_manual_replacement(steps in steps()) {
        run_with_manual_replacement(steps);
    }

    #[test]
    fn invariants_hold_when_messages_arrive_after_restarts_of_their_senders(
        steps in late_message_steps(),
    ) {
        run_with_manual_replacement(steps);
    }

    #[test]
    fn invariants_hold_in_any_history_with_automatic_repair(steps in steps()) {
        run_on(Cluster::self_repairing(3), steps, watch_repair);
    }
}
