//! A non-idempotent request runs at most once, and each request is billed once.

use papayatray_core::claim::CLAIM_RETENTION;
use papayatray_core::claim::ClaimDecision;
use papayatray_core::claim::ClaimRequest;
use papayatray_core::claim::Claims;
use papayatray_core::claim::StoredResponse;
use papayatray_core::clock::Millis;
use papayatray_core::id::RequestId;
use papayatray_core::id::RequestKey;
use papayatray_core::ledger::Bill;
use papayatray_core::ledger::Ledger;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::prop_oneof;
use proptest::proptest;

use crate::fixture::organisation;
use crate::fixture::vm;

fn key(number: usize) -> RequestKey {
    let request = RequestId::new(format!("r{number}")).unwrap();
    RequestKey {
        organisation: organisation("mill"),
        request,
    }
}

/// Returns a claim request; `request` and `entry` are the numbers of the request and the entry.
fn claim_request(request: usize, entry: usize, nonce: u64) -> ClaimRequest {
    let span = Millis::new(100);
    ClaimRequest {
        key: key(request),
        entry: vm(entry),
        nonce,
        body: 1,
        span,
    }
}

fn stored_response() -> StoredResponse {
    StoredResponse {
        status: 200,
        media: "text/plain".to_owned(),
        body: Some(b"ok".to_vec()),
    }
}

fn bill(request: usize, entry: usize) -> Bill {
    Bill {
        key: key(request),
        subject: "wiki".to_owned(),
        tokens_in: 0,
        tokens_out: 0,
        cost: 5,
        entry: vm(entry),
    }
}

/// Step on a request, given by its number, by the entry whose number follows if there is one.
#[derive(Clone, Debug)]
enum Step {
    Claim(usize, usize),
    Finish(usize),
    Release(usize, usize),
    Bill(usize, usize),
    /// Time advances by this many milliseconds.
    AdvanceTime(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..4_usize, 0..3_usize).prop_map(|(r, e)| Step::Claim(r, e)),
        1 => (0..4_usize).prop_map(Step::Finish),
        1 => (0..4_usize, 0..3_usize).prop_map(|(r, e)| Step::Release(r, e)),
        2 => (0..4_usize, 0..3_usize).prop_map(|(r, e)| Step::Bill(r, e)),
        1 => prop_oneof![Just(50), Just(200)].prop_map(Step::AdvanceTime),
    ];
    proptest::collection::vec(step, 1..80)
}

proptest! {
    #[test]
    fn request_runs_at_most_once_and_is_billed_once(steps in steps()) {
        let mut claims = Claims::default();
        let mut ledger = Ledger::default();
        let mut now = Millis::new(1_000);
        let mut holders: std::collections::BTreeMap<usize, usize> = std::collections::BTreeMap::new();
        let mut billed = std::collections::BTreeSet::new();
        for (nonce, step) in steps.into_iter().enumerate() {
            match step {
                Step::Claim(request, entry) => {
                    if claims.claim(&claim_request(request, entry, nonce as u64), now) == ClaimDecision::Granted {
                        assert_eq!(holders.insert(request, entry), None, "granted twice");
                    }
                }
                Step::Finish(request) => claims.finish(&key(request), stored_response()),
                Step::Release(request, entry) => {
                    claims.release(&key(request), &vm(entry));
                    // No `Step::Claim` uses this nonce.
                    let again = claims.claim(&claim_request(request, entry, u64::MAX), now);
                    if again == ClaimDecision::Granted {
                        // The claim was released by its holder, or there was none.
                        assert!(holders.get(&request).is_none_or(|holder| *holder == entry));
                        holders.insert(request, entry);
                    }
                }
                Step::Bill(request, entry) => {
                    let is_first = ledger.record(&bill(request, entry), now);
                    assert_eq!(is_first, billed.insert(request));
                }
                Step::AdvanceTime(millis) => now = now + Millis::new(millis),
            }
        }
        let sum: u64 = ledger.totals().values().map(|total| total.requests).sum();
        assert_eq!(sum, billed.len() as u64);
    }
}

#[test]
fn repeated_claim_returns_the_state_of_the_first() {
    let mut claims = Claims::default();
    let now = Millis::new(1_000);
    assert_eq!(
        claims.claim(&claim_request(1, 0, 1), now),
        ClaimDecision::Granted
    );
    assert_eq!(
        claims.claim(&claim_request(1, 0, 1), now),
        ClaimDecision::Granted,
        "the same claim request again"
    );
    assert_eq!(
        claims.claim(&claim_request(1, 1, 2), now),
        ClaimDecision::InProgress(vm(0))
    );
    let late = now + Millis::new(101);
    assert_eq!(
        claims.claim(&claim_request(1, 1, 3), late),
        ClaimDecision::Unknown
    );
    claims.finish(&key(1), stored_response());
    assert_eq!(
        claims.claim(&claim_request(1, 1, 4), late),
        ClaimDecision::Done(stored_response())
    );
    let other = ClaimRequest {
        body: 2,
        ..claim_request(1, 1, 5)
    };
    assert_eq!(claims.claim(&other, late), ClaimDecision::Mismatch);
}

#[test]
fn claims_and_bills_expire_and_totals_stay() {
    let mut claims = Claims::default();
    let mut ledger = Ledger::default();
    for request in 0..100 {
        let at = Millis::new(1_000 + request as u64);
        claims.claim(&claim_request(request, 0, 0), at);
        ledger.record(&bill(request, 0), at);
    }
    let late = Millis::new(2_000) + CLAIM_RETENTION;
    claims.claim(&claim_request(999, 0, 0), late);
    ledger.record(&bill(999, 0), late);
    assert_eq!(claims.len(), 1);
    assert_eq!(ledger.lines().count(), 1);
    let sum: u64 = ledger.totals().values().map(|total| total.requests).sum();
    assert_eq!(sum, 101);
}
