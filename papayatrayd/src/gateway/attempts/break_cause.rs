//! Why a response that had started is of no use.

use crate::gateway::body::BodyError;

/// Why a response that had started is of no use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum BreakCause {
    /// The connection was lost, as by a crash of the endpoint.
    Lost,
    /// The response breaks a rule or a limit.
    Invalid,
    /// This entry has no memory for it.
    NoMemory,
}

impl From<&BodyError> for BreakCause {
    fn from(error: &BodyError) -> Self {
        match error {
            BodyError::CutOff(_) => Self::Lost,
            error if error.is_fault_of_sender() => Self::Invalid,
            _ => Self::NoMemory,
        }
    }
}

impl BreakCause {
    /// Returns the reason why the request fails if it may not be retried.
    pub(in crate::gateway) const fn reason(self) -> &'static str {
        match self {
            Self::Lost => "the endpoint cut off its response",
            Self::Invalid => "the response of the endpoint exceeds a limit",
            Self::NoMemory => "this entry has no memory for the response of the endpoint",
        }
    }
}
