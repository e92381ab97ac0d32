//! Explains the outcome of a request from the log lines of all processes.

use std::fmt::Write;

/// Log line of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Line {
    /// Value of the key `time`, which sorts chronologically as text.
    time: String,
    /// Value of the key `event`.
    event: String,
    /// The whole line, with a collector's prefix if there is one.
    text: String,
}

/// Returns the log lines of request `id` in order of time, followed by a sentence on the cause.
///
/// Returns `None` if no line names the request: only a sample of successful requests is logged.
pub fn explain(id: &str, logs: &str) -> Option<String> {
    let marker = format!("request={id}");
    let matching = logs
        .lines()
        .filter(|line| line.split_whitespace().any(|word| word == marker));
    let mut lines: Vec<Line> = matching.map(parse).collect();
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    let last = lines.last()?;
    let mut page = String::new();
    for line in &lines {
        // Writing to a string cannot fail.
        let _written = writeln!(page, "{}", line.text);
    }
    let _written = writeln!(page, "cause: {}", cause(&lines, last));
    Some(page)
}

fn parse(line: &str) -> Line {
    // A log collector may have put a prefix, such as a host name, before the time.
    let begin = line.find("time=").unwrap_or(0);
    Line {
        time: value(&line[begin..], "time").unwrap_or_default(),
        event: value(line, "event").unwrap_or_default(),
        text: line.trim().to_owned(),
    }
}

/// Returns the value of the first `key=value` in a line, without quotation marks.
fn value(line: &str, key: &str) -> Option<String> {
    let marker = format!("{key}=");
    let starts = line.match_indices(&marker).map(|(index, _)| index);
    let mut word_starts = starts.filter(|index| *index == 0 || line.as_bytes()[index - 1] == b' ');
    let rest = &line[word_starts.next()? + marker.len()..];
    if let Some(quoted) = rest.strip_prefix('"') {
        return quoted.split('"').next().map(str::to_owned);
    }
    rest.split_whitespace().next().map(str::to_owned)
}

/// Returns the cause as the `last` log line of the request states it.
fn cause(lines: &[Line], last: &Line) -> String {
    let field = |key: &str| value(&last.text, key).unwrap_or_else(|| "?".to_owned());
    match last.event.as_str() {
        "request_refused" => format!(
            "refused with {} by plan {} (known to be the newest {} ms before): {}{}",
            field("status"),
            field("plan"),
            field("evidence_age_ms"),
            field("reason"),
            attempts(lines),
        ),
        "stream_ended" if field("outcome") == "whole" => "none; the stream was complete".to_owned(),
        "stream_ended" => format!(
            "the stream ended as {} after {} events, {} ms after its last one{}",
            field("outcome"),
            field("events"),
            field("age_ms"),
            attempts(lines),
        ),
        "request_answered" if field("status").starts_with('2') => {
            format!("none; answered after {} ms", field("took_ms"))
        }
        "request_answered" => format!(
            "the endpoint returned the status {}{}",
            field("status"),
            attempts(lines)
        ),
        other => format!("the last logged event is {other}: the process may have ended after it"),
    }
}

/// Returns the endpoints that were tried, with the outcome of each attempt.
fn attempts(lines: &[Line]) -> String {
    let attempts = lines.iter().filter(|line| line.event == "attempt");
    let outcomes: Vec<String> = attempts
        .filter_map(|line| {
            let endpoint = value(&line.text, "endpoint")?;
            Some(format!("{endpoint}: {}", value(&line.text, "outcome")?))
        })
        .collect();
    if outcomes.is_empty() {
        String::new()
    } else {
        format!("; attempts: {}", outcomes.join(", "))
    }
}
