//! Failures of the gateway's processes, as callers and operators observe them.

use std::io::Read;
use std::io::Write;
use std::thread;
use std::time::Duration;

use crate::memory::MAX_BODY_BYTES;
use crate::memory::connect_with_small_window;
use crate::memory::start_endpoint_of_large_responses;
use crate::site::Site;
use crate::site::call;
use crate::site::start_endpoint;

/// Returns a site that serves version 1 of the plan with one endpoint, which responds with a stream
/// of `events` events, `pause` apart.
fn site_with_endpoint(name: &str, events: u64, pause: Duration) -> Site {
    let site = Site::start(name);
    site.publish(1, "/a/");
    site.announce(start_endpoint(events, pause));
    for entry in 0..2 {
        site.wait_status(entry, "/a/x", 200);
    }
    site
}

/// Returns the number of the leading control replica, found in the logs.
pub fn leader(site: &Site) -> usize {
    let is_leader = |number: &usize| {
        let log = site.log(&format!("control-{number}"));
        let last = log.lines().rfind(|line| line.contains("event=role "));
        last.is_some_and(|line| line.contains("role=Leader"))
    };
    (0..3).find(is_leader).unwrap()
}

#[test]
fn published_plan_is_served_and_read_back() {
    let site = site_with_endpoint("published", 3, Duration::ZERO);
    let body = site.wait_status(0, "/a/x", 200);
    assert!(
        body.contains("id: 3") && body.ends_with("0\r\n\r\n"),
        "{body}"
    );
    site.publish(2, "/b/");
    site.wait_status(1, "/b/x", 200);
    assert_eq!(call(site.caller_addresses[1], "GET", "/a/x", "").0, 404);
    let plan = site.call_operator("GET", "/v1/plan", "");
    assert!(plan.contains("\"version\":2"), "{plan}");
}

#[test]
fn invalid_plan_is_rejected_and_the_old_one_stays() {
    let site = site_with_endpoint("invalid", 1, Duration::ZERO);
    let (status, _) = call(
        site.operator_addresses[0],
        "PUT",
        "/v1/plan",
        "{\"version\": 9",
    );
    assert_eq!(status, 400);
    let plan = site.call_operator("GET", "/v1/plan", "");
    assert!(plan.contains("\"version\":1"), "{plan}");
}

#[test]
fn new_leader_accepts_plans_and_the_killed_one_catches_up() {
    let mut site = site_with_endpoint("leader", 1, Duration::ZERO);
    let killed = format!("control-{}", leader(&site));
    site.kill(&killed);
    site.publish(2, "/b/");
    for entry in 0..2 {
        site.wait_status(entry, "/b/x", 200);
    }
    site.spawn(&killed);
    site.wait("the killed replica reads the newest plan", |site| {
        let number: usize = killed.trim_start_matches("control-").parse().unwrap();
        let (status, plan) = call(site.operator_addresses[number], "GET", "/v1/plan", "");
        status == 200 && plan.contains("\"version\":2")
    });
}

#[test]
fn plan_survives_a_restart_of_all_control_replicas_with_one_lost_disk() {
    let mut site = site_with_endpoint("disk", 1, Duration::ZERO);
    site.publish(2, "/b/");
    for number in 0..3 {
        site.kill(&format!("control-{number}"));
    }
    let folder = site.data_folder(2);
    std::fs::remove_dir_all(&folder).unwrap();
    std::fs::create_dir_all(&folder).unwrap();
    for number in 0..3 {
        site.spawn(&format!("control-{number}"));
    }
    let plan = site.call_operator("GET", "/v1/plan", "");
    assert!(plan.contains("\"version\":2"), "{plan}");
    // The replica with the emptied disk must become a voter again, so that the group tolerates the
    // loss of another one. A replica logs `stage=open` at
    // the end of each start.
    site.wait("the emptied replica rejoins", |site| {
        site.log("control-2").matches("stage=open").count() >= 2
    });
    site.publish(3, "/c/");
    site.wait_status(0, "/c/x", 200);
}

#[test]
fn graceful_shutdown_completes_streams_and_delists_the_entry() {
    let mut site = site_with_endpoint("stop", 20, Duration::from_millis(100));
    let listed_address = site.caller_addresses[0].to_string();
    site.wait("both entries are listed", |site| site.entries(1).len() == 2);
    let caller = site.caller_addresses[0];
    let stream = thread::spawn(move || call(caller, "GET", "/a/x", ""));
    // The shutdown begins while the stream, which takes two seconds, is still running.
    thread::sleep(Duration::from_millis(300));
    site.terminate("entry-0");
    site.wait("the entry leaves the list", |site| {
        !site.entries(1).contains(&listed_address)
    });
    let (status, body) = stream.join().unwrap();
    assert_eq!(status, 200);
    assert!(
        body.contains("id: 20") && body.ends_with("0\r\n\r\n"),
        "{body}"
    );
    site.wait_exit("entry-0");
}

#[test]
fn deregistered_endpoint_receives_no_requests() {
    let site = site_with_endpoint("departed", 1, Duration::ZERO);
    site.call_operator("DELETE", "/v1/endpoints/e-1", "");
    for entry in 0..2 {
        site.wait_status(entry, "/a/x", 503);
    }
}

#[test]
fn entry_with_a_full_output_pipe_serves_and_stops() {
    let mut site = site_with_endpoint("unread", 1, Duration::ZERO);
    site.kill("entry-0");
    site.spawn_with_unread_output("entry-0");
    site.wait_status(0, "/a/x", 200);
    // Each refused request logs its path. The log admits 200 such lines a second, which are six
    // times the 64 KiB that a pipe holds.
    let path = format!("/nowhere/{}/", "x".repeat(2_000));
    for _ in 0..3_000 {
        assert_eq!(call(site.caller_addresses[0], "GET", &path, "").0, 404);
    }
    site.wait_status(0, "/a/x", 200);
    site.terminate("entry-0");
    site.wait_exit("entry-0");
}

#[test]
fn metrics_count_requests_by_kind_and_outcome() {
    let site = site_with_endpoint("metrics", 1, Duration::ZERO);
    let (status, page) = call(site.metrics_address, "GET", "/metrics", "");
    assert_eq!(status, 200);
    for sample in [
        "papayatray_requests_total{kind=\"stream\",outcome=\"whole\"}",
        "papayatray_answer_seconds_bucket{le=\"0.025\",kind=\"stream\"}",
        "papayatray_plan_version 1",
        "papayatray_endpoints 1",
    ] {
        assert!(page.contains(sample), "{sample} is missing in\n{page}");
    }
}

/// Guards against a stopping entry that ends before the callers have read its last responses.
#[test]
fn stopping_entry_waits_for_a_caller_that_reads_slowly() {
    let mut site = Site::start("slow-reader");
    site.publish(1, "/a/");
    site.announce(start_endpoint_of_large_responses());
    site.wait_status(0, "/a/large", 500);
    let mut stream = connect_with_small_window(site.caller_addresses[0]);
    let head = "GET /a/large HTTP/1.1\r\nHost: site.example\r\n\
                Papayatray-Request: r-1\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    thread::sleep(Duration::from_millis(500));
    site.terminate("entry-0");
    // The address is held for 600 ms; the entry has six seconds for its stop.
    thread::sleep(Duration::from_secs(2));
    let mut response = Vec::new();
    stream.read_to_end(&mut response).unwrap();
    let start = String::from_utf8_lossy(&response[..response.len().min(200)]);
    assert!(response.len() > MAX_BODY_BYTES, "{start}");
    site.wait_exit("entry-0");
}
