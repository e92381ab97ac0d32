//! Orders load what is to be served, within the weight store's rate, and unload what is withdrawn.

use papayatray_core::catalogue::Edit;
use papayatray_core::clock::Millis;
use papayatray_core::orders::Action;
use papayatray_core::orders::LOAD_EVERY;
use papayatray_core::orders::OrderTable;

use crate::fixture::catalogue;
use crate::fixture::declare;
use crate::fixture::endpoint;
use crate::fixture::offer;
use crate::fixture::version;

#[test]
fn version_that_nobody_serves_is_loaded_by_the_idlest_engine_of_its_model() {
    let edits = [declare("cheap@2", 1, 900), offer("cheap@2")];
    let catalogue = catalogue().with_edits(&edits).unwrap();
    let mut busy = endpoint(0, &["cheap@1"], 4);
    busy.load.running = 3;
    let all = [
        busy,
        endpoint(1, &["cheap@1"], 4),
        endpoint(2, &["good@1"], 4),
    ];
    let mut book = OrderTable::default();
    let now = Millis::from_secs(100);
    let orders = book.plan(&catalogue, &all, now, |_| true);
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].endpoint, all[1].id);
    assert_eq!(orders[0].action, Action::Load(version("cheap@2")));
    let again = book.plan(&catalogue, &all, now + LOAD_EVERY, |_| true);
    assert!(again.is_empty(), "an order under way is not given twice");
    book.mark_undelivered(&orders[0]);
    let again = book.plan(&catalogue, &all, now + LOAD_EVERY, |_| true);
    assert_eq!(again, orders, "an order that did not arrive is given again");
}

#[test]
fn loads_keep_the_rate_of_the_weight_store() {
    let edits = [
        declare("cheap@2", 1, 900),
        offer("cheap@2"),
        declare("cheap@3", 1, 900),
        offer("cheap@3"),
    ];
    let catalogue = catalogue().with_edits(&edits).unwrap();
    let all = [endpoint(0, &["cheap@1"], 4), endpoint(2, &["good@1"], 4)];
    let mut book = OrderTable::default();
    let now = Millis::from_secs(100);
    assert_eq!(book.plan(&catalogue, &all, now, |_| true).len(), 1);
    assert_eq!(
        book.plan(&catalogue, &all, now + Millis::new(100), |_| true)
            .len(),
        0
    );
    assert_eq!(
        book.plan(&catalogue, &all, now + LOAD_EVERY, |_| true)
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
    let mut running = endpoint(0, &["cheap@1", "good@1"], 4);
    running.load.running = 1;
    let mut book = OrderTable::default();
    let now = Millis::from_secs(100);
    assert!(
        book.plan(&catalogue, std::slice::from_ref(&running), now, |_| true)
            .is_empty()
    );
    running.load.running = 0;
    let orders = book.plan(&catalogue, &[running], now, |_| true);
    assert_eq!(orders[0].action, Action::Unload(version("cheap@1")));
}

#[test]
fn endpoint_that_may_not_be_ordered_gets_no_order() {
    let edits = [declare("cheap@2", 1, 900), offer("cheap@2")];
    let catalogue = catalogue().with_edits(&edits).unwrap();
    let mut ignoring = endpoint(0, &["cheap@1"], 4);
    ignoring.fences = false;
    let all = [ignoring, endpoint(2, &["good@1"], 4)];
    let mut book = OrderTable::default();
    assert!(
        book.plan(&catalogue, &all, Millis::from_secs(100), |e| e.fences)
            .is_empty()
    );
}
