//! One poison request costs two endpoints at most, and the innocent go free.

use std::collections::BTreeSet;

use papayatray_core::clock::Millis;
use papayatray_core::id::Fingerprint;
use papayatray_core::id::Incarnation;
use papayatray_core::suspicion::EndpointIncarnation;
use papayatray_core::suspicion::SuspectRegistry;
use papayatray_core::suspicion::TrialDecision;
use papayatray_core::suspicion::TrialRequest;
use proptest::proptest;

use crate::fixture::vm;

const POISON: Fingerprint = Fingerprint(666);

fn life(endpoint: usize) -> EndpointIncarnation {
    let name = format!("endpoint-{endpoint}");
    EndpointIncarnation {
        endpoint: name.parse().unwrap(),
        incarnation: Incarnation(1),
    }
}

fn wish(fingerprint: Fingerprint, entry: usize, nonce: u64, endpoint: usize) -> TrialRequest {
    TrialRequest {
        fingerprint,
        entry: vm(entry),
        nonce,
        life: life(endpoint),
    }
}

proptest! {
    /// Callers send the poison again and again at any entry, among others in flight.
    #[test]
    fn poison_costs_at_most_two_endpoints(
        sends in proptest::collection::vec((0..9_usize, 0..24_usize, proptest::collection::vec(0..50_u128, 0..6)), 1..60),
    ) {
        let mut suspicion = SuspectRegistry::default();
        let mut lost = BTreeSet::new();
        let mut now = Millis::new(1_000);
        for (nonce, (entry, endpoint, company)) in sends.into_iter().enumerate() {
            now = now + Millis::new(10);
            let company: Vec<Fingerprint> = company.into_iter().map(Fingerprint).collect();
            let is_suspect = suspicion.fingerprints().contains(&POISON);
            let may_run = !is_suspect
                || suspicion.begin(&wish(POISON, entry, nonce as u64, endpoint), now) == TrialDecision::Granted;
            if !may_run || lost.contains(&endpoint) {
                suspicion.release_trial(POISON, &vm(entry));
                continue;
            }
            lost.insert(endpoint);
            let mut aboard = company.clone();
            aboard.push(POISON);
            suspicion.report(&life(endpoint), &aboard, now);
            // Another entry tells of the same crash, without the poison.
            suspicion.report(&life(endpoint), &company, now);
        }
        assert!(lost.len() <= 2, "{} endpoints lost", lost.len());
        for innocent in (0..50).map(Fingerprint) {
            let answer = suspicion.begin(&wish(innocent, 0, 7, 99), now);
            assert_ne!(answer, TrialDecision::Condemned, "an innocent is not condemned");
            suspicion.clear_suspect(innocent, &vm(0));
        }
    }
}

#[test]
fn two_suspects_are_not_tried_on_one_endpoint() {
    let mut suspicion = SuspectRegistry::default();
    let now = Millis::new(1_000);
    suspicion.report(&life(1), &[Fingerprint(1), Fingerprint(2)], now);
    assert_eq!(
        suspicion.begin(&wish(Fingerprint(1), 0, 1, 2), now),
        TrialDecision::Granted
    );
    assert_eq!(
        suspicion.begin(&wish(Fingerprint(2), 1, 2, 2), now),
        TrialDecision::Busy
    );
    assert_eq!(
        suspicion.begin(&wish(Fingerprint(1), 1, 3, 3), now),
        TrialDecision::Busy
    );
    assert_eq!(
        suspicion.begin(&wish(Fingerprint(2), 1, 4, 3), now),
        TrialDecision::Granted
    );
}

#[test]
fn trial_that_ends_well_acquits() {
    let mut suspicion = SuspectRegistry::default();
    let now = Millis::new(1_000);
    suspicion.report(&life(1), &[Fingerprint(1)], now);
    suspicion.begin(&wish(Fingerprint(1), 0, 1, 2), now);
    suspicion.clear_suspect(Fingerprint(1), &vm(0));
    assert_eq!(
        suspicion.begin(&wish(Fingerprint(1), 1, 2, 3), now),
        TrialDecision::Clear
    );
}

#[test]
fn trial_whose_entry_vanished_counts_as_a_crash() {
    let mut suspicion = SuspectRegistry::default();
    let now = Millis::new(1_000);
    suspicion.report(&life(1), &[Fingerprint(1)], now);
    suspicion.begin(&wish(Fingerprint(1), 0, 1, 2), now);
    let late = now + papayatray_core::suspicion::TRIAL_LIMIT;
    assert_eq!(
        suspicion.begin(&wish(Fingerprint(1), 1, 2, 3), late),
        TrialDecision::Condemned
    );
}
