//! Links between the processes of a deployment: TCP connections, authenticated by the cluster key,
//! that carry RPC calls and the messages between replicas.

mod client;
mod server;

pub use client::Peers;
pub use server::ServerContext;
pub use server::serve;
