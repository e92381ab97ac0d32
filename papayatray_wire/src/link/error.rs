//! Errors of a link.

use std::io;

use displaydoc::Display;

/// Errors of a link.
#[derive(Debug, Display)]
pub enum LinkError {
    /// I/O error on the link: {0}
    Io(io::Error),
    /// the peer does not have the deployment's key; set the same cluster secret on both sides
    WrongKey,
    /// a frame fails authentication: it was truncated, altered, replayed or reordered
    BadMac,
    /// a frame of {0} bytes exceeds the limit of 64 MiB
    TooLarge(usize),
    /// malformed frame: {0}
    Malformed(String),
    /// the peer did not send anything in time
    Timeout,
}

impl std::error::Error for LinkError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Io(cause) => Some(cause),
            _ => None,
        }
    }
}

impl From<io::Error> for LinkError {
    fn from(cause: io::Error) -> Self {
        Self::Io(cause)
    }
}

impl From<postcard::Error> for LinkError {
    fn from(cause: postcard::Error) -> Self {
        Self::Malformed(cause.to_string())
    }
}

impl From<serde_json::Error> for LinkError {
    fn from(cause: serde_json::Error) -> Self {
        Self::Malformed(cause.to_string())
    }
}
