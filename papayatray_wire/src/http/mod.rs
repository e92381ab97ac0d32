//! HTTP bodies and headers for callers, endpoints and operators.

mod announcement;
mod caller;
mod gateway;
mod operator;

pub mod header;

pub use announcement::Announcement;
pub use announcement::AnnouncementError;
pub use announcement::AnnouncementResponse;
pub use announcement::Rating;
pub use caller::EntriesResponse;
pub use caller::EntryAddress;
pub use caller::ErrorBody;
pub use caller::ErrorCode;
pub use caller::ErrorResponse;
pub use caller::ModelItem;
pub use caller::ModelsResponse;
pub use gateway::EvacuationItem;
pub use gateway::EvacuationsResponse;
pub use gateway::GatewayErrorResponse;
pub use operator::ChangeRequest;
pub use operator::ChangeResponse;
pub use operator::InForceResponse;
