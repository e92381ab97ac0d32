//! A poison request crashes at most two endpoints, and no other request is quarantined.

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

fn incarnation(endpoint: usize) -> EndpointIncarnation {
    let name = format!("endpoint-{endpoint}");
    EndpointIncarnation {
        endpoint: name.parse().unwrap(),
        incarnation: Incarnation(1),
    }
}

/// Returns a trial request; `entry` and `endpoint` are the numbers of the entry and the endpoint.
fn trial_request(
    fingerprint: Fingerprint,
    entry: usize,
    nonce: u64,
    endpoint: usize,
) -> TrialRequest {
    TrialRequest {
        fingerprint,
        entry: vm(entry),
        nonce,
        incarnation: incarnation(endpoint),
    }
}

proptest! {
    /// Callers retry a poison request at any entry, while other requests are in flight.
    #[test]
    fn poison_request_crashes_at_most_two_endpoints(
        sends in proptest::collection::vec((0..9_usize, 0..24_usize, proptest::collection::vec(0..50_u128, 0..6)), 1..60),
    ) {
        let mut registry = SuspectRegistry::default();
        let mut crashed = BTreeSet::new();
        let mut now = Millis::new(1_000);
        for (nonce, (entry, endpoint, others)) in sends.into_iter().enumerate() {
            now = now + Millis::new(10);
            let others: Vec<Fingerprint> = others.into_iter().map(Fingerprint).collect();
            let is_suspect = registry.fingerprints().contains(&POISON);
            let may_run = !is_suspect
                || registry.begin_trial(&trial_request(POISON, entry, nonce as u64, endpoint), now) == TrialDecision::Granted;
            if !may_run || crashed.contains(&endpoint) {
                registry.release_trial(POISON, &vm(entry));
                continue;
            }
            crashed.insert(endpoint);
            let mut in_flight = others.clone();
            in_flight.push(POISON);
            registry.report(&incarnation(endpoint), &in_flight, now);
            // Another entry reports the same crash without the poison request.
            registry.report(&incarnation(endpoint), &others, now);
        }
        assert!(crashed.len() <= 2, "{} endpoints crashed", crashed.len());
        // Endpoint 99 has not crashed.
        for innocent in (0..50).map(Fingerprint) {
            let decision = registry.begin_trial(&trial_request(innocent, 0, 7, 99), now);
            assert_ne!(decision, TrialDecision::Quarantined, "no other request is quarantined");
            registry.clear_suspect(innocent, &vm(0));
        }
    }
}

#[test]
fn endpoint_runs_one_trial_at_a_time() {
    let mut registry = SuspectRegistry::default();
    let now = Millis::new(1_000);
    registry.report(&incarnation(1), &[Fingerprint(1), Fingerprint(2)], now);
    assert_eq!(
        registry.begin_trial(&trial_request(Fingerprint(1), 0, 1, 2), now),
        TrialDecision::Granted
    );
    assert_eq!(
        registry.begin_trial(&trial_request(Fingerprint(2), 1, 2, 2), now),
        TrialDecision::Busy
    );
    assert_eq!(
        registry.begin_trial(&trial_request(Fingerprint(1), 1, 3, 3), now),
        TrialDecision::Busy
    );
    assert_eq!(
        registry.begin_trial(&trial_request(Fingerprint(2), 1, 4, 3), now),
        TrialDecision::Granted
    );
}

#[test]
fn trial_without_a_crash_clears_the_suspect() {
    let mut registry = SuspectRegistry::default();
    let now = Millis::new(1_000);
    registry.report(&incarnation(1), &[Fingerprint(1)], now);
    registry.begin_trial(&trial_request(Fingerprint(1), 0, 1, 2), now);
    registry.clear_suspect(Fingerprint(1), &vm(0));
    assert_eq!(
        registry.begin_trial(&trial_request(Fingerprint(1), 1, 2, 3), now),
        TrialDecision::Clear
    );
}

#[test]
fn trial_past_its_timeout_counts_as_a_crash() {
    let mut registry = SuspectRegistry::default();
    let now = Millis::new(1_000);
    registry.report(&incarnation(1), &[Fingerprint(1)], now);
    registry.begin_trial(&trial_request(Fingerprint(1), 0, 1, 2), now);
    let late = now + papayatray_core::suspicion::TRIAL_TIMEOUT;
    assert_eq!(
        registry.begin_trial(&trial_request(Fingerprint(1), 1, 2, 3), late),
        TrialDecision::Quarantined
    );
}
