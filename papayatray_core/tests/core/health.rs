//! A slow or failing endpoint is set aside by comparison with its peers, and let back slowly.

use papayatray_core::clock::Millis;
use papayatray_core::health::Health;
use papayatray_core::health::HealthStatus;
use papayatray_core::id::EndpointId;

fn id(number: usize) -> EndpointId {
    EndpointId::new(format!("endpoint-{number}")).unwrap()
}

/// Returns the health of ten endpoints after twenty answers each, by their latencies.
fn after<F>(latency: F) -> (Health, Millis)
where
    F: Fn(usize) -> u64,
{
    let mut health = Health::default();
    let mut now = Millis::new(1_000);
    for _ in 0..20 {
        for number in 0..10 {
            now = now + Millis::new(60);
            health.succeeded(&id(number), Millis::new(latency(number)), now);
        }
    }
    (health, now)
}

#[test]
fn slow_endpoint_is_set_aside_and_the_others_stay() {
    let (health, now) = after(|number| if number == 3 { 900 } else { 100 });
    assert_eq!(health.standing(&id(3), now), HealthStatus::Ejected);
    assert!(
        (0..10)
            .filter(|n| *n != 3)
            .all(|n| health.standing(&id(n), now) == HealthStatus::Normal)
    );
}

#[test]
fn nobody_is_set_aside_when_most_are_slow() {
    let (health, now) = after(|number| if number < 8 { 900 } else { 100 });
    let aside = (0..10)
        .filter(|n| health.standing(&id(*n), now) == HealthStatus::Ejected)
        .count();
    assert!(aside <= 4, "{aside} aside");
    let (health, now) = after(|_| 5_000);
    assert!((0..10).all(|n| health.standing(&id(n), now) == HealthStatus::Normal));
}

#[test]
fn lost_endpoint_comes_back_by_one_probe_at_a_time() {
    let (mut health, now) = after(|_| 100);
    health.lost(&id(1), now);
    assert_eq!(health.standing(&id(1), now), HealthStatus::Ejected);
    let later = now + Millis::from_secs(5);
    assert_eq!(health.standing(&id(1), later), HealthStatus::Probe);
    health.failed(&id(1), later);
    assert_eq!(
        health.standing(&id(1), later),
        HealthStatus::Ejected,
        "a failed probe waits longer"
    );
    let much_later = later + Millis::from_secs(10);
    assert_eq!(health.standing(&id(1), much_later), HealthStatus::Probe);
    health.succeeded(&id(1), Millis::new(100), much_later);
    assert_eq!(health.standing(&id(1), much_later), HealthStatus::Normal);
}
