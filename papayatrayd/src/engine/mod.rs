//! Endpoints as the entry talks to them: connections, answers and streams.

mod connections;
mod exchange;
mod gate;
mod source;

pub use connections::ConnectionPool;
pub use exchange::EndpointRequest;
pub use exchange::SendError;
pub use exchange::Sent;
pub use exchange::send;
pub use exchange::send_for_status;
pub use gate::SendGuard;
pub use gate::SendTracker;
pub use source::Event;
pub use source::Source;
pub use source::SourceError;
