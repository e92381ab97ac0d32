//! Cases of the review: each starts a small deployment on loopback addresses and checks one rule.
//!
//! Usage: `standin CASE ROOT`, with the root of the repository. The exit status is 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the environment the
//! disruption is left out.

use std::process::exit;
use std::thread;
use std::time::Duration;

mod added_core;
mod client;
mod endless_body;
mod first_start;
mod http;
mod silent_worker;
mod site;
mod slow_reader;
mod worker;

/// Time after which a case is given up.
const LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let root = arguments.next().unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let mut site = match site::Site::new(&root) {
        Ok(site) => site,
        Err(error) => {
            eprintln!("cannot create the deployment: {error}");
            exit(2);
        }
    };
    let stop = site.stopper();
    thread::spawn(move || {
        thread::sleep(LIMIT);
        eprintln!("the time limit has passed");
        stop();
        exit(2);
    });
    let result = match case.as_str() {
        "endless-body" => endless_body::run(&mut site, trouble),
        "slow-reader" => slow_reader::run(&mut site, trouble),
        "silent-worker" => silent_worker::run(&mut site, trouble),
        "first-start" => first_start::run(&mut site, trouble),
        "added-core" => added_core::run(&mut site, trouble),
        _ => Err(format!("unknown case {case:?}")),
    };
    let status = match &result {
        Ok(None) => 0,
        Ok(Some(_)) => 1,
        Err(_) => 2,
    };
    let text = match result {
        Ok(None) => "held".to_owned(),
        Ok(Some(broken)) => format!("broken: {broken}"),
        Err(error) => format!("could not run: {error}"),
    };
    site.record.add(&format!("result: {text}"));
    println!("{text}");
    drop(site);
    exit(status);
}
