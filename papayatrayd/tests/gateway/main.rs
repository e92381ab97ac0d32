//! Tests of a gateway entry that runs in this process, over real sockets to fake endpoints that
//! misbehave.

#![expect(clippy::unwrap_used, reason = "a test that cannot go on fails")]

mod addresses;
mod bulk;
mod dial;
mod endless;
mod endpoint;
mod evacuations;
mod headers;
mod homes;
mod invalid_responses;
mod leaving;
mod liveness;
mod narrow_link;
mod pauses;
mod rate_limits;
mod reach;
mod relay;
mod releases;
mod rig;
mod settings;
mod streams;
mod sync;
mod traces;
mod updates;
mod warm_up;
