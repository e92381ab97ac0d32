//! Links between the processes of a deployment: TCP connections, authenticated by the cluster key,
//! that carry RPC calls and the messages between replicas.

mod client;
mod dial;
mod server;

pub use client::Peers;
pub use dial::stagger;
pub use server::ServerContext;
pub use server::serve;
