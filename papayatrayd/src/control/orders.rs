//! Orders to endpoints to load or unload a version, sent only by the leader and fenced by its term.

use std::sync::Arc;

use http_types::Method;
use papayatray_core::clock::Millis;
use papayatray_core::directory::Endpoint;
use papayatray_core::orders::Order;
use papayatray_core::orders::OrderTable;
use papayatray_wire::http::header;
use smol::Timer;

use super::Control;
use super::OrderAuthority;
use crate::engine::EndpointRequest;
use crate::engine::send_for_status;
use crate::entry::Entry;
use crate::observe::Level;
use crate::observe::event;

/// Interval between two comparisons of the catalogue with the versions that the endpoints serve.
const CHECK_INTERVAL: Millis = Millis::new(500);
/// Time-out of one order; it ends well before the next leader may send orders.
const ORDER_TIMEOUT: Millis = Millis::new(1_000);

/// Sends orders while this VM leads, until the process ends.
pub async fn dispatch_orders(entry: Arc<Entry>, control: Control) {
    let mut table = OrderTable::default();
    loop {
        Timer::after(CHECK_INTERVAL.to_duration()).await;
        let Ok(Some(authority)) = control.order_authority().await else {
            table = OrderTable::default();
            continue;
        };
        let endpoints = entry.registry.endpoints();
        // An endpoint that ignores fencing tokens could execute a late order of the last leader.
        let is_safe = |endpoint: &Endpoint| endpoint.fences || authority.is_exclusive;
        let view = entry.view();
        let now = entry.clock.now();
        for order in table.due_orders(&view.catalogue, &endpoints, now, is_safe) {
            let endpoint = endpoints.iter().find(|e| e.id == order.endpoint);
            let is_delivered = match endpoint {
                Some(endpoint) => send_order(&entry, &control, endpoint, &order, authority).await,
                None => false,
            };
            if !is_delivered {
                table.mark_undelivered(&order);
            }
        }
    }
}

/// Sends an order if this replica still leads; returns whether the endpoint accepted it.
async fn send_order(
    entry: &Entry,
    control: &Control,
    endpoint: &Endpoint,
    order: &Order,
    authority: OrderAuthority,
) -> bool {
    // Leadership may have been lost since the order was planned: check again right before sending.
    if !matches!(control.order_authority().await, Ok(Some(current)) if current.term == authority.term)
    {
        return false;
    }
    // Serialisation of `Action` cannot fail.
    let body = serde_json::to_vec(&order.action).unwrap_or_default();
    let request = EndpointRequest {
        method: Method::Post,
        path: "/v1/orders".to_owned(),
        headers: vec![
            ("content-type".to_owned(), "application/json".to_owned()),
            (header::FENCE.to_owned(), authority.term.to_string()),
        ],
        body,
        attempt: entry.next_id(),
        response_timeout: ORDER_TIMEOUT,
        needs_new_connection: true,
    };
    let status = send_for_status(&endpoint.address, &request).await;
    let action = format!("{:?}", order.action);
    let outcome = status.map_or_else(|| "none".to_owned(), |status| status.to_string());
    event(
        Level::Info,
        "order",
        &[
            ("endpoint", &order.endpoint),
            ("action", &action),
            ("term", &authority.term),
            ("status", &outcome),
        ],
    );
    status.is_some_and(|status| (200..300).contains(&status))
}
