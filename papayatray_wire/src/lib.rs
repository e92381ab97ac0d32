//! Wire types and framing of papayatray.
//!
//! [`link`] carries authenticated frames between the processes of a deployment: messages between
//! replicas, and the JSON-RPC messages that [`peer`] defines. [`http`] defines HTTP bodies and
//! headers for callers, endpoints and operators.

pub mod http;
pub mod link;
pub mod peer;
