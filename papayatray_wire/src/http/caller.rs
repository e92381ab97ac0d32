//! Bodies for callers.

use std::fmt;

use papayatray_core::id::DataCentre;
use serde::Deserialize;
use serde::Serialize;

/// Code of a refusal; the codes are stable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The request cannot be understood.
    BadRequest,
    /// The key is missing or unknown.
    Unauthorized,
    /// The organisation may not use what it asks for.
    NotAllowed,
    /// The address leads nowhere.
    NotFound,
    /// The method does not fit the address.
    MethodNotAllowed,
    /// The body is too large.
    TooLarge,
    /// The session's version is withdrawn.
    VersionWithdrawn,
    /// The session handle is not one of this deployment's, or another organisation's.
    BadSession,
    /// Nothing that could answer is at hand now.
    NoCapacity,
    /// Too much is asked for at this moment.
    Overloaded,
    /// The organisation has too many requests in flight.
    TooManyInFlight,
    /// The entry cannot prove that its configuration is current.
    NoLease,
    /// The VM is being stopped.
    Draining,
    /// The same request is running.
    InProgress,
    /// The request may or may not have run, and is never run again.
    OutcomeUnknown,
    /// The request's id stands for another body.
    IdReused,
    /// The request ran, but its answer was too large to keep.
    AnswerGone,
    /// The request crashes the endpoints that run it.
    PoisonRequest,
    /// The request is being tried elsewhere under suspicion.
    OnTrial,
    /// The deadline has passed.
    DeadlineExceeded,
    /// The endpoint failed.
    EndpointFailed,
    /// The bill could not be made durable, so that the answer stays unfinished.
    BillPending,
    /// The control replicas cannot be reached.
    NoQuorum,
}

impl ErrorCode {
    /// Every code.
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

    /// Returns the HTTP status that goes with the code.
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

/// Refusal of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Stable code.
    pub code: ErrorCode,
    /// What happened and what to do, for people.
    pub message: String,
    /// True only where the request certainly was not run.
    pub not_run: bool,
    /// Whether sending the request again may help.
    pub retry: bool,
    /// Time in milliseconds after which to send it again.
    pub retry_after_ms: Option<u64>,
    /// Other addresses that may serve the request.
    pub addresses: Vec<String>,
    /// Name of the request.
    pub request: Option<String>,
}

/// Body of each answer that is a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorReply {
    /// The refusal.
    pub error: ErrorBody,
}

/// Address that callers may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAddress {
    /// Address, an IP number with a port.
    pub address: String,
    /// Data centre of the address.
    pub data_centre: DataCentre,
}

/// Answer to the question which addresses to use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntriesReply {
    /// Addresses in the order to try them.
    pub entries: Vec<EntryAddress>,
    /// Time in milliseconds for which the answer may be kept.
    pub hold_ms: u64,
}

/// Model or version that an organisation may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelItem {
    /// Name of the version.
    pub id: String,
    /// Always `model`.
    pub object: String,
    /// Whether the version is served in full.
    pub stage: String,
}

/// Answer to the question which models may be used.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelsReply {
    /// Always `list`.
    pub object: String,
    /// Versions.
    pub data: Vec<ModelItem>,
}
