//! Test rig: daemons on loopback with engines, a plain service and a configured organisation.

use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;
use std::time::Instant;

use http_types::Method;
use papayatray_standin::Announcer;
use papayatray_standin::CallError;
use papayatray_standin::CallResponse;
use papayatray_standin::EndpointInfo;
use papayatray_standin::Engine;
use papayatray_standin::EngineOptions;
use papayatray_standin::OPERATOR_KEY;
use papayatray_standin::PLATFORM_KEY;
use papayatray_standin::PlainService;
use papayatray_standin::Program;
use papayatray_standin::Site;
use papayatray_standin::call;
use serde_json::Value;
use serde_json::json;
use smol::Timer;

/// Key of the test's organisation.
pub const KEY: &str = "key-of-the-mill";
/// Data centres of the site.
const DATA_CENTRES: [&str; 3] = ["aviles", "gijon", "oviedo"];
/// Maximum wait for a condition, after which a test fails.
pub const TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Daemons with the endpoints that they use.
///
/// VMs are given by their index in [`Site::vms`].
pub struct Rig {
    pub site: Site,
    pub engines: Vec<Engine>,
    pub service: PlainService,
    pub announcers: Vec<Announcer>,
}

impl Rig {
    /// Starts `vms` daemons and `engines` engines that serve `drafter@1`.
    pub async fn start(name: &str, vms: usize, engines: usize) -> Self {
        let site = Self::prepare_site(name, vms);
        Self::start_on(site, engines, EngineOptions::default()).await
    }

    /// Prepares the settings of a site without starting it.
    pub fn prepare_site(name: &str, vms: usize) -> Site {
        let path = env!("CARGO_BIN_EXE_papayatrayd").into();
        let program = Program {
            path,
            arguments: Vec::new(),
        };
        let extra = "hold = \"300ms\"\nprogress = \"500ms\"\ntraced = 1000";
        Site::new(program, name, vms, &DATA_CENTRES, extra).unwrap()
    }

    /// Starts the daemons of a site, an organisation, a plain service and `engines` engines.
    pub async fn start_on(mut site: Site, engines: usize, options: EngineOptions) -> Self {
        site.start_all().unwrap();
        let all_vms: Vec<usize> = (0..site.vms().len()).collect();
        site.wait_ready(&all_vms, TIMEOUT).await.unwrap();
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let service = PlainService::start(any_port, Duration::from_millis(5))
            .await
            .unwrap();
        let announcers = Vec::new();
        let mut rig = Self {
            site,
            engines: Vec::new(),
            service,
            announcers,
        };
        rig.configure().await;
        for number in 0..engines {
            rig.add_engine(number, "drafter@1", options.clone()).await;
        }
        let info = EndpointInfo {
            id: "pedidos-1".to_owned(),
            address: rig.service.address(),
            data_centre: DATA_CENTRES[0].to_owned(),
            versions: Vec::new(),
            service: Some("pedidos-app".to_owned()),
            slots: 16,
        };
        rig.announce(info);
        rig.wait_endpoints(engines + 1).await;
        rig
    }

    /// Starts an engine that serves `version`, and announces it as `engine-{number}`.
    pub async fn add_engine(&mut self, number: usize, version: &str, options: EngineOptions) {
        let versions = [version.to_owned()].into();
        let engine = Engine::start(EngineOptions {
            versions,
            ..options
        })
        .await
        .unwrap();
        let info = EndpointInfo {
            id: format!("engine-{number}"),
            address: engine.address(),
            data_centre: DATA_CENTRES[number % 3].to_owned(),
            versions: vec![version.to_owned()],
            service: None,
            slots: 8,
        };
        self.announce(info);
        self.engines.push(engine);
    }

    fn announce(&mut self, info: EndpointInfo) {
        self.announcers.push(Announcer::start(
            info,
            self.site.caller_addresses(),
            PLATFORM_KEY,
        ));
    }

    /// Declares the version, the service and the organisation that the tests use.
    async fn configure(&self) {
        let hash = |key: &str| {
            // The same digest as the command-line tool computes for operators.
            blake3::hash(key.as_bytes()).to_hex().to_string()
        };
        let edits = json!([
            {"declare-version": {"version": "drafter@1", "price_in": 10, "price_out": 20, "prior": 900}},
            {"offer": {"version": "drafter@1"}},
            {"declare-service": {"service": "pedidos-app", "about": {"repeatable": ["PUT"], "price": 3}}},
            {"create-organisation": {"organisation": "mill", "class": "paying"}},
            {"set-grants": {"organisation": "mill", "grants": [{"model": "drafter"}]}},
            {"add-key": {"organisation": "mill", "label": "first", "hash": hash(KEY)}},
        ]);
        let revision = self.submit_change(0, "first", 0, edits).await.unwrap();
        self.wait_in_force(revision).await;
    }

    /// Submits a change based on revision `base`, again and again until it gets an outcome.
    ///
    /// Returns the accepted revision, or else the outcome or the last failure as text.
    pub async fn submit_change(
        &self,
        vm: usize,
        id: &str,
        base: u64,
        edits: Value,
    ) -> Result<u64, String> {
        let body = json!({"id": id, "base": base, "why": "test", "edits": edits});
        let started_at = Instant::now();
        loop {
            let response = self
                .operator_request(vm, Method::Post, "changes", &body)
                .await;
            match response {
                Ok(response) if response.status == 200 => {
                    let outcome = &response.json()["outcome"];
                    return outcome["accepted"]
                        .as_u64()
                        .ok_or_else(|| outcome.to_string());
                }
                _ if started_at.elapsed() < TIMEOUT => drop(Timer::after(POLL_INTERVAL).await),
                other => return Err(format!("{other:?}")),
            }
        }
    }

    /// Sends a request below `/operator/v1/` with the operator's key to VM `vm`.
    pub async fn operator_request(
        &self,
        vm: usize,
        method: Method,
        path: &str,
        body: &Value,
    ) -> Result<CallResponse, CallError> {
        let bearer = format!("Bearer {OPERATOR_KEY}");
        let headers = [
            ("authorization", bearer.as_str()),
            ("content-type", "application/json"),
        ];
        let path = format!("/operator/v1/{path}");
        let address = self.site.vms()[vm].caller_address;
        call(
            address,
            method,
            &path,
            &headers,
            body.to_string().into_bytes(),
        )
        .await
    }

    /// Returns the status of the leader, requested from a VM.
    pub async fn leader_status(&self, vm: usize) -> Option<Value> {
        let response = self
            .operator_request(vm, Method::Get, "status", &Value::Null)
            .await
            .ok()?;
        let all = response.json();
        let is_leader = |s: &&Value| s["role"] == "leader" && !s["in_force"].is_null();
        all.as_array()?.iter().find(is_leader).cloned()
    }

    /// Returns the index of the leader's VM, according to VM `vm`.
    pub async fn leader(&self, vm: usize) -> Option<usize> {
        let status = self.leader_status(vm).await?;
        self.site
            .vms()
            .iter()
            .position(|vm| status["vm"] == vm.name.as_str())
    }

    /// Waits until `revision` or a later one is in force; returns the time that took.
    pub async fn wait_in_force(&self, revision: u64) -> Duration {
        let started_at = Instant::now();
        self.wait_until("the revision is in force", || async {
            let status = self.leader_status_from_any_vm().await;
            status.is_some_and(|s| s["in_force"].as_u64() >= Some(revision))
        })
        .await;
        started_at.elapsed()
    }

    async fn leader_status_from_any_vm(&self) -> Option<Value> {
        for vm in 0..self.site.vms().len() {
            if let Some(status) = self.leader_status(vm).await {
                return Some(status);
            }
        }
        None
    }

    /// Waits until every VM lists at least `count` endpoints.
    pub async fn wait_endpoints(&self, count: usize) {
        for vm in 0..self.site.vms().len() {
            self.wait_until("all VMs know the endpoints", || async {
                let response = self
                    .operator_request(vm, Method::Get, "endpoints", &Value::Null)
                    .await;
                response.is_ok_and(|a| a.json().as_array().map_or(0, Vec::len) >= count)
            })
            .await;
        }
    }

    /// Waits until a condition holds; panics with `what` after [`TIMEOUT`].
    pub async fn wait_until<F, Fut>(&self, what: &str, condition: F)
    where
        F: Fn() -> Fut,
        Fut: Future<Output = bool>,
    {
        let started_at = Instant::now();
        while !condition().await {
            assert!(
                started_at.elapsed() < TIMEOUT,
                "timed out waiting until: {what}"
            );
            Timer::after(POLL_INTERVAL).await;
        }
    }

    /// Sends a chat to the entry on VM `vm`; the response is a stream of events if `stream` is set.
    pub async fn chat(
        &self,
        vm: usize,
        prompt: &str,
        stream: bool,
    ) -> Result<CallResponse, CallError> {
        self.chat_with(vm, prompt, stream, &[]).await
    }

    /// Sends a chat with additional headers to the entry on VM `vm`.
    pub async fn chat_with(
        &self,
        vm: usize,
        prompt: &str,
        stream: bool,
        headers: &[(&str, &str)],
    ) -> Result<CallResponse, CallError> {
        chat(self.site.vms()[vm].caller_address, prompt, stream, headers).await
    }

    /// Calls the plain service with request id `id` through the entry on VM `vm`.
    pub async fn call_service(
        &self,
        vm: usize,
        method: Method,
        id: &str,
        body: &str,
    ) -> Result<CallResponse, CallError> {
        call_service(self.site.vms()[vm].caller_address, method, id, body).await
    }

    /// Returns the request id of each bill.
    pub async fn bills(&self, vm: usize) -> Vec<String> {
        let response = self
            .operator_request(vm, Method::Get, "bills?lines=1", &Value::Null)
            .await
            .unwrap();
        let lines = response.json()["lines"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        lines
            .iter()
            .map(|line| line["key"]["request"].as_str().unwrap().to_owned())
            .collect()
    }

    /// Sends a signal to the daemon of a VM.
    pub fn signal(&self, vm: usize, signal: &str) {
        let process = self.site.process_id(vm).unwrap().to_string();
        let status = Command::new("kill")
            .args([signal, &process])
            .status()
            .unwrap();
        assert!(status.success());
    }
}

/// Sends a chat to an entry; the response is a stream of events if `stream` is set.
pub async fn chat(
    entry: SocketAddr,
    prompt: &str,
    stream: bool,
    headers: &[(&str, &str)],
) -> Result<CallResponse, CallError> {
    let messages = json!([{"role": "user", "content": prompt}]);
    chat_with_messages(entry, &messages, stream, headers).await
}

/// Sends a chat request with these messages to an entry.
pub async fn chat_with_messages(
    entry: SocketAddr,
    messages: &Value,
    stream: bool,
    headers: &[(&str, &str)],
) -> Result<CallResponse, CallError> {
    let body = json!({"model": "auto", "messages": messages, "stream": stream});
    let bearer = format!("Bearer {KEY}");
    let mut all = vec![
        ("authorization", bearer.as_str()),
        ("content-type", "application/json"),
    ];
    all.extend_from_slice(headers);
    call(
        entry,
        Method::Post,
        "/v1/chat/completions",
        &all,
        body.to_string().into_bytes(),
    )
    .await
}

/// Calls the plain service with request id `id` through an entry.
pub async fn call_service(
    entry: SocketAddr,
    method: Method,
    id: &str,
    body: &str,
) -> Result<CallResponse, CallError> {
    let bearer = format!("Bearer {KEY}");
    let headers = [("authorization", bearer.as_str()), ("idempotency-key", id)];
    let path = "/v1/services/pedidos-app/orders";
    call(entry, method, path, &headers, body.as_bytes().to_vec()).await
}

/// Returns the text that an engine generates for a prompt with the first word `word`.
pub fn expected_text(word: &str, tokens: usize) -> String {
    let words: Vec<String> = (0..tokens).map(|n| format!("{word}:{n} ")).collect();
    words.concat()
}
