//! HTTP/1.1 client for endpoints of the entry role: connection pool, requests, event streams, and
//! tracking of sends.

mod connections;
mod event_source;
mod request;
mod tracker;

pub use connections::ConnectionPool;
pub use event_source::Event;
pub use event_source::EventSource;
pub use event_source::EventSourceError;
pub use request::EndpointRequest;
pub use request::SendError;
pub use request::SentRequest;
pub use request::send;
pub use request::send_for_status;
pub use tracker::SendGuard;
pub use tracker::SendTracker;
