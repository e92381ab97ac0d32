//! Role control: a replica of the log on a thread of its own, and what its leader decides.

mod bookkeeping;
mod handle;
mod keeper;
mod lead;
mod opener;
mod orders;

pub use handle::Commander;
pub use handle::Control;
pub use handle::ControlError;
pub use handle::MembershipPolicy;
pub use handle::Start;
pub use handle::Watch;
pub use handle::start;
pub use lead::LeaderState;
pub use orders::give_orders;
