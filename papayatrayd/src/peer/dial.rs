//! Connecting to a process that may not be up yet.
//!
//! Load: all VMs of a deployment start within some tenths of a second. The first packet to a VM that is
//! still off is lost, and the kernel repeats it only after a second, so further attempts are started
//! meanwhile.

use std::io;
use std::net::SocketAddr;

use papayatray_core::clock::Millis;
use smol::Timer;
use smol::future::Boxed;
use smol::future::FutureExt;
use smol::net::TcpStream;

/// Time after which a second attempt is started beside the first one.
const FIRST_DELAY: Millis = Millis::new(120);
/// Growth of the time until each further attempt, in percent.
const DELAY_GROWTH_PERCENT: u64 = 125;
/// Attempts that are pending at most, each of which holds a descriptor: those of the first second.
const MAX_ATTEMPTS: u32 = 6;
/// Largest random addition to a delay, as a fraction of it.
const DELAY_JITTER: f64 = 0.25;

/// Connects to `address`, with further attempts while earlier ones are pending.
///
/// # Errors
///
/// Returns the error of the first attempt that fails; a refusal shows that the VM is up.
pub(super) async fn dial(address: SocketAddr) -> io::Result<TcpStream> {
    stagger(move || TcpStream::connect(address)).await
}

/// Runs an attempt, and further ones at growing intervals while earlier ones are pending; the first that
/// ends decides.
///
/// # Errors
///
/// Returns the error of the first attempt that fails.
pub async fn stagger<A, F, T>(attempt: A) -> io::Result<T>
where
    A: Fn() -> F + Send + 'static,
    F: Future<Output = io::Result<T>> + Send + 'static,
    T: Send + 'static,
{
    stagger_rest(attempt, FIRST_DELAY, MAX_ATTEMPTS).await
}

fn stagger_rest<A, F, T>(attempt: A, delay: Millis, attempts: u32) -> Boxed<io::Result<T>>
where
    A: Fn() -> F + Send + 'static,
    F: Future<Output = io::Result<T>> + Send + 'static,
    T: Send + 'static,
{
    let pending = attempt();
    if attempts <= 1 {
        return pending.boxed();
    }
    let rest = async move {
        let jitter = 1.0 + DELAY_JITTER * rand::random::<f64>();
        Timer::after(delay.to_duration().mul_f64(jitter)).await;
        let next_delay = Millis::new(delay.as_u64() * DELAY_GROWTH_PERCENT / 100);
        stagger_rest(attempt, next_delay, attempts - 1).await
    };
    pending.or(rest).boxed()
}
