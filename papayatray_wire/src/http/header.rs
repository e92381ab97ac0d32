//! Names of headers.

/// Name of a request, chosen by the caller; the same when it is sent again.
pub const REQUEST_ID: &str = "idempotency-key";
/// Handle of a session, returned with its first answer and sent back by the caller.
pub const SESSION: &str = "papayatray-session";
/// Time in milliseconds within which the caller wants its answer.
pub const DEADLINE: &str = "papayatray-deadline-ms";
/// Kind of request that evidence of quality is kept for.
pub const KIND: &str = "papayatray-kind";
/// `once` marks a request that may run at most once.
pub const EFFECT: &str = "papayatray-effect";
/// `long` marks a job that may wait behind short ones.
pub const JOB: &str = "papayatray-job";
/// Version that answered.
pub const VERSION: &str = "papayatray-version";
/// Attempt that a request to an endpoint belongs to; endpoints send it back.
pub const ATTEMPT: &str = "papayatray-attempt";
/// Priority of a request at an endpoint: `high` or `low`.
pub const PRIORITY: &str = "papayatray-priority";
/// Number that fences orders to endpoints.
pub const FENCE: &str = "papayatray-fence";
/// Parent of the spans that belong to a request.
pub const TRACEPARENT: &str = "traceparent";
/// Number of the last event that a resumed stream has delivered.
pub const LAST_EVENT: &str = "last-event-id";
