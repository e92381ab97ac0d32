//! Aggregates and decisions of papayatray.
//!
//! Nothing here does input or output: state, input and time go in, a decision comes out. The
//! daemon drives these types, and tests drive them with a clock of their own.

pub mod admission;
pub mod catalogue;
pub mod choice;
pub mod claim;
pub mod clock;
pub mod digest;
pub mod directory;
pub mod exposure;
pub mod gateway;
pub mod health;
pub mod id;
pub mod lease;
pub mod ledger;
pub mod orders;
pub mod pool;
pub mod retry;
pub mod rollout;
pub mod router;
pub mod suspicion;
