//! Behaviour towards callers: complete responses, graceful shutdown, and rejection of bad input.
//!
//! The arguments of the rig's functions are: `Rig::start(name, VMs, engines)`,
//! `chat(VM, prompt, is streamed)` and `submit_change(VM, change id, base revision, edits)`.

use std::time::Duration;
use std::time::Instant;

use http_types::Method;
use papayatray_standin::EngineOptions;
use papayatray_standin::call;
use serde_json::json;
use smol::Timer;
use smol::io::AsyncReadExt;
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;

use crate::rig::KEY;
use crate::rig::Rig;
use crate::rig::chat;
use crate::rig::expected_text;

#[test]
fn planned_stop_cuts_off_no_stream() {
    smol::block_on(async {
        let options = EngineOptions {
            token_interval: Duration::from_millis(50),
            ..EngineOptions::default()
        };
        let mut rig = Rig::start_on(Rig::prepare_site("stop", 4), 2, options).await;
        let leader = rig.leader(3).await.unwrap();
        let entry = rig.site.vms()[leader].caller_address;
        let streams: Vec<_> = (0..6)
            .map(|number| {
                smol::spawn(async move {
                    let prompt = format!("stream{number} tokens=80");
                    (number, chat(entry, &prompt, true, &[]).await.unwrap())
                })
            })
            .collect();
        Timer::after(Duration::from_millis(400)).await;
        rig.signal(leader, "-TERM");
        Timer::after(Duration::from_millis(300)).await;
        // A second signal must not cut the graceful shutdown short.
        rig.signal(leader, "-TERM");
        let other = (leader + 1) % 4;
        rig.wait_until("other entries stop listing the VM", || async {
            let address = rig.site.vms()[other].caller_address;
            let response = call(address, Method::Get, "/v1/entries", &[], Vec::new())
                .await
                .unwrap();
            let entries = response.json()["entries"].as_array().unwrap().clone();
            entries.iter().all(|e| e["address"] != entry.to_string())
        })
        .await;
        for stream in streams {
            let (number, response) = stream.await;
            assert!(response.is_done(), "{response:?}");
            assert_eq!(
                response.text(),
                expected_text(&format!("stream{number}"), 80)
            );
        }
        assert!(
            rig.site.wait_exited(leader, Duration::from_secs(20)).await,
            "the daemon exits successfully after draining"
        );
        let response = rig.chat(other, "after", false).await.unwrap();
        assert_eq!(response.status, 200);
    });
}

#[test]
fn withdrawn_version_gets_no_new_work_once_in_force_anywhere() {
    smol::block_on(async {
        let mut rig = Rig::start("withdrawn", 4, 1).await;
        let edits = json!([
            {"declare-version": {"version": "drafter@2", "price_in": 90, "price_out": 90, "prior": 950}},
            {"offer": {"version": "drafter@2"}},
        ]);
        rig.submit_change(0, "offer", 1, edits).await.unwrap();
        rig.add_engine(9, "drafter@2", EngineOptions::default())
            .await;
        rig.wait_endpoints(3).await;
        rig.wait_in_force(2).await;
        let callers: Vec<_> = (0..4)
            .map(|vm| {
                let entry = rig.site.vms()[vm].caller_address;
                smol::spawn(async move {
                    for _ in 0..150 {
                        let response = chat(entry, "load tokens=2", false, &[]).await.unwrap();
                        assert_eq!(response.status, 200, "{response:?}");
                    }
                })
            })
            .collect();
        let withdraw = json!([{"withdraw": {"version": "drafter@1"}}]);
        rig.submit_change(1, "withdraw", 2, withdraw).await.unwrap();
        rig.wait_in_force(3).await;
        let prompts_before = rig.engines[0].prompts().len();
        for caller in callers {
            caller.await;
        }
        assert_eq!(
            rig.engines[0].prompts().len(),
            prompts_before,
            "no new work once the withdrawal is in force"
        );
        assert!(
            !rig.engines[1].prompts().is_empty(),
            "the other version got work"
        );
    });
}

#[test]
fn two_thousand_requests_at_once_get_their_own_answers() {
    smol::block_on(async {
        let options = EngineOptions {
            slots: 64,
            token_interval: Duration::from_millis(0),
            ..EngineOptions::default()
        };
        let rig = Rig::start_on(Rig::prepare_site("many", 3), 4, options).await;
        let entry = rig.site.vms()[0].caller_address;
        let callers: Vec<_> = (0..40)
            .map(|caller| {
                smol::spawn(async move {
                    for number in 0..50 {
                        let word = format!("r{caller}x{number}");
                        let prompt = format!("{word} tokens=7");
                        let response = chat(entry, &prompt, number % 2 == 0, &[]).await.unwrap();
                        assert_eq!(response.text(), expected_text(&word, 7), "{response:?}");
                    }
                })
            })
            .collect();
        for caller in callers {
            caller.await;
        }
        let bills = rig.bills(0).await;
        assert_eq!(bills.len(), 2_000, "each request is billed once");
    });
}

/// Malformed request and the rejection that it must get.
struct MalformedRequest {
    method: Method,
    path: &'static str,
    header: Option<(&'static str, &'static str)>,
    body: &'static str,
    status: u16,
    code: &'static str,
}

/// Path of chats.
const CHATS: &str = "/v1/chat/completions";

/// Returns a malformed chat request that must be rejected as `bad_request`.
fn malformed_chat(
    header: Option<(&'static str, &'static str)>,
    body: &'static str,
) -> MalformedRequest {
    let (path, status, code) = (CHATS, 400, "bad_request");
    MalformedRequest {
        method: Method::Post,
        path,
        header,
        body,
        status,
        code,
    }
}

/// Returns the malformed requests to send, each with the rejection that it must get.
fn malformed_requests() -> Vec<MalformedRequest> {
    let rejected = |method, path, status, code| {
        let (header, body) = (None, "{}");
        MalformedRequest {
            method,
            path,
            header,
            body,
            status,
            code,
        }
    };
    vec![
        malformed_chat(None, "{"),
        malformed_chat(None, "[]"),
        malformed_chat(None, r#"{"model": "auto"}"#),
        malformed_chat(None, r#"{"messages": [{"content": "x"}]}"#),
        malformed_chat(None, r#"{"model": "a b", "messages": [{"content": "x"}]}"#),
        malformed_chat(Some(("idempotency-key", "a b")), "{}"),
        malformed_chat(Some(("papayatray-deadline-ms", "soon")), "{}"),
        rejected(Method::Get, CHATS, 405, "method_not_allowed"),
        rejected(Method::Get, "/nowhere", 404, "not_found"),
        rejected(Method::Post, "/platform/v1/endpoints", 401, "unauthorized"),
        rejected(Method::Get, "/operator/v1/status", 401, "unauthorized"),
        rejected(Method::Get, "/v1/services/none/x", 404, "not_found"),
    ]
}

#[test]
fn malformed_input_is_rejected_and_affects_no_other_caller() {
    smol::block_on(async {
        let rig = Rig::start("malformed", 3, 1).await;
        let entry = rig.site.vms()[0].caller_address;
        let bearer = format!("Bearer {KEY}");
        for bad in malformed_requests() {
            let mut headers = vec![("authorization", bearer.as_str())];
            headers.extend(bad.header);
            let body = bad.body.as_bytes().to_vec();
            let response = call(entry, bad.method, bad.path, &headers, body)
                .await
                .unwrap();
            let found = (response.status, response.code());
            assert_eq!(
                found,
                (bad.status, Some(bad.code.to_owned())),
                "{} {}",
                bad.path,
                bad.body
            );
            assert_eq!(response.json()["error"]["not_run"], true);
        }
        for key in ["", "Bearer", "Bearer no", "Basic no"] {
            let headers = [("authorization", key)];
            let response = call(entry, Method::Post, CHATS, &headers, Vec::new())
                .await
                .unwrap();
            assert_eq!(response.code().as_deref(), Some("unauthorized"), "{key}");
        }
        let headers = [("authorization", bearer.as_str())];
        let large = vec![b'x'; 2 << 20];
        let response = call(entry, Method::Post, CHATS, &headers, large)
            .await
            .unwrap();
        assert_eq!(response.code().as_deref(), Some("too_large"));
        let forged = [("papayatray-session", "s1~mill~drafter@1~1~00")];
        let response = rig.chat_with(0, "x", false, &forged).await.unwrap();
        assert_eq!(response.code().as_deref(), Some("bad_session"));
        check_malformed_bytes(entry).await;
        let response = rig.chat(0, "still", false).await.unwrap();
        assert_eq!(response.status, 200, "the daemon still serves");
        let prompts = rig.engines[0].prompts();
        assert_eq!(prompts, ["still"], "nothing malformed reached an endpoint");
    });
}

/// Checks that malformed and incomplete requests affect only the connection that they arrive on.
async fn check_malformed_bytes(entry: std::net::SocketAddr) {
    let long = format!("GET /{} HTTP/1.1\r\n\r\n", "x".repeat(20_000));
    let texts = [
        "\u{1}\u{2}\u{3}\r\n\r\n",
        "GET\r\n\r\n",
        "GET / HTTP/9.9\r\n\r\n",
        long.as_str(),
    ];
    for text in texts {
        let mut stream = TcpStream::connect(entry).await.unwrap();
        let _ = stream.write_all(text.as_bytes()).await;
        let mut response = Vec::new();
        let _ = stream.read_to_end(&mut response).await;
        let response = String::from_utf8_lossy(&response).into_owned();
        assert!(
            response.starts_with("HTTP/1.1 400"),
            "{text:.20?}: {response:.80}"
        );
    }
    // An incomplete request keeps its connection open and must not delay other callers.
    let mut slow = TcpStream::connect(entry).await.unwrap();
    slow.write_all(b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n")
        .await
        .unwrap();
    let started_at = Instant::now();
    let health = call(entry, Method::Get, "/healthz", &[], Vec::new())
        .await
        .unwrap();
    assert_eq!(health.status, 200);
    assert!(started_at.elapsed() < Duration::from_secs(5));
}

#[test]
fn caller_disconnect_cancels_the_stream() {
    smol::block_on(async {
        let options = EngineOptions {
            token_interval: Duration::from_millis(10),
            ..EngineOptions::default()
        };
        let rig = Rig::start_on(Rig::prepare_site("gone", 3), 1, options).await;
        let entry = rig.site.vms()[0].caller_address;
        let body = json!({"model": "auto", "stream": true,
            "messages": [{"role": "user", "content": "long tokens=2000"}]});
        let text = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\ncontent-length: {}\r\n\r\n{body}",
            body.to_string().len()
        );
        let mut stream = TcpStream::connect(entry).await.unwrap();
        stream.write_all(text.as_bytes()).await.unwrap();
        let mut first = [0; 200];
        stream.read_exact(&mut first).await.unwrap();
        drop(stream);
        rig.wait_until("the engine sees the cancellation", || async {
            rig.engines[0].cancel_requests() == 1
        })
        .await;
        assert!(
            rig.bills(0).await.is_empty(),
            "an incomplete response is not billed"
        );
    });
}

#[test]
fn call_that_may_not_be_repeated_runs_once_however_it_is_sent() {
    smol::block_on(async {
        let rig = Rig::start("once", 4, 1).await;
        for round in 0..5 {
            let id = format!("confirmation-{round}");
            let sends: Vec<_> = (0..12)
                .map(|number| {
                    let entry = rig.site.vms()[number % 4].caller_address;
                    let id = id.clone();
                    smol::spawn(async move {
                        crate::rig::call_service(entry, Method::Post, &id, "coil 7")
                            .await
                            .unwrap()
                    })
                })
                .collect();
            let mut responses = Vec::new();
            for send in sends {
                responses.push(send.await);
            }
            assert!(
                responses.iter().any(|response| response.status == 200),
                "{responses:?}"
            );
            for response in responses.iter().filter(|response| response.status != 200) {
                assert_eq!(
                    response.code().as_deref(),
                    Some("in_progress"),
                    "{response:?}"
                );
                assert_eq!(response.json()["error"]["not_run"], false);
            }
            for vm in 0..4 {
                let again = rig
                    .call_service(vm, Method::Post, &id, "coil 7")
                    .await
                    .unwrap();
                assert_eq!(
                    again.json()["run"],
                    1,
                    "a resend gets the first response: {again:?}"
                );
            }
            let other = rig
                .call_service(0, Method::Post, &id, "coil 8")
                .await
                .unwrap();
            assert_eq!(other.code().as_deref(), Some("id_reused"));
        }
        assert!(
            rig.service.runs().values().all(|count| *count == 1),
            "{:?}",
            rig.service.runs()
        );
        assert_eq!(rig.bills(0).await.len(), 5, "one bill each");
        let chat = [
            ("papayatray-effect", "once"),
            ("idempotency-key", "draft-1"),
        ];
        let first = rig.chat_with(0, "draft", false, &chat).await.unwrap();
        let again = rig.chat_with(2, "draft", false, &chat).await.unwrap();
        assert_eq!(first.text(), again.text());
        assert_eq!(
            rig.engines[0].prompts().len(),
            1,
            "a chat marked once runs once as well"
        );
    });
}
