//! Test entry with a plan, and requests to it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use papayatray_core::clock::Clock;
use papayatray_core::clock::Millis;
use papayatray_core::directory::Endpoint;
use papayatray_core::directory::Load;
use papayatray_core::directory::Offer;
use papayatray_core::gateway::arrivals::ArrivalBound;
use papayatray_core::gateway::canary::ExposureBound;
use papayatray_core::gateway::crashes::CrashCause;
use papayatray_core::gateway::entry_register::EntryUpdates;
use papayatray_core::gateway::homes::Regions;
use papayatray_core::gateway::plan::ApiKey;
use papayatray_core::gateway::plan::Organisation;
use papayatray_core::gateway::plan::Plan;
use papayatray_core::gateway::plan::Route;
use papayatray_core::gateway::plan::RouteKind;
use papayatray_core::gateway::plan::Service;
use papayatray_core::gateway::plan::Target;
use papayatray_core::gateway::warm_up::ColdBound;
use papayatray_core::id::DataCentre;
use papayatray_core::id::EndpointId;
use papayatray_core::id::Incarnation;
use papayatray_core::id::ModelId;
use papayatray_core::id::OrganisationId;
use papayatray_core::id::PlanVersion;
use papayatray_core::id::ServiceId;
use papayatray_core::id::VmId;
use papayatray_core::lease::EntryInfo;
use papayatray_wire::link::ClusterKey;
use papayatray_wire::peer::CrashFindings;
use papayatray_wire::peer::Cursor;
use papayatray_wire::peer::EndpointUpdates;
use papayatray_wire::peer::SyncReply;
use papayatrayd::gateway::Bounds;
use papayatrayd::gateway::Gateway;
use papayatrayd::gateway::HeaderDialect;
use papayatrayd::gateway::HopServer;
use papayatrayd::gateway::Relay;
use papayatrayd::gateway::serve_http;
use papayatrayd::gateway::serve_peers;
use papayatrayd::observe::SystemClock;
use papayatrayd::tasks::Tasks;

use crate::endpoint::FakeEndpoint;

/// Retry budget that no test exhausts by accident.
pub const AMPLE_RETRIES: ArrivalBound = ArrivalBound {
    ratio: 1.0,
    slack: 100.0,
    window: Millis::from_secs(10),
};

/// System clock that a test can advance.
#[derive(Debug, Default)]
pub struct AdvancedClock {
    clock: SystemClock,
    /// Milliseconds by which it is ahead of the system clock.
    ahead: AtomicU64,
}

impl AdvancedClock {
    /// Advances the clock.
    pub fn advance(&self, time: Millis) {
        self.ahead.fetch_add(time.as_u64(), Ordering::Relaxed);
    }

    fn ahead(&self) -> Millis {
        Millis::new(self.ahead.load(Ordering::Relaxed))
    }
}

impl Clock for AdvancedClock {
    fn now(&self) -> Millis {
        self.clock.now() + self.ahead()
    }

    fn wall(&self) -> Millis {
        self.clock.wall() + self.ahead()
    }
}

/// Entry under test.
pub struct Rig {
    /// State of the entry.
    pub gateway: Arc<Gateway>,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
}

/// Response as a caller received it.
#[derive(Clone, Debug)]
pub struct ReceivedResponse {
    /// Status.
    pub status: u16,
    /// Head in lower case.
    pub head: String,
    /// Body as received, including chunk headers.
    pub body: String,
}

impl ReceivedResponse {
    /// Returns the value of `Retry-After` in seconds.
    pub fn retry_after(&self) -> f64 {
        let mut lines = self.head.lines();
        let value = lines.find_map(|line| line.strip_prefix("retry-after:"));
        value.unwrap().trim().parse().unwrap()
    }
}

/// Returns a route without an API key to the service `app`, with a latency objective of 2 s and a
/// time-out of 3 s.
pub fn route(kind: RouteKind, prefix: &str) -> Route {
    Route {
        name: prefix.to_owned(),
        host: "orders.example".to_owned(),
        prefix: prefix.to_owned(),
        kind,
        timeout: Millis::new(3_000),
        objective: Millis::new(2_000),
        pause: Some(Millis::new(100)),
        rank: 1,
        sizes: Vec::new(),
        targets: vec![Target {
            service: ServiceId::new("app").unwrap(),
            weight: 1,
        }],
        attempts: 3,
        public: true,
        homes: BTreeSet::new(),
    }
}

/// Returns a plan with a route of each kind, one that needs a key, one whose model the gateway
/// chooses, and one with a short time-out.
pub fn plan() -> Plan {
    let stream = RouteKind::Stream { resumable: true };
    let keyed = Route {
        public: false,
        ..route(RouteKind::Idempotent, "/keyed/")
    };
    let sized = Route {
        sizes: vec![
            ModelId::new("small").unwrap(),
            ModelId::new("large").unwrap(),
        ],
        ..route(stream, "/sized/")
    };
    let once = Route {
        attempts: 1,
        ..route(RouteKind::NonIdempotent, "/once/")
    };
    let brief = Route {
        timeout: Millis::new(300),
        ..route(RouteKind::Idempotent, "/brief/")
    };
    let mill = Organisation {
        keys: BTreeSet::from([ApiKey("key-1".to_owned())]),
        rank: None,
        homes: BTreeSet::new(),
    };
    Plan {
        version: PlanVersion(1),
        routes: vec![
            route(RouteKind::Idempotent, "/safe/"),
            route(stream, "/stream/"),
            once,
            keyed,
            sized,
            brief,
        ],
        services: BTreeMap::from([(ServiceId::new("app").unwrap(), Service::default())]),
        organisations: BTreeMap::from([(OrganisationId::new("mill").unwrap(), mill)]),
        ..Plan::default()
    }
}

/// Returns the first announcement of the endpoint `e` and `index`.
pub fn announcement(index: usize, fake: &FakeEndpoint) -> Endpoint {
    Endpoint {
        id: EndpointId::new(format!("e{index}")).unwrap(),
        incarnation: Incarnation(1),
        sequence: 1,
        address: fake.address.to_string(),
        data_centre: DataCentre::new("here").unwrap(),
        offer: Offer::Service(ServiceId::new("app").unwrap()),
        slots: 8,
        fences: false,
        leaving: false,
        load: Load::default(),
        release: "v1".to_owned(),
        warm_up_left: Millis::ZERO,
    }
}

impl Rig {
    /// Starts an entry with [`plan`] and these endpoints, whose ids are `e0`, `e1` and so on.
    pub fn start(endpoints: &[&FakeEndpoint]) -> Self {
        let rig = Self::without_plan();
        rig.apply_update(plan(), endpoints);
        rig
    }

    /// Starts an entry that has received no update.
    pub fn without_plan() -> Self {
        Self::with_clock(Arc::new(SystemClock::default()))
    }

    /// Starts an entry that has received no update, with this clock.
    pub fn with_clock(clock: Arc<dyn Clock>) -> Self {
        Self::with_arrivals(clock, AMPLE_RETRIES)
    }

    /// Starts an entry that has received no update, with this clock and retry budget.
    pub fn with_arrivals(clock: Arc<dyn Clock>, arrivals: ArrivalBound) -> Self {
        Self::with_name("vm-1", clock, arrivals)
    }

    /// Starts an entry of this name that has received no update, with this clock and retry budget.
    pub fn with_name(vm: &str, clock: Arc<dyn Clock>, arrivals: ArrivalBound) -> Self {
        Self::with_regions(vm, clock, arrivals, Regions::default())
    }

    /// Starts an entry like [`Self::with_name`], with these regions of data centres.
    pub fn with_regions(
        vm: &str,
        clock: Arc<dyn Clock>,
        arrivals: ArrivalBound,
        regions: Regions,
    ) -> Self {
        let tasks = Tasks::new(2).unwrap();
        let listener = smol::block_on(smol::net::TcpListener::bind("127.0.0.1:0")).unwrap();
        let address = listener.local_addr().unwrap();
        let bounds = Bounds {
            revocation: Millis::from_secs(5),
            in_force: Millis::from_secs(4),
            heartbeat: Millis::from_secs(1),
            arrivals,
            exposure: ExposureBound {
                share: 0.1,
                slack: 0.0,
            },
            grace: Millis::from_secs(2),
            hold: Millis::from_secs(1),
            cold: ColdBound::default(),
        };
        let peer_listener = smol::block_on(smol::net::TcpListener::bind("127.0.0.1:0")).unwrap();
        let peer_address = peer_listener.local_addr().unwrap();
        let key = ClusterKey::new("secret of the deployment under test");
        let mut gateway = Gateway::new(
            VmId::new(vm).unwrap(),
            DataCentre::new("here").unwrap(),
            address.to_string(),
            bounds,
            Arc::new(HeaderDialect::default()),
            clock,
            tasks.clone(),
        );
        gateway.regions = regions;
        gateway.enable_hops(peer_address, key.clone());
        let gateway = Arc::new(gateway);
        tasks.spawn(Arc::clone(&gateway).watch_reach());
        let hop_server = Arc::new(HopServer::new(Arc::clone(&gateway)));
        tasks.spawn(serve_peers(peer_listener, hop_server, key, tasks.clone()));
        let relay = Arc::new(Relay::new(Arc::clone(&gateway)));
        tasks.spawn(serve_http(listener, relay, tasks.clone()));
        Self { gateway, address }
    }

    /// Applies an update with a plan and endpoints, and evidence that the plan is the newest.
    pub fn apply_update(&self, plan: Plan, endpoints: &[&FakeEndpoint]) {
        self.apply_incarnation(plan, endpoints, Incarnation(1), 1);
    }

    /// Applies an update like [`Self::apply_update`], with this incarnation and sequence number of
    /// all endpoints.
    pub fn apply_incarnation(
        &self,
        plan: Plan,
        endpoints: &[&FakeEndpoint],
        incarnation: Incarnation,
        sequence: u64,
    ) {
        let changed = endpoints.iter().enumerate().map(|(index, fake)| Endpoint {
            incarnation,
            sequence,
            ..announcement(index, fake)
        });
        self.apply_announcements(plan, changed.collect());
    }

    /// Applies an update like [`Self::apply_update`], with these announcements of endpoints.
    pub fn apply_announcements(&self, plan: Plan, changed: Vec<Endpoint>) {
        let reply = SyncReply {
            is_current: true,
            version: plan.version,
            plan: Some(plan),
            endpoints: EndpointUpdates {
                changed,
                ..EndpointUpdates::default()
            },
            ..SyncReply::default()
        };
        let now = self.gateway.clock.now();
        self.gateway.apply_sync("control", reply, now);
    }

    /// Applies a list of entries that holds these ones.
    pub fn apply_peers(&self, peers: &[&Self]) {
        let changed = peers.iter().map(|peer| peer.gateway.info());
        self.apply_entry_list(changed.collect());
    }

    /// Applies the list of entries of a control replica that has just started.
    pub fn apply_entries<I>(&self, names: I)
    where
        I: IntoIterator<Item = String>,
    {
        let changed = names.into_iter().map(|name| EntryInfo {
            vm: VmId::new(name).unwrap(),
            ..self.gateway.info()
        });
        self.apply_entry_list(changed.collect());
    }

    /// Applies a list of entries that holds these ones.
    pub fn apply_entry_list(&self, changed: Vec<EntryInfo>) {
        let reply = SyncReply {
            entries: EntryUpdates {
                number: 1,
                is_complete: true,
                changed,
                removed: Vec::new(),
            },
            ..SyncReply::default()
        };
        let now = self.gateway.clock.now();
        self.gateway.apply_sync("control", reply, now);
    }

    /// Applies an update of the leader with what is quarantined for crashing endpoints.
    pub fn apply_quarantined(&self, quarantined: Vec<CrashCause>) {
        self.apply_quarantined_by(Incarnation(1), quarantined);
    }

    /// Applies an update like [`Self::apply_quarantined`], of this incarnation of the leader.
    pub fn apply_quarantined_by(&self, leader: Incarnation, quarantined: Vec<CrashCause>) {
        let reply = SyncReply {
            is_current: true,
            endpoints: EndpointUpdates {
                cursor: Cursor {
                    incarnation: leader,
                    number: 0,
                },
                ..EndpointUpdates::default()
            },
            findings: Some(CrashFindings {
                number: 1,
                quarantined,
                suspected: Vec::new(),
            }),
            ..SyncReply::default()
        };
        let now = self.gateway.clock.now();
        self.gateway.apply_sync("control", reply, now);
    }

    /// Returns the number of requests and prompt parts that the entry suspects of crashing endpoints.
    pub fn suspect_count(&self) -> usize {
        self.gateway.suspect_count()
    }

    /// Sends a request with a short body and returns the complete response.
    pub fn request(&self, path: &str, headers: &str) -> ReceivedResponse {
        self.request_with_body(path, headers, "body")
    }

    /// Sends a request with this body and returns the complete response.
    pub fn request_with_body(&self, path: &str, headers: &str, body: &str) -> ReceivedResponse {
        let mut stream = self.start_request(path, headers, body);
        let mut bytes = Vec::new();
        // If the connection breaks, the response ends with the bytes received so far.
        let _ended = stream.read_to_end(&mut bytes);
        parse(&bytes)
    }

    /// Sends a request and returns the connection, from which the response can be read.
    pub fn start_request(&self, path: &str, headers: &str, body: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .unwrap();
        let request = format!(
            "POST {path} HTTP/1.1\r\nHost: orders.example\r\nConnection: close\r\n\
             Papayatray-Request: r-1\r\n{headers}Content-Length: {}\r\n\r\n{body}",
            body.len(),
        );
        stream.write_all(request.as_bytes()).unwrap();
        stream
    }
}

fn parse(bytes: &[u8]) -> ReceivedResponse {
    let text = String::from_utf8_lossy(bytes);
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
    ReceivedResponse {
        status: status.unwrap_or(0),
        head: head.to_ascii_lowercase(),
        body: body.to_owned(),
    }
}
