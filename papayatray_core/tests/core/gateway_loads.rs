//! Loads of endpoints as the leader sums and announces them.

use std::collections::BTreeMap;

use papayatray_core::gateway::load_table::EndpointWork;
use papayatray_core::gateway::load_table::LoadTable;
use papayatray_core::gateway::load_table::WorkUpdates;
use papayatray_core::id::EndpointId;
use papayatray_core::id::VmId;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;

fn entry(number: usize) -> VmId {
    VmId::new(format!("vm-{number}")).unwrap()
}

fn endpoint(number: usize) -> EndpointId {
    EndpointId::new(format!("e-{number}")).unwrap()
}

fn work(running: u32, prefill_ms: u32) -> EndpointWork {
    EndpointWork {
        running,
        prefill_ms,
    }
}

fn apply(known: &mut BTreeMap<EndpointId, EndpointWork>, updates: &WorkUpdates) {
    if updates.is_complete {
        known.clear();
    }
    known.extend(updates.changed.iter().cloned());
}

#[test]
fn sums_cover_all_entries_and_lose_those_that_are_gone() {
    let mut table = LoadTable::default();
    table.report(&entry(1), &[(endpoint(1), work(3, 200))]);
    table.report(&entry(2), &[(endpoint(1), work(4, 500))]);
    let all = table.updates_after(0);
    assert_eq!(all.changed, vec![(endpoint(1), work(7, 700))]);
    table.forget(&entry(1));
    let changes = table.updates_after(all.number);
    assert_eq!(changes.changed, vec![(endpoint(1), work(4, 500))]);
}

#[test]
fn small_changes_are_not_announced() {
    let mut table = LoadTable::default();
    table.report(&entry(1), &[(endpoint(1), work(40, 2_000))]);
    let seen = table.updates_after(0).number;
    // Five running requests are an eighth of 40, and 250 ms are an eighth of 2 s.
    table.report(&entry(1), &[(endpoint(1), work(44, 2_200))]);
    assert!(table.updates_after(seen).changed.is_empty());
    table.report(&entry(1), &[(endpoint(1), work(45, 2_200))]);
    assert_eq!(table.updates_after(seen).changed.len(), 1);
}

#[test]
fn endpoint_that_becomes_idle_is_announced() {
    let mut table = LoadTable::default();
    table.report(&entry(1), &[(endpoint(1), work(1, 0))]);
    let seen = table.updates_after(0).number;
    table.report(&entry(1), &[]);
    assert_eq!(
        table.updates_after(seen).changed,
        vec![(endpoint(1), work(0, 0))]
    );
    assert!(table.updates_after(0).changed.is_empty());
}

proptest! {
    #[test]
    fn announced_loads_stay_close_to_the_sums_however_often_they_are_read(
        reports in proptest::collection::vec(
            (0_usize..4, proptest::collection::vec((0_usize..6, 0_u32..64, 0_u32..4_000), 0..6)),
            1..60,
        ),
        reads in proptest::collection::vec(proptest::bool::ANY, 60),
    ) {
        let mut table = LoadTable::default();
        let mut latest: BTreeMap<usize, BTreeMap<usize, EndpointWork>> = BTreeMap::new();
        let mut known = BTreeMap::new();
        let mut seen = 0;
        for ((vm, loads), is_read) in reports.into_iter().zip(reads) {
            let loads: BTreeMap<usize, EndpointWork> = loads
                .into_iter()
                .map(|(id, running, prefill_ms)| (id, work(running, prefill_ms)))
                .collect();
            let reported: Vec<_> = loads.iter().map(|(id, work)| (endpoint(*id), *work)).collect();
            table.report(&entry(vm), &reported);
            latest.insert(vm, loads);
            if is_read {
                let updates = table.updates_after(seen);
                seen = updates.number;
                apply(&mut known, &updates);
            }
        }
        apply(&mut known, &table.updates_after(seen));
        for id in 0..6 {
            let of_entries = latest.values().filter_map(|loads| loads.get(&id));
            let sum = of_entries.fold(work(0, 0), |sum, work| EndpointWork {
                running: sum.running + work.running,
                prefill_ms: sum.prefill_ms + work.prefill_ms,
            });
            let announced = known.get(&endpoint(id)).copied().unwrap_or_default();
            prop_assert!(sum.running.abs_diff(announced.running) <= (announced.running / 8).max(2));
            prop_assert!(
                sum.prefill_ms.abs_diff(announced.prefill_ms) <= (announced.prefill_ms / 8).max(100)
            );
            prop_assert_eq!(sum == work(0, 0), announced == work(0, 0));
        }
    }
}
