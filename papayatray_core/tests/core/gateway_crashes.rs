//! Poison requests at the gateway: crashes reported by all entries quarantine a request together.

use papayatray_core::clock::Millis;
use papayatray_core::gateway::crashes::CrashTable;
use papayatray_core::id::EndpointId;
use papayatray_core::id::Fingerprint;
use papayatray_core::id::Incarnation;
use papayatray_core::suspicion::EndpointIncarnation;

const NOW: Millis = Millis::from_secs(100);
const POISON: Fingerprint = Fingerprint(7);

fn incarnation(number: u64) -> EndpointIncarnation {
    EndpointIncarnation {
        endpoint: EndpointId::new(format!("e{number}")).unwrap(),
        incarnation: Incarnation(1),
    }
}

#[test]
fn three_crashes_at_different_entries_quarantine_a_request() {
    let mut table = CrashTable::default();
    for number in 0..3 {
        assert!(!table.is_quarantined(POISON));
        let mut entry_table = CrashTable::default();
        entry_table.record_crash(POISON, incarnation(number), NOW);
        table.merge(&entry_table.suspects(), NOW);
    }
    assert!(table.is_quarantined(POISON));
}

#[test]
fn crash_reported_repeatedly_counts_once() {
    let mut table = CrashTable::default();
    for _ in 0..10 {
        table.record_crash(POISON, incarnation(1), NOW);
    }
    assert!(!table.is_quarantined(POISON));
}

#[test]
fn suspects_expire() {
    let mut table = CrashTable::default();
    for number in 0..3 {
        table.record_crash(POISON, incarnation(number), NOW);
    }
    // Suspects are kept for 120 s.
    table.merge(&[], NOW + Millis::from_secs(121));
    assert!(!table.is_quarantined(POISON));
    assert!(table.is_empty());
}

#[test]
fn number_of_suspects_is_bounded() {
    let mut table = CrashTable::default();
    for number in 0..5_000_u64 {
        table.record_crash(
            Fingerprint(u128::from(number)),
            incarnation(number),
            NOW + Millis::new(number),
        );
    }
    assert!(table.suspects().len() <= 512);
}

/// Half of the endpoints of a large fleet crash at once with full slots; a request that crashed one
/// before must not be forgotten among those that were merely in flight.
#[test]
fn mass_crash_does_not_evict_a_request_that_crashed_endpoints_before() {
    let mut table = CrashTable::default();
    table.record_crash(POISON, incarnation(1), NOW);
    table.record_crash(POISON, incarnation(2), NOW);
    for number in 0..2_000_u64 {
        let innocent = Fingerprint(u128::from(1_000 + number));
        table.record_crash(innocent, incarnation(3 + number % 40), NOW);
    }
    table.record_crash(POISON, incarnation(100), NOW);
    assert!(table.is_quarantined(POISON));
}

#[test]
fn merge_names_a_request_once_when_it_becomes_quarantined() {
    let mut table = CrashTable::default();
    let reported: Vec<usize> = (0..5)
        .map(|number| {
            let mut entry_table = CrashTable::default();
            entry_table.record_crash(POISON, incarnation(number), NOW);
            table.merge(&entry_table.suspects(), NOW).len()
        })
        .collect();
    assert_eq!(reported, vec![0, 0, 1, 0, 0]);
}
