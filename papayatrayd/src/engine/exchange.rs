//! One request to an endpoint and the head of its answer.

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

/// Why a request to an endpoint has no answer.
#[derive(Debug, Display)]
pub enum SendError {
    /// the endpoint was not reached: {0}
    NotSent(String),
    /// the endpoint was reached, and the connection was lost: {0}
    Lost(String),
    /// the endpoint has not answered in time
    Silent,
    /// the sender withdrew the request before it was sent
    Withdrawn,
}

impl std::error::Error for SendError {}

/// Request to an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointRequest {
    /// Method.
    pub method: Method,
    /// Path with its query.
    pub path: String,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
    /// Number of the attempt; the endpoint sends it back.
    pub attempt: u64,
    /// Time within which the head of the answer must come.
    pub limit: Millis,
    /// Whether only a new connection will do, since the request must not be sent twice.
    pub fresh: bool,
}

impl EndpointRequest {
    fn request(&self, address: &str) -> Result<Request, SendError> {
        let url = Url::parse(&format!("http://{address}{}", self.path));
        let url = url.map_err(|error| SendError::NotSent(error.to_string()))?;
        let mut request = Request::new(self.method, url);
        for (name, value) in &self.headers {
            request.insert_header(name.as_str(), value.as_str());
        }
        request.insert_header(header::ATTEMPT, self.attempt.to_string());
        request.set_body(self.body.clone());
        if let Some((_, media)) = self.headers.iter().find(|(name, _)| name == "content-type") {
            request.insert_header("content-type", media.as_str());
        }
        Ok(request)
    }
}

/// Answer of an endpoint, with the connection it comes on.
#[derive(Debug)]
pub struct Sent {
    /// The answer, whose body is still to come.
    pub response: Response,
    /// The connection.
    pub stream: TcpStream,
}

/// Sends a request to `member` and waits for the head of the answer.
///
/// `may_send` is asked right before the first byte leaves, `written` is called after the last.
///
/// # Errors
///
/// Returns why there is no answer, and whether the endpoint may have got the request.
pub async fn send<F, W>(
    connections: &ConnectionPool,
    member: &Member,
    exchange: &EndpointRequest,
    may_send: F,
    written: W,
) -> Result<Sent, SendError>
where
    F: Fn() -> bool,
    W: Fn(),
{
    let kept = if exchange.fresh {
        None
    } else {
        connections.kept(&member.address)
    };
    if let Some(stream) = kept {
        if !may_send() {
            return Err(SendError::Withdrawn);
        }
        match send_on(stream, &member.address, exchange, &written).await {
            // A kept connection may have ended in between: that says nothing of the endpoint.
            Err(SendError::Lost(_)) => {}
            other => return other,
        }
    }
    let stream = ConnectionPool::open(&member.address).await;
    let stream = stream.map_err(|error| SendError::NotSent(error.to_string()))?;
    if !may_send() {
        return Err(SendError::Withdrawn);
    }
    send_on(stream, &member.address, exchange, &written).await
}

/// Sends a request on a connection of its own; returns the status of the answer, if one came.
pub async fn send_for_status(address: &str, exchange: &EndpointRequest) -> Option<u16> {
    let stream = ConnectionPool::open(address).await.ok()?;
    let sent = send_on(stream, address, exchange, &|| ()).await.ok()?;
    Some(sent.response.status().into())
}

async fn send_on<W>(
    stream: TcpStream,
    address: &str,
    exchange: &EndpointRequest,
    written: &W,
) -> Result<Sent, SendError>
where
    W: Fn(),
{
    let mut request = client::Encoder::new(exchange.request(address)?);
    let answering = async {
        let copied = smol::io::copy(&mut request, &mut stream.clone()).await;
        copied.map_err(|error| SendError::Lost(error.to_string()))?;
        written();
        let answer = client::decode(stream.clone()).await;
        answer.map_err(|error| SendError::Lost(error.to_string()))
    };
    let timeout = async {
        Timer::after(exchange.limit.to_duration()).await;
        Err(SendError::Silent)
    };
    let response = answering.or(timeout).await?;
    let echo = response
        .header(header::ATTEMPT)
        .map(|values| values.as_str().to_owned());
    if echo != Some(exchange.attempt.to_string()) {
        // An answer to another attempt must never reach this caller.
        return Err(SendError::Lost(
            "the answer belongs to another attempt".to_owned(),
        ));
    }
    Ok(Sent { response, stream })
}
