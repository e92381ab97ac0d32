//! Gateway: routes plain HTTP by host and path to services, as configured by the published plan.
//!
//! The chat interface routes by organisation and model instead. Both share endpoints, health,
//! leases and the replicated log.

pub mod arrivals;
pub mod crashes;
pub mod freshness;
pub mod pauses;
pub mod placement;
pub mod plan;
pub mod prefix_directory;
pub mod rollout;
pub mod sizing;
pub mod speed;
pub mod table;
pub mod updates;
