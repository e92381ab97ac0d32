//! Directory of cached prompt prefixes, and the exchange of updates between processes.

use papayatray_core::clock::Millis;
use papayatray_core::gateway::prefix_directory::CachedPrefix;
use papayatray_core::gateway::prefix_directory::PREFIX_RETENTION;
use papayatray_core::gateway::prefix_directory::PrefixDirectory;
use papayatray_core::gateway::updates::UpdateBatch;
use papayatray_core::gateway::updates::UpdateLog;
use papayatray_core::gateway::updates::UpdateRelay;
use papayatray_core::id::EndpointId;
use papayatray_core::id::Incarnation;
use papayatray_core::id::VmId;

fn id(name: &str) -> EndpointId {
    EndpointId::new(name.to_owned()).unwrap()
}

fn cached_prefix(digest: u64, name: &str) -> CachedPrefix {
    CachedPrefix {
        digest,
        endpoint: id(name),
    }
}

#[test]
fn recorded_prefix_is_assumed_cached_until_it_expires() {
    let mut directory = PrefixDirectory::default();
    let recorded_at = Millis::from_secs(5);
    assert!(directory.record(&cached_prefix(1, "a"), recorded_at));
    let late = recorded_at + Millis::new(PREFIX_RETENTION.as_u64() - 1);
    assert!(directory.has_prefix(1, &id("a"), late));
    assert!(!directory.has_prefix(1, &id("b"), late));
    assert!(!directory.has_prefix(2, &id("a"), late));
    assert!(!directory.has_prefix(1, &id("a"), recorded_at + PREFIX_RETENTION));
}

#[test]
fn repeated_use_renews_a_prefix_and_is_sometimes_forwarded() {
    let mut directory = PrefixDirectory::default();
    let half = Millis::new(PREFIX_RETENTION.as_u64() / 2);
    assert!(directory.record(&cached_prefix(1, "a"), Millis::ZERO));
    assert!(!directory.record(&cached_prefix(1, "a"), Millis::new(100)));
    let later = half + Millis::new(200);
    assert!(directory.record(&cached_prefix(1, "a"), later));
    assert!(directory.has_prefix(1, &id("a"), PREFIX_RETENTION + Millis::new(300)));
}

#[test]
fn popular_prefix_has_several_endpoints() {
    let mut directory = PrefixDirectory::default();
    for name in ["a", "b", "c"] {
        directory.record(&cached_prefix(1, name), Millis::ZERO);
    }
    for name in ["a", "b", "c"] {
        assert!(directory.has_prefix(1, &id(name), Millis::new(1)));
    }
    // Beyond the bound, the least recently recorded endpoint is dropped.
    for n in 0..10 {
        directory.record(&cached_prefix(1, &format!("x{n}")), Millis::new(2));
    }
    assert!(!directory.has_prefix(1, &id("a"), Millis::new(3)));
    assert!(directory.has_prefix(1, &id("x9"), Millis::new(3)));
}

#[test]
fn restarted_endpoint_has_no_cached_prefixes() {
    let mut directory = PrefixDirectory::default();
    directory.record(&cached_prefix(1, "a"), Millis::ZERO);
    directory.record(&cached_prefix(1, "b"), Millis::ZERO);
    directory.forget(&id("a"));
    assert!(!directory.has_prefix(1, &id("a"), Millis::new(1)));
    assert!(directory.has_prefix(1, &id("b"), Millis::new(1)));
}

#[test]
fn number_of_prefixes_is_bounded() {
    let mut directory = PrefixDirectory::default();
    for digest in 0..100_000 {
        directory.record(&cached_prefix(digest, "a"), Millis::new(digest / 100));
    }
    assert!(directory.count() <= 2_048, "{}", directory.count());
    assert!(directory.has_prefix(99_999, &id("a"), Millis::new(1_000)));
    // One prefix recorded repeatedly, as with a caller that sends much of the traffic.
    let mut directory = PrefixDirectory::default();
    for round in 0..100_000 {
        directory.record(&cached_prefix(7, "a"), Millis::new(round));
        assert!(directory.has_prefix(7, &id("a"), Millis::new(round)));
    }
    assert_eq!(directory.count(), 1);
}

#[test]
fn reader_gets_only_the_updates_after_its_last_number() {
    let mut updates = UpdateLog::new(4);
    assert_eq!(updates.since(0).count(), 0);
    for n in 1..=3 {
        updates.push(n);
    }
    assert_eq!(updates.since(0).copied().collect::<Vec<_>>(), [1, 2, 3]);
    assert_eq!(updates.since(2).copied().collect::<Vec<_>>(), [3]);
    assert_eq!(updates.since(updates.last_number()).count(), 0);
    for n in 4..=9 {
        updates.push(n);
    }
    // Updates dropped in the meantime are skipped silently.
    assert_eq!(updates.since(3).copied().collect::<Vec<_>>(), [6, 7, 8, 9]);
    // A reader whose number comes from an earlier process gets no updates.
    assert_eq!(updates.since(100).count(), 0);
}

#[test]
fn updates_sent_again_are_skipped() {
    let sent = UpdateBatch {
        last_number: 12,
        updates: vec!["j", "k", "l"],
    };
    assert_eq!(sent.since(0).count(), 3);
    assert_eq!(sent.since(10).copied().collect::<Vec<_>>(), ["k", "l"]);
    assert_eq!(sent.since(12).count(), 0);
    assert_eq!(sent.since(40).count(), 0);
}

fn vm(name: &str) -> VmId {
    VmId::new(name.to_owned()).unwrap()
}

fn batch(last_number: u64, updates: &[u32]) -> UpdateBatch<u32> {
    UpdateBatch {
        last_number,
        updates: updates.to_vec(),
    }
}

/// After a lost reply, an entry repeats its exchange with the same updates and newer ones.
#[test]
fn relay_forwards_each_update_once_to_the_other_entries() {
    let (a, b) = (vm("a"), vm("b"));
    let mut relay = UpdateRelay::new(8);
    relay.receive(&a, Incarnation(1), &batch(2, &[10, 11]));
    relay.receive(&a, Incarnation(1), &batch(3, &[10, 11, 12]));
    relay.receive(&b, Incarnation(1), &batch(1, &[20]));
    assert_eq!(relay.updates_for(&a, 0, usize::MAX).updates, [20]);
    let first = relay.updates_for(&b, 0, usize::MAX);
    assert_eq!(first.updates, [10, 11, 12]);
    assert!(
        relay
            .updates_for(&b, first.last_number, usize::MAX)
            .updates
            .is_empty()
    );
    relay.receive(&a, Incarnation(1), &batch(4, &[13]));
    assert_eq!(
        relay.updates_for(&b, first.last_number, usize::MAX).updates,
        [13]
    );
}

#[test]
fn relay_accepts_the_first_update_of_a_restarted_entry() {
    let (a, b) = (vm("a"), vm("b"));
    let mut relay = UpdateRelay::new(8);
    relay.receive(&a, Incarnation(1), &batch(5, &[10]));
    relay.receive(&a, Incarnation(2), &batch(1, &[11]));
    assert_eq!(relay.updates_for(&b, 0, usize::MAX).updates, [10, 11]);
    // Updates of a writer that was forgotten meanwhile may be relayed twice, which is harmless.
    relay.retain(|writer| *writer != a);
    relay.receive(&a, Incarnation(2), &batch(2, &[11, 12]));
    assert_eq!(relay.updates_for(&b, 2, usize::MAX).updates, [11, 12]);
}

#[test]
fn limited_batches_deliver_each_update_once_and_in_order() {
    let mut log = UpdateLog::new(10);
    for update in 0..25 {
        log.push(update);
    }
    let mut received = Vec::new();
    let mut seen = 0;
    loop {
        let batch = log.batch_since(seen, 4);
        if batch.updates.is_empty() {
            break;
        }
        seen = batch.last_number;
        received.extend(batch.updates);
    }
    // The log keeps the last ten.
    assert_eq!(received, (15..25).collect::<Vec<_>>());
    assert_eq!(seen, 25);
}
