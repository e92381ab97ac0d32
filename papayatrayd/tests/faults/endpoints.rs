//! Faults of endpoints: stalls, crashes, poison requests, and failing versions.
//!
//! The arguments of the rig's functions are: `Rig::start(name, VMs, engines)`,
//! `chat(VM, prompt, is streamed)` and `submit_change(VM, change id, base revision, edits)`.

use std::time::Duration;

use http_types::Method;
use papayatray_standin::EngineOptions;
use papayatray_standin::Fault;
use serde_json::json;
use smol::Timer;

use crate::rig::Rig;
use crate::rig::chat;
use crate::rig::chat_with_messages;
use crate::rig::expected_text;

#[test]
fn stalled_stream_is_resumed_and_complete() {
    smol::block_on(async {
        let rig = Rig::start("stall", 3, 1).await;
        rig.engines[0].set_fault(Fault::StallAfter(5));
        for stream in [true, false] {
            let response = rig.chat(1, "word tokens=30", stream).await.unwrap();
            assert_eq!(response.text(), expected_text("word", 30));
            assert_eq!(response.is_done(), stream);
        }
        assert_eq!(rig.engines[0].prompts().len(), 2, "resumed, not run again");
    });
}

#[test]
fn answer_to_another_attempt_is_never_delivered() {
    smol::block_on(async {
        let rig = Rig::start("attempt", 3, 1).await;
        rig.engines[0].set_fault(Fault::WrongAttempt);
        let response = rig.chat(0, "mine", false).await.unwrap();
        assert_ne!(response.status, 200, "{response:?}");
        assert_eq!(response.text(), "");
    });
}

/// Guards against a line of an event stream that is buffered for as long as it goes on.
#[test]
fn endless_line_of_a_stream_is_given_up_at_the_size_limit_of_an_event() {
    const MAX_SENT_BYTES: usize = 16 << 20;
    smol::block_on(async {
        let rig = Rig::start("endless", 3, 1).await;
        rig.engines[0].set_fault(Fault::EndlessLine);
        let response = rig.chat(0, "mine", false).await.unwrap();
        let sent = rig.engines[0].endless_bytes();
        assert!(sent < MAX_SENT_BYTES, "{sent} bytes were read");
        assert_ne!(response.status, 200, "{response:?}");
    });
}

#[test]
fn requests_of_a_crashed_endpoint_are_retried_and_billed_once() {
    smol::block_on(async {
        let options = EngineOptions {
            token_interval: Duration::from_millis(20),
            ..EngineOptions::default()
        };
        let rig = Rig::start_on(Rig::prepare_site("crash", 3), 3, options).await;
        let callers: Vec<_> = (0..8)
            .map(|number| {
                let entry = rig.site.vms()[number % 3].caller_address;
                smol::spawn(async move {
                    let prompt = format!("caller{number} tokens=20");
                    (number, chat(entry, &prompt, false, &[]).await.unwrap())
                })
            })
            .collect();
        Timer::after(Duration::from_millis(150)).await;
        rig.engines[0].crash();
        for caller in callers {
            let (number, response) = caller.await;
            assert_eq!(
                response.text(),
                expected_text(&format!("caller{number}"), 20),
                "{response:?}"
            );
        }
        let bills = rig.bills(0).await;
        assert_eq!(bills.len(), 8, "a retried request is billed once");
    });
}

#[test]
fn poison_request_resent_via_every_entry_crashes_at_most_two_endpoints() {
    smol::block_on(async {
        let rig = Rig::start("poison", 5, 6).await;
        let mut codes = Vec::new();
        for round in 0..3 {
            for vm in 0..5 {
                let name = format!("poisoned-{round}");
                let headers = [("idempotency-key", name.as_str())];
                let response = rig.chat_with(vm, "poison", false, &headers).await.unwrap();
                assert_ne!(response.status, 200);
                codes.push(response.code().unwrap_or_default());
            }
        }
        let crashed = rig
            .engines
            .iter()
            .filter(|engine| engine.is_crashed())
            .count();
        assert!(crashed <= 2, "{crashed} endpoints crashed; {codes:?}");
        assert_eq!(
            codes.last().map(String::as_str),
            Some("poison_request"),
            "{codes:?}"
        );
        let response = rig.chat(0, "healthy", false).await.unwrap();
        assert_eq!(response.status, 200, "other requests are served");
    });
}

/// Five endpoints are what one cause may crash, as at the gateway.
#[test]
fn requests_that_share_a_first_message_crash_at_most_five_endpoints() {
    smol::block_on(async {
        let rig = Rig::start("shared", 3, 10).await;
        for number in 0..6 {
            let messages = json!([
                {"role": "system", "content": "poison"},
                {"role": "user", "content": format!("question {number}")},
            ]);
            let entry = rig.site.vms()[number % 3].caller_address;
            let response = chat_with_messages(entry, &messages, false, &[]).await;
            assert_ne!(response.unwrap().status, 200);
        }
        let engines = rig.engines.iter();
        let crashed = engines.filter(|engine| engine.is_crashed()).count();
        assert!(crashed <= 5, "{crashed} endpoints crashed");
    });
}

#[test]
fn interrupted_service_call_may_have_run_and_is_never_run_again() {
    smol::block_on(async {
        let rig = Rig::start("unknown", 3, 1).await;
        let first = rig
            .call_service(0, Method::Post, "order-0", "x")
            .await
            .unwrap();
        assert_eq!(first.status, 200);
        let entry = rig.site.vms()[0].caller_address;
        let slow = smol::spawn(async move {
            crate::rig::call_service(entry, Method::Post, "order-1", "x")
                .await
                .unwrap()
        });
        rig.wait_until("the call reaches the service", || async {
            rig.service.runs().contains_key("order-1")
        })
        .await;
        rig.service.crash();
        let response = slow.await;
        // The service may have responded just before it crashed.
        if response.status == 200 {
            return;
        }
        assert_eq!(response.json()["error"]["not_run"], false, "{response:?}");
        for vm in 0..3 {
            let again = rig
                .call_service(vm, Method::Post, "order-1", "x")
                .await
                .unwrap();
            assert_eq!(again.json()["error"]["not_run"], false, "{again:?}");
        }
        assert_eq!(rig.service.runs()["order-1"], 1);
    });
}

#[test]
fn endpoint_that_left_gets_no_new_work_after_two_seconds() {
    smol::block_on(async {
        let mut rig = Rig::start("leave", 3, 2).await;
        let announcer = rig.announcers.remove(0);
        // The entry with index 1 relays the deregistration to the others.
        announcer.deregister(1).await.unwrap();
        Timer::after(Duration::from_secs(2)).await;
        let before = rig.engines[0].prompts().len();
        for number in 0..30 {
            let response = rig.chat(number % 3, "work", false).await.unwrap();
            assert_eq!(response.status, 200);
        }
        assert_eq!(rig.engines[0].prompts().len(), before);
        assert!(rig.engines[1].prompts().len() >= 30);
    });
}

#[test]
fn failing_version_in_roll_out_is_halted_automatically() {
    smol::block_on(async {
        let mut rig = Rig::start("halt", 3, 2).await;
        let edits = json!([
            {"declare-version": {"version": "drafter@2", "price_in": 1, "price_out": 1, "prior": 950}},
            {"start-roll-out": {"version": "drafter@2", "steps": [40, 400]}},
        ]);
        rig.submit_change(0, "roll-out", 1, edits).await.unwrap();
        rig.wait_in_force(2).await;
        rig.add_engine(7, "drafter@2", EngineOptions::default())
            .await;
        rig.engines[2].set_fault(Fault::Fail);
        rig.wait_endpoints(4).await;
        let catalogue = || async {
            let response = rig
                .operator_request(0, Method::Get, "catalogue", &json!(null))
                .await
                .unwrap();
            response.json()["versions"]["drafter@2"]["stage"].clone()
        };
        rig.wait_until("the new version is halted", || async {
            for vm in 0..3 {
                let response = rig.chat(vm, "order", false).await.unwrap();
                assert_eq!(
                    response.status, 200,
                    "callers are served by the other version: {response:?}"
                );
            }
            !catalogue().await["halted"].is_null()
        })
        .await;
        // The first step of the roll-out allows 40 exposures.
        let exposed = rig.engines[2].prompts().len();
        assert!(exposed <= 40, "{exposed} callers exposed");
    });
}

#[test]
fn orders_carry_the_term_of_the_leader_as_fencing_token() {
    smol::block_on(async {
        let mut rig = Rig::start("orders", 4, 1).await;
        let edits = json!([
            {"declare-version": {"version": "drafter@2", "price_in": 1, "price_out": 1, "prior": 950}},
            {"offer": {"version": "drafter@2"}},
        ]);
        rig.submit_change(3, "offer", 1, edits).await.unwrap();
        let engine = rig.engines[0].clone();
        rig.wait_until("an order to load the new version arrives", || async {
            !engine.orders().is_empty()
        })
        .await;
        let (first, text) = engine.orders()[0].clone();
        assert_eq!(text, r#"{"load":"drafter@2"}"#);
        let leader = rig.leader(3).await.unwrap();
        rig.site.kill(leader);
        let edits = json!([{"withdraw": {"version": "drafter@1"}}]);
        rig.submit_change(3, "withdraw", 2, edits).await.unwrap();
        let unload = r#"{"unload":"drafter@1"}"#;
        rig.wait_until(
            "an order to unload the withdrawn version arrives",
            || async { engine.orders().iter().any(|(_, text)| text == unload) },
        )
        .await;
        let orders = engine.orders();
        let (later, _) = orders.iter().find(|(_, text)| text == unload).unwrap();
        assert!(
            *later > first,
            "the next leader has a higher fencing token: {orders:?}"
        );
        let stale = [("papayatray-fence", "0")];
        let address = engine.address();
        let response =
            papayatray_standin::call(address, Method::Post, "/v1/orders", &stale, Vec::new());
        assert_eq!(
            response.await.unwrap().status,
            409,
            "an old fencing token is refused"
        );
    });
}
