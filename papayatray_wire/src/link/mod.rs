//! Authenticated links between the processes of a deployment.

mod error;
mod frame;
mod handshake;
mod key;

pub use error::LinkError;
pub use frame::Frame;
pub use frame::Receiver;
pub use frame::Sender;
pub use handshake::accept;
pub use handshake::authenticate;
pub use handshake::authenticate_client;
pub use handshake::connect;
pub use key::ClusterKey;
