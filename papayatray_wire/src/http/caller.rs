//! HTTP bodies for callers.

use std::fmt;

use papayatray_core::id::DataCentre;
use serde::Deserialize;
use serde::Serialize;

/// Code of an error response; the codes are stable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The request is malformed.
    BadRequest,
    /// The key is missing or unknown.
    Unauthorized,
    /// The organisation may not use the requested model or service.
    NotAllowed,
    /// The path does not exist.
    NotFound,
    /// The path does not support the method.
    MethodNotAllowed,
    /// The body is too large.
    TooLarge,
    /// The session's version is withdrawn.
    VersionWithdrawn,
    /// The session handle is invalid or belongs to another organisation.
    BadSession,
    /// No endpoint is available for the request.
    NoCapacity,
    /// The load is too high to admit the request.
    Overloaded,
    /// The organisation has too many requests in flight.
    TooManyInFlight,
    /// The entry has no valid lease, so it cannot prove that its configuration is current.
    NoLease,
    /// The VM is shutting down.
    Draining,
    /// A request with the same id is running.
    InProgress,
    /// The request may or may not have run, and is never run again.
    OutcomeUnknown,
    /// The id was already used for a request with another body.
    IdReused,
    /// The request ran, but its response was too large to store for retries.
    AnswerGone,
    /// The request is quarantined because it crashes the endpoints that run it.
    PoisonRequest,
    /// The request is a suspect and already runs in an isolation trial.
    OnTrial,
    /// The deadline has passed.
    DeadlineExceeded,
    /// The endpoint failed.
    EndpointFailed,
    /// The bill could not be made durable, so the response was not completed.
    BillPending,
    /// No quorum of control replicas can be reached.
    NoQuorum,
}

impl ErrorCode {
    /// All codes.
    pub const ALL: [Self; 23] = [
        Self::BadRequest,
        Self::Unauthorized,
        Self::NotAllowed,
        Self::NotFound,
        Self::MethodNotAllowed,
        Self::TooLarge,
        Self::VersionWithdrawn,
        Self::BadSession,
        Self::NoCapacity,
        Self::Overloaded,
        Self::TooManyInFlight,
        Self::NoLease,
        Self::Draining,
        Self::InProgress,
        Self::OutcomeUnknown,
        Self::IdReused,
        Self::AnswerGone,
        Self::PoisonRequest,
        Self::OnTrial,
        Self::DeadlineExceeded,
        Self::EndpointFailed,
        Self::BillPending,
        Self::NoQuorum,
    ];

    /// Returns the code's name on the wire.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::Unauthorized => "unauthorized",
            Self::NotAllowed => "not_allowed",
            Self::NotFound => "not_found",
            Self::MethodNotAllowed => "method_not_allowed",
            Self::TooLarge => "too_large",
            Self::VersionWithdrawn => "version_withdrawn",
            Self::BadSession => "bad_session",
            Self::NoCapacity => "no_capacity",
            Self::Overloaded => "overloaded",
            Self::TooManyInFlight => "too_many_in_flight",
            Self::NoLease => "no_lease",
            Self::Draining => "draining",
            Self::InProgress => "in_progress",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::IdReused => "id_reused",
            Self::AnswerGone => "answer_gone",
            Self::PoisonRequest => "poison_request",
            Self::OnTrial => "on_trial",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::EndpointFailed => "endpoint_failed",
            Self::BillPending => "bill_pending",
            Self::NoQuorum => "no_quorum",
        }
    }

    /// Returns the HTTP status of responses with the code.
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::BadSession => 400,
            Self::Unauthorized => 401,
            Self::NotAllowed => 403,
            Self::NotFound => 404,
            Self::MethodNotAllowed => 405,
            Self::InProgress | Self::OnTrial => 409,
            Self::VersionWithdrawn | Self::AnswerGone => 410,
            Self::TooLarge => 413,
            Self::IdReused | Self::PoisonRequest => 422,
            Self::TooManyInFlight => 429,
            Self::OutcomeUnknown | Self::EndpointFailed | Self::BillPending => 502,
            Self::NoCapacity
            | Self::Overloaded
            | Self::NoLease
            | Self::Draining
            | Self::NoQuorum => 503,
            Self::DeadlineExceeded => 504,
        }
    }
}

impl fmt::Display for ErrorCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Error that is returned for a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Stable code for programs.
    pub code: ErrorCode,
    /// Cause and remedy, for people.
    pub message: String,
    /// Whether the request certainly was not run; false if it may have run.
    pub not_run: bool,
    /// Whether a retry may succeed.
    pub retry: bool,
    /// Time in milliseconds to wait before a retry; `None` if no particular time is advised.
    pub retry_after_ms: Option<u64>,
    /// Addresses of other entries to retry at.
    pub addresses: Vec<String>,
    /// Id of the request.
    pub request: Option<String>,
}

/// Body of every error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// Error of the request.
    pub error: ErrorBody,
}

/// Address of an entry for callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAddress {
    /// IP address and port.
    pub address: String,
    /// Data centre of the entry.
    pub data_centre: DataCentre,
}

/// Response with the entries that a caller may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntriesResponse {
    /// Addresses in the order in which to try them.
    pub entries: Vec<EntryAddress>,
    /// Time in milliseconds for which the caller may cache the response.
    pub hold_ms: u64,
}

/// Version that an organisation may use, in the form of an OpenAI model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelItem {
    /// Id of the version.
    pub id: String,
    /// Always `model`.
    pub object: String,
    /// Stage of the version: declared, roll-out, paused, halted, offered or withdrawn.
    pub stage: String,
}

/// Response with the versions that an organisation may use, in the form of an OpenAI list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelsResponse {
    /// Always `list`.
    pub object: String,
    /// Versions that may be used.
    pub data: Vec<ModelItem>,
}
