//! Names of HTTP headers.

/// Idempotency key of a request, chosen by the caller and the same in every retry.
pub const REQUEST_ID: &str = "idempotency-key";
/// Handle of a session, returned with its first response and sent back by the caller.
pub const SESSION: &str = "papayatray-session";
/// Time in milliseconds within which the caller needs the response.
pub const DEADLINE: &str = "papayatray-deadline-ms";
/// Kind of the request; quality ratings are collected separately for each kind.
pub const KIND: &str = "papayatray-kind";
/// `once` marks a request that may run at most once.
pub const EFFECT: &str = "papayatray-effect";
/// `long` marks a job that may wait behind short jobs.
pub const JOB: &str = "papayatray-job";
/// Version that generated the response.
pub const VERSION: &str = "papayatray-version";
/// Id of the attempt that a request to an endpoint belongs to; endpoints echo it.
pub const ATTEMPT: &str = "papayatray-attempt";
/// Priority of a request at an endpoint: `high` or `low`.
pub const PRIORITY: &str = "papayatray-priority";
/// Fencing token of an order to an endpoint.
pub const FENCE: &str = "papayatray-fence";
/// Trace context of a request, as defined by W3C.
pub const TRACEPARENT: &str = "traceparent";
/// Id of the last event that the client received of the stream that it resumes.
pub const LAST_EVENT: &str = "last-event-id";
