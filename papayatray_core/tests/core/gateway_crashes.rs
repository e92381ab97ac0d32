//! Requests that crash endpoints, counted over several entries.

use papayatray_core::clock::Millis;
use papayatray_core::gateway::crashes::CrashTable;
use papayatray_core::id::EndpointId;
use papayatray_core::id::Fingerprint;
use papayatray_core::id::Incarnation;
use papayatray_core::suspicion::EndpointIncarnation;

const NOW: Millis = Millis::from_secs(100);
const POISON: Fingerprint = Fingerprint(7);

fn life(number: u64) -> EndpointIncarnation {
    EndpointIncarnation {
        endpoint: EndpointId::new(format!("e{number}")).unwrap(),
        incarnation: Incarnation(1),
    }
}

#[test]
fn three_crashes_seen_by_different_entries_condemn_a_request() {
    let mut all = CrashTable::default();
    for number in 0..3 {
        assert!(!all.is_quarantined(POISON));
        let mut entry = CrashTable::default();
        entry.note(POISON, life(number), NOW);
        all.merge(&entry.suspects(), NOW);
    }
    assert!(all.is_quarantined(POISON));
}

#[test]
fn one_crash_told_many_times_counts_once() {
    let mut all = CrashTable::default();
    for _ in 0..10 {
        all.note(POISON, life(1), NOW);
    }
    assert!(!all.is_quarantined(POISON));
}

#[test]
fn suspicion_ends_with_time() {
    let mut all = CrashTable::default();
    for number in 0..3 {
        all.note(POISON, life(number), NOW);
    }
    all.merge(&[], NOW + Millis::from_secs(121));
    assert!(!all.is_quarantined(POISON));
    assert!(all.is_empty());
}

#[test]
fn suspects_of_many_crashes_stay_bounded() {
    let mut all = CrashTable::default();
    for number in 0..5_000_u64 {
        all.note(
            Fingerprint(u128::from(number)),
            life(number),
            NOW + Millis::new(number),
        );
    }
    assert!(all.suspects().len() <= 512);
}
