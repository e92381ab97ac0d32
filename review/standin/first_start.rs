//! One of the three core machines is lost for good during the first start, and replaced.

use std::io;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client::HOST;
use crate::client::KEY;
use crate::http;
use crate::site::Site;

/// Time by which the last core machine starts after the others; the pages allow 0.3 s.
const DELAY: Duration = Duration::from_millis(250);
/// Time after the loss at which an empty machine at another address takes its place.
const REPLACED: Duration = Duration::from_secs(2);
/// Time for which the operator sends its order: many times `ContactMs`, `CatchUpS` and `AckMs`.
const PATIENCE: Duration = Duration::from_secs(30);

pub fn run(site: &mut Site, trouble: bool) -> Result<Option<String>, String> {
    let text = |error: io::Error| error.to_string();
    site.start_core_late(DELAY).map_err(text)?;
    if trouble {
        // It has not yet told the others of its empty disk.
        let lost = site.pid("core-2").ok_or("no process of core-2")?;
        site.signal(lost, "KILL");
    }
    let edges = [site.edge(1, "zone-a", 260), site.edge(2, "zone-b", 260)];
    site.start(&edges[0]).map_err(text)?;
    site.start(&edges[1]).map_err(text)?;
    thread::sleep(REPLACED);
    let mut controls = site.controls();
    if trouble {
        let machine = site.core(3, "zone-c", false);
        site.start(&machine).map_err(text)?;
        controls[2] = site.control_address(&machine);
    }
    let config = format!(
        r#"{{"Version":7,"Routes":[{{"Name":"r-page","Hostname":"{HOST}","PathPrefix":"/page/","RouteKind":"idempotent","TimeoutMs":1500,"TargetLatencyMs":300,"Priority":0,"Service":"app","MaxAttempts":2}}],"Services":[{{"Name":"app","HealthPath":"/healthz","MaxConns":100,"Protocol":"h1","Tls":false}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{{"Name":"tenant-one","ApiKeys":["{KEY}"],"Priority":1}}]}}"#
    );
    let started = Instant::now();
    let mut calls = 0;
    while started.elapsed() < PATIENCE {
        for control in &controls {
            let limit = Duration::from_secs(1);
            let sent = http::call(control, "POST /api/config/replace", &config, limit);
            calls += 1;
            if calls % 12 < 3 || sent.as_ref().is_ok_and(|(status, _)| *status == 200) {
                site.record.add(&format!(
                    "operator: configuration sent to {control}: {sent:?}"
                ));
            }
            if sent.is_ok_and(|(status, _)| status == 200) {
                return Ok(None);
            }
        }
        thread::sleep(Duration::from_millis(500));
    }
    site.record.add(&format!(
        "operator: no acknowledgement of {calls} calls within {PATIENCE:?}"
    ));
    let ready = edges
        .iter()
        .filter(|edge| site.wait_ready_for(edge, Duration::ZERO).is_ok())
        .count();
    site.record
        .add(&format!("{ready} of 2 edge machines are ready"));
    Ok(Some(format!(
        "Acks: no acknowledgement of a valid configuration within {} s, with two of three core machines running since the start",
        PATIENCE.as_secs()
    )))
}
