//! Client of the operators' addresses of any entry.

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
use papayatray_wire::http::ChangeReply;
use papayatray_wire::http::ChangeRequest;
use papayatray_wire::http::ErrorReply;
use papayatray_wire::http::InForceReply;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::Timer;
use smol::future::FutureExt;
use smol::net::TcpStream;

/// Longest wait for one answer.
const LIMIT: Duration = Duration::from_secs(15);
/// Times that a change is sent again under the same id after its answer was lost.
const RESENDS: usize = 5;
/// Pause before a change is sent again, and between looks at what is in force.
const PAUSE: Duration = Duration::from_millis(100);

/// Why a command could not be carried out.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ClientError {
    /// cannot reach {0}: {1}; try another address with --address
    Unreachable(SocketAddr, String),
    /// no answer came in time; ask `papayatray history` whether the change was made
    Silent,
    /// refused ({code}): {message}
    Refused {
        /// Stable code of the refusal.
        code: String,
        /// What happened and what to do.
        message: String,
    },
    /// the answer cannot be understood: {0}
    Garbled(String),
    /// another change was faster: revision {standing} stands now; look at it, then try again
    Conflict {
        /// Revision that stands.
        standing: Revision,
        /// What came in between, a line each.
        differs: Vec<String>,
    },
    /// the change breaks a rule, and nothing was changed: {0}
    Invalid(String),
    /// the change was made as revision {0}, and is not in force everywhere yet; ask `papayatray status`
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
    /// Creates a client of the entry at `address` with an operator's `key`.
    pub fn new(address: SocketAddr, key: &str) -> Self {
        Self {
            address,
            key: key.to_owned(),
        }
    }

    /// Returns what is found under `path`.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn get<T>(&self, path: &str) -> Result<T, ClientError>
    where
        T: DeserializeOwned,
    {
        self.call(Method::Get, path, Vec::new()).await
    }

    /// Sends `body` to `path`.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn post<B, T>(&self, path: &str, body: &B) -> Result<T, ClientError>
    where
        B: Serialize,
        T: DeserializeOwned,
    {
        let body = serde_json::to_vec(body);
        let body = body.map_err(|error| ClientError::Garbled(error.to_string()))?;
        self.call(Method::Post, path, body).await
    }

    /// Returns the configuration that the entry works by.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn catalogue(&self) -> Result<Catalogue, ClientError> {
        self.get("catalogue").await
    }

    /// Makes a change on top of `base`; an answer that is lost is asked for again.
    ///
    /// # Errors
    ///
    /// Returns why the change was not made, or is not known to be.
    pub async fn change(
        &self,
        base: Revision,
        why: &str,
        edits: Vec<Edit>,
    ) -> Result<Revision, ClientError> {
        let number: u64 = rand::random();
        let id = ChangeId::new(format!("cli/{number:016x}"));
        let id = id.map_err(|error| ClientError::Garbled(error.to_string()))?;
        let request = ChangeRequest {
            id,
            base,
            why: why.to_owned(),
            edits,
        };
        self.send_change(&request).await
    }

    /// Sends a change under its own id.
    ///
    /// # Errors
    ///
    /// Returns why the change was not made, or is not known to be.
    pub async fn send_change(&self, request: &ChangeRequest) -> Result<Revision, ClientError> {
        let mut sent = 0;
        let reply: ChangeReply = loop {
            let reply = self.post("changes", request).await;
            let is_unsure = match &reply {
                Err(ClientError::Silent | ClientError::Unreachable(..)) => true,
                Err(ClientError::Refused { code, .. }) => code == "no_quorum",
                _ => false,
            };
            sent += 1;
            if !is_unsure || sent > RESENDS {
                break reply?;
            }
            Timer::after(PAUSE).await;
        };
        match reply.outcome {
            Outcome::Accepted(revision) => Ok(revision),
            Outcome::Conflict { standing, differs } => {
                Err(ClientError::Conflict { standing, differs })
            }
            Outcome::Refused(why) => Err(ClientError::Invalid(why)),
        }
    }

    /// Waits until `revision` is in force everywhere; `progress` is told of each look.
    ///
    /// # Errors
    ///
    /// Fails when it is not in force after `limit`.
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
            let reply: Result<InForceReply, ClientError> = self.get("in-force").await;
            let in_force = reply.ok().and_then(|reply| reply.in_force);
            progress(in_force);
            if in_force >= Some(revision) {
                return Ok(begin.elapsed());
            }
            Timer::after(PAUSE).await;
        }
        Err(ClientError::NotInForce(revision))
    }

    async fn call<T>(&self, method: Method, path: &str, body: Vec<u8>) -> Result<T, ClientError>
    where
        T: DeserializeOwned,
    {
        let calling = self.exchange(method, path, body);
        let timeout = async {
            Timer::after(LIMIT).await;
            Err(ClientError::Silent)
        };
        let (status, bytes) = calling.or(timeout).await?;
        let garbled = |error: serde_json::Error| ClientError::Garbled(error.to_string());
        if status < 400 {
            return serde_json::from_slice(&bytes).map_err(garbled);
        }
        let reply: ErrorReply = serde_json::from_slice(&bytes).map_err(garbled)?;
        let code = reply.error.code.as_str().to_owned();
        Err(ClientError::Refused {
            code,
            message: reply.error.message,
        })
    }

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
        let stream = TcpStream::connect(self.address).await;
        let stream = stream.map_err(|error| unreachable(error.to_string()))?;
        // From here on the request may have arrived.
        let response = async_h1::client::connect(stream, request).await;
        let mut response = response.map_err(|_lost| ClientError::Silent)?;
        let bytes = response
            .body_bytes()
            .await
            .map_err(|_lost| ClientError::Silent)?;
        Ok((response.status().into(), bytes))
    }
}
