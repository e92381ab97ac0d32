//! Relay: throughput of one entry and the latency it adds, compared with direct calls of engines.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use http_types::Method;
use papayatray_standin::Announcer;
use papayatray_standin::Caller;
use papayatray_standin::EndpointInfo;
use papayatray_standin::Engine;
use papayatray_standin::EngineOptions;
use papayatray_standin::PLATFORM_KEY;
use serde_json::Value;
use serde_json::json;
use smol::Timer;
use smol::io::AsyncReadExt;

use crate::daemons::change;
use crate::daemons::memory;
use crate::daemons::operator_request;
use crate::daemons::start_site;
use crate::daemons::ticks;
use crate::daemons::wait_in_force;
use crate::plot::Curve;
use crate::report::Report;
use crate::report::percentile;

/// Key of the benchmark's organisation.
pub(crate) const KEY: &str = "key-of-the-benchmark";
/// Number of engines that serve the requests.
const ENGINE_COUNT: usize = 4;
/// Rate at which requests are started: the target of 84,000 a second over 860 nodes, rounded up.
const REQUESTS_PER_SECOND: u64 = 100;
/// Number of tokens in a response: the target of 20 M tokens a second over 84,000 requests.
const TOKENS_PER_RESPONSE: usize = 238;
/// Time between two tokens of an engine.
const TOKEN_INTERVAL: Duration = Duration::from_millis(10);
/// Time over which requests are started.
const LOAD_DURATION: Duration = Duration::from_secs(8);

/// Time to the first token and gaps between reads of one stream, in milliseconds, and the number of
/// its tokens.
#[derive(Debug, Default)]
struct StreamTimes {
    first_token: f64,
    gaps: Vec<f64>,
    tokens: usize,
}

/// Latencies in milliseconds and counts of many streams.
#[derive(Debug, Default)]
struct LoadResult {
    first_token: Vec<f64>,
    gaps: Vec<f64>,
    tokens: usize,
    streams: usize,
    /// Duration by which counts are divided to get rates.
    seconds: f64,
}

pub(crate) async fn run(report: &mut Report) -> Result<(), Box<dyn Error>> {
    let site = start_site("relay", 4).await?;
    configure(&site).await?;
    let mut engines = Vec::new();
    let mut announcers = Vec::new();
    for number in 0..ENGINE_COUNT {
        let options = EngineOptions {
            versions: ["drafter@1".to_owned()].into(),
            slots: 200,
            first_token_delay: Duration::from_millis(20),
            token_interval: TOKEN_INTERVAL,
            ..EngineOptions::default()
        };
        let engine = Engine::start(options).await?;
        announcers.push(announce(&site, &engine, number, 200));
        engines.push(engine);
    }
    wait_endpoints(&site, ENGINE_COUNT).await?;
    let addresses: Vec<SocketAddr> = engines.iter().map(Engine::address).collect();
    // This VM runs no control replica, so only the relay is measured.
    let entry = site.vms()[3].caller_address;
    warm_up(entry).await?;
    let mut direct = run_load(addresses, "drafter@1").await;
    let before = ticks(&site, 3);
    let mut relayed = run_load(vec![entry], "auto").await;
    // A second has 100 ticks, so ticks per second are percent of a core.
    let core_percent = (ticks(&site, 3) - before) / relayed.seconds;
    report.add(
        "relay",
        "tokens_per_second",
        relayed.tokens as f64 / relayed.seconds,
    );
    report.add(
        "relay",
        "requests_per_second",
        relayed.streams as f64 / relayed.seconds,
    );
    report.add(
        "relay",
        "direct_tokens_per_second",
        direct.tokens as f64 / direct.seconds,
    );
    let added_first_token =
        percentile(&mut relayed.first_token, 0.95) - percentile(&mut direct.first_token, 0.95);
    report.add("relay", "first_token_added_p95_ms", added_first_token);
    let added_gap = percentile(&mut relayed.gaps, 0.95) - percentile(&mut direct.gaps, 0.95);
    report.add("relay", "between_tokens_added_p95_ms", added_gap);
    report.add(
        "relay",
        "first_token_p95_ms",
        percentile(&mut relayed.first_token, 0.95),
    );
    report.add(
        "relay",
        "between_tokens_p95_ms",
        percentile(&mut relayed.gaps, 0.95),
    );
    report.add("relay", "entry_core_percent", core_percent);
    report.add("relay", "entry_memory_mib", memory(&site, 3));
    let axes = ("share of streams", "first token, ms");
    let curves = [
        curve("direct", &direct.first_token),
        curve("relayed", &relayed.first_token),
    ];
    report.plot("relay-first-token", "First token", axes, &curves);
    drop(announcers);
    Ok(())
}

/// Returns the curve of sorted values over the share of values before each.
fn curve(name: &str, sorted: &[f64]) -> Curve {
    let count = sorted.len().max(1) as f64;
    let points = sorted
        .iter()
        .enumerate()
        .map(|(index, value)| (index as f64 / count, *value));
    Curve {
        name: name.to_owned(),
        points: points.collect(),
    }
}

/// Announces an engine of the version `drafter@1` until the returned value is dropped.
///
/// The endpoint's id is `engine-NUMBER`, and it runs at most `slots` requests concurrently.
pub(crate) fn announce(
    site: &papayatray_standin::Site,
    engine: &Engine,
    number: usize,
    slots: u32,
) -> Announcer {
    let endpoint = EndpointInfo {
        id: format!("engine-{number}"),
        address: engine.address(),
        data_centre: "palermo-a".to_owned(),
        versions: vec!["drafter@1".to_owned()],
        service: None,
        slots,
    };
    Announcer::start(endpoint, site.caller_addresses(), PLATFORM_KEY)
}

/// Configures the version `drafter@1` and an organisation with [`KEY`] that may use it.
pub(crate) async fn configure(site: &papayatray_standin::Site) -> Result<(), Box<dyn Error>> {
    let hash = papayatrayd::http::hash_key(KEY);
    let edits = json!([
        {"declare-version": {"version": "drafter@1", "price_in": 10, "price_out": 20, "prior": 900}},
        {"offer": {"version": "drafter@1"}},
        {"create-organisation": {"organisation": "bench", "class": "paying"}},
        {"set-grants": {"organisation": "bench", "grants": [{"model": "drafter"}]}},
        {"add-key": {"organisation": "bench", "label": "first", "hash": hash.as_str()}},
    ]);
    let revision = change(site, 0, edits).await?;
    wait_in_force(site, revision).await
}

/// Waits until the entry with the index 3 has `count` endpoints registered.
pub(crate) async fn wait_endpoints(
    site: &papayatray_standin::Site,
    count: usize,
) -> Result<(), Box<dyn Error>> {
    loop {
        let endpoints = operator_request(site, 3, Method::Get, "endpoints", &Value::Null).await?;
        if endpoints.as_array().is_some_and(|all| all.len() == count) {
            return Ok(());
        }
        Timer::after(Duration::from_millis(20)).await;
    }
}

async fn warm_up(entry: SocketAddr) -> Result<(), Box<dyn Error>> {
    // The pool needs some time to raise its concurrency limit to the capacity of its endpoints.
    Timer::after(Duration::from_secs(4)).await;
    for _ in 0..20 {
        run_stream(entry, "auto", "warm tokens=2".to_owned(), 0).await?;
    }
    Ok(())
}

/// Starts requests at a steady rate and waits for all of them.
async fn run_load(addresses: Vec<SocketAddr>, model: &'static str) -> LoadResult {
    let begin = Instant::now();
    let count = REQUESTS_PER_SECOND * LOAD_DURATION.as_secs();
    let mut streams = Vec::new();
    for number in 0..count {
        let start_at = Duration::from_micros(number * 1_000_000 / REQUESTS_PER_SECOND);
        let wait = start_at.saturating_sub(begin.elapsed());
        Timer::after(wait).await;
        let index = usize::try_from(number).unwrap_or(0) % addresses.len();
        let prompt = format!("r{number} tokens={TOKENS_PER_RESPONSE}");
        streams.push(smol::spawn(run_stream(
            addresses[index],
            model,
            prompt,
            number + 1,
        )));
    }
    let mut result = LoadResult::default();
    for stream in streams {
        match stream.await {
            Ok(times) => {
                result.streams += 1;
                result.tokens += times.tokens;
                result.first_token.push(times.first_token);
                result.gaps.extend(times.gaps);
            }
            Err(error) => eprintln!("bench: a stream failed: {error}"),
        }
    }
    // The time a single response takes anyway does not count, as all requests start within
    // [`LOAD_DURATION`]; only the delay beyond it lowers the rate.
    result.seconds = LOAD_DURATION.as_secs_f64();
    let tail = begin.elapsed().as_secs_f64() - LOAD_DURATION.as_secs_f64();
    let generation_time = TOKENS_PER_RESPONSE as f64 * TOKEN_INTERVAL.as_secs_f64();
    result.seconds += (tail - generation_time).max(0.0);
    result
}

/// Sends one chat and reads its stream; returns an error unless the stream is complete.
///
/// `attempt_id` goes out as the id of the attempt, as an entry would send it to an engine.
async fn run_stream(
    address: SocketAddr,
    model: &str,
    prompt: String,
    attempt_id: u64,
) -> Result<StreamTimes, String> {
    let body = json!({
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "stream": true,
    });
    let bearer = format!("Bearer {KEY}");
    let attempt_id = attempt_id.to_string();
    let headers = [
        ("authorization", bearer.as_str()),
        ("content-type", "application/json"),
        ("papayatray-attempt", attempt_id.as_str()),
    ];
    let begin = Instant::now();
    let mut caller = Caller::connect(address)
        .await
        .map_err(|error| error.to_string())?;
    let body = body.to_string().into_bytes();
    let path = "/v1/chat/completions";
    let received = caller.open(Method::Post, path, &headers, body).await;
    let mut response = received.map_err(|error| error.to_string())?;
    if response.status() != 200 {
        return Err(response.body_string().await.unwrap_or_default());
    }
    let mut times = StreamTimes::default();
    let mut last = begin;
    let mut buffer = vec![0; 16 << 10];
    let mut is_done = false;
    while let Ok(count) = response.read(&mut buffer).await {
        if count == 0 {
            break;
        }
        let now = Instant::now();
        let events = buffer[..count]
            .windows(2)
            .filter(|pair| *pair == b"\n\n")
            .count();
        let elapsed = now.duration_since(last).as_secs_f64() * 1_000.0;
        if times.tokens == 0 {
            times.first_token = elapsed;
        } else {
            times.gaps.push(elapsed);
        }
        times.tokens += events;
        last = now;
        is_done = buffer[..count].windows(6).any(|part| part == b"[DONE]");
    }
    if is_done {
        Ok(times)
    } else {
        Err("the stream ended early".to_owned())
    }
}
