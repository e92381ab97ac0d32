//! HTTP towards callers, endpoints and operators.

mod access;
mod body;
mod guard;
mod listener;
mod operator;
mod platform;
mod reply;

pub use access::authenticate_operator;
pub use access::bearer_token;
pub use access::hash_key;
pub use access::is_platform;
pub use body::read_body;
pub use listener::listen;
pub use reply::Rejection;
pub use reply::header_value;
pub use reply::json_response;
