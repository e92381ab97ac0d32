//! Role entry: what one entry knows and the tasks that keep it current.

mod billing;
mod core;
mod exposure;
mod flight;
mod leader;
mod news;
mod registry;
mod renewal;
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
pub use self::registry::EndpointRegistry;
pub use self::registry::Permit;
pub use self::registry::SharedPool;
pub use self::registry::Target;
pub use self::registry::Use;
pub use self::view::View;
