//! Stand-in of a consumer: a kept channel to an entry.

use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use crate::http;
use crate::http::Head;

/// Key of the one tenant.
pub const KEY: &str = "key-of-tenant-one";
/// Host of all routes.
pub const HOST: &str = "review.example";

/// Channel of a consumer.
pub struct Channel {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Channel {
    /// Opens a channel to an entry.
    pub fn open(address: &str) -> io::Result<Self> {
        let target = address.parse().map_err(|_| io::ErrorKind::InvalidInput)?;
        Self::new(TcpStream::connect_timeout(&target, Duration::from_secs(1))?)
    }

    /// Uses a connected socket as a channel.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        Ok(Self {
            reader: BufReader::new(stream.try_clone()?),
            stream,
        })
    }

    /// Sends a request without a body, or with an empty one.
    pub fn send(&mut self, method: &str, path: &str, id: &str, deadline_ms: u32) -> io::Result<()> {
        let length = if method == "POST" {
            "Content-Length: 0\r\n"
        } else {
            ""
        };
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n{length}\r\n"
        );
        self.stream.write_all(text.as_bytes())
    }

    /// Reads the head of the answer.
    pub fn head(&mut self) -> io::Result<Head> {
        http::read_head(&mut self.reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    /// Reads the body of the answer to its end.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        http::read_body(&mut self.reader, head)
    }

    /// Returns the buffered reader of the channel.
    pub fn reader(&mut self) -> &mut BufReader<TcpStream> {
        &mut self.reader
    }

    /// Sends a request and reads its whole answer.
    pub fn ask(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        deadline_ms: u32,
    ) -> io::Result<(Head, Vec<u8>)> {
        self.send(method, path, id, deadline_ms)?;
        let head = self.head()?;
        let body = self.body(&head)?;
        Ok((head, body))
    }
}
