//! Daemon of papayatray.
//!
//! The program `papayatrayd` runs the roles that its settings name: [`entry`] routes callers'
//! requests to endpoints, [`control`] runs a replica of the replicated log. [`gateway`] holds the
//! roles of the separate program `papayatray-gateway`.

pub mod caller;
pub mod control;
pub mod daemon;
pub mod engine;
pub mod entry;
pub mod gateway;
pub mod http;
pub mod liveness;
pub mod observe;
pub mod peer;
pub mod settings;
pub mod tasks;
