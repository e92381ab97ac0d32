//! Logs: one line of key=value pairs for each event.

use std::fmt::Display;
use std::fmt::Write;
use std::sync::Arc;

use papayatray_core::id::VmId;
use spdlog::LevelFilter;
use spdlog::Logger;
use spdlog::formatter::PatternFormatter;
use spdlog::formatter::pattern;
use spdlog::sink::StdStreamSink;

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

/// Makes the process log to standard error.
///
/// # Errors
///
/// Returns what the log library said.
pub fn set_up_log(vm: &VmId, level: &str) -> spdlog::Result<()> {
    let format = pattern!("time={date}T{time}.{millisecond} level={level} {payload}{eol}");
    let sink = StdStreamSink::builder()
        .stderr()
        .formatter(PatternFormatter::new(format))
        .build()?;
    let filter = match level {
        "error" => spdlog::Level::Error,
        "warn" => spdlog::Level::Warn,
        "debug" => spdlog::Level::Debug,
        _ => spdlog::Level::Info,
    };
    let logger = Logger::builder()
        .name(vm.as_str())
        .sink(Arc::new(sink))
        .level_filter(LevelFilter::MoreSevereEqual(filter))
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Logs the event `name` with its pairs.
pub fn event(level: Level, name: &str, pairs: &[(&str, &dyn Display)]) {
    let level = spdlog::Level::from(level);
    if !spdlog::default_logger().should_log(level) {
        return;
    }
    let mut line = format!("event={name}");
    for (key, value) in pairs {
        let text = value.to_string();
        let is_plain = !text.is_empty() && text.bytes().all(|b| b.is_ascii_graphic() && b != b'"');
        // Writing into a text cannot fail.
        let _ = if is_plain {
            write!(line, " {key}={text}")
        } else {
            write!(line, " {key}={text:?}")
        };
    }
    spdlog::log!(level, "{}", line);
}
