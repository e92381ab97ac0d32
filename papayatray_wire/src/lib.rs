//! Wire types and framing of papayatray.
//!
//! [`link`] carries authenticated frames between the processes of a deployment, [`peer`] defines
//! the JSON-RPC messages in them, and [`http`] the HTTP bodies and headers for callers, endpoints
//! and operators.

pub mod http;
pub mod link;
pub mod peer;
