//! Endpoint directory: deregistration, restart under the same name, and reuse of an address.

use papayatray_core::clock::Millis;
use papayatray_core::directory::Directory;
use papayatray_core::directory::Endpoint;
use papayatray_core::id::Incarnation;

use crate::fixture::endpoint;

const NOW: Millis = Millis::from_secs(100);

/// Returns an announcement of the endpoint with this number.
fn announcement(number: u64, incarnation: u64, sequence: u64) -> Endpoint {
    Endpoint {
        incarnation: Incarnation(incarnation),
        sequence,
        ..endpoint(number, &["drafter@1"], 4)
    }
}

fn accepting_count(directory: &Directory) -> usize {
    directory.accepting().count()
}

#[test]
fn delayed_announcement_does_not_undo_a_deregistration() {
    let mut directory = Directory::default();
    directory.merge(&announcement(1, 7, 5), NOW);
    assert!(directory.deregister_incarnation(&announcement(1, 7, 5).id, Some(Incarnation(7))));
    directory.merge(&announcement(1, 7, 6), NOW);
    directory.merge(&announcement(1, 7, 4), NOW);
    assert_eq!(accepting_count(&directory), 0);
}

#[test]
fn restarted_endpoint_is_registered_again() {
    let mut directory = Directory::default();
    directory.merge(&announcement(1, 7, 50), NOW);
    // Without an incarnation, any is deregistered.
    directory.deregister_incarnation(&announcement(1, 7, 50).id, None);
    assert!(directory.merge(&announcement(1, 8, 1), NOW));
    assert_eq!(accepting_count(&directory), 1);
}

#[test]
fn deregistration_of_an_earlier_incarnation_keeps_the_later_one() {
    let mut directory = Directory::default();
    directory.merge(&announcement(1, 8, 1), NOW);
    assert!(!directory.deregister_incarnation(&announcement(1, 8, 1).id, Some(Incarnation(7))));
    assert_eq!(accepting_count(&directory), 1);
}

#[test]
fn newer_endpoint_at_an_address_replaces_the_older_one() {
    let mut directory = Directory::default();
    let old = announcement(1, 7, 5);
    let new = Endpoint {
        address: old.address.clone(),
        ..announcement(2, 9, 1)
    };
    directory.merge(&old, NOW);
    directory.merge(&new, NOW);
    assert_eq!(directory.evict_address(&new), std::slice::from_ref(&old.id));
    // A delayed announcement of the older endpoint does not evict the newer one.
    directory.merge(&announcement(1, 7, 6), NOW);
    assert_eq!(directory.evict_address(&announcement(1, 7, 6)), []);
    assert_eq!(accepting_count(&directory), 1);
}
