//! Orders to engines, given by the leader alone and fenced by its term.

use std::sync::Arc;

use http_types::Method;
use papayatray_core::clock::Millis;
use papayatray_core::directory::Endpoint;
use papayatray_core::orders::Order;
use papayatray_core::orders::OrderTable;
use papayatray_wire::http::header;
use smol::Timer;

use super::Commander;
use super::Control;
use crate::engine::EndpointRequest;
use crate::engine::send_for_status;
use crate::entry::Entry;
use crate::observe::Level;
use crate::observe::event;

/// Time between two looks at what is to be ordered.
const LOOK_EVERY: Millis = Millis::new(500);
/// Time within which an order must arrive; it ends well before the next leader may order.
const LIMIT: Millis = Millis::new(1_000);

/// Gives orders while this VM leads, until the process ends.
pub async fn give_orders(entry: Arc<Entry>, control: Control) {
    let mut book = OrderTable::default();
    loop {
        Timer::after(LOOK_EVERY.to_duration()).await;
        let Ok(Some(commander)) = control.command().await else {
            book = OrderTable::default();
            continue;
        };
        let endpoints = entry.registry.endpoints();
        // An endpoint that ignores the fence could carry out a late order of the last leader.
        let is_heeded = |endpoint: &Endpoint| endpoint.fences || commander.alone;
        let view = entry.view();
        let now = entry.clock.now();
        for order in book.plan(&view.catalogue, &endpoints, now, is_heeded) {
            let endpoint = endpoints.iter().find(|e| e.id == order.endpoint);
            let is_given = match endpoint {
                Some(endpoint) => give(&entry, &control, endpoint, &order, commander).await,
                None => false,
            };
            if !is_given {
                book.mark_undelivered(&order);
            }
        }
    }
}

async fn give(
    entry: &Entry,
    control: &Control,
    endpoint: &Endpoint,
    order: &Order,
    commander: Commander,
) -> bool {
    // The lease is looked at again right before the order leaves.
    if !matches!(control.command().await, Ok(Some(now)) if now.term == commander.term) {
        return false;
    }
    // The project's own types always have a JSON form.
    let body = serde_json::to_vec(&order.action).unwrap_or_default();
    let exchange = EndpointRequest {
        method: Method::Post,
        path: "/v1/orders".to_owned(),
        headers: vec![
            ("content-type".to_owned(), "application/json".to_owned()),
            (header::FENCE.to_owned(), commander.term.to_string()),
        ],
        body,
        attempt: entry.next_id(),
        limit: LIMIT,
        fresh: true,
    };
    let status = send_for_status(&endpoint.address, &exchange).await;
    let action = format!("{:?}", order.action);
    let told = status.map_or_else(|| "none".to_owned(), |status| status.to_string());
    event(
        Level::Info,
        "order",
        &[
            ("endpoint", &order.endpoint),
            ("action", &action),
            ("term", &commander.term),
            ("status", &told),
        ],
    );
    status.is_some_and(|status| (200..300).contains(&status))
}
