//! HTTP towards callers, endpoints and operators.

mod access;
mod body;
mod guard;
mod listener;
mod operator;
mod platform;
mod reply;

pub use access::bearer;
pub use access::hash_key;
pub use access::operator;
pub use access::platform;
pub use body::read_body;
pub use listener::listen;
pub use reply::Refused;
pub use reply::header_of;
pub use reply::json;
