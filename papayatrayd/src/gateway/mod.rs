//! Gateway: relays callers' HTTP requests to endpoints, as the published plan routes them.
//!
//! [`ControlState`] is the state of a control replica, [`Gateway`] that of an entry. [`Relay`]
//! forwards requests. A deployment defines its header conventions by a [`Dialect`], and its other
//! HTTP interfaces by [`Handler`]s, so that a deployment with other conventions needs no change in
//! this module.

mod api;
mod attempt;
mod attempts;
mod body;
mod buffers;
mod connection_pool;
mod control_state;
mod controller;
mod daemon;
mod dialect;
mod events;
mod exchange;
mod fleet;
mod headers;
mod hop;
mod levels;
mod limited_stream;
mod metrics;
mod metrics_page;
mod operator;
mod plan_client;
mod refusal;
mod relay;
mod routed_request;
mod rpc;
mod server;
mod settings;
mod state;
mod stream;
mod sync_client;

pub use api::OperatorApi;
pub use api::StatusApi;
pub use body::BodyError;
pub use body::read_body;
pub use body::read_body_within;
pub use buffers::BufferPool;
pub use buffers::BufferSource;
pub use buffers::Reservation;
pub use control_state::ControlState;
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
pub use dialect::ResponseMetadata;
pub use dialect::StatedRate;
pub use events::EventReader;
pub use fleet::SelectedEndpoint;
pub use headers::HeaderDialect;
pub use headers::HeaderNames;
pub use hop::HopServer;
pub use hop::Hops;
pub use metrics::GatewayMetrics;
pub use metrics::GaugeValues;
pub use metrics_page::MetricsPage;
pub use operator::OperatorError;
pub use operator::OperatorService;
pub use relay::Relay;
pub use rpc::serve_entries;
pub use server::Handler;
pub use server::HandlerBody;
pub use server::Limits;
pub use server::ResponseFuture;
pub use server::full_response;
pub use server::serve_http;
pub use server::serve_peers;
pub use settings::ControlRoleSettings;
pub use settings::EntryRoleSettings;
pub use settings::GatewaySettings;
pub use state::Bounds;
pub use state::Gateway;
pub use state::ShutdownStage;
pub use sync_client::SyncClient;
