//! Relay: what one entry carries, and the time it adds, against the engines themselves.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use http_types::Method;
use papayatray_standin::Announcer;
use papayatray_standin::Caller;
use papayatray_standin::Engine;
use papayatray_standin::EngineOptions;
use papayatray_standin::Facts;
use papayatray_standin::PLATFORM_KEY;
use serde_json::Value;
use serde_json::json;
use smol::Timer;
use smol::io::AsyncReadExt;

use crate::daemons::change;
use crate::daemons::memory;
use crate::daemons::operate;
use crate::daemons::start_site;
use crate::daemons::ticks;
use crate::daemons::wait_in_force;
use crate::plot::Curve;
use crate::report::Report;
use crate::report::percentile;

/// Key of the benchmark's organisation.
pub(crate) const KEY: &str = "key-of-the-benchmark";
/// Engines behind the entry.
const ENGINES: usize = 4;
/// Requests begun in a second, as the target asks of one node.
const RATE: u64 = 100;
/// Tokens of an answer: 20 M tokens over 84,000 requests.
const TOKENS: usize = 238;
/// Time between tokens of an engine.
const BETWEEN: Duration = Duration::from_millis(10);
/// Time over which requests are begun.
const SPAN: Duration = Duration::from_secs(8);

/// Times of one stream.
#[derive(Debug, Default)]
struct Times {
    first: f64,
    gaps: Vec<f64>,
    tokens: usize,
}

/// Times of many streams.
#[derive(Debug, Default)]
struct Sum {
    first: Vec<f64>,
    gaps: Vec<f64>,
    tokens: usize,
    streams: usize,
    seconds: f64,
}

pub(crate) async fn run(report: &mut Report) -> Result<(), Box<dyn Error>> {
    let site = start_site("relay", 4).await?;
    configure(&site).await?;
    let mut engines = Vec::new();
    let mut announcers = Vec::new();
    for number in 0..ENGINES {
        let options = EngineOptions {
            versions: ["drafter@1".to_owned()].into(),
            slots: 200,
            first: Duration::from_millis(20),
            between: BETWEEN,
            ..EngineOptions::default()
        };
        let engine = Engine::start(options).await?;
        announcers.push(announce(&site, &engine, number, 200));
        engines.push(engine);
    }
    wait_endpoints(&site, ENGINES).await?;
    let addresses: Vec<SocketAddr> = engines.iter().map(Engine::address).collect();
    // The entry with no replica beside it, so that only the relay is measured.
    let entry = site.vms()[3].caller;
    warm_up(entry).await?;
    let mut direct = load(addresses, "drafter@1").await;
    let before = ticks(&site, 3);
    let mut relayed = load(vec![entry], "auto").await;
    let core = (ticks(&site, 3) - before) / relayed.seconds;
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
    let first = percentile(&mut relayed.first, 0.95) - percentile(&mut direct.first, 0.95);
    report.add("relay", "first_token_added_p95_ms", first);
    let between = percentile(&mut relayed.gaps, 0.95) - percentile(&mut direct.gaps, 0.95);
    report.add("relay", "between_tokens_added_p95_ms", between);
    report.add(
        "relay",
        "first_token_p95_ms",
        percentile(&mut relayed.first, 0.95),
    );
    report.add(
        "relay",
        "between_tokens_p95_ms",
        percentile(&mut relayed.gaps, 0.95),
    );
    report.add("relay", "entry_core_percent", core);
    report.add("relay", "entry_memory_mib", memory(&site, 3));
    let axes = ("share of streams", "first token, ms");
    let curves = [
        curve("direct", &direct.first),
        curve("relayed", &relayed.first),
    ];
    report.plot("relay-first-token", "First token", axes, &curves);
    drop(announcers);
    Ok(())
}

fn curve(name: &str, sorted: &[f64]) -> Curve {
    let count = sorted.len().max(1) as f64;
    let points = sorted
        .iter()
        .enumerate()
        .map(|(at, value)| (at as f64 / count, *value));
    Curve {
        name: name.to_owned(),
        points: points.collect(),
    }
}

/// Begins to announce an engine.
pub(crate) fn announce(
    site: &papayatray_standin::Site,
    engine: &Engine,
    number: usize,
    slots: u32,
) -> Announcer {
    let facts = Facts {
        id: format!("engine-{number}"),
        address: engine.address(),
        data_centre: "palermo-a".to_owned(),
        versions: vec!["drafter@1".to_owned()],
        service: None,
        slots,
    };
    Announcer::start(facts, site.callers(), PLATFORM_KEY)
}

/// Offers one version to one organisation.
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

/// Waits until the last entry knows `count` endpoints.
pub(crate) async fn wait_endpoints(
    site: &papayatray_standin::Site,
    count: usize,
) -> Result<(), Box<dyn Error>> {
    loop {
        let known = operate(site, 3, Method::Get, "endpoints", &Value::Null).await?;
        if known.as_array().is_some_and(|all| all.len() == count) {
            return Ok(());
        }
        Timer::after(Duration::from_millis(20)).await;
    }
}

async fn warm_up(entry: SocketAddr) -> Result<(), Box<dyn Error>> {
    // The limit of the pool rises to what its endpoints can take.
    Timer::after(Duration::from_secs(4)).await;
    for _ in 0..20 {
        stream(entry, "auto", "warm tokens=2".to_owned(), 0).await?;
    }
    Ok(())
}

/// Begins requests at a steady rate and waits for all of them.
async fn load(addresses: Vec<SocketAddr>, model: &'static str) -> Sum {
    let begin = Instant::now();
    let count = RATE * SPAN.as_secs();
    let mut streams = Vec::new();
    for number in 0..count {
        let due = Duration::from_micros(number * 1_000_000 / RATE);
        let left = due.saturating_sub(begin.elapsed());
        Timer::after(left).await;
        let place = usize::try_from(number).unwrap_or(0) % addresses.len();
        let prompt = format!("r{number} tokens={TOKENS}");
        streams.push(smol::spawn(stream(
            addresses[place],
            model,
            prompt,
            number + 1,
        )));
    }
    let mut sum = Sum::default();
    for stream in streams {
        match stream.await {
            Ok(times) => {
                sum.streams += 1;
                sum.tokens += times.tokens;
                sum.first.push(times.first);
                sum.gaps.extend(times.gaps);
            }
            Err(error) => eprintln!("bench: a stream failed: {error}"),
        }
    }
    // The rate is that of the steady part: what was begun within the span.
    sum.seconds = SPAN.as_secs_f64();
    let tail = begin.elapsed().as_secs_f64() - SPAN.as_secs_f64();
    let alone = TOKENS as f64 * BETWEEN.as_secs_f64();
    sum.seconds += (tail - alone).max(0.0);
    sum
}

async fn stream(
    address: SocketAddr,
    model: &str,
    prompt: String,
    attempt: u64,
) -> Result<Times, String> {
    let body = json!({
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "stream": true,
    });
    let bearer = format!("Bearer {KEY}");
    let attempt = attempt.to_string();
    let headers = [
        ("authorization", bearer.as_str()),
        ("content-type", "application/json"),
        ("papayatray-attempt", attempt.as_str()),
    ];
    let begin = Instant::now();
    let mut caller = Caller::connect(address)
        .await
        .map_err(|error| error.to_string())?;
    let body = body.to_string().into_bytes();
    let path = "/v1/chat/completions";
    let opened = caller.open(Method::Post, path, &headers, body).await;
    let mut response = opened.map_err(|error| error.to_string())?;
    if response.status() != 200 {
        return Err(response.body_string().await.unwrap_or_default());
    }
    let mut times = Times::default();
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
        let took = now.duration_since(last).as_secs_f64() * 1_000.0;
        if times.tokens == 0 {
            times.first = took;
        } else {
            times.gaps.push(took);
        }
        times.tokens += events;
        last = now;
        is_done = buffer[..count].windows(6).any(|part| part == b"[DONE]");
    }
    if is_done {
        Ok(times)
    } else {
        Err("the stream broke off".to_owned())
    }
}
