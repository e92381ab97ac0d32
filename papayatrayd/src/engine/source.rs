//! Stream of events from an endpoint, taken up on a new connection where it breaks.

use displaydoc::Display;
use http_types::Method;
use http_types::Response;
use papayatray_core::clock::Millis;
use papayatray_core::pool::Member;
use papayatray_wire::http::header;
use smol::Timer;
use smol::future::FutureExt;
use smol::io::AsyncBufReadExt;
use smol::net::TcpStream;

use super::ConnectionPool;
use super::EndpointRequest;
use super::SendError;
use super::Sent;
use super::send;

/// Most bytes of one event.
const EVENT_BYTES: usize = 1 << 20;
/// Times in a row that a stream is taken up without an event in between.
const RESUMES: u32 = 2;
/// Data of the last event.
const DONE: &[u8] = b"[DONE]";

/// Event of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// Number of the event, from 1.
    pub number: u64,
    /// Data, without its field name.
    pub data: Vec<u8>,
}

impl Event {
    /// Tells whether the event ends the stream.
    pub fn is_done(&self) -> bool {
        self.data == DONE
    }
}

/// Why a stream cannot go on.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum SourceError {
    /// the endpoint cannot be reached any more: {0}
    Gone(String),
    /// the endpoint has forgotten the stream
    Forgotten,
    /// the endpoint is there, but its stream does not go on
    Stuck,
    /// the endpoint sends something that is no stream of events
    Garbled,
}

impl std::error::Error for SourceError {}

/// Why a read ended.
enum Break {
    End,
    Stalled,
    Garbled,
}

/// Stream of events from one attempt.
#[derive(Debug)]
pub struct Source<'a> {
    connections: &'a ConnectionPool,
    member: Member,
    attempt: u64,
    progress: Millis,
    response: Response,
    stream: TcpStream,
    last: u64,
    resumes: u32,
}

impl<'a> Source<'a> {
    /// Creates the stream that `sent` begins.
    pub fn new(
        connections: &'a ConnectionPool,
        member: &Member,
        attempt: u64,
        progress: Millis,
        sent: Sent,
    ) -> Self {
        Self {
            connections,
            member: member.clone(),
            attempt,
            progress,
            response: sent.response,
            stream: sent.stream,
            last: 0,
            resumes: 0,
        }
    }

    /// Returns the next event; each comes once and in order.
    ///
    /// # Errors
    ///
    /// Returns why the stream cannot go on.
    pub async fn next(&mut self) -> Result<Event, SourceError> {
        loop {
            match self.read_in_time().await {
                Ok(event) if event.number <= self.last => {}
                Ok(event) if event.number == self.last + 1 => {
                    self.last = event.number;
                    self.resumes = 0;
                    return Ok(event);
                }
                // An event is missing: it is asked for again rather than left out.
                Ok(_) | Err(Break::End | Break::Stalled) => self.resume().await?,
                Err(Break::Garbled) => return Err(SourceError::Garbled),
            }
        }
    }

    /// Ends the stream after its last event, and keeps the connection.
    pub async fn finish(mut self) {
        let mut rest = Vec::new();
        let reading = async {
            let read = self.response.read_until(b'\n', &mut rest).await;
            matches!(read, Ok(0))
        };
        let timeout = async {
            Timer::after(self.progress.to_duration()).await;
            false
        };
        if reading.or(timeout).await {
            self.connections.keep(&self.member.address, self.stream);
        }
    }

    /// Tells the endpoint that nobody waits for the rest.
    pub async fn cancel(self) {
        let exchange = self.exchange(Method::Delete);
        let _ = send(self.connections, &self.member, &exchange, || true, || ()).await;
    }

    fn exchange(&self, method: Method) -> EndpointRequest {
        EndpointRequest {
            method,
            path: format!("/v1/streams/{}", self.attempt),
            headers: vec![(header::LAST_EVENT.to_owned(), self.last.to_string())],
            body: Vec::new(),
            attempt: self.attempt,
            limit: self.progress,
            fresh: true,
        }
    }

    /// Takes the stream up on a new connection, after the last event received.
    async fn resume(&mut self) -> Result<(), SourceError> {
        loop {
            if self.resumes >= RESUMES {
                return Err(SourceError::Stuck);
            }
            self.resumes += 1;
            let exchange = self.exchange(Method::Get);
            match send(self.connections, &self.member, &exchange, || true, || ()).await {
                Ok(sent) if sent.response.status().is_success() => {
                    self.response = sent.response;
                    self.stream = sent.stream;
                    return Ok(());
                }
                Ok(_) => return Err(SourceError::Forgotten),
                Err(SendError::NotSent(cause)) => return Err(SourceError::Gone(cause)),
                Err(_lost_again) => {}
            }
        }
    }

    async fn read_in_time(&mut self) -> Result<Event, Break> {
        let limit = self.progress.to_duration();
        let timeout = async {
            Timer::after(limit).await;
            Err(Break::Stalled)
        };
        read_event(&mut self.response).or(timeout).await
    }
}

/// Reads one event; comments count as progress of the connection but are no events.
async fn read_event(response: &mut Response) -> Result<Event, Break> {
    let mut event = Event::default();
    let mut line = Vec::new();
    loop {
        line.clear();
        let read = response.read_until(b'\n', &mut line).await;
        match read {
            Ok(0) | Err(_) => return Err(Break::End),
            Ok(_) if !line.ends_with(b"\n") => return Err(Break::End),
            Ok(_) if event.data.len() + line.len() > EVENT_BYTES => return Err(Break::Garbled),
            Ok(_) => {}
        }
        let text = line.trim_ascii_end();
        if text.is_empty() {
            if event.number > 0 {
                return Ok(event);
            }
            if !event.data.is_empty() {
                return Err(Break::Garbled);
            }
        } else if let Some(number) = text.strip_prefix(b"id:") {
            event.number = parse(number).ok_or(Break::Garbled)?;
        } else if let Some(data) = text.strip_prefix(b"data:") {
            if !event.data.is_empty() {
                event.data.push(b'\n');
            }
            event
                .data
                .extend_from_slice(data.strip_prefix(b" ").unwrap_or(data));
        } else if !text.starts_with(b":") && !text.starts_with(b"event:") {
            return Err(Break::Garbled);
        }
    }
}

fn parse(digits: &[u8]) -> Option<u64> {
    std::str::from_utf8(digits).ok()?.trim().parse().ok()
}
