//! Caller that uses plain HTTP, as an application does.

use std::net::SocketAddr;
use std::time::Duration;

use async_h1::client::connect;
use displaydoc::Display;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::Url;
use serde_json::Value;
use smol::Timer;
use smol::future::FutureExt;
use smol::net::TcpStream;

/// Time-out of a call with its whole response body; the text of [`CallError::Timeout`] states it.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Errors of a call.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum CallError {
    /// cannot connect: {0}
    Connect(String),
    /// the connection was lost: {0}
    ConnectionLost(String),
    /// no complete response within 60 s
    Timeout,
}

impl std::error::Error for CallError {}

/// Response that was read to its end.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallResponse {
    /// HTTP status.
    pub status: u16,
    /// Header names and values.
    pub headers: Vec<(String, String)>,
    /// Whole body.
    pub body: Vec<u8>,
}

impl CallResponse {
    /// Returns the value of the header `name`, if present.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the body as JSON, or null if it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the generated text of a chat response, streamed or not.
    pub fn text(&self) -> String {
        let json = self.json();
        if let Some(text) = json["choices"][0]["message"]["content"].as_str() {
            return text.to_owned();
        }
        let body = String::from_utf8_lossy(&self.body).into_owned();
        let events = body.lines().filter_map(|line| line.strip_prefix("data: "));
        let chunks = events.filter_map(|data| serde_json::from_str::<Value>(data).ok());
        let texts = chunks.filter_map(|chunk| {
            chunk["choices"][0]["delta"]["content"]
                .as_str()
                .map(str::to_owned)
        });
        texts.collect()
    }

    /// Tells whether a streamed response is complete.
    pub fn is_done(&self) -> bool {
        self.body.ends_with(b"data: [DONE]\n\n")
    }

    /// Returns the code of an error response, or of the error that ended a stream.
    pub fn code(&self) -> Option<String> {
        let body = String::from_utf8_lossy(&self.body).into_owned();
        let last = body.lines().rev().find(|line| !line.is_empty())?;
        let last = last.strip_prefix("data: ").unwrap_or(last);
        let error: Value = serde_json::from_str(last).ok()?;
        error["error"]["code"].as_str().map(str::to_owned)
    }
}

/// Sends one request on a new connection and reads the whole response.
///
/// # Errors
///
/// Fails if there is no complete response within the time-out.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
) -> Result<CallResponse, CallError> {
    let mut caller = Caller::connect(address).await?;
    caller.call(method, path, headers, body).await
}

/// Caller with a keep-alive connection.
#[derive(Debug)]
pub struct Caller {
    address: SocketAddr,
    stream: TcpStream,
}

impl Caller {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be reached.
    pub async fn connect(address: SocketAddr) -> Result<Self, CallError> {
        let stream = TcpStream::connect(address).await;
        let stream = stream.map_err(|error| CallError::Connect(error.to_string()))?;
        let _ = stream.set_nodelay(true);
        Ok(Self { address, stream })
    }

    /// Sends one request and reads the whole response.
    ///
    /// # Errors
    ///
    /// Fails if there is no complete response within the time-out.
    pub async fn call(
        &mut self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Result<CallResponse, CallError> {
        let calling = async {
            let mut response = self.open(method, path, headers, body).await?;
            let read = response.body_bytes().await;
            let body = read.map_err(|error| CallError::ConnectionLost(error.to_string()))?;
            Ok(CallResponse {
                status: response.status().into(),
                headers: headers_of(&response),
                body,
            })
        };
        let timeout = async {
            Timer::after(CALL_TIMEOUT).await;
            Err(CallError::Timeout)
        };
        calling.or(timeout).await
    }

    /// Sends one request and returns the response before its body is read; there is no time-out.
    ///
    /// # Errors
    ///
    /// Fails if the connection is lost.
    pub async fn open(
        &mut self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Result<Response, CallError> {
        let url = Url::parse(&format!("http://{}{path}", self.address));
        let url = url.map_err(|error| CallError::Connect(error.to_string()))?;
        let mut request = Request::new(method, url);
        request.set_body(body);
        for (name, value) in headers {
            request.insert_header(*name, *value);
        }
        let response = connect(self.stream.clone(), request).await;
        response.map_err(|error| CallError::ConnectionLost(error.to_string()))
    }
}

fn headers_of(response: &Response) -> Vec<(String, String)> {
    let pairs = response.iter();
    pairs
        .map(|(name, values)| (name.to_string(), values.as_str().to_owned()))
        .collect()
}
