//! Bodies and headers that callers, endpoints and operators see.

mod announcement;
mod caller;
mod operator;

pub mod header;

pub use announcement::Announcement;
pub use announcement::AnnouncementError;
pub use announcement::AnnouncementReply;
pub use announcement::Rating;
pub use caller::EntriesReply;
pub use caller::EntryAddress;
pub use caller::ErrorBody;
pub use caller::ErrorCode;
pub use caller::ErrorReply;
pub use caller::ModelItem;
pub use caller::ModelsReply;
pub use operator::ChangeReply;
pub use operator::ChangeRequest;
pub use operator::InForceReply;
