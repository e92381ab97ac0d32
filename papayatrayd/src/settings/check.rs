//! Parsing of the settings file, and checks across its values.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;

use super::SettingsError;
use super::SettingsFile;
use super::value::EXPECTED_SEPARATOR;

/// Minimum number of control replicas; three tolerate the loss of one.
const MIN_REPLICAS: usize = 3;
/// Minimum length of the cluster secret in bytes.
const MIN_SECRET_BYTES: usize = 16;
/// Allowed number of threads.
const THREAD_RANGE: RangeInclusive<usize> = 1..=64;
/// Allowed durations, in milliseconds.
const TIME_RANGE_MS: RangeInclusive<u64> = 10..=3_600_000;
/// Allowed number of connections.
const CONNECTION_RANGE: RangeInclusive<usize> = 1..=1_000_000;
/// Allowed limit on the size of request bodies, in bytes.
const BODY_RANGE_BYTES: RangeInclusive<usize> = 1_024..=64 << 20;
/// Log levels.
const LOG_LEVELS: [&str; 4] = ["error", "warn", "info", "debug"];

/// Settings that passed all checks.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Contents of the settings file.
    pub file: SettingsFile,
}

impl Settings {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns the first invalid setting; its message is one line.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let name = path.display().to_string();
        let text = fs::read_to_string(path)
            .map_err(|error| SettingsError::new(&name, "(file)", error, "a readable file"))?;
        Self::parse(&name, &text)
    }

    /// Parses and checks settings given as text; errors name the file as `name`.
    ///
    /// # Errors
    ///
    /// Returns the first invalid setting; its message is one line.
    pub fn parse(name: &str, text: &str) -> Result<Self, SettingsError> {
        let document =
            toml::Deserializer::parse(text).map_err(|error| syntax_error(name, text, &error))?;
        let file: SettingsFile = serde_path_to_error::deserialize(document)
            .map_err(|error| invalid_value(name, text, &error))?;
        let check = Check { name, file: &file };
        check.run()?;
        Ok(Self { file })
    }
}

fn syntax_error(name: &str, text: &str, error: &toml::de::Error) -> SettingsError {
    let offset = error.span().map_or(0, |span| span.start);
    let line = text[..offset.min(text.len())].lines().count().max(1);
    let found = text.lines().nth(line - 1).unwrap_or_default().trim();
    SettingsError::new(
        name,
        &format!("(line {line})"),
        found,
        one_line(error.message()),
    )
}

/// Converts a deserialisation error into one line with the key, the value and what is expected.
fn invalid_value(
    name: &str,
    text: &str,
    error: &serde_path_to_error::Error<toml::de::Error>,
) -> SettingsError {
    let key = error.path().to_string();
    let inner = error.inner();
    let message = one_line(inner.message());
    if let Some((value, expected)) = message.split_once(EXPECTED_SEPARATOR) {
        return SettingsError::new(name, &key, value, expected);
    }
    let is_secret = key.contains("secret") || key.contains("operators") || key.contains("platform");
    let found = inner
        .span()
        .and_then(|span| text.get(span))
        .unwrap_or("(none)");
    if is_secret {
        // The library's message may contain the value.
        return SettingsError::new(name, &key, "(hidden)", "a text");
    }
    SettingsError::new(name, &key, one_line(found), message)
}

fn one_line(text: &str) -> String {
    text.lines().map(str::trim).collect::<Vec<_>>().join(" ")
}

/// Settings under check.
#[derive(Debug)]
struct Check<'a> {
    /// Name of the settings file, for errors.
    name: &'a str,
    file: &'a SettingsFile,
}

impl Check<'_> {
    fn run(&self) -> Result<(), SettingsError> {
        self.check_roles()?;
        self.check_replicas()?;
        self.check_addresses()?;
        self.check_ranges()?;
        self.check_folder()
    }

    fn error<V, W>(&self, key: &str, value: V, expected: W) -> Result<(), SettingsError>
    where
        V: std::fmt::Display,
        W: Into<String>,
    {
        Err(SettingsError::new(self.name, key, value, expected))
    }

    fn check_roles(&self) -> Result<(), SettingsError> {
        if self.file.entry.is_none() && self.file.control.is_none() {
            return self.error(
                "(roles)",
                "none",
                "a table [entry], a table [control] or both",
            );
        }
        if self.file.cluster_secret.expose().len() < MIN_SECRET_BYTES {
            return self.error(
                "cluster_secret",
                "(hidden)",
                "at least 16 bytes of secret text",
            );
        }
        Ok(())
    }

    fn check_replicas(&self) -> Result<(), SettingsError> {
        let count = self.file.replicas.len();
        if count < MIN_REPLICAS || count.is_multiple_of(2) {
            let value = format!("{count} entries");
            return self.error(
                "replicas",
                value,
                "an odd number of control replicas, 3 or more",
            );
        }
        let listed = self.file.replicas.get(&self.file.vm);
        match listed {
            Some(address) if *address != self.file.peer_address => {
                let key = format!("replicas.{}", self.file.vm);
                let expected = format!("this VM's peer_address {}", self.file.peer_address);
                self.error(&key, address, expected)
            }
            _ => Ok(()),
        }
    }

    fn check_addresses(&self) -> Result<(), SettingsError> {
        let mut keys_by_address: BTreeMap<SocketAddr, String> = BTreeMap::new();
        keys_by_address.insert(self.file.peer_address, "peer_address".to_owned());
        let others = self
            .file
            .replicas
            .iter()
            .filter(|(vm, _)| **vm != self.file.vm);
        let mut addresses: Vec<(String, SocketAddr)> = others
            .map(|(vm, address)| (format!("replicas.{vm}"), *address))
            .collect();
        if let Some(entry) = &self.file.entry {
            addresses.push(("entry.caller_address".to_owned(), entry.caller_address));
        }
        for (key, address) in addresses {
            if address.port() == 0 {
                return self.error(&key, address, "an address with a port other than 0");
            }
            if let Some(first) = keys_by_address.get(&address) {
                let expected = format!("an address used only once; {first} has this one");
                return self.error(&key, address, expected);
            }
            keys_by_address.insert(address, key);
        }
        Ok(())
    }

    fn check_ranges(&self) -> Result<(), SettingsError> {
        self.check_range("threads", self.file.threads, &THREAD_RANGE)?;
        let level = self.file.log.level.as_deref().unwrap_or("info");
        if !LOG_LEVELS.contains(&level) {
            return self.error("log.level", level, "error, warn, info or debug");
        }
        let Some(entry) = &self.file.entry else {
            return Ok(());
        };
        self.check_range("entry.connections", entry.connections, &CONNECTION_RANGE)?;
        self.check_range("entry.body", entry.body.0, &BODY_RANGE_BYTES)?;
        self.check_range("entry.traced", entry.traced, &(0..=1_000))?;
        let times = [
            ("entry.hold", entry.hold),
            ("entry.idle", entry.idle),
            ("entry.deadline", entry.deadline),
            ("entry.progress", entry.progress),
        ];
        times
            .iter()
            .try_for_each(|(key, time)| self.check_range(key, time.0.as_u64(), &TIME_RANGE_MS))
    }

    fn check_range<T>(
        &self,
        key: &str,
        value: T,
        range: &RangeInclusive<T>,
    ) -> Result<(), SettingsError>
    where
        T: PartialOrd + std::fmt::Display,
    {
        if range.contains(&value) {
            return Ok(());
        }
        let expected = format!("a value from {} to {}", range.start(), range.end());
        self.error(key, value, expected)
    }

    fn check_folder(&self) -> Result<(), SettingsError> {
        let Some(control) = &self.file.control else {
            return Ok(());
        };
        if control.data_folder.is_dir() {
            return Ok(());
        }
        let value = control.data_folder.display();
        self.error(
            "control.data_folder",
            value,
            "a folder that exists and can be written",
        )
    }
}
