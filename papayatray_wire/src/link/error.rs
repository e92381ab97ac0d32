//! What can go wrong on a link.

use std::io;

use displaydoc::Display;

/// Failures of a link.
#[derive(Debug, Display)]
pub enum LinkError {
    /// the link failed: {0}
    Io(io::Error),
    /// the other end does not hold the deployment's key
    WrongKey,
    /// a frame was altered on its way
    BadMac,
    /// a frame of {0} bytes is too large
    TooLarge(usize),
    /// a frame cannot be understood: {0}
    Garbled(String),
    /// nothing came in time
    Silent,
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
        Self::Garbled(cause.to_string())
    }
}

impl From<serde_json::Error> for LinkError {
    fn from(cause: serde_json::Error) -> Self {
        Self::Garbled(cause.to_string())
    }
}
