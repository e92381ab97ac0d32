//! Settings of the program `papayatray-gateway`.

use std::path::PathBuf;

use papayatrayd::gateway::GatewaySettings;

const VALID: &str = r#"
vm = "vm-1"
data_centre = "gijon"
cluster_secret = "0123456789abcdef"
seeds = ["10.0.0.1:7000"]

[entry]
caller_address = "10.0.0.1:8000"
status_address = "10.0.0.1:8001"
"#;

/// Page whose tables must list every setting.
const SETTINGS_PAGE: &str = include_str!("../../../docs/OPERATIONS.md");

/// Writes `text` to a temporary file that `name` makes unique, and loads it.
fn load(name: &str, text: &str) -> Result<GatewaySettings, String> {
    let unique = format!("papayatray-gateway-{name}-{}.toml", std::process::id());
    let path: PathBuf = std::env::temp_dir().join(unique);
    std::fs::write(&path, text).unwrap();
    let loaded = GatewaySettings::load(&path).map_err(|error| error.to_string());
    std::fs::remove_file(&path).unwrap();
    loaded
}

#[test]
fn valid_settings_load_with_defaults() {
    let settings = load("sound", VALID).unwrap();
    assert_eq!(settings.bounds.revocation.0.as_u64(), 5_000);
    assert!(settings.control.is_none());
}

#[test]
fn invalid_value_is_reported_with_its_key() {
    let invalid_settings = [
        (
            "secret",
            VALID.replace("0123456789abcdef", "short"),
            "cluster_secret",
        ),
        ("seeds", VALID.replace("\"10.0.0.1:7000\"", ""), "seeds"),
        (
            "role",
            VALID.split("[entry]").next().unwrap().to_owned(),
            "entry, control",
        ),
        (
            "key",
            VALID.replace("vm = ", "no_such_key = 1\nvm = "),
            "no_such_key",
        ),
        (
            "share",
            format!("{VALID}\n[bounds]\nexposure = 7.0\n"),
            "bounds.exposure",
        ),
        (
            "traced",
            VALID.replace("[entry]", "[entry]\ntraced = 1001"),
            "entry.traced",
        ),
    ];
    for (name, text, key) in invalid_settings {
        let error = load(name, &text).unwrap_err();
        assert!(error.contains(key), "{name}: {error}");
    }
}

#[test]
fn settings_page_lists_every_key_of_the_gateway() {
    for table in ["", "entry", "control", "bounds"] {
        let text = match table {
            "" => VALID.replace("vm = ", "no_such_key = 1\nvm = "),
            "entry" => VALID.replace("[entry]", "[entry]\nno_such_key = 1"),
            other => format!("{VALID}\n[{other}]\nno_such_key = 1"),
        };
        let error = load(&format!("page-{table}"), &text).unwrap_err();
        let listed = error.split("expected").nth(1).unwrap();
        for key in listed.split('`').skip(1).step_by(2) {
            let row = match table {
                "" if ["entry", "control", "bounds"].contains(&key) => continue,
                "" => format!("| `{key}` |"),
                other => format!("| `{other}.{key}` |"),
            };
            assert!(SETTINGS_PAGE.contains(&row), "{row} is missing on the page");
        }
    }
}
