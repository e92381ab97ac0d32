//! Operators' command-line tool of papayatray, and the client of the operator interface.

pub mod client;
pub mod command;
pub mod explain;
pub mod flags;
pub mod gateway_client;
pub mod plan;
