//! Exchange of one attempt with its endpoint.

use super::connection_pool::EndpointResponse;
use super::connection_pool::ExchangeError;
use super::connection_pool::OutgoingRequest;
use super::connection_pool::send_request;
use super::fleet::SelectedEndpoint;
use super::state::Gateway;

/// # Exchange with endpoints
impl Gateway {
    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError::Unreachable`] or [`ExchangeError::NotSent`] if the endpoint certainly
    /// received nothing, and [`ExchangeError::Lost`] if it may have run the request.
    pub(super) async fn exchange(
        &self,
        endpoint: &SelectedEndpoint,
        outgoing: &OutgoingRequest,
    ) -> Result<EndpointResponse, ExchangeError> {
        let now = self.clock.now();
        if !outgoing.needs_new_connection
            && let Some(connection) = self.connections.take(&endpoint.id, now).await
        {
            match send_request(connection, outgoing).await {
                // The endpoint may have closed the pooled connection meanwhile, which is no
                // failure: retry on a new one.
                Err(ExchangeError::NotSent(_)) => {}
                other => return other,
            }
        }
        let opened = self.connections.open(endpoint.address).await;
        match &opened {
            Ok(_) => self.record_opened(endpoint),
            Err(error) => self.record_unreachable(endpoint, error),
        }
        send_request(opened?, outgoing).await
    }
}
