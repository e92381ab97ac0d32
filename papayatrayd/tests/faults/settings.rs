//! Invalid settings are reported in one line, and the pages for operators match the code.

use std::process::Command;

use papayatray_wire::http::ErrorCode;
use papayatrayd::settings::Settings;
use proptest::proptest;

const VALID_SETTINGS: &str = r#"
vm = "vm-1"
data_centre = "aviles"
peer_address = "127.0.0.1:7001"
cluster_secret = "sixteen bytes or more"
[replicas]
vm-1 = "127.0.0.1:7001"
vm-2 = "127.0.0.1:7002"
vm-3 = "127.0.0.1:7003"
[entry]
caller_address = "127.0.0.1:8001"
"#;

/// Returns the error for the valid settings with the text `from` replaced by `to`.
fn parse_error(from: &str, to: &str) -> String {
    let text = VALID_SETTINGS.replace(from, to);
    assert_ne!(text, VALID_SETTINGS);
    Settings::parse("site.toml", &text)
        .expect_err("an error")
        .to_string()
}

#[test]
fn each_error_names_file_key_value_and_what_was_expected() {
    assert!(Settings::parse("site.toml", VALID_SETTINGS).is_ok());
    // Text in the valid settings, its replacement, and parts of the expected message.
    let cases = [
        ("[entry]", "[entry]\nspeed = 3", ["speed", "unknown field"]),
        (
            "[entry]",
            "[entry]\nhold = \"3 parsecs\"",
            ["entry.hold", "a time with its unit"],
        ),
        (
            "[entry]",
            "[entry]\nhold = \"0ms\"",
            ["entry.hold", "from 10 to"],
        ),
        (
            "[entry]",
            "[entry]\nbody = \"1 MB\"",
            ["entry.body", "a size with its unit"],
        ),
        (
            "127.0.0.1:8001",
            "127.0.0.1:7002",
            ["127.0.0.1:7002", "replicas.vm-2 has this one"],
        ),
        ("vm-3 = \"127.0.0.1:7003\"", "", ["2 entries", "odd number"]),
        (
            "vm-3",
            "vm-4 = \"127.0.0.1:7004\"\nvm-3",
            ["4 entries", "odd number"],
        ),
        (
            "peer_address = \"127.0.0.1:7001\"",
            "peer_address = \"nowhere\"",
            ["peer_address", "nowhere"],
        ),
        ("vm = \"vm-1\"", "vm = \"vm 1\"", ["vm", "letters, digits"]),
        (
            "sixteen bytes or more",
            "short",
            ["cluster_secret", "at least 16 bytes"],
        ),
        (
            "[entry]\ncaller_address = \"127.0.0.1:8001\"",
            "",
            ["(roles)", "a table [entry]"],
        ),
        (
            "[entry]",
            "[control]\ndata_folder = \"/no/such/folder\"\n[entry]",
            ["control.data_folder", "a folder that exists"],
        ),
        (
            "[entry]",
            "[log]\nlevel = \"loud\"\n[entry]",
            ["log.level", "error, warn, info or debug"],
        ),
        ("[replicas]", "[replicas", ["(line", "wanted is"]),
    ];
    for (from, to, parts) in cases {
        let line = parse_error(from, to);
        assert!(line.starts_with("site.toml: "), "{line}");
        assert!(!line.contains('\n'), "{line}");
        for part in parts {
            assert!(line.contains(part), "{part:?} is missing in: {line}");
        }
    }
}

#[test]
fn errors_and_debug_output_hide_the_secret() {
    let line = parse_error("\"sixteen bytes or more\"", "123456789");
    assert!(!line.contains("123456789"), "{line}");
    let settings = Settings::parse("site.toml", VALID_SETTINGS).unwrap();
    assert!(!format!("{settings:?}").contains("sixteen"));
}

#[test]
fn check_flag_reports_validity_by_the_exit_code() {
    let path = std::env::temp_dir().join(format!("papayatray-check-{}.toml", std::process::id()));
    for (text, code) in [
        (VALID_SETTINGS.to_owned(), 0),
        (VALID_SETTINGS.replace("vm-3", "vm-2"), 2),
    ] {
        std::fs::write(&path, text).unwrap();
        let output = Command::new(env!("CARGO_BIN_EXE_papayatrayd"))
            .arg("--check")
            .arg(&path)
            .output()
            .unwrap();
        assert_eq!(output.status.code(), Some(code), "{output:?}");
        let lines = String::from_utf8_lossy(&output.stderr).lines().count();
        assert_eq!(lines, usize::from(code != 0));
    }
    std::fs::remove_file(&path).unwrap();
}

/// Operators' page, whose tables are compared with the code.
const OPERATIONS_PAGE: &str = include_str!("../../../docs/OPERATIONS.md");

/// Returns the keys of a settings table, taken from the error message for an unknown key.
fn accepted_keys(table: &str) -> Vec<String> {
    let text = match table {
        "" => VALID_SETTINGS.replace("vm = ", "no_such_key = 1\nvm = "),
        "entry" => VALID_SETTINGS.replace("[entry]", "[entry]\nno_such_key = 1"),
        other => format!("{VALID_SETTINGS}\n[{other}]\nno_such_key = 1"),
    };
    let line = Settings::parse("site.toml", &text)
        .expect_err("an error")
        .to_string();
    let listed = line.split("expected").nth(1).expect("a list of keys");
    listed
        .split('`')
        .skip(1)
        .step_by(2)
        .map(str::to_owned)
        .collect()
}

#[test]
fn settings_page_lists_every_key_and_no_other() {
    let tables = [
        "replicas",
        "entry",
        "control",
        "operators",
        "platform",
        "metrics",
        "log",
    ];
    let mut expected: Vec<String> = accepted_keys("")
        .into_iter()
        .filter(|k| !tables.contains(&k.as_str()))
        .collect();
    for table in ["entry", "control", "metrics", "log"] {
        expected.extend(
            accepted_keys(table)
                .into_iter()
                .map(|key| format!("{table}.{key}")),
        );
    }
    expected.extend(["replicas.VM", "operators.NAME", "platform.NAME"].map(str::to_owned));
    let section = OPERATIONS_PAGE
        .split("## Settings")
        .nth(1)
        .unwrap()
        .split("\n## ")
        .next()
        .unwrap();
    let rows = section.lines().filter(|line| line.starts_with("| `"));
    let mut listed: Vec<String> = rows
        .map(|row| row.split('`').nth(1).unwrap().to_owned())
        .collect();
    expected.sort();
    listed.sort();
    assert_eq!(listed, expected);
}

#[test]
fn operations_page_lists_every_error_code_and_log_event() {
    for code in ErrorCode::ALL {
        assert!(
            OPERATIONS_PAGE.contains(&format!("`{code}`")),
            "{code} is missing on the page"
        );
    }
    for text in source_texts(std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("src")) {
        for call in text.split("event(").skip(1) {
            let mut parts = call.splitn(3, '"');
            let level = parts.next().unwrap_or_default().to_lowercase();
            let name = parts.next().unwrap_or_default();
            if level.contains("level") && level.len() < 60 {
                assert!(
                    OPERATIONS_PAGE.contains(&format!("`{name}`")),
                    "{name} is missing on the page"
                );
            }
        }
    }
}

/// Returns the contents of all source files below a folder.
fn source_texts(folder: std::path::PathBuf) -> Vec<String> {
    let mut texts = Vec::new();
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            texts.extend(source_texts(path));
        } else {
            texts.push(std::fs::read_to_string(path).unwrap());
        }
    }
    texts
}

proptest! {
    #[test]
    fn any_text_is_parsed_without_a_panic(text in "\\PC{0,200}", cut in 0..220_usize) {
        let position = cut.min(VALID_SETTINGS.len());
        let mixed = format!("{}{text}{}", &VALID_SETTINGS[..position], &VALID_SETTINGS[position..]);
        for text in [text, mixed] {
            if let Err(error) = Settings::parse("site.toml", &text) {
                assert!(!error.to_string().contains('\n'), "{error}");
            }
        }
    }
}
