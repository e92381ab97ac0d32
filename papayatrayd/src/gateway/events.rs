//! Splits the bytes of a server-sent event stream into events.

use bytes::Bytes;
use bytes::BytesMut;

use super::body::BodyError;
use super::body::FrameMeter;
use super::buffers::Reservation;

/// Size limit of one event.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Unit in which memory is reserved; that of a stream whose events are shorter is reserved once.
const RESERVED_UNIT_BYTES: usize = 4 << 10;

/// Server-sent event, with its bytes as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Event id, if the event has a numeric one.
    pub id: Option<u64>,
    /// Bytes of the event, including the empty line at its end.
    pub bytes: Bytes,
}

/// Splits a stream into complete events; an incomplete last event is never returned.
///
/// Comments and empty lines between events are returned with the event that follows them: alone they
/// are no progress of the stream.
#[derive(Debug)]
pub struct EventReader {
    buffer: BytesMut,
    reservation: Reservation,
    /// Frames since the end of the last event.
    meter: FrameMeter,
    /// Length of the comments and empty lines at the start of the buffer.
    skipped: usize,
    /// Length of the part of the buffer in which no event ends.
    scanned: usize,
}

impl EventReader {
    /// Creates a reader whose buffer counts towards `reservation`.
    pub fn new(reservation: Reservation) -> Self {
        Self {
            buffer: BytesMut::new(),
            reservation,
            meter: FrameMeter::new(MAX_EVENT_BYTES),
            skipped: 0,
            scanned: 0,
        }
    }

    /// Appends the bytes of a frame.
    ///
    /// # Errors
    ///
    /// Returns the limit that the event exceeds with them.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), BodyError> {
        self.meter.count(bytes.len())?;
        let needed = self.buffer.len() + bytes.len();
        if needed > self.buffer.capacity() {
            let grown = needed.max(self.buffer.capacity() * 2);
            let grown = grown.next_multiple_of(RESERVED_UNIT_BYTES);
            self.reservation.extend_to(grown)?;
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the next complete event, if there is one.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        loop {
            // The end of an event, of up to 3 bytes, may have been split over two calls of `push`.
            let from = self.scanned.saturating_sub(3).max(self.skipped);
            let Some(end) = find_end(&self.buffer, from) else {
                self.scanned = self.buffer.len();
                return None;
            };
            if !has_field(&self.buffer[self.skipped..end]) {
                self.skipped = end;
                self.scanned = end;
                continue;
            }
            self.skipped = 0;
            self.scanned = 0;
            let bytes = self.take(end);
            return Some(StreamEvent {
                id: event_id(&bytes),
                bytes,
            });
        }
    }

    /// Removes and returns the first `length` bytes.
    fn take(&mut self, length: usize) -> Bytes {
        self.meter.restart(self.buffer.len() - length);
        if length <= RESERVED_UNIT_BYTES {
            return self.buffer.split_to(length).freeze();
        }
        // The rest moves to a buffer of its own, as both would keep all of the memory otherwise.
        let rest = BytesMut::from(&self.buffer[length..]);
        let mut taken = std::mem::replace(&mut self.buffer, rest);
        taken.truncate(length);
        let kept = self.buffer.capacity().next_multiple_of(RESERVED_UNIT_BYTES);
        self.reservation.split_off(kept).attach(taken)
    }

    /// Returns whether bytes of an incomplete event or comment are buffered.
    pub fn has_partial_event(&self) -> bool {
        self.buffer.len() > self.skipped
    }

    /// Removes and returns the comments after the last event.
    pub fn take_comments(&mut self) -> Bytes {
        self.skipped = 0;
        self.scanned = 0;
        self.take(self.buffer.len())
    }
}

/// Returns whether any line is neither empty nor a comment.
fn has_field(bytes: &[u8]) -> bool {
    let mut lines = bytes.split(|byte| *byte == b'\n');
    lines.any(|line| !matches!(line.strip_suffix(b"\r").unwrap_or(line), [] | [b':', ..]))
}

/// Returns the index after the empty line that ends the first event.
fn find_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut position = from;
    while let Some(offset) = bytes
        .get(position..)?
        .iter()
        .position(|byte| *byte == b'\n')
    {
        let next = position + offset + 1;
        match bytes.get(next..)? {
            [b'\n', ..] => return Some(next + 1),
            [b'\r', b'\n', ..] => return Some(next + 2),
            _ => position = next,
        }
    }
    None
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = ids.next()?.trim_ascii();
    std::str::from_utf8(id).ok()?.parse().ok()
}
