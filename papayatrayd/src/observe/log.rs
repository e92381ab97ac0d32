//! Logs: one line of key=value pairs for each event, on standard output.
//!
//! No request waits for a line: lines go through a bounded queue, and those that find it full are
//! dropped and counted. Each event has a rate of its own beyond which its lines are counted only.

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

/// Lines that may wait to be written.
const QUEUE: NonZeroUsize = NonZeroUsize::MIN.saturating_add(2_047);
/// Lines of one event in each second; several times what one VM's decisions make on a busy day.
const LINES_EACH_SECOND: u32 = 200;
/// Length of the span in which lines of an event are counted.
const SPAN: Duration = Duration::from_secs(1);
/// One ordinary request in this many is logged, the same ones at every process.
const SAMPLED_ONE_IN: u8 = 64;

/// Time for the last lines to leave the queue.
const FLUSH_WAIT: Duration = Duration::from_millis(50);

/// Logger of the process; the library's own default would be flushed, and waited for, at exit.
static LOGGER: OnceLock<Logger> = OnceLock::new();
/// Lines that found the queue full.
static DROPPED: AtomicU64 = AtomicU64::new(0);
/// Lines beyond the rate of their event.
static SUPPRESSED: AtomicU64 = AtomicU64::new(0);
/// Lines of each event in its present span.
static RATES: Mutex<BTreeMap<&'static str, Rate>> = Mutex::new(BTreeMap::new());

/// Lines of one event.
#[derive(Clone, Copy, Debug)]
struct Rate {
    since: Instant,
    lines: u32,
    suppressed: u32,
}

/// Level of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// Something is broken and needs an operator.
    Error,
    /// Something went wrong and was dealt with.
    Warn,
    /// Something an operator wants to know of.
    Info,
    /// Detail.
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

/// Makes the process log to standard output.
///
/// # Errors
///
/// Returns what the log library said.
pub fn set_up_log(vm: &VmId, level: &str) -> spdlog::Result<()> {
    let format = pattern!("time={date}T{time}.{millisecond} level={level} {payload}{eol}");
    let output = StdStreamSink::builder()
        .stdout()
        .formatter(PatternFormatter::new(format))
        .build()?;
    let pool = ThreadPool::builder().capacity(QUEUE).build()?;
    let queue = AsyncPoolSink::builder()
        .thread_pool(Arc::new(pool))
        .overflow_policy(OverflowPolicy::DropIncoming)
        .error_handler(ErrorHandler::new(|_full| {
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
    // A second call in one process keeps the first logger.
    let _first = LOGGER.get_or_init(|| logger);
    Ok(())
}

/// Gives the lines so far a moment to be written, before the process ends.
///
/// An output that nobody reads must not keep the process from ending.
pub fn flush_log() {
    std::thread::sleep(FLUSH_WAIT);
}

/// Returns how many lines were left out: those that found the queue full, and those beyond the
/// rate of their event.
pub fn unlogged_lines() -> (u64, u64) {
    let dropped = DROPPED.load(Ordering::Relaxed);
    (dropped, SUPPRESSED.load(Ordering::Relaxed))
}

/// Logs the event `name` with its pairs.
pub fn event(level: Level, name: &'static str, pairs: &[(&str, &dyn Display)]) {
    let level = spdlog::Level::from(level);
    let Some(logger) = LOGGER.get().filter(|own| own.should_log(level)) else {
        return;
    };
    let Some(suppressed) = admit(name) else {
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

/// Logs a decision on a request: always where it matters, else for a sample of requests.
///
/// The sample goes by the request's id, so that all processes log the same requests.
pub fn request_event(id: &str, matters: bool, name: &'static str, pairs: &[(&str, &dyn Display)]) {
    let level = if matters || is_sampled(id) {
        Level::Info
    } else {
        Level::Debug
    };
    let mut all: Vec<(&str, &dyn Display)> = vec![("request", &id)];
    all.extend_from_slice(pairs);
    event(level, name, &all);
}

/// Tells whether an ordinary request is logged.
fn is_sampled(id: &str) -> bool {
    blake3::hash(id.as_bytes()).as_bytes()[0].is_multiple_of(SAMPLED_ONE_IN)
}

fn add_pair(line: &mut String, key: &str, value: &dyn Display) {
    let text = value.to_string();
    let is_plain = !text.is_empty() && text.bytes().all(|b| b.is_ascii_graphic() && b != b'"');
    // Writing into a text cannot fail.
    let _ = if is_plain {
        write!(line, " {key}={text}")
    } else {
        write!(line, " {key}={text:?}")
    };
}

/// Tells whether a line of the event may be written, and how many were not before it.
fn admit(name: &'static str) -> Option<u32> {
    let now = Instant::now();
    let first = Rate {
        since: now,
        lines: 0,
        suppressed: 0,
    };
    let mut rates = RATES.lock().unwrap_or_else(PoisonError::into_inner);
    let rate = rates.entry(name).or_insert(first);
    if now.duration_since(rate.since) >= SPAN {
        let suppressed = rate.suppressed;
        *rate = Rate { lines: 1, ..first };
        return Some(suppressed);
    }
    if rate.lines >= LINES_EACH_SECOND {
        rate.suppressed += 1;
        return None;
    }
    rate.lines += 1;
    Some(0)
}
