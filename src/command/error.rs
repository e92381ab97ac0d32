//! Errors of commands and their exit codes.

use displaydoc::Display;
use papayatray_core::id::NameError;

use crate::client::ClientError;
use crate::plan::PlanError;

/// Reason why a command failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum CommandError {
    /// {0}
    Client(ClientError),
    /// {0}
    Plan(PlanError),
    /// invalid name `{0}`: {1}
    Name(String, NameError),
    /// {0}
    Usage(String),
    /// cannot read {0}: {1}
    File(String, String),
}

impl std::error::Error for CommandError {}

impl From<ClientError> for CommandError {
    fn from(error: ClientError) -> Self {
        Self::Client(error)
    }
}

impl From<PlanError> for CommandError {
    fn from(error: PlanError) -> Self {
        Self::Plan(error)
    }
}

impl CommandError {
    /// Returns the exit code, as listed by `papayatray --help`.
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Client(ClientError::Conflict { .. }) => 3,
            Self::Client(ClientError::NotInForce(_)) => 4,
            Self::Client(_) => 1,
            Self::Plan(_) | Self::Name(..) | Self::Usage(_) | Self::File(..) => 2,
        }
    }

    /// Returns additional lines of the message: after a conflict, the changes since its base.
    pub fn details(&self) -> &[String] {
        match self {
            Self::Client(ClientError::Conflict { differs, .. }) => differs,
            _ => &[],
        }
    }
}
