//! Compression of plans, whose routes resemble each other, on links and in the log.

use std::io::Read;
use std::io::Write;

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// What to save when a text is compressed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effort {
    /// Bytes, for texts that many processes receive.
    Size,
    /// Processor time, for large texts on a thread that has other work.
    Time,
}

impl From<Effort> for Compression {
    fn from(effort: Effort) -> Self {
        match effort {
            Effort::Size => Self::default(),
            Effort::Time => Self::fast(),
        }
    }
}

/// Compresses a text.
pub fn compress(text: &str, effort: Effort) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), effort.into());
    let written = encoder.write_all(text.as_bytes());
    // Writing to memory cannot fail.
    written
        .and_then(|()| encoder.finish())
        .unwrap_or_else(|error| unreachable!("{error}"))
}

/// Decompresses a text of at most `max_bytes`.
///
/// # Errors
///
/// Fails if the bytes are not valid, if they do not yield valid UTF-8, or if the text is longer.
pub fn decompress(bytes: &[u8], max_bytes: u64) -> std::io::Result<String> {
    let mut text = String::new();
    let mut limited = DeflateDecoder::new(bytes).take(max_bytes.saturating_add(1));
    let size = limited.read_to_string(&mut text)?;
    if size as u64 > max_bytes {
        return Err(std::io::Error::other(format!(
            "the text has more than {max_bytes} bytes"
        )));
    }
    Ok(text)
}
