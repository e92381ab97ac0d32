//! Gateway: plain HTTP of callers relayed to endpoints, by the published plan.
//!
//! [`Hub`] keeps what a control replica knows, [`Gateway`] what an entry knows, and [`Relay`]
//! carries requests. What callers, endpoints and operators speak is given by a [`Dialect`] and by
//! [`Handler`]s, so that another site's words need no change here.

mod agent;
mod api;
mod ask;
mod attempts;
mod channel;
mod controller;
mod daemon;
mod dialect;
mod events;
mod fleet;
mod headers;
mod hub;
mod meter;
mod operate;
mod page;
mod refusal;
mod relay;
mod rpc;
mod server;
mod site;
mod state;
mod stream;

pub use api::OperatorApi;
pub use api::StatusApi;
pub use daemon::ControlRole;
pub use daemon::EntryRole;
pub use daemon::GatewayError;
pub use daemon::Identity;
pub use daemon::MakeHandler;
pub use daemon::ReadSeeds;
pub use daemon::run_control;
pub use daemon::run_entry;
pub use dialect::AttemptContext;
pub use dialect::Dialect;
pub use dialect::PromptPart;
pub use dialect::RequestMetadata;
pub use dialect::RequestedModel;
pub use dialect::Verdict;
pub use events::EventReader;
pub use fleet::Choice;
pub use headers::HeaderDialect;
pub use headers::HeaderNames;
pub use hub::Hub;
pub use meter::Meter;
pub use meter::Snapshot;
pub use operate::OperatorError;
pub use operate::OperatorService;
pub use page::MetricsPage;
pub use relay::Relay;
pub use server::Handler;
pub use server::HandlerBody;
pub use server::Limits;
pub use server::ResponseFuture;
pub use server::read_body;
pub use server::serve_http;
pub use server::whole;
pub use site::ControlSite;
pub use site::EntrySite;
pub use site::GatewaySettings;
pub use state::Bounds;
pub use state::Gateway;
pub use state::StopStage;
