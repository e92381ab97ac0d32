//! Endpoints that leave, come back under their name, or lose their address to another.

use papayatray_core::clock::Millis;
use papayatray_core::directory::Directory;
use papayatray_core::directory::Endpoint;
use papayatray_core::id::Incarnation;

use crate::fixture::endpoint;

const NOW: Millis = Millis::from_secs(100);

fn at(number: u64, incarnation: u64, sequence: u64) -> Endpoint {
    Endpoint {
        incarnation: Incarnation(incarnation),
        sequence,
        ..endpoint(number, &["drafter@1"], 4)
    }
}

fn open_count(directory: &Directory) -> usize {
    directory.open().count()
}

#[test]
fn late_heartbeat_does_not_undo_a_departure() {
    let mut directory = Directory::default();
    directory.merge(&at(1, 7, 5), NOW);
    assert!(directory.deregister_incarnation(&at(1, 7, 5).id, Some(Incarnation(7))));
    directory.merge(&at(1, 7, 6), NOW);
    directory.merge(&at(1, 7, 4), NOW);
    assert_eq!(open_count(&directory), 0);
}

#[test]
fn endpoint_reborn_under_its_name_is_used_again() {
    let mut directory = Directory::default();
    directory.merge(&at(1, 7, 50), NOW);
    directory.deregister_incarnation(&at(1, 7, 50).id, None);
    assert!(directory.merge(&at(1, 8, 1), NOW));
    assert_eq!(open_count(&directory), 1);
}

#[test]
fn departure_of_an_earlier_start_does_not_touch_the_later_one() {
    let mut directory = Directory::default();
    directory.merge(&at(1, 8, 1), NOW);
    assert!(!directory.deregister_incarnation(&at(1, 8, 1).id, Some(Incarnation(7))));
    assert_eq!(open_count(&directory), 1);
}

#[test]
fn newer_endpoint_at_an_address_takes_the_place_of_the_older() {
    let mut directory = Directory::default();
    let old = at(1, 7, 5);
    let new = Endpoint {
        address: old.address.clone(),
        ..at(2, 9, 1)
    };
    directory.merge(&old, NOW);
    directory.merge(&new, NOW);
    assert_eq!(directory.evict_address(&new), std::slice::from_ref(&old.id));
    // A delayed heartbeat of the older one takes nothing back.
    directory.merge(&at(1, 7, 6), NOW);
    assert_eq!(directory.evict_address(&at(1, 7, 6)), []);
    assert_eq!(open_count(&directory), 1);
}
