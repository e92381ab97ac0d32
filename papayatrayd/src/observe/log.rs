//! Logging: one line of `key=value` pairs per event, on standard output.
//!
//! Requests never wait for the log: lines go through a bounded queue, and are dropped and counted
//! when it is full. Each event has a rate limit, beyond which its lines are counted but not
//! written.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::fmt::Write;
use std::num::NonZeroUsize;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use papayatray_core::id::VmId;
use spdlog::ErrorHandler;
use spdlog::LevelFilter;
use spdlog::Logger;
use spdlog::ThreadPool;
use spdlog::formatter::PatternFormatter;
use spdlog::formatter::pattern;
use spdlog::sink::AsyncPoolSink;
use spdlog::sink::OverflowPolicy;
use spdlog::sink::StdStreamSink;

/// Capacity of the queue, in lines.
const QUEUE_CAPACITY: NonZeroUsize = NonZeroUsize::MIN.saturating_add(2_047);
/// Maximum lines of one event in each [`RATE_WINDOW`]; several times the rate at which a busy VM
/// logs any one event.
const MAX_LINES_PER_SECOND: u32 = 200;
/// Window of the rate limit.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// One request in this many is logged at [`Level::Info`] even if nothing about it is notable; all
/// processes choose the same requests.
const SAMPLING_DIVISOR: u8 = 64;

/// Time given to the writer of the queued lines at the end of the process.
const FINAL_WRITE_TIME: Duration = Duration::from_millis(50);

/// Logger of the process. It is not the default logger of the library, which would be flushed at
/// exit and delay it.
static LOGGER: OnceLock<Logger> = OnceLock::new();
/// Lines dropped because the queue was full.
static DROPPED: AtomicU64 = AtomicU64::new(0);
/// Lines suppressed by the rate limit of their event.
static SUPPRESSED: AtomicU64 = AtomicU64::new(0);
/// State of the rate limit of each event.
static RATE_LIMITS: Mutex<BTreeMap<&'static str, RateLimit>> = Mutex::new(BTreeMap::new());

/// State of the rate limit of one event, in the current window.
#[derive(Clone, Copy, Debug)]
struct RateLimit {
    window_start: Instant,
    /// Lines written in the window.
    lines: u32,
    /// Lines suppressed in the window.
    suppressed: u32,
}

/// Severity of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// A fault that needs an operator.
    Error,
    /// A fault that the system handled.
    Warn,
    /// A change or decision of interest to operators.
    Info,
    /// Detail for debugging.
    Debug,
}

impl From<Level> for spdlog::Level {
    fn from(level: Level) -> Self {
        match level {
            Level::Error => Self::Error,
            Level::Warn => Self::Warn,
            Level::Info => Self::Info,
            Level::Debug => Self::Debug,
        }
    }
}

/// Sets up logging to standard output, of events of at least the severity `level`: `error`, `warn`,
/// `info` or `debug`; any other text counts as `info`.
///
/// # Errors
///
/// Returns the error of the log library.
pub fn set_up_log(vm: &VmId, level: &str) -> spdlog::Result<()> {
    let format = pattern!("time={date}T{time}.{millisecond} level={level} {payload}{eol}");
    let output = StdStreamSink::builder()
        .stdout()
        .formatter(PatternFormatter::new(format))
        .build()?;
    let pool = ThreadPool::builder().capacity(QUEUE_CAPACITY).build()?;
    let queue = AsyncPoolSink::builder()
        .thread_pool(Arc::new(pool))
        .overflow_policy(OverflowPolicy::DropIncoming)
        .error_handler(ErrorHandler::new(|_error| {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }))
        .sink(Arc::new(output))
        .build()?;
    let filter = match level {
        "error" => spdlog::Level::Error,
        "warn" => spdlog::Level::Warn,
        "debug" => spdlog::Level::Debug,
        _ => spdlog::Level::Info,
    };
    let logger = Logger::builder()
        .name(vm.as_str())
        .sink(Arc::new(queue))
        .level_filter(LevelFilter::MoreSevereEqual(filter))
        .build()?;
    // A later call in the same process keeps the first logger.
    let _first = LOGGER.get_or_init(|| logger);
    Ok(())
}

/// Sleeps for a fixed time before the process ends, so that the writer thread can write the queued
/// lines.
///
/// It does not wait until the queue is empty: if nobody reads standard output, writing blocks, and
/// the process would never end.
pub fn wait_for_log_writes() {
    std::thread::sleep(FINAL_WRITE_TIME);
}

/// Returns how many lines were not written: those dropped by a full queue, and those suppressed by
/// the rate limits.
pub fn unlogged_lines() -> (u64, u64) {
    let dropped = DROPPED.load(Ordering::Relaxed);
    (dropped, SUPPRESSED.load(Ordering::Relaxed))
}

/// Logs the event `name` with its key-value pairs.
pub fn event(level: Level, name: &'static str, pairs: &[(&str, &dyn Display)]) {
    let level = spdlog::Level::from(level);
    let Some(logger) = LOGGER.get().filter(|logger| logger.should_log(level)) else {
        return;
    };
    let Some(suppressed) = apply_rate_limit(name) else {
        SUPPRESSED.fetch_add(1, Ordering::Relaxed);
        return;
    };
    let mut line = format!("event={name}");
    for (key, value) in pairs {
        add_pair(&mut line, key, *value);
    }
    if suppressed > 0 {
        add_pair(&mut line, "suppressed", &suppressed);
    }
    spdlog::log!(logger: logger, level, "{}", line);
}

/// Logs a decision on a request, at [`Level::Info`] if the decision is notable or the request is in
/// the sample, else at [`Level::Debug`].
///
/// The sample depends on the request id alone, so all processes choose the same requests.
pub fn request_event(
    id: &str,
    is_notable: bool,
    name: &'static str,
    pairs: &[(&str, &dyn Display)],
) {
    let level = if is_notable || is_sampled(id) {
        Level::Info
    } else {
        Level::Debug
    };
    let mut all_pairs: Vec<(&str, &dyn Display)> = vec![("request", &id)];
    all_pairs.extend_from_slice(pairs);
    event(level, name, &all_pairs);
}

/// Returns whether the hash of a request id selects it for the sample of one request in
/// [`SAMPLING_DIVISOR`].
fn is_sampled(id: &str) -> bool {
    blake3::hash(id.as_bytes()).as_bytes()[0].is_multiple_of(SAMPLING_DIVISOR)
}

fn add_pair(line: &mut String, key: &str, value: &dyn Display) {
    let text = value.to_string();
    let needs_no_quotes =
        !text.is_empty() && text.bytes().all(|b| b.is_ascii_graphic() && b != b'"');
    // Writing to a `String` cannot fail.
    let _ = if needs_no_quotes {
        write!(line, " {key}={text}")
    } else {
        write!(line, " {key}={text:?}")
    };
}

/// Applies the rate limit to a line of an event.
///
/// Returns `None` if the line is suppressed, else the number of lines of the event that were
/// suppressed since its last written line.
fn apply_rate_limit(name: &'static str) -> Option<u32> {
    let now = Instant::now();
    let new_window = RateLimit {
        window_start: now,
        lines: 0,
        suppressed: 0,
    };
    let mut limits = RATE_LIMITS.lock().unwrap_or_else(PoisonError::into_inner);
    let limit = limits.entry(name).or_insert(new_window);
    if now.duration_since(limit.window_start) >= RATE_WINDOW {
        let suppressed = limit.suppressed;
        *limit = RateLimit {
            lines: 1,
            ..new_window
        };
        return Some(suppressed);
    }
    if limit.lines >= MAX_LINES_PER_SECOND {
        limit.suppressed += 1;
        return None;
    }
    limit.lines += 1;
    Some(0)
}
