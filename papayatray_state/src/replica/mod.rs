//! Raft replica: elections, replication, membership changes and snapshots, as a state machine
//! without input or output.

mod boot;
mod core;
mod earlier_promise;
mod election;
mod log;
mod members;
mod message;
mod repair;
mod replication;

pub use self::boot::Boot;
pub use self::core::LEADER_LEASE;
pub use self::core::PersistedState;
pub use self::core::Ready;
pub use self::core::Replica;
pub use self::core::Role;
pub use self::log::Log;
pub use self::members::Member;
pub use self::members::Members;
pub use self::members::ReplicaId;
pub use self::message::Entry;
pub use self::message::Envelope;
pub use self::message::HardState;
pub use self::message::Index;
pub use self::message::Message;
pub use self::message::Payload;
pub use self::message::Position;
pub use self::message::SendMark;
pub use self::message::Snapshot;
