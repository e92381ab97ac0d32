//! Bodies that are buffered whole, within limits of size, memory and number of frames.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use displaydoc::Display;
use http::StatusCode;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::BodyExt;
use papayatray_core::clock::Millis;
use papayatray_core::gateway::buffer_shares::Exhausted;
use smol::Timer;
use smol::future::FutureExt;

use super::buffers::Reservation;

/// Frames that a body may have whatever their size.
const MAX_SMALL_FRAMES: usize = 8 << 10;
/// Minimum mean size, in bytes, of the frames of a body with more than [`MAX_SMALL_FRAMES`]; bounds the
/// processor time that a body takes, which depends on the number of its frames.
const MIN_MEAN_FRAME_BYTES: usize = 16;
/// Capacity of a buffer at first, in bytes, even if a longer body is announced.
const MIN_CAPACITY_BYTES: usize = 16 << 10;

/// Maximum size of a frame that is handed to the HTTP library, in bytes.
const MAX_FRAME_BYTES: usize = 16 << 10;

/// Reason why a body cannot be buffered.
#[derive(Debug, Display)]
pub enum BodyError {
    /// the body exceeds the limit of {0} bytes
    TooLarge(usize),
    /// the body consists of too many pieces of a few bytes
    Fragmented,
    /// {0}
    Exhausted(Exhausted),
    /// the body was cut off: {0}
    CutOff(hyper::Error),
    /// the body did not arrive within {0}
    TimedOut(Millis),
}

impl std::error::Error for BodyError {}

impl From<Exhausted> for BodyError {
    fn from(error: Exhausted) -> Self {
        Self::Exhausted(error)
    }
}

impl BodyError {
    /// Returns whether the sender of the body is at fault.
    pub const fn is_fault_of_sender(&self) -> bool {
        !matches!(self, Self::Exhausted(Exhausted::Pool))
    }

    /// Returns the status of the response to a request with this body.
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::TooLarge(_) | Self::Fragmented => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Exhausted(_) | Self::TimedOut(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::CutOff(_) => StatusCode::BAD_REQUEST,
        }
    }
}

/// Check of a body's frames against its limits.
#[derive(Clone, Copy, Debug)]
pub(super) struct FrameMeter {
    limit: usize,
    frames: usize,
    bytes: usize,
}

impl FrameMeter {
    /// Creates a meter of a body of at most `limit` bytes.
    pub(super) const fn new(limit: usize) -> Self {
        Self {
            limit,
            frames: 0,
            bytes: 0,
        }
    }

    /// Returns the number of bytes counted.
    pub(super) const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Begins a new body, of which `bytes` bytes have arrived.
    pub(super) const fn restart(&mut self, bytes: usize) {
        self.frames = 0;
        self.bytes = bytes;
    }

    /// Counts a frame with this many bytes.
    ///
    /// # Errors
    ///
    /// Returns the limit that the body exceeds with it.
    pub(super) const fn count(&mut self, bytes: usize) -> Result<(), BodyError> {
        self.frames += 1;
        self.bytes = self.bytes.saturating_add(bytes);
        if self.bytes > self.limit {
            return Err(BodyError::TooLarge(self.limit));
        }
        if self.frames > MAX_SMALL_FRAMES && self.bytes / self.frames < MIN_MEAN_FRAME_BYTES {
            return Err(BodyError::Fragmented);
        }
        Ok(())
    }
}

/// Reads a body of at most `limit` bytes to its end.
///
/// The frames are copied into one buffer: each of them may be a single byte, and would keep the whole
/// buffer of the connection in memory. The result keeps the reservation until it is dropped.
///
/// # Errors
///
/// Returns the limit that the body exceeds, or the error that cut it off.
pub async fn read_body<B>(
    body: B,
    limit: usize,
    mut reservation: Reservation,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes, Error = hyper::Error>,
{
    let announced = body.size_hint().lower();
    if usize::try_from(announced).is_ok_and(|bytes| bytes > limit) {
        return Err(BodyError::TooLarge(limit));
    }
    let announced = usize::try_from(announced).unwrap_or(limit);
    let mut buffer = Vec::new();
    let mut meter = FrameMeter::new(limit);
    let mut body = std::pin::pin!(body);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(BodyError::CutOff)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        meter.count(data.len())?;
        if meter.bytes() > buffer.capacity() {
            let wanted = (buffer.capacity() * 2).max(announced.min(MIN_CAPACITY_BYTES));
            let capacity = wanted.min(limit).max(meter.bytes());
            reservation.extend_to(capacity)?;
            buffer.reserve_exact(capacity - buffer.len());
        }
        buffer.extend_from_slice(&data);
    }
    Ok(reservation.attach(buffer))
}

/// Reads a body like [`read_body`], within a time.
///
/// # Errors
///
/// Returns the errors of [`read_body`], or that the time is over.
pub async fn read_body_within<B>(
    body: B,
    limit: usize,
    reservation: Reservation,
    timeout: Millis,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes, Error = hyper::Error>,
{
    let expired = async {
        Timer::after(timeout.to_duration()).await;
        Err(BodyError::TimedOut(timeout))
    };
    read_body(body, limit, reservation).or(expired).await
}

/// Body whose large frames are sent in pieces.
///
/// The HTTP library copies a frame whole before it writes it. For a peer that reads slowly, all of it would
/// stay in memory for which there is no reservation.
#[derive(Debug)]
pub(super) struct SmallFrames<B> {
    body: B,
    /// Part of the last frame that has not been sent.
    rest: Bytes,
}

impl<B> SmallFrames<B> {
    /// Creates a body that sends the frames of `body`.
    pub(super) const fn new(body: B) -> Self {
        Self {
            body,
            rest: Bytes::new(),
        }
    }
}

impl<B> Body for SmallFrames<B>
where
    B: Body<Data = Bytes> + Unpin,
{
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        if self.rest.is_empty() {
            let Some(frame) = ready!(Pin::new(&mut self.body).poll_frame(context)) else {
                return Poll::Ready(None);
            };
            match frame?.into_data() {
                Ok(data) => self.rest = data,
                Err(trailers) => return Poll::Ready(Some(Ok(trailers))),
            }
        }
        let length = self.rest.len().min(MAX_FRAME_BYTES);
        let piece = self.rest.split_to(length);
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let rest = self.rest.len() as u64;
        let hint = self.body.size_hint();
        let mut total = SizeHint::new();
        total.set_lower(hint.lower() + rest);
        if let Some(upper) = hint.upper() {
            total.set_upper(upper + rest);
        }
        total
    }
}
