//! Sites of daemons for the benchmarks, and the resource use of idle daemons.

use std::error::Error;
use std::fs;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use http_types::Method;
use papayatray_standin::OPERATOR_KEY;
use papayatray_standin::Program;
use papayatray_standin::Site;
use papayatray_standin::call;
use papayatrayd::daemon;
use papayatrayd::settings::Settings;
use serde_json::Value;
use serde_json::json;
use smol::Timer;

use crate::report::Report;

/// Data centres of a site.
const DATA_CENTRES: [&str; 3] = ["palermo-a", "catania-b", "messina-c"];
/// Time within which a site must be ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Time over which an idle site is measured.
const IDLE_DURATION: Duration = Duration::from_secs(10);
/// Unit of the processor times in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Number of kibibytes in a mebibyte.
const KIB_PER_MIB: f64 = 1_024.0;

/// Runs one daemon with the settings file `settings` until it is stopped.
pub(crate) fn run(settings: &Path) -> ExitCode {
    let outcome = Settings::load(settings).map_err(|error| error.to_string());
    let outcome = outcome.and_then(|s| daemon::run(s).map_err(|error| error.to_string()));
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bench: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Starts a site of `count` VMs and waits until it serves.
pub(crate) async fn start_site(name: &str, count: usize) -> Result<Site, Box<dyn Error>> {
    let program = Program {
        path: std::env::current_exe()?,
        arguments: vec!["--daemon".to_owned()],
    };
    let mut site = Site::new(program, name, count, &DATA_CENTRES, "")?;
    site.start_all()?;
    let all: Vec<usize> = (0..count).collect();
    site.wait_ready(&all, START_TIMEOUT).await?;
    Ok(site)
}

/// Sends an operator's request to the entry with the index `vm`; returns the JSON body.
pub(crate) async fn operator_request(
    site: &Site,
    vm: usize,
    method: Method,
    path: &str,
    body: &Value,
) -> Result<Value, Box<dyn Error>> {
    let bearer = format!("Bearer {OPERATOR_KEY}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("content-type", "application/json"),
    ];
    let path = format!("/operator/v1/{path}");
    let body = body.to_string().into_bytes();
    let response = call(site.vms()[vm].caller_address, method, &path, &headers, body).await?;
    Ok(response.json())
}

/// Submits a change based on revision `base`; returns the new revision.
///
/// # Errors
///
/// Returns the response as text if the change is not accepted.
pub(crate) async fn change(site: &Site, base: u64, edits: Value) -> Result<u64, Box<dyn Error>> {
    let body = json!({"id": format!("bench-{base}"), "base": base, "why": "bench", "edits": edits});
    let reply =
        operator_request(site, site.vms().len() - 1, Method::Post, "changes", &body).await?;
    let accepted = reply["outcome"]["accepted"].as_u64();
    accepted.ok_or_else(|| reply.to_string().into())
}

/// Waits until a revision is in force everywhere.
pub(crate) async fn wait_in_force(site: &Site, revision: u64) -> Result<(), Box<dyn Error>> {
    loop {
        let last = site.vms().len() - 1;
        let reply = operator_request(site, last, Method::Get, "in-force", &Value::Null).await?;
        if reply["in_force"].as_u64() >= Some(revision) {
            return Ok(());
        }
        Timer::after(Duration::from_millis(2)).await;
    }
}

/// Measures memory, threads and processor time of the daemons of an idle site.
pub(crate) async fn idle(report: &mut Report) -> Result<(), Box<dyn Error>> {
    let site = start_site("idle", 9).await?;
    // The work of the start must not count.
    Timer::after(Duration::from_secs(4)).await;
    let before: Vec<f64> = (0..9).map(|vm| ticks(&site, vm)).collect();
    Timer::after(IDLE_DURATION).await;
    let core_percent = |vm: usize| {
        (ticks(&site, vm) - before[vm]) / TICKS_PER_SECOND / IDLE_DURATION.as_secs_f64() * 100.0
    };
    // The first three VMs run control replicas.
    let largest = |values: Vec<f64>| values.into_iter().fold(0.0, f64::max);
    report.add(
        "idle",
        "control_memory_mib",
        largest((0..3).map(|vm| memory(&site, vm)).collect()),
    );
    report.add(
        "idle",
        "entry_memory_mib",
        largest((3..9).map(|vm| memory(&site, vm)).collect()),
    );
    report.add(
        "idle",
        "control_core_percent",
        largest((0..3).map(core_percent).collect()),
    );
    report.add(
        "idle",
        "entry_core_percent",
        largest((3..9).map(core_percent).collect()),
    );
    report.add(
        "idle",
        "control_threads",
        status_field(&site, 0, "Threads:"),
    );
    report.add("idle", "entry_threads", status_field(&site, 8, "Threads:"));
    Ok(())
}

/// Returns the processor time of a daemon, in ticks; 0 if it does not run.
pub(crate) fn ticks(site: &Site, vm: usize) -> f64 {
    let process = site.process_id(vm).unwrap_or(0);
    let text = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let fields: Vec<&str> = text
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split(' ')
        .collect();
    let field = |index: usize| {
        fields
            .get(index)
            .and_then(|f| f.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    // Time in user and kernel mode; the fields are counted from the end of the process name.
    field(12) + field(13)
}

/// Returns the resident memory of a daemon in MiB; 0 if it does not run.
pub(crate) fn memory(site: &Site, vm: usize) -> f64 {
    status_field(site, vm, "VmRSS:") / KIB_PER_MIB
}

/// Returns a numeric field of `/proc/PID/status` of a daemon; 0 if it does not run.
fn status_field(site: &Site, vm: usize, name: &str) -> f64 {
    let process = site.process_id(vm).unwrap_or(0);
    let text = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text
        .lines()
        .find(|line| line.starts_with(name))
        .unwrap_or_default();
    line.split_whitespace()
        .nth(1)
        .and_then(|f| f.parse().ok())
        .unwrap_or(0.0)
}
