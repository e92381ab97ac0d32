//! Runs a small site on loopback and sends it requests.
//!
//! The site has nine VMs in three data centres, each a separate process; three of them are control
//! replicas. Its endpoints are engines that serve two versions, and one service without models. The
//! example shows a streamed chat, a session across entries, the withdrawal of a version, a call that
//! runs once although it is sent repeatedly, and the bills. The exit code is 0 if all checks hold.

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
use papayatray_standin::CallResponse;
use papayatray_standin::EndpointInfo;
use papayatray_standin::Engine;
use papayatray_standin::EngineOptions;
use papayatray_standin::OPERATOR_KEY;
use papayatray_standin::PLATFORM_KEY;
use papayatray_standin::PlainService;
use papayatray_standin::Program;
use papayatray_standin::Site;
use papayatray_standin::call;
use papayatray_wire::peer::BillsReply;
use papayatrayd::daemon;
use papayatrayd::settings::Settings;
use smol::Timer;

/// Argument that makes the example run a single daemon instead of the site.
const DAEMON_ARGUMENT: &str = "daemon";
/// Number of VMs of the site.
const VM_COUNT: usize = 9;
/// Data centres of the site.
const DATA_CENTRES: [&str; 3] = ["palermo-a", "catania-b", "messina-c"];
/// Time within which the site must be ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which a change must be in force.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of chats sent at the end, spread over all entries.
const CHAT_COUNT: usize = 90;

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
        Some(DAEMON_ARGUMENT) => run_daemon(&arguments[2]),
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

/// Site with its endpoints and an operator's client.
struct Deployment {
    site: Site,
    client: Client,
    service: PlainService,
    // The engines and announcers run until they are dropped.
    _engines: Vec<Engine>,
    _announcers: Vec<Announcer>,
}

async fn run_site() -> Outcome<()> {
    let begin = Instant::now();
    let deployment = start_deployment().await?;
    println!(
        "site        {VM_COUNT} VMs ready after {} ms",
        begin.elapsed().as_millis()
    );
    let keys = configure(&deployment).await?;
    let key = &keys["catania-shipping"];
    show_entries(&deployment).await?;
    println!(
        "first       answered {} ms after the start",
        first_response(&deployment, key, begin).await?
    );
    show_stream(&deployment, key).await?;
    let session = show_session(&deployment, key).await?;
    show_once(&deployment, key).await?;
    show_withdrawal(&deployment, key, &session).await?;
    let chats = send_chats(&deployment, &keys).await?;
    show_bills(&deployment, chats).await?;
    println!("done        after {} ms", begin.elapsed().as_millis());
    Ok(())
}

async fn start_deployment() -> Outcome<Deployment> {
    let program = Program {
        path: env::current_exe()?,
        arguments: vec![DAEMON_ARGUMENT.to_owned()],
    };
    let mut site = Site::new(program, "site", VM_COUNT, &DATA_CENTRES, "")?;
    site.start_all()?;
    let entries = site.caller_addresses();
    let mut engines = Vec::new();
    let mut announcers = Vec::new();
    // Four engines serve the small version, two the large one.
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
        let info = EndpointInfo {
            id: format!("engine-{number}"),
            address: engine.address(),
            data_centre: DATA_CENTRES[number % 3].to_owned(),
            versions: vec![name.to_owned()],
            service: None,
            slots: 8,
        };
        announcers.push(Announcer::start(info, entries.clone(), PLATFORM_KEY));
        engines.push(engine);
    }
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let service = PlainService::start(any_port, Duration::from_millis(2)).await?;
    let info = EndpointInfo {
        id: "wiki-1".to_owned(),
        address: service.address(),
        data_centre: DATA_CENTRES[0].to_owned(),
        versions: Vec::new(),
        service: Some("wiki-app".to_owned()),
        slots: 16,
    };
    announcers.push(Announcer::start(info, entries.clone(), PLATFORM_KEY));
    let all_vms: Vec<usize> = (0..VM_COUNT).collect();
    site.wait_ready(&all_vms, START_TIMEOUT).await?;
    let client = Client::new(entries[4], OPERATOR_KEY);
    Ok(Deployment {
        site,
        client,
        service,
        _engines: engines,
        _announcers: announcers,
    })
}

/// Applies the plan and creates a key for each organisation; returns the keys by organisation.
async fn configure(deployment: &Deployment) -> Outcome<BTreeMap<String, String>> {
    let catalogue = deployment.client.catalogue().await?;
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
    let revision = deployment
        .client
        .change(catalogue.revision, "first configuration", edits)
        .await?;
    let took = deployment
        .client
        .wait_in_force(revision, CHANGE_TIMEOUT, |_| ())
        .await?;
    println!(
        "configured  revision {revision} in force everywhere after {} ms",
        took.as_millis()
    );
    Ok(keys)
}

async fn show_entries(deployment: &Deployment) -> Outcome<()> {
    let path = "/v1/entries?data_centre=catania-b";
    let response = call(
        deployment.site.vms()[0].caller_address,
        Method::Get,
        path,
        &[],
        Vec::new(),
    )
    .await?;
    let body = response.json();
    let first = &body["entries"][0];
    let count = body["entries"].as_array().map_or(0, Vec::len);
    println!(
        "entries     {count}, first {} for {} ms",
        first["data_centre"], body["hold_ms"]
    );
    check(
        first["data_centre"] == "catania-b",
        "the caller's own data centre comes first",
    )
}

/// Sends a chat until one succeeds, as the endpoints may not have announced themselves yet.
///
/// Returns the milliseconds since `begin`.
async fn first_response(deployment: &Deployment, key: &str, begin: Instant) -> Outcome<u128> {
    loop {
        let response = chat(deployment, 0, key, "hello tokens=3", &[], false).await?;
        if response.status == 200 {
            return Ok(begin.elapsed().as_millis());
        }
        check(
            begin.elapsed() < START_TIMEOUT,
            "a chat succeeds within the start time-out",
        )?;
        Timer::after(Duration::from_millis(20)).await;
    }
}

/// Sends a chat for the model `auto` to the VM with the index `entry`.
///
/// `tokens=N` in the prompt sets the number of tokens in the response, each of which is the first
/// word of the prompt with a number. With `stream`, the response is streamed.
async fn chat(
    deployment: &Deployment,
    entry: usize,
    key: &str,
    prompt: &str,
    headers: &[(&str, &str)],
    stream: bool,
) -> Outcome<CallResponse> {
    let body = serde_json::json!({
        "model": "auto",
        "messages": [{"role": "user", "content": prompt}],
        "stream": stream,
    });
    let bearer = format!("Bearer {key}");
    let mut all_headers = vec![
        ("authorization", bearer.as_str()),
        ("content-type", "application/json"),
    ];
    all_headers.extend_from_slice(headers);
    let address = deployment.site.vms()[entry].caller_address;
    let body = body.to_string().into_bytes();
    Ok(call(
        address,
        Method::Post,
        "/v1/chat/completions",
        &all_headers,
        body,
    )
    .await?)
}

async fn show_stream(deployment: &Deployment, key: &str) -> Outcome<()> {
    let response = chat(deployment, 3, key, "stream tokens=6", &[], true).await?;
    println!(
        "stream      {:?} by {:?}",
        response.text(),
        response.header("papayatray-version")
    );
    check(response.is_done(), "the stream is complete")?;
    check(
        response.text() == "stream:0 stream:1 stream:2 stream:3 stream:4 stream:5 ",
        "the text of the stream is correct",
    )
}

/// Starts a session and continues it at other entries; returns its token.
async fn show_session(deployment: &Deployment, key: &str) -> Outcome<String> {
    let response = chat(deployment, 1, key, "begin", &[], false).await?;
    let session_token = response
        .header("papayatray-session")
        .unwrap_or_default()
        .to_owned();
    let version = response
        .header("papayatray-version")
        .unwrap_or_default()
        .to_owned();
    for entry in [2, 5, 8] {
        let headers = [("papayatray-session", session_token.as_str())];
        let next = chat(deployment, entry, key, "go on", &headers, false).await?;
        check(
            next.header("papayatray-version") == Some(&version),
            "a session keeps its version",
        )?;
    }
    println!("session     kept {version} at four entries");
    Ok(session_token)
}

/// Sends the same request to every entry, which must run it only once.
async fn show_once(deployment: &Deployment, key: &str) -> Outcome<()> {
    let bearer = format!("Bearer {key}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", "save-1"),
    ];
    for vm in deployment.site.vms() {
        let path = "/v1/services/wiki-app/pages/7";
        let response = call(
            vm.caller_address,
            Method::Post,
            path,
            &headers,
            b"text".to_vec(),
        )
        .await?;
        check(response.status == 200, "a resend gets the first response")?;
    }
    let runs = deployment.service.runs();
    println!(
        "once        sent {VM_COUNT} times, run {} time",
        runs["save-1"]
    );
    check(runs["save-1"] == 1, "a page save runs once")
}

/// Withdraws the version of a session; once that is in force, no entry serves the version.
async fn show_withdrawal(deployment: &Deployment, key: &str, session: &str) -> Outcome<()> {
    let catalogue = deployment.client.catalogue().await?;
    let edits = vec![Edit::Withdraw {
        version: "assistant-small@1".parse()?,
    }];
    let revision = deployment
        .client
        .change(catalogue.revision, "writes nonsense", edits)
        .await?;
    let took = deployment
        .client
        .wait_in_force(revision, CHANGE_TIMEOUT, |_| ())
        .await?;
    println!(
        "withdrawal  revision {revision} in force everywhere after {} ms",
        took.as_millis()
    );
    for entry in 0..VM_COUNT {
        let headers = [("papayatray-session", session)];
        let rejection = chat(deployment, entry, key, "go on", &headers, false).await?;
        check(
            rejection.code().as_deref() == Some("version_withdrawn"),
            "a session on a withdrawn version is rejected as such",
        )?;
        let other = chat(deployment, entry, key, "anew", &[], false).await?;
        let version = other.header("papayatray-version");
        check(
            version == Some("assistant-large@1"),
            "new work goes to another version",
        )?;
    }
    Ok(())
}

/// Sends chats to all entries; returns how many were served.
async fn send_chats(deployment: &Deployment, keys: &BTreeMap<String, String>) -> Outcome<u64> {
    let mut served = 0;
    // Every second chat is streamed.
    for number in 0..CHAT_COUNT {
        let prompt = format!("chat{number} tokens=5");
        let key = &keys["catania-shipping"];
        let response = chat(
            deployment,
            number % VM_COUNT,
            key,
            &prompt,
            &[],
            number % 2 == 0,
        )
        .await?;
        let words: Vec<String> = (0..5).map(|n| format!("chat{number}:{n} ")).collect();
        let expected = words.concat();
        check(
            response.text() == expected,
            "each caller gets the response to its own request",
        )?;
        served += 1;
    }
    // The only version that this organisation has a grant for is withdrawn.
    let rejection = chat(deployment, 0, &keys["try-it"], "small only", &[], false).await?;
    check(
        rejection.status == 503,
        "a trial organisation gets no version that it has no grant for",
    )?;
    println!("chats       {served} served, each with its own text");
    Ok(served)
}

/// Shows the totals; checks them against the single bills and the number of `chats` served.
async fn show_bills(deployment: &Deployment, chats: u64) -> Outcome<()> {
    let bills: BillsReply = deployment.client.get("bills?lines=1").await?;
    for (account, total) in &bills.totals {
        println!(
            "bill        {} {} {} requests {} tokens cost {}",
            account.organisation, account.subject, total.requests, total.tokens_out, total.cost
        );
    }
    let sum: u64 = bills.totals.iter().map(|(_, total)| total.requests).sum();
    check(
        sum == bills.lines.len() as u64,
        "the totals agree with the single bills",
    )?;
    check(sum >= chats, "every response is billed")
}

fn check(condition: bool, expectation: &str) -> Outcome<()> {
    if condition {
        Ok(())
    } else {
        Err(format!("check failed: {expectation}").into())
    }
}
