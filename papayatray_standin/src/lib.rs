//! Stand-ins for the endpoints and callers of a deployment: model engines, plain services and an
//! HTTP client. A [`Site`] runs the daemons of a deployment on loopback.
//!
//! The endpoints speak the protocol of `docs/ENDPOINTS.md` over sockets, respond predictably, and
//! fail on request. Examples, tests and benchmarks share them.

mod announcer;
mod chat;
mod client;
mod engine;
mod server;
mod service;
mod site;

pub use announcer::Announcer;
pub use announcer::EndpointInfo;
pub use client::CallError;
pub use client::CallResponse;
pub use client::Caller;
pub use client::call;
pub use engine::Engine;
pub use engine::EngineOptions;
pub use engine::Fault;
pub use service::PlainService;
pub use site::OPERATOR_KEY;
pub use site::PLATFORM_KEY;
pub use site::Program;
pub use site::Site;
pub use site::SiteError;
pub use site::Vm;
pub use site::free_address;
