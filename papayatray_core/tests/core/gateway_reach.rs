//! Reach: an entry that is cut off from a service tells this from endpoints that are down.

use papayatray_core::clock::Millis;
use papayatray_core::gateway::reach::Path;
use papayatray_core::gateway::reach::Reach;
use papayatray_core::gateway::reach::ReachChange;
use papayatray_core::id::EndpointId;
use papayatray_core::id::ServiceId;

/// Endpoints of the service.
const COUNT: usize = 18;
const NOW: Millis = Millis::from_secs(10);

fn id(number: usize) -> EndpointId {
    EndpointId::new(format!("endpoint-{number}")).unwrap()
}

fn app() -> ServiceId {
    ServiceId::new("app").unwrap()
}

/// Returns the reach of an entry whose connections to the first three endpoints failed in a row.
fn cut_off() -> Reach {
    let mut reach = Reach::default();
    for number in 0..2 {
        assert_eq!(
            reach.record_failed(&app(), &id(number), COUNT, NOW, NOW),
            None
        );
    }
    let change = reach.record_failed(&app(), &id(2), COUNT, NOW, NOW);
    assert_eq!(change, Some(ReachChange::CutOff));
    reach
}

#[test]
fn connections_that_fail_in_a_row_lead_through_other_entries() {
    let reach = cut_off();
    assert!(reach.is_cut_off_from(&app()));
    for number in 0..COUNT {
        assert_eq!(reach.path(&app(), &id(number)), Path::Indirect);
    }
}

#[test]
fn endpoint_that_crashes_among_others_is_no_cut() {
    let mut reach = Reach::default();
    for _ in 0..10 {
        assert_eq!(reach.record_failed(&app(), &id(0), COUNT, NOW, NOW), None);
        assert_eq!(reach.record_failed(&app(), &id(1), COUNT, NOW, NOW), None);
        assert_eq!(reach.record_opened(&app(), &id(2), COUNT, NOW), None);
    }
    assert_eq!(reach.path(&app(), &id(0)), Path::Direct);
    assert_eq!(reach.unreachable_count(), 2);
}

#[test]
fn failures_of_one_endpoint_are_no_row() {
    let mut reach = Reach::default();
    for _ in 0..10 {
        assert_eq!(reach.record_failed(&app(), &id(0), COUNT, NOW, NOW), None);
    }
}

#[test]
fn service_with_one_endpoint_can_be_cut_off() {
    let mut reach = Reach::default();
    let change = reach.record_failed(&app(), &id(0), 1, NOW, NOW);
    assert_eq!(change, Some(ReachChange::CutOff));
    assert_eq!(
        reach.record_opened(&app(), &id(0), 1, NOW),
        Some(ReachChange::Restored)
    );
}

#[test]
fn cut_is_announced_only_once_an_endpoint_has_answered_through_another_entry() {
    let mut reach = cut_off();
    assert!(!reach.is_cut_off());
    assert_eq!(
        reach.record_answered_elsewhere(&app(), &id(7)),
        Some(ReachChange::Confirmed)
    );
    assert_eq!(reach.record_answered_elsewhere(&app(), &id(8)), None);
    assert!(reach.is_cut_off());
}

#[test]
fn entry_that_reaches_another_service_is_not_cut_off() {
    let mut reach = cut_off();
    reach.record_answered_elsewhere(&app(), &id(7));
    let other = ServiceId::new("other").unwrap();
    reach.record_opened(&other, &id(30), 4, NOW);
    assert!(!reach.is_cut_off());
    assert_eq!(reach.path(&other, &id(30)), Path::Direct);
}

#[test]
fn endpoints_that_are_down_for_all_entries_refute_a_cut() {
    let mut reach = cut_off();
    for number in 0..2 {
        let change = reach.record_failed_elsewhere(&app(), &id(number), COUNT, NOW);
        assert_eq!(change, None);
    }
    let change = reach.record_failed_elsewhere(&app(), &id(2), COUNT, NOW);
    assert_eq!(change, Some(ReachChange::Refuted));
    assert_eq!(reach.path(&app(), &id(2)), Path::Direct);
    let later = NOW + Millis::new(900);
    for number in 0..6 {
        let change = reach.record_failed(&app(), &id(number), COUNT, later, later);
        assert_eq!(change, None, "no new cut within a second");
    }
    let later = NOW + Millis::from_secs(1);
    let change = reach.record_failed(&app(), &id(0), COUNT, later, later);
    assert_eq!(change, Some(ReachChange::CutOff));
}

#[test]
fn cut_ends_once_two_endpoints_are_reached_in_a_row() {
    let mut reach = cut_off();
    reach.record_answered_elsewhere(&app(), &id(0));
    assert_eq!(reach.record_opened(&app(), &id(3), COUNT, NOW), None);
    assert_eq!(reach.path(&app(), &id(3)), Path::Direct);
    assert_eq!(reach.record_failed(&app(), &id(4), COUNT, NOW, NOW), None);
    assert_eq!(reach.record_opened(&app(), &id(3), COUNT, NOW), None);
    assert_eq!(
        reach.record_opened(&app(), &id(5), COUNT, NOW),
        Some(ReachChange::Restored)
    );
    assert_eq!(reach.path(&app(), &id(4)), Path::Direct);
    assert_eq!(
        reach.path(&app(), &id(0)),
        Path::Indirect,
        "an endpoint that answered elsewhere stays indirect until it is reached"
    );
    reach.record_opened(&app(), &id(0), COUNT, NOW);
    assert_eq!(reach.path(&app(), &id(0)), Path::Direct);
}

#[test]
fn restarted_endpoint_is_tried_directly() {
    let mut reach = Reach::default();
    reach.record_failed(&app(), &id(0), COUNT, NOW, NOW);
    reach.record_answered_elsewhere(&app(), &id(0));
    assert_eq!(reach.path(&app(), &id(0)), Path::Indirect);
    reach.forget(&id(0));
    assert_eq!(reach.path(&app(), &id(0)), Path::Direct);
    assert_eq!(reach.unreachable_count(), 0);
}

#[test]
fn connections_that_were_started_before_the_end_of_a_cut_begin_no_new_one() {
    let mut reach = cut_off();
    let end = NOW + Millis::new(300);
    reach.record_opened(&app(), &id(0), COUNT, end);
    let change = reach.record_opened(&app(), &id(1), COUNT, end);
    assert_eq!(change, Some(ReachChange::Restored));
    let late = end + Millis::new(100);
    for number in 2..8 {
        let change = reach.record_failed(&app(), &id(number), COUNT, NOW, late);
        assert_eq!(change, None);
    }
    assert!(!reach.is_cut_off_from(&app()));
}
