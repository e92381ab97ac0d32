//! Tests of a gateway deployment of real processes on loopback: bootstrap, publication, crashes,
//! lost disks and graceful shutdown.

#![expect(clippy::unwrap_used, reason = "a test that cannot go on fails")]

mod crashes;
mod evacuations;
mod faults;
mod memory;
mod site;
