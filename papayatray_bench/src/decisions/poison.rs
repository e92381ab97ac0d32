//! Poison requests: endpoints crashed, with the shared suspect registry and with plain retries.

use std::collections::BTreeSet;

use papayatray_core::clock::Millis;
use papayatray_core::id::Fingerprint;
use papayatray_core::id::Incarnation;
use papayatray_core::id::VmId;
use papayatray_core::suspicion::EndpointIncarnation;
use papayatray_core::suspicion::SuspectRegistry;
use papayatray_core::suspicion::TrialDecision;
use papayatray_core::suspicion::TrialRequest;
use rand::Rng;

use super::SEEDS;
use super::seeded_rng;
use crate::report::Report;

/// Number of endpoints in a simulation.
const ENDPOINT_COUNT: u64 = 24;
/// Number of entries; each send of the poison request goes to a random one.
const ENTRY_COUNT: u64 = 9;
/// Number of times that the caller sends the poison request.
const RESENDS: u64 = 100;
/// Number of harmless requests in flight on the same endpoint.
const OTHER_REQUESTS: u128 = 7;

pub(super) fn run(report: &mut Report) {
    let with_registry = (0..SEEDS)
        .map(|seed| simulate(seed, true))
        .max()
        .unwrap_or(0);
    let with_plain_retries = (0..SEEDS)
        .map(|seed| simulate(seed, false))
        .max()
        .unwrap_or(0);
    report.add("poison", "endpoints_lost", with_registry as f64);
    report.add(
        "poison",
        "endpoints_lost_by_plain_retries",
        with_plain_retries as f64,
    );
}

/// Sends a poison request repeatedly; returns the number of endpoints that it crashes.
///
/// Without the registry, each send reaches its endpoint.
fn simulate(seed: u64, is_registry_used: bool) -> usize {
    let mut rng = seeded_rng(seed);
    let mut registry = SuspectRegistry::default();
    let mut crashed = BTreeSet::new();
    let poison = Fingerprint(u128::MAX);
    for send in 0..RESENDS {
        let now = Millis::new(1_000 + send * 50);
        let endpoint = rng.random_range(0..ENDPOINT_COUNT);
        if crashed.contains(&endpoint) {
            continue;
        }
        let incarnation = EndpointIncarnation {
            endpoint: format!("endpoint-{endpoint}").parse().expect("a name"),
            incarnation: Incarnation(1),
        };
        let entry = VmId::new(format!("vm-{}", rng.random_range(0..ENTRY_COUNT))).expect("a name");
        if is_registry_used {
            let request = TrialRequest {
                fingerprint: poison,
                entry,
                nonce: send,
                incarnation: incarnation.clone(),
            };
            let decision = registry.begin_trial(&request, now);
            if !matches!(decision, TrialDecision::Granted | TrialDecision::Clear) {
                continue;
            }
        }
        crashed.insert(endpoint);
        let mut in_flight: Vec<Fingerprint> = (0..OTHER_REQUESTS)
            .map(|_| Fingerprint(rng.random_range(0..1_000)))
            .collect();
        in_flight.push(poison);
        registry.report(&incarnation, &in_flight, now);
    }
    crashed.len()
}
