//! Serving: many requests with their own answers, and the time until another leader accepts.

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
use crate::daemons::operate;
use crate::daemons::start_site;
use crate::relay::KEY;
use crate::relay::announce;
use crate::relay::configure;
use crate::relay::wait_endpoints;
use crate::report::Report;
use crate::report::percentile;

/// Callers that send one request after another.
const LANES: usize = 100;
/// Requests of each caller.
const EACH: usize = 100;
/// Tokens of an answer.
const TOKENS: usize = 6;
/// Endpoints that come and leave, one after another.
const ENDPOINTS: usize = 12;
/// Leaders that are killed, one after another.
const KILLS: u64 = 5;

/// Sends 10,000 requests through one entry and compares each answer byte for byte.
pub(crate) async fn many(report: &mut Report) -> Result<(), Box<dyn Error>> {
    let site = start_site("many", 4).await?;
    configure(&site).await?;
    let versions = ["drafter@1".to_owned()].into();
    let between = Duration::ZERO;
    let options = EngineOptions {
        versions,
        slots: 400,
        between,
        ..EngineOptions::default()
    };
    let engine = Engine::start(options).await?;
    let _announcer = announce(&site, &engine, 0, 400);
    wait_endpoints(&site, 1).await?;
    let entry = site.vms()[3].caller;
    let begin = Instant::now();
    let lanes: Vec<_> = (0..LANES)
        .map(|lane| smol::spawn(send_lane(entry, lane)))
        .collect();
    let (mut whole, mut wrong) = (0, 0);
    for lane in lanes {
        let (own_whole, own_wrong) = lane.await;
        whole += own_whole;
        wrong += own_wrong;
    }
    let seconds = begin.elapsed().as_secs_f64();
    report.add("many", "whole_answers", f64::from(whole));
    report.add("many", "wrong_or_missing_answers", f64::from(wrong));
    report.add(
        "many",
        "runs_beyond_one",
        engine.prompts().len() as f64 - f64::from(whole),
    );
    report.add("many", "requests_per_second", f64::from(whole) / seconds);
    let bills = operate(&site, 3, Method::Get, "bills", &json!(null)).await?;
    let billed = bills["totals"][0][1]["requests"].as_f64().unwrap_or(0.0);
    report.add("many", "billed_beyond_answered", billed - f64::from(whole));
    Ok(())
}

/// Sends the requests of one caller; returns how many answers were whole, and how many not.
async fn send_lane(entry: SocketAddr, lane: usize) -> (u32, u32) {
    let (mut whole, mut wrong) = (0, 0);
    for number in 0..EACH {
        let word = format!("l{lane}n{number}");
        let body = json!({
            "model": "auto",
            "messages": [{"role": "user", "content": format!("{word} tokens={TOKENS}")}],
            "stream": number % 2 == 0,
        });
        let bearer = format!("Bearer {KEY}");
        let headers = [("authorization", bearer.as_str())];
        let body = body.to_string().into_bytes();
        let answer = call(entry, Method::Post, "/v1/chat/completions", &headers, body).await;
        let words: Vec<String> = (0..TOKENS).map(|n| format!("{word}:{n} ")).collect();
        if answer.is_ok_and(|answer| answer.text() == words.concat()) {
            whole += 1;
        } else {
            wrong += 1;
        }
    }
    (whole, wrong)
}

/// Kills leaders and times until the others accept a change.
pub(crate) async fn failover(report: &mut Report) -> Result<(), Box<dyn Error>> {
    let mut site = start_site("failover", 4).await?;
    let mut times = Vec::new();
    for base in 0..KILLS {
        let leader = loop {
            let all = operate(&site, 3, Method::Get, "status", &json!(null)).await?;
            let statuses = all.as_array().cloned().unwrap_or_default();
            let own = statuses
                .iter()
                .find(|s| s["role"] == "leader" && !s["in_force"].is_null());
            let place =
                own.and_then(|s| site.vms().iter().position(|vm| s["vm"] == vm.name.as_str()));
            if let Some(place) = place {
                break place;
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

/// Times until all nine entries know of an endpoint that came, and of one that left.
pub(crate) async fn spread(report: &mut Report) -> Result<(), Box<dyn Error>> {
    let site = start_site("spread", 9).await?;
    let (mut came, mut left) = (Vec::new(), Vec::new());
    for number in 0..ENDPOINTS {
        let versions = ["drafter@1".to_owned()].into();
        let engine = Engine::start(EngineOptions {
            versions,
            ..EngineOptions::default()
        })
        .await?;
        let begin = Instant::now();
        let announcer = announce(&site, &engine, number, 8);
        let id = format!("engine-{number}");
        wait_everywhere(&site, &id, |endpoint| endpoint["leaving"] == false).await?;
        came.push(begin.elapsed().as_secs_f64() * 1_000.0);
        let begin = Instant::now();
        announcer.leave(number % 9).await?;
        wait_everywhere(&site, &id, |endpoint| endpoint["leaving"] != false).await?;
        left.push(begin.elapsed().as_secs_f64() * 1_000.0);
    }
    report.add("spread", "newcomer_most_ms", percentile(&mut came, 1.0));
    report.add("spread", "leaver_most_ms", percentile(&mut left, 1.0));
    Ok(())
}

/// Waits until every entry shows an endpoint as wanted.
async fn wait_everywhere<F>(
    site: &papayatray_standin::Site,
    id: &str,
    is_wanted: F,
) -> Result<(), Box<dyn Error>>
where
    F: Fn(&serde_json::Value) -> bool,
{
    for vm in 0..site.vms().len() {
        loop {
            let all = operate(site, vm, Method::Get, "endpoints", &json!(null)).await?;
            let own = all
                .as_array()
                .and_then(|all| all.iter().find(|e| e["id"] == id));
            if own.is_some_and(&is_wanted) {
                break;
            }
            Timer::after(Duration::from_millis(2)).await;
        }
    }
    Ok(())
}
