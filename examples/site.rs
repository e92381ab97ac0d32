//! Runs a small site on loopback and sends it real traffic.
//!
//! Nine VMs in three data centres, three of them control replicas, each a process of its own;
//! engines of two grades and one plain service stand behind them. The example shows a streamed
//! answer, a session that is kept, a withdrawal that takes force, a call that runs once however
//! often it is sent, and the bills. It ends with exit code 0.

use std::collections::BTreeMap;
use std::env;
use std::error::Error;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use http_types::Method;
use papayatray::client::Client;
use papayatray::command::new_key;
use papayatray::plan::Plan;
use papayatray_core::catalogue::Edit;
use papayatray_standin::Announcer;
use papayatray_standin::Answer;
use papayatray_standin::Engine;
use papayatray_standin::EngineOptions;
use papayatray_standin::Facts;
use papayatray_standin::OPERATOR_KEY;
use papayatray_standin::PLATFORM_KEY;
use papayatray_standin::PlainService;
use papayatray_standin::Program;
use papayatray_standin::Site;
use papayatray_standin::call;
use papayatray_wire::peer::Bills;
use papayatrayd::daemon;
use papayatrayd::settings::Settings;
use smol::Timer;

/// Argument with which the example runs one daemon instead of the site.
const DAEMON: &str = "daemon";
/// VMs of the site.
const VMS: usize = 9;
/// Data centres of the site.
const DATA_CENTRES: [&str; 3] = ["palermo-a", "catania-b", "messina-c"];
/// Longest wait for the site to come up.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Longest wait for a change to be in force.
const CHANGE_LIMIT: Duration = Duration::from_secs(10);
/// Chats that are sent to all entries at the end.
const CHATS: usize = 90;

/// Configuration of the site.
const PLAN: &str = r#"
[versions."assistant-small@1"]
price_in = 50
price_out = 200
prior = 780
stage = "offered"

[versions."assistant-large@1"]
price_in = 400
price_out = 1600
prior = 950
stage = "offered"

[services.wiki-app]
repeatable = ["PUT"]
price = 5

[defaults.paying]
quality = 700
in_flight = 200
grants = ["assistant-small", "assistant-large"]

[defaults.trial]
quality = 500
in_flight = 20
grants = ["assistant-small"]

[organisations.catania-shipping]
class = "paying"

[organisations.try-it]
class = "trial"

[[exceptions]]
organisation = "catania-shipping"
quality = 720
reason = "handbooks are quoted to crews, contract of November"
"#;

type Outcome<T> = Result<T, Box<dyn Error>>;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let outcome = match arguments.get(1).map(String::as_str) {
        Some(DAEMON) => run_daemon(&arguments[2]),
        _ => smol::block_on(run_site()),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("site: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_daemon(file: &str) -> Outcome<()> {
    let settings = Settings::load(Path::new(file))?;
    Ok(daemon::run(settings)?)
}

/// Site with what stands behind it.
struct Stage {
    site: Site,
    client: Client,
    service: PlainService,
    _engines: Vec<Engine>,
    _announcers: Vec<Announcer>,
}

async fn run_site() -> Outcome<()> {
    let begin = Instant::now();
    let stage = set_up().await?;
    println!(
        "site        {VMS} VMs ready after {} ms",
        begin.elapsed().as_millis()
    );
    let keys = configure(&stage).await?;
    let key = &keys["catania-shipping"];
    show_entries(&stage).await?;
    println!(
        "first       answered {} ms after the start",
        first(&stage, key, begin).await?
    );
    show_stream(&stage, key).await?;
    let session = show_session(&stage, key).await?;
    show_once(&stage, key).await?;
    show_withdrawal(&stage, key, &session).await?;
    let chats = send_chats(&stage, &keys).await?;
    show_bills(&stage, chats).await?;
    println!("done        after {} ms", begin.elapsed().as_millis());
    Ok(())
}

async fn set_up() -> Outcome<Stage> {
    let program = Program {
        path: env::current_exe()?,
        arguments: vec![DAEMON.to_owned()],
    };
    let mut site = Site::new(program, "site", VMS, &DATA_CENTRES, "")?;
    site.start_all()?;
    let entries = site.callers();
    let mut engines = Vec::new();
    let mut announcers = Vec::new();
    for number in 0..6 {
        let name = if number < 4 {
            "assistant-small@1"
        } else {
            "assistant-large@1"
        };
        let options = EngineOptions {
            versions: [name.to_owned()].into(),
            ..EngineOptions::default()
        };
        let engine = Engine::start(options).await?;
        let facts = Facts {
            id: format!("engine-{number}"),
            address: engine.address(),
            data_centre: DATA_CENTRES[number % 3].to_owned(),
            versions: vec![name.to_owned()],
            service: None,
            slots: 8,
        };
        announcers.push(Announcer::start(facts, entries.clone(), PLATFORM_KEY));
        engines.push(engine);
    }
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let service = PlainService::start(any, Duration::from_millis(2)).await?;
    let facts = Facts {
        id: "wiki-1".to_owned(),
        address: service.address(),
        data_centre: DATA_CENTRES[0].to_owned(),
        versions: Vec::new(),
        service: Some("wiki-app".to_owned()),
        slots: 16,
    };
    announcers.push(Announcer::start(facts, entries.clone(), PLATFORM_KEY));
    let all: Vec<usize> = (0..VMS).collect();
    site.wait_ready(&all, START_LIMIT).await?;
    let client = Client::new(entries[4], OPERATOR_KEY);
    Ok(Stage {
        site,
        client,
        service,
        _engines: engines,
        _announcers: announcers,
    })
}

/// Applies the plan and makes a key for each organisation.
async fn configure(stage: &Stage) -> Outcome<BTreeMap<String, String>> {
    let catalogue = stage.client.catalogue().await?;
    let mut edits = Plan::parse(PLAN)?.edits(&catalogue)?;
    let mut keys = BTreeMap::new();
    for name in ["catania-shipping", "try-it"] {
        let (key, hash) = new_key();
        let organisation = name.parse()?;
        edits.push(Edit::AddKey {
            organisation,
            label: "first".to_owned(),
            hash,
        });
        keys.insert(name.to_owned(), key);
    }
    let revision = stage
        .client
        .change(catalogue.revision, "first configuration", edits)
        .await?;
    let took = stage
        .client
        .wait_in_force(revision, CHANGE_LIMIT, |_| ())
        .await?;
    println!(
        "configured  revision {revision} in force everywhere after {} ms",
        took.as_millis()
    );
    Ok(keys)
}

async fn show_entries(stage: &Stage) -> Outcome<()> {
    let path = "/v1/entries?data_centre=catania-b";
    let answer = call(
        stage.site.vms()[0].caller,
        Method::Get,
        path,
        &[],
        Vec::new(),
    )
    .await?;
    let reply = answer.json();
    let first = &reply["entries"][0];
    let count = reply["entries"].as_array().map_or(0, Vec::len);
    println!(
        "entries     {count}, first {} for {} ms",
        first["data_centre"], reply["hold_ms"]
    );
    check(
        first["data_centre"] == "catania-b",
        "the caller's own data centre comes first",
    )
}

/// Sends a chat until it is answered; endpoints may still be announcing themselves.
async fn first(stage: &Stage, key: &str, begin: Instant) -> Outcome<u128> {
    loop {
        let answer = chat(stage, 0, key, "hello tokens=3", &[], false).await?;
        if answer.status == 200 {
            return Ok(begin.elapsed().as_millis());
        }
        check(begin.elapsed() < START_LIMIT, "a first answer in time")?;
        Timer::after(Duration::from_millis(20)).await;
    }
}

async fn chat(
    stage: &Stage,
    entry: usize,
    key: &str,
    prompt: &str,
    headers: &[(&str, &str)],
    stream: bool,
) -> Outcome<Answer> {
    let body = serde_json::json!({
        "model": "auto",
        "messages": [{"role": "user", "content": prompt}],
        "stream": stream,
    });
    let bearer = format!("Bearer {key}");
    let mut all = vec![
        ("authorization", bearer.as_str()),
        ("content-type", "application/json"),
    ];
    all.extend_from_slice(headers);
    let address = stage.site.vms()[entry].caller;
    let body = body.to_string().into_bytes();
    Ok(call(address, Method::Post, "/v1/chat/completions", &all, body).await?)
}

async fn show_stream(stage: &Stage, key: &str) -> Outcome<()> {
    let answer = chat(stage, 3, key, "stream tokens=6", &[], true).await?;
    println!(
        "stream      {:?} by {:?}",
        answer.text(),
        answer.header("papayatray-version")
    );
    check(answer.is_done(), "the stream comes to its end")?;
    check(
        answer.text() == "stream:0 stream:1 stream:2 stream:3 stream:4 stream:5 ",
        "its text",
    )
}

/// Begins a session and carries it on at other entries.
async fn show_session(stage: &Stage, key: &str) -> Outcome<String> {
    let answer = chat(stage, 1, key, "begin", &[], false).await?;
    let handle = answer
        .header("papayatray-session")
        .unwrap_or_default()
        .to_owned();
    let version = answer
        .header("papayatray-version")
        .unwrap_or_default()
        .to_owned();
    for entry in [2, 5, 8] {
        let headers = [("papayatray-session", handle.as_str())];
        let next = chat(stage, entry, key, "go on", &headers, false).await?;
        check(
            next.header("papayatray-version") == Some(&version),
            "a session keeps its version",
        )?;
    }
    println!("session     kept {version} at four entries");
    Ok(handle)
}

/// Saves a page and sends the same request again at every entry.
async fn show_once(stage: &Stage, key: &str) -> Outcome<()> {
    let bearer = format!("Bearer {key}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", "save-1"),
    ];
    for vm in stage.site.vms() {
        let path = "/v1/services/wiki-app/pages/7";
        let answer = call(vm.caller, Method::Post, path, &headers, b"text".to_vec()).await?;
        check(answer.status == 200, "a resend gets the first answer")?;
    }
    let runs = stage.service.runs();
    println!("once        sent {VMS} times, run {} time", runs["save-1"]);
    check(runs["save-1"] == 1, "a page save runs once")
}

/// Withdraws the version of a session; from the moment it is in force, nobody gets it.
async fn show_withdrawal(stage: &Stage, key: &str, session: &str) -> Outcome<()> {
    let catalogue = stage.client.catalogue().await?;
    let edits = vec![Edit::Withdraw {
        version: "assistant-small@1".parse()?,
    }];
    let revision = stage
        .client
        .change(catalogue.revision, "writes nonsense", edits)
        .await?;
    let took = stage
        .client
        .wait_in_force(revision, CHANGE_LIMIT, |_| ())
        .await?;
    println!(
        "withdrawal  revision {revision} in force everywhere after {} ms",
        took.as_millis()
    );
    for entry in 0..VMS {
        let headers = [("papayatray-session", session)];
        let refused = chat(stage, entry, key, "go on", &headers, false).await?;
        check(
            refused.code().as_deref() == Some("version_withdrawn"),
            "a true refusal",
        )?;
        let other = chat(stage, entry, key, "anew", &[], false).await?;
        let version = other.header("papayatray-version");
        check(
            version == Some("assistant-large@1"),
            "new work goes to another version",
        )?;
    }
    Ok(())
}

/// Sends chats to all entries; returns how many were answered.
async fn send_chats(stage: &Stage, keys: &BTreeMap<String, String>) -> Outcome<u64> {
    let mut answered = 0;
    for number in 0..CHATS {
        let prompt = format!("chat{number} tokens=5");
        let key = &keys["catania-shipping"];
        let answer = chat(stage, number % VMS, key, &prompt, &[], number % 2 == 0).await?;
        let words: Vec<String> = (0..5).map(|n| format!("chat{number}:{n} ")).collect();
        let wanted = words.concat();
        check(answer.text() == wanted, "each caller gets its own answer")?;
        answered += 1;
    }
    let refused = chat(stage, 0, &keys["try-it"], "small only", &[], false).await?;
    check(
        refused.status == 503,
        "a trial gets nothing beyond what it may use",
    )?;
    println!("chats       {answered} answered, each with its own text");
    Ok(answered)
}

async fn show_bills(stage: &Stage, chats: u64) -> Outcome<()> {
    let bills: Bills = stage.client.get("bills?lines=1").await?;
    for (account, total) in &bills.totals {
        println!(
            "bill        {} {} {} requests {} tokens cost {}",
            account.organisation, account.subject, total.requests, total.tokens_out, total.cost
        );
    }
    let sum: u64 = bills.totals.iter().map(|(_, total)| total.requests).sum();
    check(
        sum == bills.lines.len() as u64,
        "sums and single bills agree",
    )?;
    check(sum >= chats, "every answer is billed")
}

fn check(holds: bool, claim: &str) -> Outcome<()> {
    if holds {
        Ok(())
    } else {
        Err(format!("does not hold: {claim}").into())
    }
}
