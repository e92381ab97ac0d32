//! Gateway over real sockets: an entry in this process before small endpoints that misbehave.

#![expect(clippy::unwrap_used, reason = "a test that cannot go on fails")]

mod endpoint;
mod headers;
mod news;
mod relay;
mod rig;
mod settings;
mod streams;
mod traces;
