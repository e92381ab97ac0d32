//! Small fakes at the interfaces: a disk that forgets what was not synced, and a set of nodes
//! whose messages, clocks and crashes a test turns.

#![expect(dead_code, reason = "each test file uses a part of the fakes")]

pub mod cluster;
pub mod disk;
