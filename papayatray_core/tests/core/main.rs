//! Tests of the state machines and decision logic, one file per behaviour.

#![expect(clippy::unwrap_used, reason = "a test that cannot go on fails")]

mod admission;
mod catalogue;
mod claims;
mod clock;
mod endpoints;
mod exposure;
mod fixture;
mod format;
mod gateway_addresses;
mod gateway_buffer_shares;
mod gateway_crash_load;
mod gateway_crashes;
mod gateway_endpoint_speed;
mod gateway_entries;
mod gateway_evacuation;
mod gateway_homes;
mod gateway_hops;
mod gateway_limits;
mod gateway_loads;
mod gateway_order;
mod gateway_pauses;
mod gateway_placement;
mod gateway_plan;
mod gateway_plan_pieces;
mod gateway_prefixes;
mod gateway_rate_limits;
mod gateway_reach;
mod gateway_release_routes;
mod gateway_replicas;
mod gateway_rollout;
mod gateway_sizing_load;
mod gateway_slowness;
mod gateway_warm_up;
mod health;
mod lease;
mod orders;
mod pool;
mod regression;
mod router;
mod shared_parts;
mod suspicion;
