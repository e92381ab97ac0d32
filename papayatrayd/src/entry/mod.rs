//! Entry role: the state of one entry and the background tasks that keep it current.

mod billing;
mod core;
mod exposure;
mod in_flight;
mod leader_client;
mod registry;
mod renewal;
mod updates;
mod view;

pub use self::billing::Billing;
pub use self::core::Entry;
pub use self::core::EntryParameters;
pub use self::core::ShutdownStage;
pub use self::in_flight::InFlightError;
pub use self::in_flight::InFlightGuard;
pub use self::in_flight::InFlightRequests;
pub use self::leader_client::LeaderClient;
pub use self::leader_client::LeaderError;
pub use self::registry::EndpointRegistry;
pub use self::registry::Permit;
pub use self::registry::PermitRequest;
pub use self::registry::PoolTarget;
pub use self::registry::SharedPool;
pub use self::view::View;
