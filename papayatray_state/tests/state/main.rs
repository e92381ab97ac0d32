//! Tests of the state: its storage, its replicas, and generated histories of faults.

#![expect(clippy::unwrap_used, reason = "a test that cannot go on fails")]

mod cluster;
mod disk;
mod histories;
mod repair;
mod replicas;
mod single;
mod storage;
