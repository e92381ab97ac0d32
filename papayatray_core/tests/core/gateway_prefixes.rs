//! Prefixes of prompts that endpoints keep, and notes about them between processes.

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

fn read(digest: u64, name: &str) -> CachedPrefix {
    CachedPrefix {
        digest,
        endpoint: id(name),
    }
}

#[test]
fn endpoint_keeps_what_it_has_read_for_a_while() {
    let mut directory = PrefixDirectory::default();
    let begin = Millis::from_secs(5);
    assert!(directory.record(&read(1, "a"), begin));
    let late = begin + Millis::new(PREFIX_RETENTION.as_u64() - 1);
    assert!(directory.has_prefix(1, &id("a"), late));
    assert!(!directory.has_prefix(1, &id("b"), late));
    assert!(!directory.has_prefix(2, &id("a"), late));
    assert!(!directory.has_prefix(1, &id("a"), begin + PREFIX_RETENTION));
}

#[test]
fn use_makes_it_kept_longer_and_is_passed_on_now_and_then() {
    let mut directory = PrefixDirectory::default();
    let half = Millis::new(PREFIX_RETENTION.as_u64() / 2);
    assert!(directory.record(&read(1, "a"), Millis::ZERO));
    assert!(!directory.record(&read(1, "a"), Millis::new(100)));
    let later = half + Millis::new(200);
    assert!(directory.record(&read(1, "a"), later));
    assert!(directory.has_prefix(1, &id("a"), PREFIX_RETENTION + Millis::new(300)));
}

#[test]
fn popular_prefix_is_kept_at_several_endpoints() {
    let mut directory = PrefixDirectory::default();
    for name in ["a", "b", "c"] {
        directory.record(&read(1, name), Millis::ZERO);
    }
    for name in ["a", "b", "c"] {
        assert!(directory.has_prefix(1, &id(name), Millis::new(1)));
    }
    // Beyond a few, the least lately noted is left out.
    for n in 0..10 {
        directory.record(&read(1, &format!("x{n}")), Millis::new(2));
    }
    assert!(!directory.has_prefix(1, &id("a"), Millis::new(3)));
    assert!(directory.has_prefix(1, &id("x9"), Millis::new(3)));
}

#[test]
fn endpoint_that_starts_anew_keeps_nothing() {
    let mut directory = PrefixDirectory::default();
    directory.record(&read(1, "a"), Millis::ZERO);
    directory.record(&read(1, "b"), Millis::ZERO);
    directory.forget(&id("a"));
    assert!(!directory.has_prefix(1, &id("a"), Millis::new(1)));
    assert!(directory.has_prefix(1, &id("b"), Millis::new(1)));
}

#[test]
fn memory_of_prefixes_is_bounded() {
    let mut directory = PrefixDirectory::default();
    for digest in 0..100_000 {
        directory.record(&read(digest, "a"), Millis::new(digest / 100));
    }
    assert!(directory.count() <= 2_048, "{}", directory.count());
    assert!(directory.has_prefix(99_999, &id("a"), Millis::new(1_000)));
    // The same prefix over and over, as with one key that gets much of the traffic.
    let mut directory = PrefixDirectory::default();
    for round in 0..100_000 {
        directory.record(&read(7, "a"), Millis::new(round));
        assert!(directory.has_prefix(7, &id("a"), Millis::new(round)));
    }
    assert_eq!(directory.count(), 1);
}

#[test]
fn each_note_is_given_once_to_those_who_ask_for_what_is_new() {
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
    // Of those that were dropped meanwhile nothing is said.
    assert_eq!(updates.since(3).copied().collect::<Vec<_>>(), [6, 7, 8, 9]);
    // A reader that has seen the numbers of an earlier process is told nothing older.
    assert_eq!(updates.since(100).count(), 0);
}

#[test]
fn notes_sent_again_are_taken_once() {
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

/// A question whose answer was lost is asked again with the same notes and newer ones.
#[test]
fn each_entry_hears_of_the_others_notes_once() {
    let (a, b) = (vm("a"), vm("b"));
    let mut relay = UpdateRelay::new(8);
    relay.receive(&a, Incarnation(1), &batch(2, &[10, 11]));
    relay.receive(&a, Incarnation(1), &batch(3, &[10, 11, 12]));
    relay.receive(&b, Incarnation(1), &batch(1, &[20]));
    assert_eq!(relay.updates_for(&a, 0).updates, [20]);
    let first = relay.updates_for(&b, 0);
    assert_eq!(first.updates, [10, 11, 12]);
    assert!(relay.updates_for(&b, first.last_number).updates.is_empty());
    relay.receive(&a, Incarnation(1), &batch(4, &[13]));
    assert_eq!(relay.updates_for(&b, first.last_number).updates, [13]);
}

#[test]
fn entry_that_starts_anew_is_heard_from_its_first_note() {
    let (a, b) = (vm("a"), vm("b"));
    let mut relay = UpdateRelay::new(8);
    relay.receive(&a, Incarnation(1), &batch(5, &[10]));
    relay.receive(&a, Incarnation(2), &batch(1, &[11]));
    assert_eq!(relay.updates_for(&b, 0).updates, [10, 11]);
    // A writer that was left out for a while may be heard twice, which does no harm.
    relay.retain(|writer| *writer != a);
    relay.receive(&a, Incarnation(2), &batch(2, &[11, 12]));
    assert_eq!(relay.updates_for(&b, 2).updates, [11, 12]);
}
