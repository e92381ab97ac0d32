//! Binary forms of log entries and snapshots, against bytes that commit fbb4f3c wrote.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use papayatray_core::clock::Millis;
use papayatray_core::format::FormatLevel;
use papayatray_core::gateway::plan::ApiKey;
use papayatray_core::gateway::plan::CallerLimits;
use papayatray_core::gateway::plan::Organisation;
use papayatray_core::gateway::plan::Plan;
use papayatray_core::gateway::plan::PublishedPlan;
use papayatray_core::gateway::plan::Route;
use papayatray_core::gateway::plan::RouteKind;
use papayatray_core::gateway::plan::Service;
use papayatray_core::gateway::plan::Target;
use papayatray_core::gateway::rollout::RolloutOrder;
use papayatray_core::id::DataCentre;
use papayatray_core::id::ModelId;
use papayatray_core::id::OrganisationId;
use papayatray_core::id::PlanVersion;
use papayatray_core::id::ServiceId;
use papayatray_state::machine::Command;
use papayatray_state::machine::StateMachine;
use papayatray_state::machine::TimestampedCommand;
use papayatray_state::plan_document::PlanDocument;
use papayatray_state::plan_document::fits_binary_form;
use papayatray_state::snapshot_extension::StateError;

/// Log entry that publishes [`publication`], written by commit fbb4f3c.
const PUBLISH: &str = include_str!("../fixtures/publish.hex");
/// State after [`publish`] and [`begin_rollout`], written by commit fbb4f3c.
const SNAPSHOT: &str = include_str!("../fixtures/snapshot.hex");

fn from_hex(text: &str) -> Vec<u8> {
    let text = text.trim();
    let starts = (0..text.len()).step_by(2);
    starts
        .map(|start| u8::from_str_radix(&text[start..start + 2], 16).unwrap())
        .collect()
}

fn service(name: &str) -> ServiceId {
    ServiceId::new(name).unwrap()
}

fn model(name: &str) -> ModelId {
    ModelId::new(name).unwrap()
}

fn route(name: &str, kind: RouteKind) -> Route {
    Route {
        name: name.to_owned(),
        host: "portal.example".to_owned(),
        prefix: format!("/{name}"),
        kind,
        timeout: Millis::from_secs(30),
        objective: Millis::new(2_000),
        pause: kind.is_stream().then_some(Millis::from_secs(1)),
        rank: 2,
        sizes: vec![model("small"), model("large")],
        targets: vec![Target {
            service: service("chat"),
            weight: 300,
        }],
        attempts: 3,
        public: false,
        homes: BTreeSet::new(),
    }
}

/// Returns a plan with every kind of route and every field set.
fn publication() -> PublishedPlan {
    let chat = Service {
        connections: Some(64),
        costs: BTreeMap::from([(model("small"), 150), (model("large"), 9_000)]),
        ..Service::default()
    };
    let organisation = |key: &str, rank| Organisation {
        keys: BTreeSet::from([ApiKey(key.to_owned())]),
        rank,
        homes: BTreeSet::new(),
    };
    let plan = Plan {
        version: PlanVersion(7),
        routes: vec![
            route("read", RouteKind::Idempotent),
            route("order", RouteKind::NonIdempotent),
            route("speak", RouteKind::Stream { resumable: true }),
            route("listen", RouteKind::Stream { resumable: false }),
        ],
        services: BTreeMap::from([
            (service("chat"), chat),
            (service("plain"), Service::default()),
        ]),
        organisations: BTreeMap::from([
            (
                OrganisationId::new("mill").unwrap(),
                organisation("k-1", Some(1)),
            ),
            (
                OrganisationId::new("shop").unwrap(),
                organisation("k-2", None),
            ),
        ]),
        limits: CallerLimits::default(),
    };
    PublishedPlan {
        plan,
        source: "{\"Version\":7}".to_owned(),
    }
}

fn publish() -> TimestampedCommand {
    TimestampedCommand {
        at: Millis::new(1_700_000_000_000),
        command: Command::Publish(Box::new(publication())),
    }
}

fn begin_rollout() -> TimestampedCommand {
    TimestampedCommand {
        at: Millis::new(1_700_000_000_500),
        command: Command::BeginRollout(RolloutOrder {
            service: service("chat"),
            target: "r2".to_owned(),
            limit: Millis::from_secs(20),
        }),
    }
}

fn machine() -> StateMachine {
    let mut machine = StateMachine::default();
    machine.apply(&publish());
    machine.apply(&begin_rollout());
    machine
}

/// Guards against a plan whose log entry the previous build cannot read, or reads as another plan.
#[test]
fn log_entry_of_a_plan_keeps_the_bytes_of_level_0() {
    assert_eq!(postcard::to_stdvec(&publish()).unwrap(), from_hex(PUBLISH));
    let decoded: TimestampedCommand = postcard::from_bytes(&from_hex(PUBLISH)).unwrap();
    assert_eq!(decoded, publish());
}

/// Guards against a snapshot that the previous build cannot read, and against one of its snapshots
/// that this build cannot read.
#[test]
fn snapshot_keeps_the_bytes_of_level_0() {
    assert_eq!(machine().to_state().unwrap(), from_hex(SNAPSHOT));
    let decoded = StateMachine::from_state(&from_hex(SNAPSHOT)).unwrap();
    assert_eq!(decoded, machine());
}

/// Returns the state at level 1 with a plan as JSON text and an evacuation.
fn machine_of_level_1() -> StateMachine {
    let mut machine = machine();
    let mut newer = publication();
    newer.plan.version = PlanVersion(8);
    let document = PlanDocument::try_from(newer).unwrap();
    for command in [
        Command::RaiseLevel(FormatLevel(1)),
        Command::PublishDocument(Box::new(document)),
        Command::BeginEvacuation(DataCentre::new("north").unwrap()),
    ] {
        let at = Millis::new(1_700_000_001_000);
        machine.apply(&TimestampedCommand { at, command });
    }
    machine
}

#[test]
fn snapshot_of_level_1_is_the_old_state_with_an_extension() {
    let machine = machine_of_level_1();
    let state = machine.to_state().unwrap();
    assert_eq!(StateMachine::from_state(&state).unwrap(), machine);
    let (old, rest): (StateMachine, _) = postcard::take_from_bytes(&state).unwrap();
    assert_eq!(old.publication(), machine.publication());
    assert!(rest.starts_with(b"{\"level\":1,"));
}

/// Guards against a replica that goes on from a snapshot that it reads only in part.
#[test]
fn snapshot_of_a_later_level_is_refused() {
    let state = machine_of_level_1().to_state().unwrap();
    let (_, rest): (StateMachine, _) = postcard::take_from_bytes(&state).unwrap();
    let mut later = state[..state.len() - rest.len()].to_vec();
    later.extend(b"{\"level\":3,\"unknown\":[]}");
    let error = StateMachine::from_state(&later).unwrap_err();
    assert!(
        matches!(
            error,
            StateError::Level {
                lacks: FormatLevel(3),
                ..
            }
        ),
        "{error}"
    );
}

/// Guards against a field of a later build's plan that is lost when this build takes a snapshot.
#[test]
fn fields_of_a_plan_that_this_build_ignores_stay_in_the_snapshot() {
    let command =
        Command::PublishDocument(Box::new(PlanDocument::try_from(publication()).unwrap()));
    let at = Millis::new(1_700_000_001_000);
    let bytes = postcard::to_stdvec(&TimestampedCommand { at, command }).unwrap();
    let text = serde_json::to_string(&publication().plan).unwrap();
    let wider = text.replacen('{', "{\"later\":true,", 1);
    let position = bytes
        .windows(text.len())
        .position(|w| w == text.as_bytes())
        .unwrap();
    // The length of a text of 128 to 16,383 bytes takes two bytes before it.
    let mut entry = bytes[..position - 2].to_vec();
    entry.extend(postcard::to_stdvec(&wider).unwrap());
    entry.extend(&bytes[position + text.len()..]);
    let decoded: TimestampedCommand = postcard::from_bytes(&entry).unwrap();
    let command = Command::RaiseLevel(FormatLevel(1));
    let mut machine = StateMachine::default();
    machine.apply(&TimestampedCommand { at, command });
    machine.apply(&decoded);
    let state = machine.to_state().unwrap();
    assert!(String::from_utf8_lossy(&state).contains("later"));
    assert_eq!(StateMachine::from_state(&state).unwrap(), machine);
}

#[test]
fn plan_of_today_fits_the_binary_form() {
    assert!(fits_binary_form(&publication()));
}

/// Guards against log entries of megabytes, behind which the heartbeats between replicas wait.
#[test]
fn log_entry_of_a_large_plan_is_compressed_and_yields_the_same_state() {
    let mut large = publication();
    let first = large.plan.routes[0].clone();
    large.plan.routes = (0..2_000)
        .map(|number| Route {
            prefix: format!("/{:x}/", number * 7_919),
            ..first.clone()
        })
        .collect();
    large.source = serde_json::to_string(&large.plan).unwrap();
    let document = PlanDocument::try_from(large).unwrap();
    let at = Millis::new(1_700_000_001_000);
    let [text, packed] = [
        Command::PublishDocument(Box::new(document.clone())),
        Command::PublishPacked(Box::new(document.into())),
    ]
    .map(|command| postcard::to_stdvec(&TimestampedCommand { at, command }).unwrap());
    assert!(packed.len() * 10 < text.len(), "{} bytes", packed.len());
    let states = [text, packed].map(|entry| {
        let mut machine = StateMachine::default();
        machine.apply(&postcard::from_bytes(&entry).unwrap());
        machine
    });
    assert_eq!(states[0], states[1]);
}
