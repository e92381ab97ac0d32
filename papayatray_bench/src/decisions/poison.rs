//! Poison requests: endpoints lost, with shared suspicion and with plain retries.

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
use super::random;
use crate::report::Report;

/// Endpoints of a run.
const ENDPOINTS: u64 = 24;
/// Entries at which the request is sent again.
const ENTRIES: u64 = 9;
/// Times that its caller sends the request.
const SENDS: u64 = 100;
/// Innocent requests in flight beside it.
const COMPANY: u128 = 7;

pub(super) fn run(report: &mut Report) {
    let lost = (0..SEEDS).map(|seed| play(seed, true)).max().unwrap_or(0);
    let plain = (0..SEEDS).map(|seed| play(seed, false)).max().unwrap_or(0);
    report.add("poison", "endpoints_lost", lost as f64);
    report.add("poison", "endpoints_lost_by_plain_retries", plain as f64);
}

fn play(seed: u64, is_shared: bool) -> usize {
    let mut random = random(seed);
    let mut suspicion = SuspectRegistry::default();
    let mut lost = BTreeSet::new();
    let poison = Fingerprint(u128::MAX);
    for send in 0..SENDS {
        let now = Millis::new(1_000 + send * 50);
        let endpoint = random.random_range(0..ENDPOINTS);
        if lost.contains(&endpoint) {
            continue;
        }
        let life = EndpointIncarnation {
            endpoint: format!("endpoint-{endpoint}").parse().expect("a name"),
            incarnation: Incarnation(1),
        };
        let entry = VmId::new(format!("vm-{}", random.random_range(0..ENTRIES))).expect("a name");
        if is_shared {
            let wish = TrialRequest {
                fingerprint: poison,
                entry,
                nonce: send,
                incarnation: life.clone(),
            };
            let answer = suspicion.begin_trial(&wish, now);
            if !matches!(answer, TrialDecision::Granted | TrialDecision::Clear) {
                continue;
            }
        }
        lost.insert(endpoint);
        let mut aboard: Vec<Fingerprint> = (0..COMPANY)
            .map(|_| Fingerprint(random.random_range(0..1_000)))
            .collect();
        aboard.push(poison);
        suspicion.report(&life, &aboard, now);
    }
    lost.len()
}
