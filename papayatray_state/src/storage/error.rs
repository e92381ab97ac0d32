//! Errors of storage.

use std::io;

use displaydoc::Display;
use papayatray_core::format::FormatLevel;

use crate::snapshot_extension::StateError;

/// Errors of storage.
#[derive(Debug, Display)]
pub enum StoreError {
    /// cannot {action} {file}: {cause}
    Disk {
        /// Operation that failed.
        action: &'static str,
        /// File or folder of the operation.
        file: String,
        /// Error of the operating system.
        cause: io::Error,
    },
    /// {file} is corrupt at byte {offset}, and this is not an incomplete last write
    Corrupt {
        /// Corrupt file.
        file: String,
        /// Offset of the first frame that cannot be read.
        offset: u64,
    },
    /// an earlier disk operation failed; nothing is acknowledged until the store is reopened
    Failed,
    /// the data folder was rolled back to an older copy, or its replica was removed
    Outdated,
    /// {file} holds a record at byte {offset} that this build cannot decode, although its checksum is right: start the build that wrote it, or a later one
    Undecodable {
        /// File with the record.
        file: String,
        /// Offset of the record's frame.
        offset: u64,
    },
    /// cannot use the state of the snapshot: {0}
    State(StateError),
    /// cannot encode a record: {0}
    Encode(postcard::Error),
}

impl std::error::Error for StoreError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Disk { cause, .. } => Some(cause),
            Self::Encode(cause) => Some(cause),
            Self::State(cause) => Some(cause),
            Self::Corrupt { .. } | Self::Undecodable { .. } | Self::Failed | Self::Outdated => None,
        }
    }
}

impl From<postcard::Error> for StoreError {
    fn from(cause: postcard::Error) -> Self {
        Self::Encode(cause)
    }
}

impl From<StateError> for StoreError {
    fn from(cause: StateError) -> Self {
        Self::State(cause)
    }
}

impl StoreError {
    /// Returns the lowest format level that a build must read to decode the folder, if this build cannot
    /// decode it.
    pub const fn lacks(&self) -> Option<FormatLevel> {
        match self {
            Self::State(error) => Some(error.lacks()),
            Self::Undecodable { .. } => Some(FormatLevel::HIGHEST.next()),
            _ => None,
        }
    }

    /// Returns a function that adds `action` and `file` to an I/O error, for use with `map_err`.
    pub(super) fn disk_error(action: &'static str, file: &str) -> impl FnOnce(io::Error) -> Self {
        let file = file.to_owned();
        move |cause| Self::Disk {
            action,
            file,
            cause,
        }
    }
}
