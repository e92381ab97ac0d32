//! Observability of a running process: logs, metrics, traces, and the system clock.

mod clock;
mod log;
mod metrics;
mod span;
mod trace;

pub use clock::SystemClock;
pub use log::Level;
pub use log::event;
pub use log::request_event;
pub use log::set_up_log;
pub use log::unlogged_lines;
pub use log::wait_for_log_writes;
pub use metrics::Metrics;
pub use span::Span;
pub use span::begin_trace;
pub use trace::Traces;
pub use trace::set_up_traces;
