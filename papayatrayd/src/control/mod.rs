//! Control role: a replica of the replicated log, which runs on a thread of its own, and the work
//! of the leader.

mod control_loop;
mod handle;
mod leader_state;
mod levels;
mod opener;
mod orders;
mod queries;

pub use handle::Control;
pub use handle::ControlError;
pub use handle::ControlParameters;
pub use handle::MembershipPolicy;
pub use handle::OrderAuthority;
pub use handle::TurnObserver;
pub use handle::start;
pub use leader_state::LeaderState;
pub use levels::FormatPoll;
pub use levels::FormatStatements;
pub use orders::dispatch_orders;
