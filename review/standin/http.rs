//! Minimal HTTP/1.1 messages for the stand-ins.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

/// Start line and headers of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// Request line or status line.
    pub line: String,
    /// Headers, with their names in lower case.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the first value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(key, _)| key == name);
        found.next().map(|(_, value)| value.as_str())
    }

    /// Returns the status code of a response, or 0.
    pub fn status(&self) -> u16 {
        let mut words = self.line.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// Returns the path of a request.
    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads a head; `None` if the channel ended before it began.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return if head.line.is_empty() {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(head));
        }
        if head.line.is_empty() {
            head.line = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            let pair = (name.trim().to_ascii_lowercase(), value.trim().to_owned());
            head.headers.push(pair);
        }
    }
}

/// Reads the body that belongs to a head, to its end.
pub fn read_body(reader: &mut BufReader<TcpStream>, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if let Some(length) = head.get("content-length") {
        let length: usize = length.parse().unwrap_or(0);
        body.resize(length, 0);
        reader.read_exact(&mut body)?;
        return Ok(body);
    }
    if head.get("transfer-encoding").is_none() {
        return Ok(body);
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(line.trim(), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Sends a call on a channel of its own and returns the status and body of its response.
pub fn call(
    address: &str,
    request: &str,
    body: &str,
    limit: Duration,
) -> io::Result<(u16, String)> {
    let target = address.parse().map_err(|_| io::ErrorKind::InvalidInput)?;
    let mut stream = TcpStream::connect_timeout(&target, limit)?;
    stream.set_read_timeout(Some(limit))?;
    let length = body.len();
    let text = format!(
        "{request} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    );
    stream.write_all(text.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    let head = head.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = read_body(&mut reader, &head)?;
    Ok((head.status(), String::from_utf8_lossy(&body).into_owned()))
}
