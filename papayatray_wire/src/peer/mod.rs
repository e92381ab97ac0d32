//! JSON-RPC messages between the system's own processes.

mod call;
mod method;
mod report;

pub use call::CallError;
pub use call::decode_reply;
pub use call::encode_call;
pub use method::Led;
pub use method::Method;
pub use method::Propose;
pub use method::Proposed;
pub use method::Push;
pub use method::RENEW_HOLD;
pub use method::Renew;
pub use method::Renewed;
pub use method::Replace;
pub use method::Replaced;
pub use method::ReplyText;
pub use method::Seen;
pub use method::Span;
pub use method::TraceRequest;
pub use report::Bills;
pub use report::BillsRequest;
pub use report::EntryReport;
pub use report::History;
pub use report::HistoryRequest;
pub use report::ReplicaReport;
pub use report::Status;
