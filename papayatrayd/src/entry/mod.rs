//! Role entry: what one entry knows and the tasks that keep it current.

mod billing;
mod core;
mod exposure;
mod flight;
mod leader;
mod news;
mod renewal;
mod roster;
mod view;

pub use self::billing::Billing;
pub use self::core::Entry;
pub use self::core::Start;
pub use self::core::Stop;
pub use self::flight::InFlightError;
pub use self::flight::InFlightGuard;
pub use self::flight::InFlightRequests;
pub use self::leader::Leader;
pub use self::leader::LeaderError;
pub use self::roster::EndpointRegistry;
pub use self::roster::Permit;
pub use self::roster::SharedPool;
pub use self::roster::Target;
pub use self::roster::Use;
pub use self::view::View;
