//! HTTP server of the entry role, for callers, endpoints and operators.

mod access;
mod body;
mod guard;
mod listener;
mod operator;
mod platform;
mod response;

pub use access::authenticate_operator;
pub use access::bearer_key;
pub use access::has_platform_key;
pub use access::hash_key;
pub use body::read_body;
pub use listener::listen;
pub use response::Rejection;
pub use response::header_value;
pub use response::json_response;
