//! Tests of the operators' command-line tool, run as a program.

use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use papayatray_core::format::FormatLevel;
use papayatray_standin::OPERATOR_KEY;
use papayatray_standin::Program;
use papayatray_standin::Site;
use papayatray_standin::free_address;

/// Time-out for the site to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Plan with one version and one organisation.
const PLAN: &str = r#"
[versions."drafter@1"]
price_in = 10
price_out = 20
prior = 900
stage = "offered"

[organisations.mill]
class = "paying"
grants = ["drafter"]
"#;

/// Runs the tool against the entry at an address.
fn tool(address: &str, arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_papayatray"))
        .args(arguments)
        .env("PAPAYATRAY_ADDRESS", address)
        .env("PAPAYATRAY_KEY", OPERATOR_KEY)
        .output()
        .expect("the tool runs")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn exit_code(output: &Output) -> Option<i32> {
    output.status.code()
}

/// Returns the path of the daemon, which is next to the tool once the workspace is built.
fn daemon() -> PathBuf {
    let tool = PathBuf::from(env!("CARGO_BIN_EXE_papayatray"));
    tool.with_file_name("papayatrayd")
}

#[test]
fn usage_errors_are_reported_without_a_request() {
    let unused_address = free_address().expect("an address").to_string();
    let cases: [&[&str]; 4] = [
        &["org", "create", "mill", "--class", "golden"],
        &["version", "offer", "no-version"],
        &["exception", "mill", "--reason", "x"],
        &["status", "--format", "xml"],
    ];
    for arguments in cases {
        let output = tool(&unused_address, arguments);
        assert_eq!(exit_code(&output), Some(2), "{arguments:?}: {output:?}");
        let lines = String::from_utf8_lossy(&output.stderr).lines().count();
        assert_eq!(lines, 1, "{output:?}");
    }
    let output = tool(&unused_address, &["status"]);
    assert_eq!(exit_code(&output), Some(1));
    assert!(
        String::from_utf8_lossy(&output.stderr).contains("--address"),
        "the message suggests another address"
    );
}

#[test]
fn new_key_prints_a_key_and_its_digest() {
    // The command sends no request, so nothing needs to listen at the address.
    let output = tool("127.0.0.1:1", &["new-key", "--format", "json"]);
    let printed: serde_json::Value = serde_json::from_str(&stdout(&output)).expect("JSON");
    let key = printed["key"].as_str().expect("a key");
    let hash = blake3::hash(key.as_bytes()).to_hex().to_string();
    assert_eq!(printed["hash"], hash.as_str());
}

#[test]
fn operator_workflow_runs_against_a_live_site() {
    assert!(
        daemon().exists(),
        "papayatrayd is not built; run cargo test --workspace"
    );
    let program = Program {
        path: daemon(),
        arguments: Vec::new(),
    };
    // Three VMs in one data centre, without additional settings.
    let mut site = Site::new(program, "cli", 3, &["aviles"], "").expect("a site");
    site.start_all().expect("daemons");
    smol::block_on(site.wait_ready(&[0, 1, 2], READY_TIMEOUT)).expect("ready");
    let address = site.vms()[0].caller_address.to_string();
    let run = |arguments: &[&str]| tool(&address, arguments);
    let path = std::env::temp_dir().join(format!("papayatray-plan-{}.toml", std::process::id()));
    std::fs::write(&path, PLAN).expect("a plan");
    let plan = path.to_string_lossy().into_owned();

    let output = run(&["diff", &plan]);
    assert!(stdout(&output).contains("DeclareVersion"), "{output:?}");
    let output = run(&["apply", &plan, "--why", "first day"]);
    assert_eq!(exit_code(&output), Some(0), "{output:?}");
    assert!(
        stdout(&output).contains("in force everywhere"),
        "{output:?}"
    );
    assert!(stdout(&run(&["diff", &plan])).contains("nothing differs"));

    let output = run(&["org", "add-key", "mill", "first"]);
    assert!(stdout(&output).contains("ptk_"), "{output:?}");
    let output = run(&["org", "quality", "mill", "950", "--reason", "contract"]);
    assert_eq!(exit_code(&output), Some(0), "{output:?}");
    assert!(stdout(&run(&["exceptions"])).contains("contract"));
    assert!(stdout(&run(&["orgs"])).contains("950"));
    assert!(stdout(&run(&["versions"])).contains("offered"));

    let output = run(&["version", "resume", "drafter@1"]);
    assert_eq!(exit_code(&output), Some(1), "a refused change: {output:?}");
    assert!(String::from_utf8_lossy(&output.stderr).contains("offered"));
    let output = run(&["org", "create", "mill"]);
    assert!(
        String::from_utf8_lossy(&output.stderr).contains("exists already"),
        "{output:?}"
    );

    let status = stdout(&run(&["status"]));
    assert!(status.contains("in force everywhere"), "{status}");
    assert_eq!(
        status
            .lines()
            .filter(|line| line.starts_with("entry"))
            .count(),
        3,
        "{status}"
    );
    let history = stdout(&run(&["history"]));
    assert!(
        history.contains("first day") && history.contains("operator"),
        "{history}"
    );
    assert!(stdout(&run(&["bills", "--csv"])).starts_with("organisation,day"));
    // The site has no VM of this name.
    let output = run(&["drain", "vm-9"]);
    assert_eq!(exit_code(&output), Some(1), "{output:?}");
    std::fs::remove_file(&path).expect("the plan is removed");
}

/// Control replicas of a gateway, killed when they are dropped.
struct GatewayReplicas {
    children: Vec<Child>,
    folder: PathBuf,
    /// Address of the operator interface of each replica.
    addresses: Vec<String>,
}

impl GatewayReplicas {
    /// Starts three replicas without entries.
    fn start() -> Self {
        let name = format!("papayatray-cli-gateway-{}", std::process::id());
        let mut replicas = Self {
            children: Vec::new(),
            folder: std::env::temp_dir().join(name),
            addresses: Vec::new(),
        };
        let free = || free_address().expect("an address").to_string();
        let seeds: Vec<String> = (0..3).map(|_| free()).collect();
        for (number, peer) in seeds.iter().enumerate() {
            let (folder, address) = (replicas.folder.join(number.to_string()), free());
            std::fs::create_dir_all(&folder).expect("a folder");
            let settings = format!(
                "vm = \"control-{number}\"\ndata_centre = \"north\"\n\
                 cluster_secret = \"0123456789abcdef\"\nseeds = {seeds:?}\n\
                 [control]\npeer_address = \"{peer}\"\noperator_address = \"{address}\"\n\
                 data_folder = \"{}\"\nfounds = true\n",
                folder.display(),
            );
            let path = replicas.folder.join(format!("{number}.toml"));
            std::fs::write(&path, settings).expect("settings");
            let child = Command::new(daemon().with_file_name("papayatray-gateway"))
                .arg(&path)
                .stdout(Stdio::null())
                .spawn();
            let child = child.expect("papayatray-gateway is built by cargo test --workspace");
            replicas.children.push(child);
            replicas.addresses.push(address);
        }
        replicas
    }
}

impl Drop for GatewayReplicas {
    fn drop(&mut self) {
        for child in &mut self.children {
            // The process may have exited already.
            let _killed = child.kill();
            let _ended = child.wait();
        }
        // A folder that stays does no harm.
        let _gone = std::fs::remove_dir_all(&self.folder);
    }
}

/// Guards against a tool and a gateway that disagree on paths or bodies, and against an order that fails
/// for good because the format level rises a second after the start.
#[test]
fn data_centre_is_evacuated_and_readmitted_at_a_live_gateway() {
    let replicas = GatewayReplicas::start();
    let address = &replicas.addresses[0];
    let begin = Instant::now();
    let mut output = tool(address, &["evacuate", "north"]);
    while exit_code(&output) != Some(0) && begin.elapsed() < READY_TIMEOUT {
        output = tool(address, &["evacuate", "north"]);
    }
    assert_eq!(exit_code(&output), Some(0), "{output:?}");
    // The order needs level 1; the level rises on to the highest one.
    let highest = format!("format level {} in force", FormatLevel::HIGHEST);
    let mut shown = stdout(&tool(address, &["show"]));
    while !shown.contains(&highest) && begin.elapsed() < READY_TIMEOUT {
        shown = stdout(&tool(address, &["show"]));
    }
    assert!(shown.contains("evacuated north"), "{shown}");
    assert!(shown.contains(&highest), "{shown}");
    let reads = format!("reads level {}", FormatLevel::HIGHEST);
    assert_eq!(shown.matches(&reads).count(), 3, "{shown}");
    let output = tool(address, &["readmit", "north"]);
    assert_eq!(exit_code(&output), Some(0), "{output:?}");
    let shown = stdout(&tool(address, &["show", "--format", "json"]));
    assert!(shown.contains("\"evacuations\":[]"), "{shown}");
}
