//! Liveness of TCP connections: when one whose other end is silent counts as lost.
//!
//! A connection that waits for a response sends nothing, so only keep-alive probes show that its other end
//! is out of reach. `TCP_USER_TIMEOUT` bounds the time for which sent bytes stay unacknowledged. On Linux it
//! also decides when unanswered probes give up; elsewhere their count does, so both give the same time.

use std::io;
use std::os::fd::AsFd;

use papayatray_core::clock::Millis;
use rustix::net::sockopt;

/// Time without bytes from the other end after which it is probed.
const PROBE_IDLE: Millis = Millis::from_secs(1);
/// Time between two probes.
const PROBE_INTERVAL: Millis = Millis::from_secs(1);
/// Unanswered probes after which a connection counts as lost.
const PROBE_COUNT: u32 = 2;
/// Time without any packet from the other end after which a connection counts as lost. Sound endpoints may
/// be silent for a second or so, and a probe must get through after that.
pub const SILENCE_LIMIT: Millis = Millis::from_secs(3);

/// Ends a connection once its other end has been silent for [`SILENCE_LIMIT`].
///
/// # Errors
///
/// Returns the error of the socket option that cannot be set.
pub fn limit_silence<S>(stream: &S) -> io::Result<()>
where
    S: AsFd,
{
    let timeout_ms = u32::try_from(SILENCE_LIMIT.as_u64()).unwrap_or(u32::MAX);
    sockopt::set_tcp_user_timeout(stream, timeout_ms)?;
    sockopt::set_tcp_keepidle(stream, PROBE_IDLE.to_duration())?;
    sockopt::set_tcp_keepintvl(stream, PROBE_INTERVAL.to_duration())?;
    sockopt::set_tcp_keepcnt(stream, PROBE_COUNT)?;
    sockopt::set_socket_keepalive(stream, true)?;
    Ok(())
}
