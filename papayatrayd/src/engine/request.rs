//! Requests to endpoints, up to the head of the response.

use async_h1::client;
use displaydoc::Display;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::Url;
use papayatray_core::clock::Millis;
use papayatray_core::pool::Member;
use papayatray_wire::http::header;
use smol::Timer;
use smol::future::FutureExt;
use smol::net::TcpStream;

use super::ConnectionPool;

/// Why a request to an endpoint got no response.
#[derive(Debug, Display)]
pub enum SendError {
    /// the request could not be sent to the endpoint: {0}
    NotSent(String),
    /// the connection was lost, or its response does not belong to this attempt: {0}
    ConnectionLost(String),
    /// the endpoint did not send the head of its response within the time limit
    TimedOut,
    /// the request was cancelled before it was sent
    Cancelled,
}

impl std::error::Error for SendError {}

/// Request to an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers by name, without [`header::ATTEMPT`].
    pub headers: Vec<(String, String)>,
    /// Request body.
    pub body: Vec<u8>,
    /// Number of the attempt, which the endpoint has to echo in its response.
    pub attempt: u64,
    /// Time within which the head of the response must arrive once the connection is established.
    pub response_timeout: Millis,
    /// Whether to use a new connection only.
    ///
    /// A request on an idle connection is sent again on a new one if the idle connection is lost
    /// before the response, so requests that must not be sent twice set this.
    pub needs_new_connection: bool,
}

impl EndpointRequest {
    fn to_http(&self, address: &str) -> Result<Request, SendError> {
        let url = Url::parse(&format!("http://{address}{}", self.path));
        let url = url.map_err(|error| SendError::NotSent(error.to_string()))?;
        let mut request = Request::new(self.method, url);
        for (name, value) in &self.headers {
            request.insert_header(name.as_str(), value.as_str());
        }
        request.insert_header(header::ATTEMPT, self.attempt.to_string());
        request.set_body(self.body.clone());
        // The type from the headers applies, not the default that `set_body` derives from the body.
        if let Some((_, mime)) = self.headers.iter().find(|(name, _)| name == "content-type") {
            request.insert_header("content-type", mime.as_str());
        }
        Ok(request)
    }
}

/// Request whose response head has arrived, with its connection.
#[derive(Debug)]
pub struct SentRequest {
    /// Response; its body is still to be read from the connection.
    pub response: Response,
    /// Connection of the response.
    pub connection: TcpStream,
}

/// Sends a request to `member` and waits for the head of the response.
///
/// An idle connection is tried first, unless the request needs a new one. If that fails with
/// [`SendError::ConnectionLost`], the request is sent again on a new connection, so `may_send` and
/// `on_written` may each be called twice.
///
/// `may_send` is called right before the first byte is written; `false` cancels the request.
/// `on_written` is called after the last byte has been written.
///
/// # Errors
///
/// Returns why there is no response. [`SendError::NotSent`] and [`SendError::Cancelled`] mean that
/// nothing was sent on the last connection tried. The endpoint may still have received the request
/// on an idle connection that was lost before; [`EndpointRequest::needs_new_connection`] rules this
/// out.
pub async fn send<F, W>(
    connections: &ConnectionPool,
    member: &Member,
    request: &EndpointRequest,
    may_send: F,
    on_written: W,
) -> Result<SentRequest, SendError>
where
    F: Fn() -> bool,
    W: Fn(),
{
    let idle = if request.needs_new_connection {
        None
    } else {
        connections.take_idle(&member.address)
    };
    if let Some(connection) = idle {
        if !may_send() {
            return Err(SendError::Cancelled);
        }
        match send_on(connection, &member.address, request, &on_written).await {
            // The endpoint may have closed the connection while it was idle, which is no failure.
            Err(SendError::ConnectionLost(_)) => {}
            other => return other,
        }
    }
    let connection = ConnectionPool::open(&member.address).await;
    let connection = connection.map_err(|error| SendError::NotSent(error.to_string()))?;
    if !may_send() {
        return Err(SendError::Cancelled);
    }
    send_on(connection, &member.address, request, &on_written).await
}

/// Sends a request on a new connection and returns the status of the response, or `None` if no
/// response arrives in time.
pub async fn send_for_status(address: &str, request: &EndpointRequest) -> Option<u16> {
    let connection = ConnectionPool::open(address).await.ok()?;
    let sent = send_on(connection, address, request, &|| ()).await.ok()?;
    Some(sent.response.status().into())
}

/// Sends a request on an open connection and checks that the response is for this attempt.
async fn send_on<W>(
    connection: TcpStream,
    address: &str,
    request: &EndpointRequest,
    on_written: &W,
) -> Result<SentRequest, SendError>
where
    W: Fn(),
{
    let mut encoder = client::Encoder::new(request.to_http(address)?);
    let exchange = async {
        let copied = smol::io::copy(&mut encoder, &mut connection.clone()).await;
        copied.map_err(|error| SendError::ConnectionLost(error.to_string()))?;
        on_written();
        let decoded = client::decode(connection.clone()).await;
        decoded.map_err(|error| SendError::ConnectionLost(error.to_string()))
    };
    let timeout = async {
        Timer::after(request.response_timeout.to_duration()).await;
        Err(SendError::TimedOut)
    };
    let response = exchange.or(timeout).await?;
    let echoed_attempt = response
        .header(header::ATTEMPT)
        .map(|values| values.as_str().to_owned());
    if echoed_attempt != Some(request.attempt.to_string()) {
        // The response may belong to another caller's request, so the connection counts as lost.
        return Err(SendError::ConnectionLost(
            "the response does not echo the number of this attempt".to_owned(),
        ));
    }
    Ok(SentRequest {
        response,
        connection,
    })
}
