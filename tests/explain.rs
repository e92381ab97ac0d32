//! Tests of the command that explains a request from its log lines.

use std::process::Command;
use std::process::Output;

use papayatray::explain::explain;

/// Log lines of two processes with a host name in front, out of order; one is of another request.
const LOGS: &str = r#"
edge-2 time=2026-01-06T20:23:49.598 level=info event=stream_ended request=a5 outcome=broken route=/x/ size=2 runs=3 first_ms=1102 pause_ms=348 events=84 age_ms=3200 total_ms=7932
edge-1 time=2026-01-06T20:23:39.000 level=info event=attempt request=b7 endpoint=e-9 outcome=200
edge-2 time=2026-01-06T20:23:38.469 level=info event=attempt request=a5 endpoint=e-1 outcome="the connection was lost"
edge-2 time=2026-01-06T20:23:49.597 level=info event=stream_broken request=a5 endpoint=e-3 last_event=84 reason="no event came for too long"
"#;

fn tool(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_papayatray"))
        .args(arguments)
        .output()
        .expect("the tool runs")
}

#[test]
fn explanation_lists_log_lines_in_order_with_the_cause() {
    let page = explain("a5", LOGS).expect("lines of the request");
    let lines: Vec<&str> = page.lines().collect();
    assert_eq!(lines.len(), 4, "{page}");
    assert!(lines[0].contains("event=attempt") && lines[1].contains("event=stream_broken"));
    assert_eq!(
        lines[3],
        "cause: the stream ended as broken after 84 events, 3200 ms after its last one; \
         attempts: e-1: the connection was lost"
    );
}

#[test]
fn explanation_of_a_refusal_names_the_plan_and_its_age() {
    let log = "time=1 event=request_refused request=r path=/a/ status=401 \
               reason=\"unknown key\" plan=47 evidence_age_ms=212";
    let page = explain("r", log).expect("lines of the request");
    assert!(
        page.contains(
            "refused with 401 by plan 47 (known to be the newest 212 ms before): unknown key"
        ),
        "{page}"
    );
}

#[test]
fn tool_reads_log_files_and_fails_for_an_unknown_request() {
    let path = std::env::temp_dir().join(format!("papayatray-explain-{}.log", std::process::id()));
    std::fs::write(&path, LOGS).expect("a file");
    let path_text = path.to_string_lossy();
    let found = tool(&["explain", "a5", &path_text]);
    assert_eq!(found.status.code(), Some(0), "{found:?}");
    assert!(String::from_utf8_lossy(&found.stdout).contains("cause: "));
    let missing = tool(&["explain", "zz", &path_text]);
    assert_eq!(missing.status.code(), Some(2), "{missing:?}");
    std::fs::remove_file(&path).expect("the file is removed");
}
