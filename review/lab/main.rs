//! Cases of the review that are shown with real processes on loopback.
//!
//! `lab CASE RECORD`: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
//! With `TROUBLE=0` the disruption is left out.

mod extra_answers;
mod first_start;
mod foreign_reports;
mod http;
mod poison_after_restart;
mod poison_copies;
mod poison_part;
mod poison_stream;
mod site;
mod worker;

use std::sync::Arc;
use std::time::Duration;

use crate::site::Record;
use crate::site::Site;
use crate::worker::Behaviour;
use crate::worker::Worker;

/// Result of a case.
pub struct Verdict {
    pub is_broken: bool,
    pub text: String,
}

pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Config with one service behind the routes given as JSON.
pub fn config(routes: &str, service: &str) -> String {
    format!(
        r#"{{"Version":7,"Routes":[{routes}],"Services":[{{"Name":"{service}","HealthPath":"/healthz","MaxConns":360,"Protocol":"h1","Tls":false}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{{"Name":"{}","ApiKeys":["{}"],"Priority":1}}]}}"#,
        site::TENANT,
        site::KEY
    )
}

pub fn route(name: &str, kind: &str, service: &str, attempts: u32, more: &str) -> String {
    format!(
        r#"{{"Name":"r-{name}","Hostname":"{}","PathPrefix":"/{name}/","RouteKind":"{kind}","TimeoutMs":12000,"TargetLatencyMs":3000,"Priority":1,"Service":"{service}","MaxAttempts":{attempts},"Public":false{more}}}"#,
        site::HOST
    )
}

/// Starts workers that announce themselves.
///
/// `extra`: how many of them are faulty, and the thousandths of their answers that come with an extra one.
pub fn start_workers(
    site: &Site,
    count: usize,
    service: &str,
    behaviour: &Behaviour,
    extra: (usize, u64),
) -> Vec<Arc<Worker>> {
    let workers = (0..count).map(|number| {
        let mut worker = Worker::new(
            number,
            site.worker(number),
            service,
            site.controls(),
            Arc::clone(behaviour),
            site.record.clone(),
        );
        worker.extra_permille = if number < extra.0 { extra.1 } else { 0 };
        worker.start()
    });
    workers.collect()
}

/// Sends one consumer attempt on a new channel and records the answer.
pub fn send(
    site: &Record,
    entry: std::net::SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    more: &[(&str, &str)],
    body: &[u8],
) -> Option<u16> {
    let bearer = format!("Bearer {}", site::KEY);
    let mut headers = vec![
        ("Host", site::HOST),
        ("X-Request-Id", id),
        ("X-Deadline-Ms", "10000"),
        ("Authorization", &bearer),
        ("Connection", "close"),
    ];
    headers.extend_from_slice(more);
    site.line(&format!("consumer sends {id} {method} {path} to {entry}"));
    let answer = http::call(entry, method, path, &headers, body, Duration::from_secs(11));
    match answer {
        Ok(answer) => {
            let text = answer.text();
            let text = if answer.status() >= 400 {
                text
            } else {
                String::new()
            };
            site.line(&format!("consumer gets {id} {} {text}", answer.status()));
            Some(answer.status())
        }
        Err(error) => {
            site.line(&format!("consumer gets {id} no answer: {error}"));
            None
        }
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        site::cannot_run("usage: lab CASE RECORD");
    };
    let record = Record::new(path);
    record.line(&format!("case {case}, trouble: {}", has_trouble()));
    let mut site = Site::new(record.clone());
    let verdict = match case.as_str() {
        "poison_copies" => poison_copies::run(&mut site),
        "poison_part" => poison_part::run(&mut site),
        "poison_stream" => poison_stream::run(&mut site),
        "poison_after_restart" => poison_after_restart::run(&mut site),
        "extra_answers" => extra_answers::run(&mut site),
        "first_start" => first_start::run(&mut site),
        "foreign_reports" => foreign_reports::run(&mut site),
        _ => site::cannot_run("unknown case"),
    };
    let ended = site.ended();
    drop(site);
    site::end_processes();
    if !ended.is_empty() {
        record.line(&format!("processes ended by themselves: {ended:?}"));
    }
    record.line(&format!(
        "{}: {}",
        if verdict.is_broken { "BROKEN" } else { "HELD" },
        verdict.text
    ));
    println!(
        "{}: {}",
        if verdict.is_broken { "broken" } else { "held" },
        verdict.text
    );
    std::process::exit(i32::from(verdict.is_broken));
}
