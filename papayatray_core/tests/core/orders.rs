//! Orders to engines: load unserved versions at a limited rate, and unload withdrawn ones.

use papayatray_core::catalogue::Edit;
use papayatray_core::clock::Millis;
use papayatray_core::orders::Action;
use papayatray_core::orders::LOAD_INTERVAL;
use papayatray_core::orders::OrderTable;

use crate::fixture::catalogue;
use crate::fixture::declare_version;
use crate::fixture::endpoint;
use crate::fixture::offer_version;
use crate::fixture::version;

#[test]
fn unserved_version_is_loaded_on_the_idlest_engine_of_its_model() {
    let edits = [declare_version("cheap@2", 1, 900), offer_version("cheap@2")];
    let catalogue = catalogue().with_edits(&edits).unwrap();
    let mut busy = endpoint(0, &["cheap@1"], 4);
    busy.load.running = 3;
    let engines = [
        busy,
        endpoint(1, &["cheap@1"], 4),
        endpoint(2, &["good@1"], 4),
    ];
    let mut table = OrderTable::default();
    let now = Millis::from_secs(100);
    let orders = table.due_orders(&catalogue, &engines, now, |_| true);
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].endpoint, engines[1].id);
    assert_eq!(orders[0].action, Action::Load(version("cheap@2")));
    let again = table.due_orders(&catalogue, &engines, now + LOAD_INTERVAL, |_| true);
    assert!(again.is_empty(), "a pending order is not sent twice");
    table.mark_undelivered(&orders[0]);
    let again = table.due_orders(&catalogue, &engines, now + LOAD_INTERVAL, |_| true);
    assert_eq!(again, orders, "an undelivered order is sent again");
}

#[test]
fn loads_respect_the_load_interval() {
    let edits = [
        declare_version("cheap@2", 1, 900),
        offer_version("cheap@2"),
        declare_version("cheap@3", 1, 900),
        offer_version("cheap@3"),
    ];
    let catalogue = catalogue().with_edits(&edits).unwrap();
    let engines = [endpoint(0, &["cheap@1"], 4), endpoint(2, &["good@1"], 4)];
    let mut table = OrderTable::default();
    let now = Millis::from_secs(100);
    assert_eq!(
        table.due_orders(&catalogue, &engines, now, |_| true).len(),
        1
    );
    assert_eq!(
        table
            .due_orders(&catalogue, &engines, now + Millis::new(100), |_| true)
            .len(),
        0
    );
    assert_eq!(
        table
            .due_orders(&catalogue, &engines, now + LOAD_INTERVAL, |_| true)
            .len(),
        1
    );
}

#[test]
fn withdrawn_version_is_unloaded_once_idle() {
    let edit = Edit::Withdraw {
        version: version("cheap@1"),
    };
    let catalogue = catalogue().with_edits(&[edit]).unwrap();
    let mut engine = endpoint(0, &["cheap@1", "good@1"], 4);
    engine.load.running = 1;
    let mut table = OrderTable::default();
    let now = Millis::from_secs(100);
    assert!(
        table
            .due_orders(&catalogue, std::slice::from_ref(&engine), now, |_| true)
            .is_empty()
    );
    engine.load.running = 0;
    let orders = table.due_orders(&catalogue, &[engine], now, |_| true);
    assert_eq!(orders[0].action, Action::Unload(version("cheap@1")));
}

#[test]
fn endpoint_that_does_not_accept_orders_gets_none() {
    let edits = [declare_version("cheap@2", 1, 900), offer_version("cheap@2")];
    let catalogue = catalogue().with_edits(&edits).unwrap();
    let mut unfenced = endpoint(0, &["cheap@1"], 4);
    unfenced.fences = false;
    let engines = [unfenced, endpoint(2, &["good@1"], 4)];
    let mut table = OrderTable::default();
    assert!(
        table
            .due_orders(&catalogue, &engines, Millis::from_secs(100), |e| e.fences)
            .is_empty()
    );
}
