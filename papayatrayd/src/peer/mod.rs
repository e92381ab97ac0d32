//! Links between the processes of a deployment: the client, and the server that it calls.

mod client;
mod server;

pub use client::Peers;
pub use server::ServerContext;
pub use server::serve;
