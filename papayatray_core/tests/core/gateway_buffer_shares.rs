//! Shares of the buffers of an entry.

use papayatray_core::gateway::buffer_shares::BufferShares;
use papayatray_core::gateway::buffer_shares::Exhausted;
use proptest::prelude::ProptestConfig;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;

const CAPACITY: usize = 1_200;

fn take_all(shares: &mut BufferShares<u32>, source: u32) -> usize {
    let mut held = 0;
    while shares.reserve(&source, 1).is_ok() {
        held += 1;
    }
    held
}

#[test]
fn one_source_leaves_half_of_the_buffers_to_others() {
    let mut shares = BufferShares::new(CAPACITY);
    assert_eq!(take_all(&mut shares, 1), CAPACITY / 2);
    assert_eq!(shares.reserve(&1, 1), Err(Exhausted::Share));
    assert_eq!(shares.reserve(&2, CAPACITY / 4), Ok(()));
}

#[test]
fn small_body_beside_many_large_sources_is_refused_for_the_pool() {
    let mut shares = BufferShares::new(CAPACITY);
    for source in 1..=30 {
        take_all(&mut shares, source);
    }
    assert_eq!(shares.reserve(&31, 2), Err(Exhausted::Pool));
}

#[test]
fn released_bytes_are_granted_again() {
    let mut shares = BufferShares::new(CAPACITY);
    let held = take_all(&mut shares, 1);
    shares.release(&1, held);
    assert_eq!(shares.used(), 0);
    assert_eq!(take_all(&mut shares, 2), held);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn no_source_holds_more_than_half_and_all_together_no_more_than_the_capacity(
        steps in proptest::collection::vec((0_u32..6, 0_usize..700, proptest::bool::ANY), 1..80),
    ) {
        let mut shares = BufferShares::new(CAPACITY);
        let mut held = std::collections::BTreeMap::<u32, usize>::new();
        for (source, bytes, is_reservation) in steps {
            let own = held.entry(source).or_default();
            if !is_reservation {
                shares.release(&source, (*own).min(bytes));
                *own -= (*own).min(bytes);
            } else if shares.reserve(&source, bytes).is_ok() {
                *own += bytes;
            }
            let used: usize = held.values().sum();
            prop_assert_eq!(shares.used(), used);
            prop_assert!(used <= CAPACITY);
            prop_assert!(held.values().all(|own| *own <= CAPACITY / 2));
        }
    }
}
