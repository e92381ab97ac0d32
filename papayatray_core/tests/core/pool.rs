//! Pools pick endpoints by load, data centre and cached prefix; directories expire endpoints.

use papayatray_core::clock::Millis;
use papayatray_core::directory::Directory;
use papayatray_core::directory::ENDPOINT_TTL;
use papayatray_core::id::EndpointId;
use papayatray_core::pool::EndpointCriteria;
use papayatray_core::pool::Pool;
use proptest::proptest;

use crate::fixture::data_centre;
use crate::fixture::endpoint;

/// Returns a pool of `count` endpoints with four slots each.
fn pool(count: u64) -> Pool {
    let mut pool = Pool::default();
    for number in 0..count {
        pool.put(&endpoint(number, &["cheap@1"], 4), Millis::new(1_000));
    }
    pool
}

/// Picks an endpoint for an entry in `aviles`, where the endpoints with even numbers are.
fn pick(pool: &Pool, draw: u64, prefix: Option<u64>, now: Millis) -> Option<EndpointId> {
    let near = data_centre("aviles");
    let criteria = EndpointCriteria {
        near: &near,
        avoid: &[],
        prefix,
        draw,
    };
    pool.pick(&criteria, now).map(|member| member.id.clone())
}

proptest! {
    #[test]
    fn picks_spread_evenly_over_equal_endpoints(count in 1..60_u64, draws in proptest::collection::vec(0..u64::MAX, 400)) {
        let mut pool = pool(count);
        let now = Millis::new(1_000);
        for draw in draws {
            let id = pick(&pool, draw, None, now).unwrap();
            pool.begin(&id);
        }
        let highest = pool.members().iter().map(|m| m.in_flight).max().unwrap();
        let even = 400_u32.div_ceil(u32::try_from(count).unwrap());
        assert!(highest <= even * 2 + 3, "{highest} on one endpoint, {even} would be even");
    }

    #[test]
    fn removed_endpoint_is_never_picked(draws in proptest::collection::vec(0..u64::MAX, 50), removed in 0..6_u64) {
        let mut pool = pool(6);
        let id = endpoint(removed, &["cheap@1"], 4).id;
        pool.remove(&id);
        for draw in draws {
            assert_ne!(pick(&pool, draw, None, Millis::new(1_000)).unwrap(), id);
        }
        assert_eq!(pool.members().len(), 5);
    }
}

#[test]
fn near_endpoint_is_preferred_until_it_is_busier() {
    let mut pool = pool(2);
    let now = Millis::new(1_000);
    let near = endpoint(0, &["cheap@1"], 4).id;
    assert_eq!(pick(&pool, 7, None, now), Some(near.clone()));
    pool.begin(&near);
    pool.begin(&near);
    assert_ne!(pick(&pool, 7, None, now), Some(near));
}

#[test]
fn endpoint_with_cached_prefix_is_preferred_while_it_has_room() {
    let mut pool = pool(4);
    let now = Millis::new(1_000);
    let holder = endpoint(3, &["cheap@1"], 4).id;
    pool.record_prefix(77, &holder, now);
    assert_eq!(pick(&pool, 5, Some(77), now), Some(holder.clone()));
    for _ in 0..4 {
        pool.begin(&holder);
    }
    assert_ne!(
        pick(&pool, 5, Some(77), now),
        Some(holder),
        "an endpoint without a free slot is not preferred"
    );
}

#[test]
fn old_load_report_loses_its_weight() {
    let mut pool = pool(2);
    let mut loaded = endpoint(0, &["cheap@1"], 4);
    loaded.sequence = 2;
    loaded.load.running = 4;
    pool.put(&loaded, Millis::new(1_000));
    assert_ne!(
        pick(&pool, 7, None, Millis::new(1_000)),
        Some(loaded.id.clone())
    );
    assert_eq!(pick(&pool, 7, None, Millis::new(60_000)), Some(loaded.id));
}

#[test]
fn deregistration_holds_for_the_whole_incarnation() {
    let mut directory = Directory::default();
    let now = Millis::new(1_000);
    let first = endpoint(1, &["cheap@1"], 4);
    assert!(directory.merge(&first, now));
    directory.deregister(&first.id, now);
    let mut delayed = first.clone();
    delayed.sequence = 9;
    directory.merge(&delayed, now);
    assert_eq!(directory.accepting().count(), 0);
    let mut restarted = first;
    restarted.incarnation = restarted.incarnation.next();
    directory.merge(&restarted, now);
    assert_eq!(
        directory.accepting().count(),
        1,
        "a new incarnation is registered"
    );
}

#[test]
fn endpoint_without_heartbeat_expires() {
    let mut directory = Directory::default();
    let now = Millis::new(1_000);
    let first = endpoint(1, &["cheap@1"], 4);
    directory.merge(&first, now);
    assert!(directory.expire(now + ENDPOINT_TTL).is_empty());
    assert_eq!(
        directory.expire(now + ENDPOINT_TTL + Millis::new(1)),
        [first]
    );
}
