//! Links to the system's other processes, and the server that they call.

mod client;
mod server;

pub use client::Peers;
pub use server::Serving;
pub use server::serve;
