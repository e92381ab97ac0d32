//! Stream of server-sent events from an endpoint, resumed on a new connection when it breaks.

use displaydoc::Display;
use http_types::Method;
use http_types::Response;
use papayatray_core::clock::Millis;
use papayatray_core::pool::Member;
use papayatray_wire::http::header;
use smol::Timer;
use smol::future::FutureExt;
use smol::io::AsyncBufReadExt;
use smol::io::AsyncReadExt;
use smol::net::TcpStream;

use super::ConnectionPool;
use super::EndpointRequest;
use super::SendError;
use super::SentRequest;
use super::send;

/// Largest accepted event; a larger one ends the stream as malformed.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Number of successive resumptions without an event after which a stream counts as stalled.
const MAX_RESUMES: u32 = 2;
/// Data of the event that ends a stream.
const DONE_DATA: &[u8] = b"[DONE]";

/// Server-sent event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// Event id; the events of a stream are numbered from 1.
    pub number: u64,
    /// Content of the `data` lines.
    pub data: Vec<u8>,
}

impl Event {
    /// Returns whether the event ends the stream.
    pub fn is_done(&self) -> bool {
        self.data == DONE_DATA
    }
}

/// Why a stream cannot continue.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum EventSourceError {
    /// the endpoint became unreachable during the stream: {0}
    Unreachable(String),
    /// the endpoint does not know the stream to be resumed
    UnknownStream,
    /// the endpoint is reachable, but its stream makes no progress
    Stalled,
    /// the endpoint sent no valid stream of numbered events, or an event is too large
    Malformed,
}

impl std::error::Error for EventSourceError {}

/// Why reading an event failed.
enum ReadError {
    Closed,
    Stalled,
    Malformed,
}

/// Stream of events of one attempt.
#[derive(Debug)]
pub struct EventSource<'a> {
    connections: &'a ConnectionPool,
    member: Member,
    attempt: u64,
    progress_timeout: Millis,
    response: Response,
    connection: TcpStream,
    /// Number of the last event returned; 0 before the first.
    last_number: u64,
    /// Resumptions since the last event returned.
    resumes: u32,
}

impl<'a> EventSource<'a> {
    /// Creates the stream whose response head is in `sent`.
    ///
    /// The stream is resumed if no event arrives within `progress_timeout`.
    pub fn new(
        connections: &'a ConnectionPool,
        member: &Member,
        attempt: u64,
        progress_timeout: Millis,
        sent: SentRequest,
    ) -> Self {
        Self {
            connections,
            member: member.clone(),
            attempt,
            progress_timeout,
            response: sent.response,
            connection: sent.connection,
            last_number: 0,
            resumes: 0,
        }
    }

    /// Returns the next event; each event is returned once and in order.
    ///
    /// # Errors
    ///
    /// Returns why the stream cannot continue.
    pub async fn next(&mut self) -> Result<Event, EventSourceError> {
        loop {
            match self.read_with_timeout().await {
                Ok(event) if event.number <= self.last_number => {}
                Ok(event) if event.number == self.last_number + 1 => {
                    self.last_number = event.number;
                    self.resumes = 0;
                    return Ok(event);
                }
                // A gap in the ids: resuming after the last event requests the missing ones again.
                Ok(_) | Err(ReadError::Closed | ReadError::Stalled) => self.resume().await?,
                Err(ReadError::Malformed) => return Err(EventSourceError::Malformed),
            }
        }
    }

    /// Reads the response to its end after the last event and returns the connection to the pool.
    pub async fn finish(mut self) {
        let reading = async {
            let rest = self.response.fill_buf().await;
            rest.is_ok_and(<[u8]>::is_empty)
        };
        let timeout = async {
            Timer::after(self.progress_timeout.to_duration()).await;
            false
        };
        if reading.or(timeout).await {
            self.connections
                .put_idle(&self.member.address, self.connection);
        }
    }

    /// Requests the endpoint to stop generating, as the caller has disconnected.
    pub async fn cancel(self) {
        let stream_request = self.stream_request(Method::Delete);
        let _ = send(
            self.connections,
            &self.member,
            &stream_request,
            || true,
            || (),
        )
        .await;
    }

    /// Returns a request about this stream: GET resumes it after the last event, DELETE cancels it.
    fn stream_request(&self, method: Method) -> EndpointRequest {
        EndpointRequest {
            method,
            path: format!("/v1/streams/{}", self.attempt),
            headers: vec![(header::LAST_EVENT.to_owned(), self.last_number.to_string())],
            body: Vec::new(),
            attempt: self.attempt,
            response_timeout: self.progress_timeout,
            needs_new_connection: true,
        }
    }

    /// Resumes the stream on a new connection, after the last event returned.
    ///
    /// No check before sending is needed, as the request itself was already sent.
    async fn resume(&mut self) -> Result<(), EventSourceError> {
        loop {
            if self.resumes >= MAX_RESUMES {
                return Err(EventSourceError::Stalled);
            }
            self.resumes += 1;
            let stream_request = self.stream_request(Method::Get);
            match send(
                self.connections,
                &self.member,
                &stream_request,
                || true,
                || (),
            )
            .await
            {
                Ok(sent) if sent.response.status().is_success() => {
                    self.response = sent.response;
                    self.connection = sent.connection;
                    return Ok(());
                }
                Ok(_) => return Err(EventSourceError::UnknownStream),
                Err(SendError::NotSent(cause)) => return Err(EventSourceError::Unreachable(cause)),
                Err(_no_response) => {}
            }
        }
    }

    async fn read_with_timeout(&mut self) -> Result<Event, ReadError> {
        let limit = self.progress_timeout.to_duration();
        let timeout = async {
            Timer::after(limit).await;
            Err(ReadError::Stalled)
        };
        read_event(&mut self.response).or(timeout).await
    }
}

/// Reads one event and skips comments; as the caller's timer runs for the whole read, comments do
/// not count as progress.
async fn read_event(response: &mut Response) -> Result<Event, ReadError> {
    let mut event = Event::default();
    let mut line = Vec::new();
    loop {
        line.clear();
        // One byte more than an event may have left, so that a longer line is told from the end.
        let limit = MAX_EVENT_BYTES.saturating_sub(event.data.len()) as u64 + 1;
        let mut limited = (&mut *response).take(limit);
        let read = limited.read_until(b'\n', &mut line).await;
        match read {
            Ok(0) | Err(_) => return Err(ReadError::Closed),
            Ok(_) if event.data.len() + line.len() > MAX_EVENT_BYTES => {
                return Err(ReadError::Malformed);
            }
            Ok(_) if !line.ends_with(b"\n") => return Err(ReadError::Closed),
            Ok(_) => {}
        }
        let text = line.trim_ascii_end();
        if text.is_empty() {
            if event.number > 0 {
                return Ok(event);
            }
            if !event.data.is_empty() {
                return Err(ReadError::Malformed);
            }
        } else if let Some(number) = text.strip_prefix(b"id:") {
            event.number = parse_number(number).ok_or(ReadError::Malformed)?;
        } else if let Some(data) = text.strip_prefix(b"data:") {
            if !event.data.is_empty() {
                event.data.push(b'\n');
            }
            event
                .data
                .extend_from_slice(data.strip_prefix(b" ").unwrap_or(data));
        } else if !text.starts_with(b":") && !text.starts_with(b"event:") {
            return Err(ReadError::Malformed);
        }
    }
}

fn parse_number(digits: &[u8]) -> Option<u64> {
    std::str::from_utf8(digits).ok()?.trim().parse().ok()
}
