//! Client of the operator interface, which every entry serves.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use displaydoc::Display;
use http_types::Method;
use http_types::Request;
use http_types::Url;
use papayatray_core::catalogue::Catalogue;
use papayatray_core::catalogue::Edit;
use papayatray_core::catalogue::Outcome;
use papayatray_core::id::ChangeId;
use papayatray_core::id::Revision;
use papayatray_wire::http::ChangeRequest;
use papayatray_wire::http::ChangeResponse;
use papayatray_wire::http::ErrorResponse;
use papayatray_wire::http::InForceResponse;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::Timer;
use smol::future::FutureExt;
use smol::net::TcpStream;

/// Time-out of one request.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum number of times that a change is resent under the same id if its outcome is unknown.
const MAX_RESENDS: usize = 5;
/// Interval between resends of a change, and between checks of the revision in force.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Reason why a request failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ClientError {
    /// cannot reach {0}: {1}; try another address with --address
    Unreachable(SocketAddr, String),
    /// the request timed out or lost its connection; see `papayatray history` for its outcome
    NoResponse,
    /// refused ({code}): {message}
    Refused {
        /// Stable error code.
        code: String,
        /// Message to the operator.
        message: String,
    },
    /// cannot encode the request or decode the response: {0}
    Encoding(String),
    /// another change was accepted first: the current revision is {standing}; review it, then try again
    Conflict {
        /// Current revision.
        standing: Revision,
        /// Changes accepted since the base revision, one per line.
        differs: Vec<String>,
    },
    /// the change is invalid and was not made: {0}
    Invalid(String),
    /// revision {0} was made, but is not in force everywhere yet; see `papayatray status`
    NotInForce(Revision),
}

impl std::error::Error for ClientError {}

/// Client of one entry.
#[derive(Clone)]
pub struct Client {
    address: SocketAddr,
    key: String,
}

impl std::fmt::Debug for Client {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Client")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Client {
    /// Creates a client that calls the entry at `address` with an operator's `key`.
    pub fn new(address: SocketAddr, key: &str) -> Self {
        Self {
            address,
            key: key.to_owned(),
        }
    }

    /// Sends a GET request for `path`, relative to the operator interface.
    ///
    /// # Errors
    ///
    /// Returns an error if the request fails, is refused or times out.
    pub async fn get<T>(&self, path: &str) -> Result<T, ClientError>
    where
        T: DeserializeOwned,
    {
        self.call(Method::Get, path, Vec::new()).await
    }

    /// Sends `body` as JSON in a POST request to `path`, relative to the operator interface.
    ///
    /// # Errors
    ///
    /// Returns an error if the request fails, is refused or times out.
    pub async fn post<B, T>(&self, path: &str, body: &B) -> Result<T, ClientError>
    where
        B: Serialize,
        T: DeserializeOwned,
    {
        let body = serde_json::to_vec(body);
        let body = body.map_err(|error| ClientError::Encoding(error.to_string()))?;
        self.call(Method::Post, path, body).await
    }

    /// Returns the entry's current configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if the request fails, is refused or times out.
    pub async fn catalogue(&self) -> Result<Catalogue, ClientError> {
        self.get("catalogue").await
    }

    /// Makes a change based on the revision `base` under a new random id; resends it if necessary.
    ///
    /// # Errors
    ///
    /// Returns why the change was not made, or why that is unknown.
    pub async fn change(
        &self,
        base: Revision,
        why: &str,
        edits: Vec<Edit>,
    ) -> Result<Revision, ClientError> {
        let number: u64 = rand::random();
        let id = ChangeId::new(format!("cli/{number:016x}"));
        let id = id.map_err(|error| ClientError::Encoding(error.to_string()))?;
        let request = ChangeRequest {
            id,
            base,
            why: why.to_owned(),
            edits,
        };
        self.send_change(&request).await
    }

    /// Sends a change request, and resends it while the outcome is unknown.
    ///
    /// Resends are idempotent, as they have the same change id.
    ///
    /// # Errors
    ///
    /// Returns why the change was not made, or why that is unknown.
    pub async fn send_change(&self, request: &ChangeRequest) -> Result<Revision, ClientError> {
        let mut sent = 0;
        let response: ChangeResponse = loop {
            let response = self.post("changes", request).await;
            let is_outcome_unknown = match &response {
                Err(ClientError::NoResponse | ClientError::Unreachable(..)) => true,
                Err(ClientError::Refused { code, .. }) => code == "no_quorum",
                _ => false,
            };
            sent += 1;
            if !is_outcome_unknown || sent > MAX_RESENDS {
                break response?;
            }
            Timer::after(RETRY_INTERVAL).await;
        };
        match response.outcome {
            Outcome::Accepted(revision) => Ok(revision),
            Outcome::Conflict { standing, differs } => {
                Err(ClientError::Conflict { standing, differs })
            }
            Outcome::Refused(why) => Err(ClientError::Invalid(why)),
        }
    }

    /// Waits until `revision` is in force at all entries; returns the time waited.
    ///
    /// Calls `progress` after each check with the revision in force, or `None` if it is unknown.
    ///
    /// # Errors
    ///
    /// Returns an error if the revision is not in force after `limit`.
    pub async fn wait_in_force<F>(
        &self,
        revision: Revision,
        limit: Duration,
        mut progress: F,
    ) -> Result<Duration, ClientError>
    where
        F: FnMut(Option<Revision>),
    {
        let begin = Instant::now();
        while begin.elapsed() < limit {
            let response: Result<InForceResponse, ClientError> = self.get("in-force").await;
            let in_force = response.ok().and_then(|response| response.in_force);
            progress(in_force);
            if in_force >= Some(revision) {
                return Ok(begin.elapsed());
            }
            Timer::after(RETRY_INTERVAL).await;
        }
        Err(ClientError::NotInForce(revision))
    }

    /// Sends one request within the time-out; returns the decoded body or the error that it states.
    async fn call<T>(&self, method: Method, path: &str, body: Vec<u8>) -> Result<T, ClientError>
    where
        T: DeserializeOwned,
    {
        let exchange = self.exchange(method, path, body);
        let timeout = async {
            Timer::after(RESPONSE_TIMEOUT).await;
            Err(ClientError::NoResponse)
        };
        let (status, bytes) = exchange.or(timeout).await?;
        let decode_error = |error: serde_json::Error| ClientError::Encoding(error.to_string());
        if status < 400 {
            return serde_json::from_slice(&bytes).map_err(decode_error);
        }
        let response: ErrorResponse = serde_json::from_slice(&bytes).map_err(decode_error)?;
        let code = response.error.code.as_str().to_owned();
        Err(ClientError::Refused {
            code,
            message: response.error.message,
        })
    }

    /// Sends one request on a new connection; returns the status and the body of the response.
    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<(u16, Vec<u8>), ClientError> {
        let unreachable = |error: String| ClientError::Unreachable(self.address, error);
        let url = Url::parse(&format!("http://{}/operator/v1/{path}", self.address));
        let url = url.map_err(|error| unreachable(error.to_string()))?;
        let mut request = Request::new(method, url);
        request.insert_header("authorization", format!("Bearer {}", self.key));
        request.set_body(body);
        request.insert_header("content-type", "application/json");
        send(self.address, request).await
    }
}

/// Sends a request on a new connection; returns the status and the body of the response.
///
/// # Errors
///
/// Returns [`ClientError::Unreachable`] if no connection can be opened, and
/// [`ClientError::NoResponse`] if the connection is lost afterwards, which leaves open whether the
/// request was executed.
pub(crate) async fn send(
    address: SocketAddr,
    request: Request,
) -> Result<(u16, Vec<u8>), ClientError> {
    let stream = TcpStream::connect(address).await;
    let stream = stream.map_err(|error| ClientError::Unreachable(address, error.to_string()))?;
    let response = async_h1::client::connect(stream, request).await;
    let mut response = response.map_err(|_lost| ClientError::NoResponse)?;
    let bytes = response
        .body_bytes()
        .await
        .map_err(|_lost| ClientError::NoResponse)?;
    Ok((response.status().into(), bytes))
}
