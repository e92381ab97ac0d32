//! Hop: sends attempts to endpoints through another entry, which reaches them.
//!
//! An entry that cannot connect to endpoints keeps every decision on a request: route, endpoint, retries,
//! budgets, rate limits, the end of a stream. The other entry only carries one attempt to the endpoint
//! that was chosen, and the response back; it never passes an attempt on to a third entry. Both speak
//! HTTP/1.1 over connections on which each has proved that it has the deployment's key.

mod client;
mod header;
mod server;

pub(super) use client::HopGuard;
pub use client::Hops;
pub use server::HopServer;
