//! Choice of the entry that passes requests on.

use papayatray_core::clock::Millis;
use papayatray_core::gateway::hops::HopCandidate;
use papayatray_core::gateway::hops::HopTable;
use papayatray_core::id::VmId;

const NOW: Millis = Millis::from_secs(10);

fn vms(count: usize) -> Vec<VmId> {
    let names = (0..count).map(|number| VmId::new(format!("vm-{number}")).unwrap());
    names.collect()
}

/// Returns the entries as candidates, of which those with these numbers are near.
fn candidates<'a>(vms: &'a [VmId], near: &[usize]) -> Vec<HopCandidate<'a>> {
    let all = vms.iter().enumerate().map(|(number, vm)| HopCandidate {
        vm,
        is_near: near.contains(&number),
    });
    all.collect()
}

/// Returns numbers that are spread over the whole range.
fn draws() -> impl Iterator<Item = [u32; 2]> {
    let spread = |number: u32| number.wrapping_mul(0x9e37_79b1) >> 8;
    (1..200).map(move |number| [spread(number), spread(number + 1_000)])
}

#[test]
fn near_entries_are_picked_and_share_the_requests() {
    let vms = vms(10);
    let candidates = candidates(&vms, &[2, 5, 7]);
    let mut table = HopTable::default();
    let mut counts = [0_u32; 10];
    for draw in draws() {
        let picked = table.pick(&candidates, draw, NOW).unwrap();
        let number = vms.iter().position(|vm| vm == picked).unwrap();
        counts[number] += 1;
        table.start(picked);
    }
    let sum: u32 = [2, 5, 7].map(|number: usize| counts[number]).iter().sum();
    assert_eq!(sum, 199, "{counts:?}");
    assert!(counts[2].abs_diff(counts[5]) <= 10, "{counts:?}");
    assert!(counts[2].abs_diff(counts[7]) <= 10, "{counts:?}");
}

#[test]
fn entry_that_failed_is_avoided_for_a_second() {
    let vms = vms(2);
    let candidates = candidates(&vms, &[0]);
    let mut table = HopTable::default();
    table.avoid(&vms[0], NOW);
    assert_eq!(table.pick(&candidates, [0, 0], NOW), Some(&vms[1]));
    table.avoid(&vms[1], NOW);
    assert_eq!(table.pick(&candidates, [0, 0], NOW), None);
    let later = NOW + Millis::from_secs(1);
    assert_eq!(table.pick(&candidates, [0, 0], later), Some(&vms[0]));
}

#[test]
fn entry_gets_no_more_requests_than_its_bound() {
    let vms = vms(1);
    let candidates = candidates(&vms, &[]);
    let mut table = HopTable::default();
    let mut sent = 0;
    while let Some(vm) = table.pick(&candidates, [0, 0], NOW) {
        table.start(vm);
        sent += 1;
        assert!(sent <= 1_000);
    }
    assert_eq!(sent, 128);
    table.end(&vms[0]);
    assert!(table.pick(&candidates, [0, 0], NOW).is_some());
}
