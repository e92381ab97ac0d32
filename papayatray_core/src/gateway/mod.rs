//! Gateway: routes plain HTTP by host and path to services, as configured by the published plan.
//!
//! The chat interface routes by organisation and model instead. Both share endpoints, health,
//! leases and the replicated log.

pub mod address_list;
pub mod answers;
pub mod arrivals;
mod attribution;
pub mod buffer_shares;
pub mod canary;
pub mod crashes;
mod decimal;
pub mod endpoint_key;
pub mod endpoint_speed;
pub mod entry_register;
pub mod entry_roster;
pub mod evacuation;
pub mod freshness;
pub mod homes;
pub mod hops;
pub mod load_table;
pub mod order;
pub mod pauses;
pub mod piece_sources;
pub mod placement;
pub mod plan;
pub mod plan_copy;
pub mod plan_items;
pub mod plan_log;
pub mod prefix_directory;
pub mod rate_limits;
pub mod reach;
pub mod release_evidence;
pub mod replicas;
pub mod request_failures;
pub mod rollout;
pub mod sizing;
pub mod slot_reservation;
pub mod slowdown;
pub mod slowness;
pub mod speed;
pub mod stream_times;
pub mod table;
pub mod updates;
pub mod warm_up;
