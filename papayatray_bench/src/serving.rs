//! Serving: correctness under many requests, spread of endpoint changes, and leader failover.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use http_types::Method;
use papayatray_standin::Engine;
use papayatray_standin::EngineOptions;
use papayatray_standin::call;
use serde_json::json;
use smol::Timer;

use crate::daemons::change;
use crate::daemons::operator_request;
use crate::daemons::start_site;
use crate::relay::KEY;
use crate::relay::announce;
use crate::relay::configure;
use crate::relay::wait_endpoints;
use crate::report::Report;
use crate::report::percentile;

/// Number of concurrent callers, each of which sends one request after another.
const CALLER_COUNT: usize = 100;
/// Number of requests of each caller.
const REQUESTS_PER_CALLER: usize = 100;
/// Number of tokens in a response.
const TOKENS_PER_RESPONSE: usize = 6;
/// Number of endpoints registered and deregistered, one after another.
const ENDPOINT_COUNT: usize = 12;
/// Number of leaders killed, one after another.
const LEADER_KILLS: u64 = 5;

/// Sends 10,000 requests through one entry and compares the text of each response.
pub(crate) async fn many(report: &mut Report) -> Result<(), Box<dyn Error>> {
    let site = start_site("many", 4).await?;
    configure(&site).await?;
    let versions = ["drafter@1".to_owned()].into();
    let token_interval = Duration::ZERO;
    let options = EngineOptions {
        versions,
        slots: 400,
        token_interval,
        ..EngineOptions::default()
    };
    let engine = Engine::start(options).await?;
    let _announcer = announce(&site, &engine, 0, 400);
    wait_endpoints(&site, 1).await?;
    // The fourth VM runs no control replica.
    let entry = site.vms()[3].caller_address;
    let begin = Instant::now();
    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|caller| smol::spawn(run_caller(entry, caller)))
        .collect();
    let (mut correct, mut wrong) = (0, 0);
    for caller in callers {
        let (caller_correct, caller_wrong) = caller.await;
        correct += caller_correct;
        wrong += caller_wrong;
    }
    let seconds = begin.elapsed().as_secs_f64();
    report.add("many", "whole_answers", f64::from(correct));
    report.add("many", "wrong_or_missing_answers", f64::from(wrong));
    report.add(
        "many",
        "runs_beyond_one",
        engine.prompts().len() as f64 - f64::from(correct),
    );
    report.add("many", "requests_per_second", f64::from(correct) / seconds);
    let bills = operator_request(&site, 3, Method::Get, "bills", &json!(null)).await?;
    // Each total is a pair of an account and its sums.
    let billed = bills["totals"][0][1]["requests"].as_f64().unwrap_or(0.0);
    report.add(
        "many",
        "billed_beyond_answered",
        billed - f64::from(correct),
    );
    Ok(())
}

/// Sends the requests of one caller; returns the numbers of correct and of other responses.
async fn run_caller(entry: SocketAddr, caller: usize) -> (u32, u32) {
    let (mut correct, mut wrong) = (0, 0);
    for number in 0..REQUESTS_PER_CALLER {
        let word = format!("l{caller}n{number}");
        let body = json!({
            "model": "auto",
            "messages": [{"role": "user", "content": format!("{word} tokens={TOKENS_PER_RESPONSE}")}],
            "stream": number % 2 == 0,
        });
        let bearer = format!("Bearer {KEY}");
        let headers = [("authorization", bearer.as_str())];
        let body = body.to_string().into_bytes();
        let response = call(entry, Method::Post, "/v1/chat/completions", &headers, body).await;
        let words: Vec<String> = (0..TOKENS_PER_RESPONSE)
            .map(|n| format!("{word}:{n} "))
            .collect();
        if response.is_ok_and(|response| response.text() == words.concat()) {
            correct += 1;
        } else {
            wrong += 1;
        }
    }
    (correct, wrong)
}

/// Measures the time from the kill of a leader until another leader accepts a change.
pub(crate) async fn failover(report: &mut Report) -> Result<(), Box<dyn Error>> {
    let mut site = start_site("failover", 4).await?;
    let mut times = Vec::new();
    // Each round makes one change, so its number is also the revision that the change is based on.
    for base in 0..LEADER_KILLS {
        // Waits for a leader that knows the revision in force.
        let leader = loop {
            let all = operator_request(&site, 3, Method::Get, "status", &json!(null)).await?;
            let statuses = all.as_array().cloned().unwrap_or_default();
            let found = statuses
                .iter()
                .find(|s| s["role"] == "leader" && !s["in_force"].is_null());
            let index =
                found.and_then(|s| site.vms().iter().position(|vm| s["vm"] == vm.name.as_str()));
            if let Some(index) = index {
                break index;
            }
            Timer::after(Duration::from_millis(50)).await;
        };
        site.kill(leader);
        let begin = Instant::now();
        let edits = json!([{"create-organisation": {"organisation": format!("o{base}"), "class": "trial"}}]);
        while change(&site, base, edits.clone()).await.is_err() {
            Timer::after(Duration::from_millis(10)).await;
        }
        times.push(begin.elapsed().as_secs_f64() * 1_000.0);
        site.start(leader)?;
        site.wait_ready(&[leader], Duration::from_secs(20)).await?;
    }
    report.add("failover", "median_ms", percentile(&mut times, 0.5));
    report.add("failover", "most_ms", percentile(&mut times, 1.0));
    Ok(())
}

/// Measures the time until all nine entries have received a registration and a deregistration.
pub(crate) async fn spread(report: &mut Report) -> Result<(), Box<dyn Error>> {
    let site = start_site("spread", 9).await?;
    let (mut registration_ms, mut deregistration_ms) = (Vec::new(), Vec::new());
    for number in 0..ENDPOINT_COUNT {
        let versions = ["drafter@1".to_owned()].into();
        let engine = Engine::start(EngineOptions {
            versions,
            ..EngineOptions::default()
        })
        .await?;
        let begin = Instant::now();
        let announcer = announce(&site, &engine, number, 8);
        let id = format!("engine-{number}");
        wait_for_all_entries(&site, &id, |endpoint| endpoint["leaving"] == false).await?;
        registration_ms.push(begin.elapsed().as_secs_f64() * 1_000.0);
        let begin = Instant::now();
        announcer.deregister(number % 9).await?;
        wait_for_all_entries(&site, &id, |endpoint| endpoint["leaving"] != false).await?;
        deregistration_ms.push(begin.elapsed().as_secs_f64() * 1_000.0);
    }
    report.add(
        "spread",
        "newcomer_most_ms",
        percentile(&mut registration_ms, 1.0),
    );
    report.add(
        "spread",
        "leaver_most_ms",
        percentile(&mut deregistration_ms, 1.0),
    );
    Ok(())
}

/// Waits until an endpoint meets a condition at every entry.
async fn wait_for_all_entries<F>(
    site: &papayatray_standin::Site,
    id: &str,
    is_expected: F,
) -> Result<(), Box<dyn Error>>
where
    F: Fn(&serde_json::Value) -> bool,
{
    for vm in 0..site.vms().len() {
        loop {
            let all = operator_request(site, vm, Method::Get, "endpoints", &json!(null)).await?;
            let found = all
                .as_array()
                .and_then(|all| all.iter().find(|e| e["id"] == id));
            if found.is_some_and(&is_expected) {
                break;
            }
            Timer::after(Duration::from_millis(2)).await;
        }
    }
    Ok(())
}
