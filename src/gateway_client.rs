//! Client of the operator interface of the gateway, which every control replica serves.

use std::net::SocketAddr;
use std::time::Duration;

use http_types::Method;
use http_types::Request;
use http_types::Url;
use papayatray_wire::http::EvacuationsResponse;
use papayatray_wire::http::GatewayErrorResponse;
use papayatray_wire::peer::LevelReport;
use serde::de::DeserializeOwned;
use smol::Timer;
use smol::future::FutureExt;

use crate::client::ClientError;
use crate::client::send;

/// Time-out of one request; a control replica answers within a second or says that no leader did.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of times that a request is sent again while no leader answers: longer than an election takes.
const MAX_RESENDS: usize = 20;
/// Interval between resends.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Client of one control replica of the gateway.
#[derive(Clone, Copy, Debug)]
pub struct GatewayClient {
    address: SocketAddr,
}

/// Response without content.
#[derive(serde::Deserialize)]
struct Acknowledgement {}

impl GatewayClient {
    /// Creates a client that calls the control replica at `address`.
    pub const fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Returns the evacuated data centres.
    ///
    /// # Errors
    ///
    /// Returns an error if the request fails, is refused or times out.
    pub async fn evacuations(&self) -> Result<EvacuationsResponse, ClientError> {
        self.call(Method::Get, "evacuations").await
    }

    /// Returns the format levels of the deployment.
    ///
    /// # Errors
    ///
    /// Returns an error if the request fails, is refused or times out.
    pub async fn levels(&self) -> Result<LevelReport, ClientError> {
        self.call(Method::Get, "levels").await
    }

    /// Orders that endpoints of a data centre get no new requests.
    ///
    /// # Errors
    ///
    /// Returns an error if the request fails, is refused or times out.
    pub async fn begin_evacuation(&self, data_centre: &str) -> Result<(), ClientError> {
        self.order(Method::Put, data_centre).await
    }

    /// Revokes the order of [`Self::begin_evacuation`].
    ///
    /// # Errors
    ///
    /// Returns an error if the request fails, is refused or times out.
    pub async fn finish_evacuation(&self, data_centre: &str) -> Result<(), ClientError> {
        self.order(Method::Delete, data_centre).await
    }

    async fn order(&self, method: Method, data_centre: &str) -> Result<(), ClientError> {
        let path = format!("evacuations/{data_centre}");
        self.call(method, &path).await.map(|Acknowledgement {}| ())
    }

    /// Sends a request; sends it again while no leader answers, as all requests are idempotent.
    async fn call<T>(&self, method: Method, path: &str) -> Result<T, ClientError>
    where
        T: DeserializeOwned,
    {
        let mut sent = 0;
        loop {
            let result = self.call_once(method, path).await;
            let is_unanswered = match &result {
                Err(ClientError::NoResponse) => true,
                Err(ClientError::Refused { code, .. }) => code == "503",
                _ => false,
            };
            sent += 1;
            if !is_unanswered || sent > MAX_RESENDS {
                return result;
            }
            Timer::after(RETRY_INTERVAL).await;
        }
    }

    async fn call_once<T>(&self, method: Method, path: &str) -> Result<T, ClientError>
    where
        T: DeserializeOwned,
    {
        let exchange = self.exchange(method, path);
        let timeout = async {
            Timer::after(RESPONSE_TIMEOUT).await;
            Err(ClientError::NoResponse)
        };
        let (status, bytes) = exchange.or(timeout).await?;
        let decode_error = |error: serde_json::Error| ClientError::Encoding(error.to_string());
        if status < 400 {
            return serde_json::from_slice(&bytes).map_err(decode_error);
        }
        let response: GatewayErrorResponse =
            serde_json::from_slice(&bytes).map_err(decode_error)?;
        Err(ClientError::Refused {
            code: status.to_string(),
            message: response.error,
        })
    }

    async fn exchange(&self, method: Method, path: &str) -> Result<(u16, Vec<u8>), ClientError> {
        let unreachable = |error: String| ClientError::Unreachable(self.address, error);
        let url = Url::parse(&format!("http://{}/v1/{path}", self.address));
        let url = url.map_err(|error| unreachable(error.to_string()))?;
        let request = Request::new(method, url);
        send(self.address, request).await
    }
}
