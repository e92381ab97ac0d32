//! Prefixes of prompts that endpoints keep, and notes about them between processes.

use papayatray_core::clock::Millis;
use papayatray_core::gateway::notes::UpdateBatch;
use papayatray_core::gateway::notes::UpdateLog;
use papayatray_core::gateway::notes::UpdateRelay;
use papayatray_core::gateway::warmth::CachedPrefix;
use papayatray_core::gateway::warmth::KEPT;
use papayatray_core::gateway::warmth::PrefixDirectory;
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
    let mut warmth = PrefixDirectory::default();
    let begin = Millis::from_secs(5);
    assert!(warmth.note(&read(1, "a"), begin));
    let late = begin + Millis::new(KEPT.as_u64() - 1);
    assert!(warmth.has_prefix(1, &id("a"), late));
    assert!(!warmth.has_prefix(1, &id("b"), late));
    assert!(!warmth.has_prefix(2, &id("a"), late));
    assert!(!warmth.has_prefix(1, &id("a"), begin + KEPT));
}

#[test]
fn use_makes_it_kept_longer_and_is_passed_on_now_and_then() {
    let mut warmth = PrefixDirectory::default();
    let half = Millis::new(KEPT.as_u64() / 2);
    assert!(warmth.note(&read(1, "a"), Millis::ZERO));
    assert!(!warmth.note(&read(1, "a"), Millis::new(100)));
    let later = half + Millis::new(200);
    assert!(warmth.note(&read(1, "a"), later));
    assert!(warmth.has_prefix(1, &id("a"), KEPT + Millis::new(300)));
}

#[test]
fn popular_prefix_is_kept_at_several_endpoints() {
    let mut warmth = PrefixDirectory::default();
    for name in ["a", "b", "c"] {
        warmth.note(&read(1, name), Millis::ZERO);
    }
    for name in ["a", "b", "c"] {
        assert!(warmth.has_prefix(1, &id(name), Millis::new(1)));
    }
    // Beyond a few, the least lately noted is left out.
    for n in 0..10 {
        warmth.note(&read(1, &format!("x{n}")), Millis::new(2));
    }
    assert!(!warmth.has_prefix(1, &id("a"), Millis::new(3)));
    assert!(warmth.has_prefix(1, &id("x9"), Millis::new(3)));
}

#[test]
fn endpoint_that_starts_anew_keeps_nothing() {
    let mut warmth = PrefixDirectory::default();
    warmth.note(&read(1, "a"), Millis::ZERO);
    warmth.note(&read(1, "b"), Millis::ZERO);
    warmth.forget(&id("a"));
    assert!(!warmth.has_prefix(1, &id("a"), Millis::new(1)));
    assert!(warmth.has_prefix(1, &id("b"), Millis::new(1)));
}

#[test]
fn memory_of_prefixes_is_bounded() {
    let mut warmth = PrefixDirectory::default();
    for digest in 0..100_000 {
        warmth.note(&read(digest, "a"), Millis::new(digest / 100));
    }
    assert!(warmth.count() <= 2_048, "{}", warmth.count());
    assert!(warmth.has_prefix(99_999, &id("a"), Millis::new(1_000)));
    // The same prefix over and over, as with one key that gets much of the traffic.
    let mut warmth = PrefixDirectory::default();
    for round in 0..100_000 {
        warmth.note(&read(7, "a"), Millis::new(round));
        assert!(warmth.has_prefix(7, &id("a"), Millis::new(round)));
    }
    assert_eq!(warmth.count(), 1);
}

#[test]
fn each_note_is_given_once_to_those_who_ask_for_what_is_new() {
    let mut notes = UpdateLog::new(4);
    assert_eq!(notes.since(0).count(), 0);
    for n in 1..=3 {
        notes.push(n);
    }
    assert_eq!(notes.since(0).copied().collect::<Vec<_>>(), [1, 2, 3]);
    assert_eq!(notes.since(2).copied().collect::<Vec<_>>(), [3]);
    assert_eq!(notes.since(notes.upto()).count(), 0);
    for n in 4..=9 {
        notes.push(n);
    }
    // Of those that were dropped meanwhile nothing is said.
    assert_eq!(notes.since(3).copied().collect::<Vec<_>>(), [6, 7, 8, 9]);
    // A reader that has seen the numbers of an earlier process is told nothing older.
    assert_eq!(notes.since(100).count(), 0);
}

#[test]
fn notes_sent_again_are_taken_once() {
    let sent = UpdateBatch {
        upto: 12,
        notes: vec!["j", "k", "l"],
    };
    assert_eq!(sent.since(0).count(), 3);
    assert_eq!(sent.since(10).copied().collect::<Vec<_>>(), ["k", "l"]);
    assert_eq!(sent.since(12).count(), 0);
    assert_eq!(sent.since(40).count(), 0);
}

fn vm(name: &str) -> VmId {
    VmId::new(name.to_owned()).unwrap()
}

fn told(upto: u64, notes: &[u32]) -> UpdateBatch<u32> {
    UpdateBatch {
        upto,
        notes: notes.to_vec(),
    }
}

/// A question whose answer was lost is asked again with the same notes and newer ones.
#[test]
fn each_entry_hears_of_the_others_notes_once() {
    let (a, b) = (vm("a"), vm("b"));
    let mut board = UpdateRelay::new(8);
    board.take(&a, Incarnation(1), &told(2, &[10, 11]));
    board.take(&a, Incarnation(1), &told(3, &[10, 11, 12]));
    board.take(&b, Incarnation(1), &told(1, &[20]));
    assert_eq!(board.beside(&a, 0).notes, [20]);
    let first = board.beside(&b, 0);
    assert_eq!(first.notes, [10, 11, 12]);
    assert!(board.beside(&b, first.upto).notes.is_empty());
    board.take(&a, Incarnation(1), &told(4, &[13]));
    assert_eq!(board.beside(&b, first.upto).notes, [13]);
}

#[test]
fn entry_that_starts_anew_is_heard_from_its_first_note() {
    let (a, b) = (vm("a"), vm("b"));
    let mut board = UpdateRelay::new(8);
    board.take(&a, Incarnation(1), &told(5, &[10]));
    board.take(&a, Incarnation(2), &told(1, &[11]));
    assert_eq!(board.beside(&b, 0).notes, [10, 11]);
    // A writer that was left out for a while may be heard twice, which does no harm.
    board.retain(|writer| *writer != a);
    board.take(&a, Incarnation(2), &told(2, &[11, 12]));
    assert_eq!(board.beside(&b, 2).notes, [11, 12]);
}
