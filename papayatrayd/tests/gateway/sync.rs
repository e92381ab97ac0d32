//! Sync of entries with a control replica: what each is told, and how often.

use std::collections::BTreeSet;
use std::sync::Arc;

use papayatray_core::clock::Clock;
use papayatray_core::clock::Millis;
use papayatray_core::format::FormatLevel;
use papayatray_core::gateway::answers::AnswerReport;
use papayatray_core::gateway::crashes::CrashCause;
use papayatray_core::gateway::crashes::CrashReport;
use papayatray_core::gateway::updates::UpdateBatch;
use papayatray_core::id::DataCentre;
use papayatray_core::id::EndpointId;
use papayatray_core::id::Fingerprint;
use papayatray_core::id::Incarnation;
use papayatray_core::id::ServiceId;
use papayatray_core::id::VmId;
use papayatray_core::lease::EntryInfo;
use papayatray_core::suspicion::EndpointIncarnation;
use papayatray_wire::peer::Deregistration;
use papayatray_wire::peer::GatewayVersions;
use papayatray_wire::peer::SyncReply;
use papayatray_wire::peer::SyncRequest;
use papayatrayd::gateway::ControlState;
use papayatrayd::observe::SystemClock;

use crate::endpoint::FakeEndpoint;
use crate::rig::AdvancedClock;
use crate::rig::announcement;
use crate::rig::plan;

/// Entries of the largest deployment that these tests play.
const ENTRIES: usize = 195;

/// Returns a control replica that knows nothing and does not lead.
pub fn replica() -> ControlState {
    ControlState::new(Arc::new(SystemClock::default()), None)
}

/// Returns the first sync request of an entry, to which the reply comes at once.
pub fn first_request(vm: &str) -> SyncRequest {
    SyncRequest {
        info: EntryInfo {
            vm: VmId::new(vm).unwrap(),
            incarnation: Incarnation(1),
            data_centre: DataCentre::new("here").unwrap(),
            caller_address: "127.0.0.1:1".to_owned(),
            peer_address: String::new(),
            draining: false,
            is_cut_off: false,
            size: 0,
        },
        versions: GatewayVersions::default(),
        poll_timeout: Millis::ZERO,
        expects_leader: false,
        wants_plan: true,
        reads_compact: false,
        tallies: Vec::new(),
        loads: None,
        crashes: UpdateBatch::default(),
        answers: AnswerReport::default(),
        departures: UpdateBatch::<Deregistration>::default(),
        rate_statements: UpdateBatch::default(),
        cached_prefixes: UpdateBatch::default(),
        gaps: Vec::new(),
        format: FormatLevel::HIGHEST,
        data_centres: BTreeSet::new(),
    }
}

/// Returns the request that follows a reply.
fn next_request(vm: &str, reply: &SyncReply) -> SyncRequest {
    SyncRequest {
        versions: GatewayVersions {
            endpoints: reply.endpoints.cursor,
            entries: reply.entries.number,
            heartbeats: reply.endpoints.heartbeats,
            findings: reply.findings.as_ref().map_or(1, |f| f.number),
            ..GatewayVersions::default()
        },
        ..first_request(vm)
    }
}

fn sync(replica: &ControlState, request: SyncRequest) -> SyncReply {
    smol::block_on(replica.sync(request))
}

/// Returns the report on a request that was sent 100 ms before its endpoint crashed.
fn lost(fingerprint: u128, endpoint: usize, age: Millis) -> CrashReport {
    CrashReport {
        endpoint: EndpointIncarnation {
            endpoint: EndpointId::new(format!("e-{endpoint}")).unwrap(),
            incarnation: Incarnation(1),
        },
        service: ServiceId::new("app").unwrap(),
        request: Fingerprint(fingerprint),
        parts: Vec::new(),
        age,
        ran_for: Millis::new(100),
        has_started: true,
    }
}

fn reporting(vm: &str, reports: Vec<CrashReport>) -> SyncRequest {
    SyncRequest {
        crashes: UpdateBatch {
            last_number: reports.len() as u64,
            updates: reports,
        },
        ..first_request(vm)
    }
}

/// Half of 80 endpoints crash at once with 30 requests each, while a poison request is tried at
/// three entries. Each entry must hear of the poison request once, and of no other.
#[test]
fn entries_hear_of_quarantined_requests_only_and_once_each() {
    let clock = Arc::new(AdvancedClock::default());
    let replica = ControlState::new(Arc::clone(&clock) as Arc<dyn Clock>, None);
    for endpoint in 0..40 {
        let in_flight =
            (0..30).map(|n| lost(1_000 + endpoint as u128 * 100 + n, endpoint, Millis::ZERO));
        sync(
            &replica,
            reporting(&format!("vm-{endpoint}"), in_flight.collect()),
        );
    }
    for crash in 0..3 {
        clock.advance(Millis::new(200));
        let report = lost(7, 50 + crash, Millis::ZERO);
        sync(&replica, reporting(&format!("vm-{crash}"), vec![report]));
    }
    replica.evaluate_crashes();
    clock.advance(Millis::from_secs(1));
    replica.evaluate_crashes();
    for number in 0..ENTRIES {
        let vm = format!("vm-{number}");
        let first = sync(&replica, first_request(&vm));
        let findings = first.findings.as_ref().unwrap();
        assert_eq!(findings.quarantined, [CrashCause::Request(Fingerprint(7))]);
        assert!(findings.suspected.is_empty());
        let second = sync(&replica, next_request(&vm, &first));
        assert_eq!(second.findings, None);
    }
}

#[test]
fn each_heartbeat_is_passed_on_once() {
    let replica = replica();
    let fake = FakeEndpoint::start(|_, _| Vec::new());
    replica.announce(&announcement(0, &fake));
    let first = sync(&replica, first_request("vm-1"));
    assert_eq!(first.endpoints.renewed.len(), 1);
    let second = sync(&replica, next_request("vm-1", &first));
    assert!(second.endpoints.renewed.is_empty());
    assert!(second.endpoints.changed.is_empty());
    let mut heartbeat = announcement(0, &fake);
    heartbeat.sequence = 2;
    assert!(!replica.announce(&heartbeat));
    let third = sync(&replica, next_request("vm-1", &second));
    assert_eq!(third.endpoints.renewed.len(), 1);
    assert!(third.endpoints.changed.is_empty());
}

/// 195 entries start at once: what is sent to them in all grows with the square of their number, not
/// with its cube.
#[test]
fn starting_entries_are_sent_each_other_once() {
    let replica = replica();
    let mut replies: Vec<Option<SyncReply>> = vec![None; ENTRIES];
    let mut sent = 0;
    for _ in 0..3 {
        for (number, last) in replies.iter_mut().enumerate() {
            let vm = format!("vm-{number}");
            let request = match &last {
                None => first_request(&vm),
                Some(reply) => next_request(&vm, reply),
            };
            let reply = sync(&replica, request);
            sent += reply.entries.changed.len();
            *last = Some(reply);
        }
    }
    assert_eq!(sent, ENTRIES * ENTRIES);
}

#[test]
fn replica_replies_at_once_to_an_entry_that_takes_it_for_the_leader() {
    let replica = replica();
    let first = sync(&replica, first_request("vm-1"));
    assert!(!first.is_current);
    let mistaken = SyncRequest {
        expects_leader: true,
        poll_timeout: Millis::from_secs(1),
        ..next_request("vm-1", &first)
    };
    let reply = smol::block_on(smol::future::or(
        async { Some(replica.sync(mistaken).await) },
        async {
            smol::Timer::after(std::time::Duration::from_millis(900)).await;
            None
        },
    ));
    assert!(reply.is_some());
}

/// Guards against a first reply of megabytes, behind which an entry hears of nothing else.
#[test]
fn many_endpoints_are_sent_in_several_replies_and_each_once() {
    const ENDPOINTS: usize = 300;
    let replica = replica();
    let fake = FakeEndpoint::start(|_, _| Vec::new());
    for index in 0..ENDPOINTS {
        let mut endpoint = announcement(index, &fake);
        endpoint.address = format!("10.0.{}.{}:80", index / 250, index % 250);
        replica.announce(&endpoint);
    }
    replica.deregister(&Deregistration {
        id: announcement(7, &fake).id,
        incarnation: None,
    });
    let mut reply = sync(&replica, first_request("vm-1"));
    let mut sent = vec![reply.endpoints.changed.len()];
    let mut ids: BTreeSet<EndpointId> = BTreeSet::new();
    let mut deregistered = 0;
    while !reply.endpoints.changed.is_empty() {
        ids.extend(reply.endpoints.changed.iter().map(|e| e.id.clone()));
        deregistered += reply.endpoints.deregistered.len();
        reply = sync(&replica, next_request("vm-1", &reply));
        sent.push(reply.endpoints.changed.len());
    }
    assert_eq!(ids.len(), ENDPOINTS);
    assert_eq!(deregistered, 1);
    assert_eq!(sent.iter().sum::<usize>(), ENDPOINTS, "{sent:?}");
    assert!(sent.iter().all(|sent| *sent <= 128), "{sent:?}");
}

/// Guards against entries of an older build that get no plan while VMs are replaced one by one.
#[test]
fn entry_that_reads_no_pieces_gets_the_whole_plan() {
    let replica = replica();
    replica.publish(plan());
    let first = sync(&replica, first_request("vm-1"));
    assert_eq!(first.plan, Some(plan()));
    let reading_pieces = SyncRequest {
        wants_plan: false,
        ..first_request("vm-2")
    };
    let reply = sync(&replica, reading_pieces);
    assert!(reply.serves_pieces);
    assert_eq!((reply.plan, reply.version), (None, plan().version));
}
