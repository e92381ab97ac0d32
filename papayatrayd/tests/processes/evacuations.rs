//! Format level and evacuations in a deployment of real processes.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use jsonrpsee_core::server::RpcModule;
use papayatray_core::clock::Millis;
use papayatray_core::format::FormatLevel;
use papayatray_wire::link::ClusterKey;
use papayatray_wire::peer::CallError;
use papayatray_wire::peer::Method;
use papayatrayd::peer::Peers;
use papayatrayd::peer::ServerContext;
use papayatrayd::peer::serve;
use papayatrayd::tasks::Tasks;
use smol::channel;
use smol::future::FutureExt;
use smol::net::TcpListener;

use crate::faults::leader;
use crate::site::SECRET;
use crate::site::Site;
use crate::site::call;
use crate::site::start_endpoint;

/// Bound on the time from the acknowledgement of an order until no request reaches an evacuated endpoint.
const EVACUATE_TIME: Duration = Duration::from_secs(5);
/// Part of a stream from the endpoint in `there`, which sends two events; that in `here` sends one.
const FROM_THERE: &str = "id: 2";

/// Returns a site with an endpoint in each of two data centres, at which both entries serve.
fn site_with_two_data_centres(name: &str) -> Site {
    let site = Site::start(name);
    site.publish(1, "/a/");
    site.announce_in("here", "e-1", start_endpoint(1, Duration::ZERO));
    site.announce_in("there", "e-2", start_endpoint(2, Duration::ZERO));
    for entry in 0..2 {
        site.wait_status(entry, "/a/x", 200);
    }
    site
}

/// Returns whether ten requests to each entry are answered from `there`.
fn is_evacuated(site: &Site) -> bool {
    (0..20).all(|number| {
        let (status, body) = call(site.caller_addresses[number % 2], "GET", "/a/x", "");
        status == 200 && body.contains(FROM_THERE)
    })
}

fn begin_evacuation(site: &Site) {
    site.call_operator("PUT", "/v1/evacuations/here", "");
    thread::sleep(EVACUATE_TIME);
    assert!(is_evacuated(site));
}

/// Returns the names of the evacuated data centres.
fn evacuations(site: &Site) -> Vec<String> {
    let text = site.call_operator("GET", "/v1/evacuations", "");
    let reply: serde_json::Value = serde_json::from_str(&text).unwrap();
    let names = reply["evacuations"].as_array().unwrap().iter();
    names
        .map(|evacuation| evacuation["data_centre"].as_str().unwrap().to_owned())
        .collect()
}

#[test]
fn fresh_deployment_reaches_the_highest_level_and_names_all_processes() {
    let site = Site::start("level");
    site.wait("the level is raised", |site| {
        let (_, text) = call(site.operator_addresses[0], "GET", "/v1/levels", "");
        text.contains(&format!("\"in_force\":{}", FormatLevel::HIGHEST))
    });
    site.wait("all processes are listed", |site| {
        let (_, text) = call(site.operator_addresses[0], "GET", "/v1/levels", "");
        let stated = format!("\"reads\":{}", FormatLevel::HIGHEST);
        text.matches(&stated).count() == 5
    });
}

#[test]
fn evacuation_is_applied_by_all_entries_and_revoked() {
    let site = site_with_two_data_centres("evacuation");
    begin_evacuation(&site);
    site.call_operator("PUT", "/v1/evacuations/here", "");
    assert_eq!(evacuations(&site), ["here"]);
    site.call_operator("DELETE", "/v1/evacuations/here", "");
    site.call_operator("DELETE", "/v1/evacuations/here", "");
    assert!(evacuations(&site).is_empty());
    site.wait("endpoints get requests again", |site| !is_evacuated(site));
}

#[test]
fn unknown_data_centre_is_rejected() {
    let site = site_with_two_data_centres("unknown-centre");
    // Announcements go to one replica each; entries tell the others of the data centres within a second.
    let path = "/v1/evacuations/nowhere";
    for address in &site.operator_addresses {
        site.wait("an unknown name is rejected", |_| {
            call(*address, "PUT", path, "").0 == 404
        });
    }
    for address in &site.operator_addresses {
        // The level rises a second after the first leader was elected.
        site.wait("a name that an endpoint announced is accepted", |_| {
            call(*address, "PUT", "/v1/evacuations/there", "").0 == 200
        });
    }
}

/// Guards against a replica that cuts off records of a later build, or that ends without a log line that names
/// the level.
#[test]
fn replica_with_a_record_of_a_later_build_ends_and_keeps_its_folder() {
    let mut site = Site::start("later-record");
    site.call_operator("GET", "/v1/levels", "");
    site.kill("control-0");
    let log = site.data_folder(0).join("log");
    let files = std::fs::read_dir(log).unwrap();
    let names = files.map(|file| file.unwrap().path());
    let segment = names
        .filter(|path| path.to_string_lossy().contains("log-"))
        .max()
        .unwrap();
    let mut bytes = std::fs::read(&segment).unwrap();
    // A frame whose content, with its right CRC-32, begins with an entry record and an unknown variant.
    bytes.extend(b"PTRF\x02\0\0\0\x13\x4f\x78\x98\x01\x7f");
    std::fs::write(&segment, &bytes).unwrap();
    site.spawn("control-0");
    site.wait("the folder is reported", |site| {
        let log = site.log("control-0");
        let lacks = format!("lacks_level={}", FormatLevel::HIGHEST.next());
        log.contains("event=folder_undecodable") && log.contains(&lacks)
    });
    assert_eq!(std::fs::read(&segment).unwrap(), bytes);
    // The other two go on.
    site.publish(1, "/a/");
}

/// Answers calls at a replica's peer address like a build that does not know format levels: it lacks the
/// method. Runs until the test closes `stop`.
fn answer_as_old_replica(address: SocketAddr, stop: &channel::Receiver<()>) {
    let tasks = Tasks::without_threads();
    let context = ServerContext {
        tasks: tasks.clone(),
        key: ClusterKey::new(SECRET),
        module: RpcModule::new(()),
        control: None,
    };
    tasks.run(async {
        let listener = TcpListener::bind(address).await.unwrap();
        let stopped = async {
            let _closed = stop.recv().await;
        };
        stopped.or(serve(listener, context)).await;
    });
}

/// Syncs with the control replicas like an entry of a build that states no format level, until the test
/// closes `stop`.
fn sync_as_old_entry(controls: &[SocketAddr], stop: &channel::Receiver<()>) {
    let tasks = Tasks::new(1).unwrap();
    let peers = Peers::new(tasks, ClusterKey::new(SECRET));
    let request = serde_json::json!({
        "info": {
            "vm": "old-entry", "incarnation": 1, "data_centre": "here", "caller_address": "127.0.0.1:1",
            "peer_address": "", "draining": true,
        },
        "seen": {
            "plan": 0, "news": {"incarnation": 0, "number": 0}, "entries": 0, "rollouts": 0, "warm": 0,
        },
        "wait": 0, "expects_leader": false, "wants_plan": false, "tallies": [], "loads": null,
        "crashes": {"upto": 0, "notes": []}, "warm": {"upto": 0, "notes": []},
    });
    while !stop.is_closed() {
        for address in controls {
            let address = address.to_string();
            let call = peers.call::<_, serde_json::Value>(
                &address,
                Method::Sync,
                &request,
                Millis::new(500),
            );
            // A replica that does not run yet cannot be reached.
            let reply = smol::block_on(call);
            assert!(
                !matches!(reply, Err(CallError::Refused { .. })),
                "{reply:?}"
            );
        }
        thread::sleep(Duration::from_millis(100));
    }
}

/// Returns the level in force, as the first replica that reaches the leader tells it.
fn level(site: &Site) -> u64 {
    let text = site.call_operator("GET", "/v1/levels", "");
    let reply: serde_json::Value = serde_json::from_str(&text).unwrap();
    reply["in_force"].as_u64().unwrap()
}

/// Asserts that the level stays at 0 for longer than it takes to rise, and that orders are refused so long.
fn assert_stays_at_level_0(site: &Site) {
    thread::sleep(Duration::from_secs(4));
    assert_eq!(level(site), 0);
    let address = site.operator_addresses[leader(site)];
    let (status, text) = call(address, "PUT", "/v1/evacuations/here", "");
    assert_eq!(status, 503, "{text}");
    assert!(text.contains("format level 1"), "{text}");
}

/// Guards against log entries of level 1 that an old replica would skip, and against orders that an old
/// entry would ignore.
#[test]
fn level_stays_at_0_while_an_old_entry_or_an_old_replica_takes_part() {
    let mut site = Site::start("old-level");
    let controls = site.peer_addresses.clone();
    let (stop_entry, stopped) = channel::bounded::<()>(1);
    let old_entry = {
        let controls = controls.clone();
        thread::spawn(move || sync_as_old_entry(&controls, &stopped))
    };
    assert_stays_at_level_0(&site);
    let replaced = (leader(&site) + 1) % 3;
    site.kill(&format!("control-{replaced}"));
    let (stop_replica, stopped) = channel::bounded::<()>(1);
    let address = controls[replaced];
    let old_replica = thread::spawn(move || answer_as_old_replica(address, &stopped));
    drop(stop_entry);
    old_entry.join().unwrap();
    assert_stays_at_level_0(&site);
    drop(stop_replica);
    old_replica.join().unwrap();
    site.spawn(&format!("control-{replaced}"));
    let highest = u64::from(FormatLevel::HIGHEST.0);
    site.wait("the level is raised", |site| level(site) == highest);
    site.call_operator("PUT", "/v1/evacuations/here", "");
}

#[test]
fn evacuation_and_plan_survive_the_leader_and_a_loss_of_power() {
    let mut site = site_with_two_data_centres("evacuation-power");
    begin_evacuation(&site);
    let killed = format!("control-{}", leader(&site));
    site.kill(&killed);
    let started_at = Instant::now();
    site.call_operator("PUT", "/v1/evacuations/here", "");
    assert!(started_at.elapsed() < Duration::from_secs(5));
    site.spawn(&killed);
    // From level 1 on, the plan is logged as JSON text.
    site.publish(2, "/a/");
    for number in 0..3 {
        site.kill(&format!("control-{number}"));
    }
    for number in 0..3 {
        site.spawn(&format!("control-{number}"));
    }
    assert_eq!(evacuations(&site), ["here"]);
    let plan = site.call_operator("GET", "/v1/plan", "");
    assert!(plan.contains("\"version\":2"), "{plan}");
    assert!(is_evacuated(&site));
}
