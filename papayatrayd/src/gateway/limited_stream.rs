//! Stream of a connection to an endpoint that limits the bytes before the end of a response head.
//!
//! The HTTP library limits the size of one head, but not the number of interim responses (status 1xx)
//! before it, and reads on for as long as bytes arrive.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use smol::io::AsyncRead;
use smol::io::AsyncWrite;
use smol::net::TcpStream;

/// Bytes that may arrive until the head of a response ends: several full buffers of the HTTP library.
const MAX_HEAD_PHASE_BYTES: usize = 128 << 10;
/// Value of the limit while no head is awaited.
const UNLIMITED: usize = usize::MAX;

/// Limit on the bytes of a response head; clones share it.
#[derive(Clone, Debug)]
pub(super) struct HeadLimit(Arc<AtomicUsize>);

impl Default for HeadLimit {
    fn default() -> Self {
        Self(Arc::new(AtomicUsize::new(UNLIMITED)))
    }
}

impl HeadLimit {
    /// Begins to count bytes, as a response head is awaited.
    pub(super) fn start_head(&self) {
        self.0.store(MAX_HEAD_PHASE_BYTES, Ordering::Relaxed);
    }

    /// Ends the limit, as the head has arrived or is no longer awaited.
    pub(super) fn end_head(&self) {
        self.0.store(UNLIMITED, Ordering::Relaxed);
    }

    /// Returns the number of bytes that may still be read.
    fn remaining(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    fn record(&self, count: usize) {
        let reduced =
            |remaining: usize| (remaining != UNLIMITED).then(|| remaining.saturating_sub(count));
        // Without a limit there is nothing to reduce.
        let _previous = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, reduced);
    }
}

/// TCP stream whose reads fail once a response head exceeds its limit.
#[derive(Debug)]
pub(super) struct LimitedStream {
    stream: TcpStream,
    limit: HeadLimit,
}

impl LimitedStream {
    pub(super) const fn new(stream: TcpStream, limit: HeadLimit) -> Self {
        Self { stream, limit }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.limit.remaining() == 0 {
            let error = io::Error::new(
                io::ErrorKind::InvalidData,
                "the endpoint sent too many bytes before the end of a response head",
            );
            return Poll::Ready(Err(error));
        }
        let count = ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.limit.record(count);
        Poll::Ready(Ok(count))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
