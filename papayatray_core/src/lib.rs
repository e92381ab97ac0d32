//! State machines and decision logic of papayatray.
//!
//! This crate performs no I/O: its types take inputs and the current time, and return decisions.
//! The daemon drives them with real time, tests with a simulated clock.

pub mod admission;
pub mod catalogue;
pub mod choice;
pub mod claim;
pub mod clock;
pub mod digest;
pub mod directory;
pub mod exposure;
pub mod format;
pub mod gateway;
pub mod health;
pub mod id;
pub mod lease;
pub mod ledger;
pub mod orders;
pub mod pool;
pub mod regression;
pub mod retry;
pub mod router;
pub mod shared_parts;
pub mod suspicion;
