//! Requests of operators: concurrent and repeated changes, traces, and secrets in logs.
//!
//! The arguments of the rig's functions are: `Rig::start(name, VMs, engines)`,
//! `chat(VM, prompt, is streamed)` and `submit_change(VM, change id, base revision, edits)`.

use http_types::Method;
use serde_json::Value;
use serde_json::json;

use crate::rig::Rig;

#[test]
fn concurrent_changes_on_one_base_get_one_acceptance_and_conflicts() {
    smol::block_on(async {
        let rig = Rig::start("race", 3, 0).await;
        let edits = |n: u64| json!([{"create-organisation": {"organisation": format!("o{n}"), "class": "trial"}}]);
        let executor = smol::LocalExecutor::new();
        let rig = &rig;
        let racing: Vec<_> = ["a", "b", "c"]
            .into_iter()
            .enumerate()
            .map(|(vm, id)| executor.spawn(rig.submit_change(vm, id, 1, edits(vm as u64))))
            .collect();
        let mut outcomes = Vec::new();
        for change in racing {
            outcomes.push(executor.run(change).await);
        }
        let winners = outcomes.iter().filter(|outcome| **outcome == Ok(2)).count();
        assert_eq!(winners, 1, "{outcomes:?}");
        for outcome in outcomes.iter().filter_map(|outcome| outcome.as_ref().err()) {
            assert!(outcome.contains("\"standing\":2"), "{outcome}");
        }
        for (vm, id) in ["a", "b", "c"].into_iter().enumerate() {
            let again = rig
                .submit_change((vm + 1) % 3, id, 1, edits(vm as u64))
                .await;
            assert_eq!(
                again, outcomes[vm],
                "a resend gets the outcome of the first send"
            );
        }
        let response = rig
            .operator_request(0, Method::Get, "changes?after=1", &Value::Null)
            .await
            .unwrap();
        let changes = response.json()["changes"].as_array().unwrap().clone();
        assert_eq!(changes.len(), 1);
        assert_eq!(
            changes[0]["author"], "operator",
            "the history names the author"
        );
    });
}

#[test]
fn trace_of_a_request_has_a_span_for_each_hop() {
    smol::block_on(async {
        let rig = Rig::start("trace", 3, 1).await;
        let trace = "0af7651916cd43dd8448eb211c80319c";
        let parent = format!("00-{trace}-b7ad6b7169203331-01");
        let headers = [("traceparent", parent.as_str())];
        rig.chat_with(1, "traced", false, &headers).await.unwrap();
        rig.wait_until("the spans are recorded", || async {
            let path = format!("traces/{trace}");
            let response = rig
                .operator_request(0, Method::Get, &path, &Value::Null)
                .await
                .unwrap();
            let spans = response.json().as_array().cloned().unwrap_or_default();
            let names: Vec<&str> = spans.iter().filter_map(|s| s["name"].as_str()).collect();
            ["caller.request", "endpoint.attempt", "bill"]
                .iter()
                .all(|n| names.contains(n))
        })
        .await;
    });
}

#[test]
fn logs_contain_no_secret() {
    smol::block_on(async {
        let rig = Rig::start("secrets", 3, 1).await;
        rig.chat(0, "hello", false).await.unwrap();
        for vm in 0..3 {
            let log = std::fs::read_to_string(rig.site.log_file(vm)).unwrap();
            assert!(log.contains("event=started"), "{log}");
            for secret in [
                crate::rig::KEY,
                papayatray_standin::OPERATOR_KEY,
                "secret of a site",
            ] {
                assert!(!log.contains(secret), "{secret} in the log of VM {vm}");
            }
        }
    });
}
