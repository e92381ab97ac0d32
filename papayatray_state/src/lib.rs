//! State that survives: a replicated log, its storage and the machine that it drives.
//!
//! The [`replica`] decides without input or output. The [`storage`] keeps its log behind a trait
//! for disks. The [`machine`] applies what is committed. A [`node`] joins the three.

pub mod machine;
pub mod node;
pub mod replica;
pub mod storage;
