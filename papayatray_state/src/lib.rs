//! Durable state of a deployment: a replicated log, its storage, and the state machine on top.
//!
//! The [`replica`] implements Raft without input or output. The [`storage`] persists its log
//! behind a trait for disks. The [`machine`] applies committed commands. A [`node`] combines the
//! three.

pub mod compression;
pub mod machine;
pub mod node;
pub mod packed_document;
pub mod plan_document;
mod plan_form;
pub mod replica;
pub mod snapshot_extension;
pub mod storage;
