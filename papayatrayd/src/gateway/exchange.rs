//! Exchange of one attempt with its endpoint, over a connection of this entry or through another entry.

use papayatray_core::gateway::homes::Homes;
use papayatray_core::gateway::reach::Path;

use super::connection_pool::ConnectionKey;
use super::connection_pool::EndpointResponse;
use super::connection_pool::ExchangeError;
use super::connection_pool::OutgoingRequest;
use super::fleet::SelectedEndpoint;
use super::state::Gateway;

/// # Exchange with endpoints
impl Gateway {
    /// Sends a request and waits for the head of the response.
    ///
    /// `path` is the way on which it is sent first, where `homes` bounds the entries that may carry it.
    /// If no other entry carries it, it is sent directly.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError::Lost`], [`ExchangeError::HopLost`] or [`ExchangeError::InvalidStatus`] if the
    /// endpoint may have run the request, and another error if the endpoint certainly received nothing.
    pub(super) async fn exchange(
        &self,
        endpoint: &SelectedEndpoint,
        outgoing: &OutgoingRequest,
        homes: &Homes,
        path: Path,
    ) -> Result<EndpointResponse, ExchangeError> {
        if path == Path::Indirect
            && let Some(result) = self.exchange_indirectly(endpoint, outgoing, homes).await
        {
            return result;
        }
        self.exchange_directly(endpoint, outgoing).await
    }

    /// Sends a request over a connection of this entry and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError::Unreachable`] or [`ExchangeError::NotSent`] if the endpoint certainly
    /// received nothing, and [`ExchangeError::Lost`] or [`ExchangeError::InvalidStatus`] if it may have run
    /// the request.
    pub(super) async fn exchange_directly(
        &self,
        endpoint: &SelectedEndpoint,
        outgoing: &OutgoingRequest,
    ) -> Result<EndpointResponse, ExchangeError> {
        let now = self.clock.now();
        let key = ConnectionKey::Endpoint(endpoint.id.clone());
        self.connections
            .send(&key, outgoing, now, self.connect(endpoint))
            .await
    }
}
