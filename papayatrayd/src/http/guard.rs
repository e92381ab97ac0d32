//! Client connection with an idle time-out.

use std::fmt;
use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use papayatray_core::clock::Millis;
use smol::Timer;
use smol::io::AsyncRead;
use smol::io::AsyncWrite;
use smol::net::TcpStream;

/// Stream whose reads and writes fail once they have been pending for the idle time-out.
///
/// A client that stops sending or reading loses its own connection and affects no other.
pub(super) struct GuardedStream {
    stream: TcpStream,
    idle_timeout: Millis,
    timer: Option<Timer>,
}

impl GuardedStream {
    pub(super) const fn new(stream: TcpStream, idle_timeout: Millis) -> Self {
        Self {
            stream,
            idle_timeout,
            timer: None,
        }
    }

    /// Returns `polled`, or a time-out error once polls have been pending for the idle time-out.
    fn watch<T>(
        &mut self,
        polled: Poll<io::Result<T>>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<T>> {
        if polled.is_ready() {
            self.timer = None;
            return polled;
        }
        let idle_timeout = self.idle_timeout.to_duration();
        let timer = self.timer.get_or_insert_with(|| Timer::after(idle_timeout));
        match Future::poll(Pin::new(timer), cx) {
            Poll::Ready(_) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl Clone for GuardedStream {
    fn clone(&self) -> Self {
        Self::new(self.stream.clone(), self.idle_timeout)
    }
}

impl fmt::Debug for GuardedStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("GuardedStream")
            .field("stream", &self.stream)
            .finish_non_exhaustive()
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        self.watch(polled, cx)
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buffer);
        self.watch(polled, cx)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
