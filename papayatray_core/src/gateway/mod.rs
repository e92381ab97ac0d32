//! Gateway: plain HTTP routed by host and path to services, by a plan that is published as a whole.
//!
//! The chat interface routes by organisation and model; the gateway serves callers and endpoints
//! that speak HTTP of their own. Both share endpoints, health, leases and the replicated log.

pub mod access;
pub mod arrivals;
pub mod crashes;
pub mod notes;
pub mod placement;
pub mod plan;
pub mod rollout;
pub mod sizing;
pub mod speed;
pub mod table;
pub mod warmth;
