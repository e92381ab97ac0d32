//! Outlier detection: slow or failing endpoints are ejected, and readmitted after a probe.

use papayatray_core::clock::Millis;
use papayatray_core::health::Health;
use papayatray_core::health::HealthStatus;
use papayatray_core::id::EndpointId;

fn id(number: usize) -> EndpointId {
    EndpointId::new(format!("endpoint-{number}")).unwrap()
}

/// Returns the state after twenty responses from each of ten endpoints, with the given latencies.
fn health_after<F>(latency: F) -> (Health, Millis)
where
    F: Fn(usize) -> u64,
{
    let mut health = Health::default();
    let mut now = Millis::new(1_000);
    for _ in 0..20 {
        for number in 0..10 {
            now = now + Millis::new(60);
            health.record_success(&id(number), Millis::new(latency(number)), now);
        }
    }
    (health, now)
}

#[test]
fn only_the_slow_endpoint_is_ejected() {
    let (health, now) = health_after(|number| if number == 3 { 900 } else { 100 });
    assert_eq!(health.status(&id(3), now), HealthStatus::Ejected);
    assert!(
        (0..10)
            .filter(|n| *n != 3)
            .all(|n| health.status(&id(n), now) == HealthStatus::Normal)
    );
}

#[test]
fn few_endpoints_are_ejected_if_most_are_slow() {
    let (health, now) = health_after(|number| if number < 8 { 900 } else { 100 });
    let ejected = (0..10)
        .filter(|n| health.status(&id(*n), now) == HealthStatus::Ejected)
        .count();
    assert!(ejected <= 4, "{ejected} ejected");
    let (health, now) = health_after(|_| 5_000);
    assert!((0..10).all(|n| health.status(&id(n), now) == HealthStatus::Normal));
}

#[test]
fn unreachable_endpoint_recovers_by_probing() {
    let (mut health, now) = health_after(|_| 100);
    health.record_unreachable(&id(1), now);
    assert_eq!(health.status(&id(1), now), HealthStatus::Ejected);
    let later = now + Millis::from_secs(5);
    assert_eq!(health.status(&id(1), later), HealthStatus::Probe);
    health.record_failure(&id(1), later);
    assert_eq!(
        health.status(&id(1), later),
        HealthStatus::Ejected,
        "a failed probe ejects the endpoint again"
    );
    let much_later = later + Millis::from_secs(10);
    assert_eq!(health.status(&id(1), much_later), HealthStatus::Probe);
    health.record_success(&id(1), Millis::new(100), much_later);
    assert_eq!(health.status(&id(1), much_later), HealthStatus::Normal);
}
