//! Checks of the settings as a whole.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;

use super::SettingsError;
use super::SettingsFile;
use super::value::WANTED;

/// Fewest control replicas that survive the loss of one.
const FEWEST_REPLICAS: usize = 3;
/// Shortest secret in bytes.
const SECRET_BYTES: usize = 16;
/// Range of the number of threads.
const THREADS: RangeInclusive<usize> = 1..=64;
/// Range of the times, in milliseconds.
const TIMES: RangeInclusive<u64> = 10..=3_600_000;
/// Range of the number of connections.
const CONNECTIONS: RangeInclusive<usize> = 1..=1_000_000;
/// Range of the body size in bytes.
const BODY: RangeInclusive<usize> = 1_024..=64 << 20;
/// Levels of logs.
const LEVELS: [&str; 4] = ["error", "warn", "info", "debug"];

/// Settings that were checked as a whole.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The settings.
    pub file: SettingsFile,
}

impl Settings {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns the first fault, in one line.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let name = path.display().to_string();
        let text = fs::read_to_string(path)
            .map_err(|error| SettingsError::new(&name, "(file)", error, "a readable file"))?;
        Self::parse(&name, &text)
    }

    /// Checks settings given as text; `name` is told in errors.
    ///
    /// # Errors
    ///
    /// Returns the first fault, in one line.
    pub fn parse(name: &str, text: &str) -> Result<Self, SettingsError> {
        let document =
            toml::Deserializer::parse(text).map_err(|error| syntax(name, text, &error))?;
        let file: SettingsFile = serde_path_to_error::deserialize(document)
            .map_err(|error| fault(name, text, &error))?;
        let check = Check { name, file: &file };
        check.run()?;
        Ok(Self { file })
    }
}

fn syntax(name: &str, text: &str, error: &toml::de::Error) -> SettingsError {
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

/// Turns a fault found while reading into one line with key, value and what is wanted.
fn fault(
    name: &str,
    text: &str,
    error: &serde_path_to_error::Error<toml::de::Error>,
) -> SettingsError {
    let key = error.path().to_string();
    let inner = error.inner();
    let message = one_line(inner.message());
    if let Some((value, wanted)) = message.split_once(WANTED) {
        return SettingsError::new(name, &key, value, wanted);
    }
    let is_secret = key.contains("secret") || key.contains("operators") || key.contains("platform");
    let found = inner
        .span()
        .and_then(|span| text.get(span))
        .unwrap_or("(none)");
    if is_secret {
        // What the library says may show the value.
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

    fn error<V, W>(&self, key: &str, value: V, wanted: W) -> Result<(), SettingsError>
    where
        V: std::fmt::Display,
        W: Into<String>,
    {
        Err(SettingsError::new(self.name, key, value, wanted))
    }

    fn check_roles(&self) -> Result<(), SettingsError> {
        if self.file.entry.is_none() && self.file.control.is_none() {
            return self.error(
                "(roles)",
                "none",
                "a table [entry], a table [control] or both",
            );
        }
        if self.file.cluster_secret.expose().len() < SECRET_BYTES {
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
        if count < FEWEST_REPLICAS || count.is_multiple_of(2) {
            let value = format!("{count} entries");
            return self.error(
                "replicas",
                value,
                "an odd number of control replicas, 3 or more",
            );
        }
        let own = self.file.replicas.get(&self.file.vm);
        match own {
            Some(address) if *address != self.file.peer_address => {
                let key = format!("replicas.{}", self.file.vm);
                let wanted = format!("this VM's peer_address {}", self.file.peer_address);
                self.error(&key, address, wanted)
            }
            _ => Ok(()),
        }
    }

    fn check_addresses(&self) -> Result<(), SettingsError> {
        let mut seen: BTreeMap<SocketAddr, String> = BTreeMap::new();
        seen.insert(self.file.peer_address, "peer_address".to_owned());
        let others = self
            .file
            .replicas
            .iter()
            .filter(|(vm, _)| **vm != self.file.vm);
        let mut all: Vec<(String, SocketAddr)> = others
            .map(|(vm, address)| (format!("replicas.{vm}"), *address))
            .collect();
        if let Some(entry) = &self.file.entry {
            all.push(("entry.caller_address".to_owned(), entry.caller_address));
        }
        for (key, address) in all {
            if address.port() == 0 {
                return self.error(&key, address, "an address with a port other than 0");
            }
            if let Some(first) = seen.get(&address) {
                let wanted = format!("an address of its own; {first} has this one");
                return self.error(&key, address, wanted);
            }
            seen.insert(address, key);
        }
        Ok(())
    }

    fn check_ranges(&self) -> Result<(), SettingsError> {
        self.in_range("threads", self.file.threads, &THREADS)?;
        let level = self.file.log.level.as_deref().unwrap_or("info");
        if !LEVELS.contains(&level) {
            return self.error("log.level", level, "error, warn, info or debug");
        }
        let Some(entry) = &self.file.entry else {
            return Ok(());
        };
        self.in_range("entry.connections", entry.connections, &CONNECTIONS)?;
        self.in_range("entry.body", entry.body.0, &BODY)?;
        self.in_range("entry.traced", entry.traced, &(0..=1_000))?;
        let times = [
            ("entry.hold", entry.hold),
            ("entry.idle", entry.idle),
            ("entry.deadline", entry.deadline),
            ("entry.progress", entry.progress),
        ];
        times
            .iter()
            .try_for_each(|(key, span)| self.in_range(key, span.0.as_u64(), &TIMES))
    }

    fn in_range<T>(
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
        let wanted = format!("a value from {} to {}", range.start(), range.end());
        self.error(key, value, wanted)
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
