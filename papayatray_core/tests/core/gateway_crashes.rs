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
    let mut all = CrashTable::default();
    for number in 0..3 {
        assert!(!all.is_quarantined(POISON));
        let mut entry = CrashTable::default();
        entry.record_crash(POISON, incarnation(number), NOW);
        all.merge(&entry.suspects(), NOW);
    }
    assert!(all.is_quarantined(POISON));
}

#[test]
fn crash_reported_repeatedly_counts_once() {
    let mut all = CrashTable::default();
    for _ in 0..10 {
        all.record_crash(POISON, incarnation(1), NOW);
    }
    assert!(!all.is_quarantined(POISON));
}

#[test]
fn suspects_expire() {
    let mut all = CrashTable::default();
    for number in 0..3 {
        all.record_crash(POISON, incarnation(number), NOW);
    }
    all.merge(&[], NOW + Millis::from_secs(121));
    assert!(!all.is_quarantined(POISON));
    assert!(all.is_empty());
}

#[test]
fn number_of_suspects_is_bounded() {
    let mut all = CrashTable::default();
    for number in 0..5_000_u64 {
        all.record_crash(
            Fingerprint(u128::from(number)),
            incarnation(number),
            NOW + Millis::new(number),
        );
    }
    assert!(all.suspects().len() <= 512);
}
