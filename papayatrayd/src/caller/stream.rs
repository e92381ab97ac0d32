//! Streaming response body, written by one task while the server sends it.

use std::fmt;
use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use smol::channel;
use smol::io::AsyncBufRead;
use smol::io::AsyncRead;
use smol::stream::Stream;

/// Maximum number of chunks buffered for a slow caller; a full queue puts back-pressure on the
/// endpoint.
const QUEUE_CAPACITY: usize = 16;

/// Reading end of a streaming body; dropping it closes the channel, which tells the writer that
/// the caller disconnected.
pub(super) struct BodyReader {
    chunks: Pin<Box<channel::Receiver<Vec<u8>>>>,
    chunk: Vec<u8>,
    offset: usize,
}

/// Returns the writing and the reading end of a streaming body.
pub(super) fn streaming_body() -> (channel::Sender<Vec<u8>>, BodyReader) {
    let (sender, chunks) = channel::bounded(QUEUE_CAPACITY);
    let reader = BodyReader {
        chunks: Box::pin(chunks),
        chunk: Vec::new(),
        offset: 0,
    };
    (sender, reader)
}

impl fmt::Debug for BodyReader {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("BodyReader").finish_non_exhaustive()
    }
}

impl AsyncBufRead for BodyReader {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        while this.offset >= this.chunk.len() {
            match this.chunks.as_mut().poll_next(cx) {
                Poll::Ready(Some(chunk)) => {
                    this.chunk = chunk;
                    this.offset = 0;
                }
                Poll::Ready(None) => return Poll::Ready(Ok(&[])),
                Poll::Pending => return Poll::Pending,
            }
        }
        Poll::Ready(Ok(&this.chunk[this.offset..]))
    }

    fn consume(self: Pin<&mut Self>, amount: usize) {
        self.get_mut().offset += amount;
    }
}

impl AsyncRead for BodyReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let filled = match self.as_mut().poll_fill_buf(cx) {
            Poll::Ready(filled) => filled?,
            Poll::Pending => return Poll::Pending,
        };
        let amount = filled.len().min(buffer.len());
        buffer[..amount].copy_from_slice(&filled[..amount]);
        self.consume(amount);
        Poll::Ready(Ok(amount))
    }
}
