//! Wire types and framing of papayatray.
//!
//! [`link`] carries authenticated frames between the system's own processes, [`peer`] gives the
//! JSON-RPC messages in them, and [`http`] the bodies that callers, endpoints and operators see.

pub mod http;
pub mod link;
pub mod peer;
