//! Body that is written as it comes.

use std::fmt;
use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use smol::channel;
use smol::io::AsyncBufRead;
use smol::io::AsyncRead;
use smol::stream::Stream;

/// Pieces that may wait for a slow caller; beyond them the endpoint waits too.
const QUEUE: usize = 16;

/// Reading end of a body; when it is dropped, its writer learns that the caller went away.
pub(super) struct BodyReader {
    pieces: Pin<Box<channel::Receiver<Vec<u8>>>>,
    piece: Vec<u8>,
    at: usize,
}

/// Returns the two ends of a body.
pub(super) fn body() -> (channel::Sender<Vec<u8>>, BodyReader) {
    let (sender, pieces) = channel::bounded(QUEUE);
    let reader = BodyReader {
        pieces: Box::pin(pieces),
        piece: Vec::new(),
        at: 0,
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
        while this.at >= this.piece.len() {
            match this.pieces.as_mut().poll_next(cx) {
                Poll::Ready(Some(piece)) => {
                    this.piece = piece;
                    this.at = 0;
                }
                Poll::Ready(None) => return Poll::Ready(Ok(&[])),
                Poll::Pending => return Poll::Pending,
            }
        }
        Poll::Ready(Ok(&this.piece[this.at..]))
    }

    fn consume(self: Pin<&mut Self>, amount: usize) {
        self.get_mut().at += amount;
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
