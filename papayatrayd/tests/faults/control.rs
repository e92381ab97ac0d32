//! Faults of the control replicas.
//!
//! The arguments of the rig's functions are: `Rig::start(name, VMs, engines)`,
//! `chat(VM, prompt, is streamed)` and `submit_change(VM, change id, base revision, edits)`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http_types::Method;
use papayatray_standin::EngineOptions;
use papayatray_standin::free_address;
use serde_json::Value;
use serde_json::json;
use smol::Timer;
use smol::io::AsyncReadExt;
use smol::io::AsyncWriteExt;
use smol::net::TcpListener;
use smol::net::TcpStream;

use crate::rig::Rig;
use crate::rig::TIMEOUT;
use crate::rig::call_service;

/// Returns the edits of a change that creates organisation `o{number}`.
fn create_organisation(number: u64) -> Value {
    json!([{"create-organisation": {"organisation": format!("o{number}"), "class": "trial"}}])
}

#[test]
fn killed_leader_loses_no_change_no_claim_and_no_bill() {
    smol::block_on(async {
        let mut rig = Rig::start("killed-leader", 4, 1).await;
        let leader = rig.leader(3).await.unwrap();
        let entry = rig.site.vms()[3].caller_address;
        let calls: Vec<_> = (0..60)
            .map(|number| {
                smol::spawn(async move {
                    Timer::after(Duration::from_millis(number * 30)).await;
                    let id = format!("order-{number}");
                    loop {
                        let response = call_service(entry, Method::Post, &id, "steel").await;
                        match response {
                            Ok(response) if response.status == 200 => return response,
                            Ok(response)
                                if response.json()["error"]["code"] == "outcome_unknown" =>
                            {
                                return response;
                            }
                            _ => drop(Timer::after(Duration::from_millis(100)).await),
                        }
                    }
                })
            })
            .collect();
        Timer::after(Duration::from_millis(600)).await;
        rig.site.kill(leader);
        let mut accepted = Vec::new();
        for number in 0..10 {
            let base = 1 + number;
            accepted.push(
                rig.submit_change(3, &format!("c{number}"), base, create_organisation(number))
                    .await,
            );
        }
        let mut answered = 0;
        for call in calls {
            answered += usize::from(call.await.status == 200);
        }
        let expected: Vec<Result<u64, String>> = (0..10).map(|n| Ok(2 + n)).collect();
        assert_eq!(accepted, expected);
        let runs = rig.service.runs();
        assert!(
            runs.values().all(|count| *count == 1),
            "an order runs at most once: {runs:?}"
        );
        let mut bills = rig.bills(3).await;
        let count = bills.len();
        bills.sort();
        bills.dedup();
        assert_eq!(bills.len(), count, "no request is billed twice");
        assert!(count >= answered, "{answered} answered, {count} billed");
        assert_eq!(
            answered, 60,
            "the loss of the leader alone leaves no outcome unknown"
        );
        rig.site.start(leader).unwrap();
        rig.site.wait_ready(&[leader], TIMEOUT).await.unwrap();
        // The base is ignored in a resend of a change that has an outcome.
        for (number, id) in (0..10).zip(0..) {
            let again = rig
                .submit_change(leader, &format!("c{id}"), 0, create_organisation(number))
                .await;
            assert_eq!(
                again,
                Ok(2 + number),
                "a resend gets the outcome of the first send"
            );
        }
    });
}

/// Relays connections to `to`; once `is_silent` is set, drops bytes but keeps connections open.
async fn relay(listener: TcpListener, to: SocketAddr, is_silent: Arc<AtomicBool>) {
    while let Ok((near, _)) = listener.accept().await {
        let Ok(far) = TcpStream::connect(to).await else {
            continue;
        };
        smol::spawn(forward(near.clone(), far.clone(), Arc::clone(&is_silent))).detach();
        smol::spawn(forward(far, near, Arc::clone(&is_silent))).detach();
    }
}

/// Copies bytes in one direction until the connection ends or `is_silent` is set.
async fn forward(mut from: TcpStream, mut to: TcpStream, is_silent: Arc<AtomicBool>) {
    let mut buffer = vec![0; 16 << 10];
    while let Ok(count) = from.read(&mut buffer).await {
        if count == 0 {
            break;
        }
        if is_silent.load(Ordering::Relaxed) {
            // Simulates a silent partition: neither side sees the connection close.
            smol::future::pending::<()>().await;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
    let _ = to.close().await;
}

#[test]
fn silent_partition_of_a_control_vm_is_survived_and_healed() {
    smol::block_on(async {
        let mut site = Rig::prepare_site("silent", 4);
        let relay_address = free_address().unwrap();
        let is_silent = Arc::new(AtomicBool::new(false));
        let listener = TcpListener::bind(relay_address).await.unwrap();
        smol::spawn(relay(
            listener,
            site.vms()[0].peer_address,
            Arc::clone(&is_silent),
        ))
        .detach();
        site.set_relay(0, relay_address);
        let rig = Rig::start_on(site, 1, EngineOptions::default()).await;
        is_silent.store(true, Ordering::Relaxed);
        rig.wait_until("another VM leads", || async {
            rig.leader(3).await.is_some_and(|leader| leader != 0)
        })
        .await;
        let outcome = rig
            .submit_change(3, "during", 1, create_organisation(1))
            .await;
        assert_eq!(outcome, Ok(2));
        let response = rig
            .call_service(3, Method::Post, "order-1", "steel")
            .await
            .unwrap();
        assert_eq!(response.status, 200, "{response:?}");
        is_silent.store(false, Ordering::Relaxed);
        rig.wait_until("the lost VM has caught up", || async {
            let response = rig
                .operator_request(3, Method::Get, "status", &Value::Null)
                .await;
            let all = response.map(|a| a.json()).unwrap_or_default();
            let restored = all
                .as_array()
                .and_then(|all| all.iter().find(|s| s["vm"] == "vm-1").cloned());
            restored.is_some_and(|status| status["revision"] == 2)
        })
        .await;
    });
}

#[test]
fn quorum_survives_losing_a_second_vm_after_replacing_the_first() {
    smol::block_on(async {
        let mut rig = Rig::start("replaced", 4, 1).await;
        let leader = rig.leader(3).await.unwrap();
        let lost = (leader + 1) % 3;
        rig.site.kill(lost);
        std::fs::remove_dir_all(rig.site.data_folder(lost)).unwrap();
        rig.site.start(lost).unwrap();
        let name = rig.site.vms()[lost].name.clone();
        let request = json!({"lost": name, "newcomer": name});
        rig.wait_until("the replacement is accepted", || async {
            let response = rig
                .operator_request(3, Method::Post, "replace", &request)
                .await;
            response.is_ok_and(|response| response.json() == json!("Begun"))
        })
        .await;
        rig.wait_until("all three replicas are voters", || async {
            let Some(status) = rig.leader_status(3).await else {
                return false;
            };
            let replicas = status["replicas"].as_array().unwrap().clone();
            replicas.len() == 3 && replicas.iter().all(|replica| replica["voter"] == true)
        })
        .await;
        rig.site.kill(leader);
        assert_eq!(
            rig.submit_change(3, "after", 1, create_organisation(1))
                .await,
            Ok(2)
        );
        rig.wait_in_force(2).await;
        let response = rig
            .call_service(3, Method::Post, "order-1", "steel")
            .await
            .unwrap();
        assert_eq!(response.status, 200, "{response:?}");
    });
}

#[test]
fn entry_without_a_quorum_starts_no_new_work_and_says_so() {
    smol::block_on(async {
        let mut rig = Rig::start("no-quorum", 4, 1).await;
        for vm in 0..3 {
            rig.site.kill(vm);
        }
        rig.wait_until("the lease expires", || async {
            let response = rig.chat(3, "late", false).await.unwrap();
            response.json()["error"]["code"] == "no_lease"
                && response.json()["error"]["not_run"] == true
        })
        .await;
        let before = rig.engines[0].prompts().len();
        for _ in 0..20 {
            rig.chat(3, "never", false).await.unwrap();
        }
        assert_eq!(
            rig.engines[0].prompts().len(),
            before,
            "requests rejected without a lease are not run"
        );
        for vm in 0..3 {
            rig.site.start(vm).unwrap();
        }
        rig.wait_until("requests are served again", || async {
            rig.chat(3, "again", false)
                .await
                .is_ok_and(|response| response.status == 200)
        })
        .await;
    });
}

#[test]
fn paused_leader_is_replaced_and_reports_nothing_stale_when_resumed() {
    smol::block_on(async {
        let rig = Rig::start("frozen", 4, 1).await;
        let old_leader = rig.leader(3).await.unwrap();
        rig.signal(old_leader, "-STOP");
        rig.wait_until("another VM leads", || async {
            rig.leader(3)
                .await
                .is_some_and(|leader| leader != old_leader)
        })
        .await;
        assert_eq!(
            rig.submit_change(3, "during", 1, create_organisation(1))
                .await,
            Ok(2)
        );
        rig.signal(old_leader, "-CONT");
        let started_at = std::time::Instant::now();
        while started_at.elapsed() < Duration::from_secs(2) {
            let response = rig
                .operator_request(old_leader, Method::Get, "status", &Value::Null)
                .await
                .unwrap();
            for status in response.json().as_array().unwrap() {
                let is_new = status["revision"] != 1;
                assert!(
                    is_new || status["in_force"].is_null(),
                    "a stale revision is reported as in force: {status}"
                );
            }
        }
    });
}
