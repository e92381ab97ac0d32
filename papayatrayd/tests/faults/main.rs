//! End-to-end fault tests: each test starts daemons of its own, which use real sockets.

#![expect(clippy::unwrap_used, reason = "a test that cannot go on fails")]

mod callers;
mod control;
mod endpoints;
mod operators;
mod rig;
mod sends;
mod settings;
