//! Settings file of the program `papayatray-gateway`, in TOML.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use displaydoc::Display;
use papayatray_core::clock::Millis;
use papayatray_core::gateway::arrivals::ArrivalBound;
use papayatray_core::gateway::canary::ExposureBound;
use papayatray_core::gateway::warm_up::ColdBound;
use papayatray_core::id::DataCentre;
use papayatray_core::id::Region;
use papayatray_core::id::VmId;
use serde::Deserialize;

use super::daemon::Identity;
use super::state::Bounds;
use crate::settings::DurationSetting;
use crate::settings::Secret;

/// Minimum length of the cluster secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Unit of [`GatewaySettings::memory`], in bytes.
const BYTES_PER_MEGABYTE: u64 = 1_000_000;
/// Range of [`GatewaySettings::memory`]: a process needs about ten megabytes by itself.
const MEMORY_RANGE: std::ops::RangeInclusive<u64> = 32..=1_000_000;

/// Reason why a settings file cannot be used.
#[derive(Debug, Display)]
pub enum GatewaySettingsError {
    /// cannot read {0}: {1}
    Read(PathBuf, std::io::Error),
    /// {0}
    Parse(toml::de::Error),
    /// invalid value of {0}: expected {1}
    Value(&'static str, &'static str),
}

impl std::error::Error for GatewaySettingsError {}

/// Settings of one process of the gateway.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Id of the VM.
    pub vm: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Secret shared by all processes of the deployment, of at least 16 bytes.
    pub cluster_secret: Secret,
    /// Peer addresses of control replicas to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Address on which metrics are served, if any.
    pub metrics_address: Option<SocketAddr>,
    /// Memory that the process may use, in megabytes, if it is limited; a quarter of it is for bodies
    /// that are buffered whole.
    pub memory: Option<u64>,
    /// Settings of the entry role; exactly one role must be set.
    pub entry: Option<EntryRoleSettings>,
    /// Settings of the control role; exactly one role must be set.
    pub control: Option<ControlRoleSettings>,
    /// Region of each data centre.
    #[serde(default)]
    pub regions: BTreeMap<DataCentre, Region>,
    /// Limits and intervals of the deployment.
    #[serde(default)]
    pub bounds: BoundSettings,
}

/// Settings of the entry role.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryRoleSettings {
    /// Address on which callers' requests are accepted.
    pub caller_address: SocketAddr,
    /// Address on which attempts of other entries are accepted, so that an entry that cannot connect to
    /// endpoints sends through others; without one, the entry takes no part in this.
    pub peer_address: Option<SocketAddr>,
    /// Address of the status interface: list of entries, and readiness.
    pub status_address: SocketAddr,
    /// Requests per thousand that are traced in addition to those whose callers sampled them.
    #[serde(default = "default_traced_permille")]
    pub traced: u32,
    /// Processor share in thousandths of a core, or 0 if it is not known.
    #[serde(default)]
    pub size: u32,
}

/// Settings of the control role.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlRoleSettings {
    /// Address on which other processes of the deployment connect.
    pub peer_address: SocketAddr,
    /// Address of the HTTP interface for operators and endpoints.
    pub operator_address: SocketAddr,
    /// Folder in which the replica stores its state.
    pub data_folder: PathBuf,
    /// Whether an empty folder founds a new deployment; must be false once the deployment exists.
    #[serde(default)]
    pub founds: bool,
    /// Number of replicas whose simultaneous loss must be tolerated.
    #[serde(default = "default_tolerance")]
    pub tolerance: usize,
}

const fn default_traced_permille() -> u32 {
    10
}

const fn default_tolerance() -> usize {
    1
}

/// Limits and intervals that hold for a whole deployment.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BoundSettings {
    /// Time within which a revoked key must stop working at every entry.
    pub revocation: DurationSetting,
    /// Time within which an accepted plan must be in force at every entry.
    pub in_force: DurationSetting,
    /// Interval of an endpoint's heartbeats.
    pub heartbeat: DurationSetting,
    /// Retries allowed per request of a service.
    pub retry_ratio: f64,
    /// Retries of a service allowed per window in addition to the ratio.
    pub retry_slack: f64,
    /// Length of the sliding window in which retries and requests are counted.
    pub retry_window: DurationSetting,
    /// Largest share of a service's requests, from 0 to 1, for a release in roll-out.
    pub exposure: f64,
    /// Requests that a release in roll-out may get beyond that share.
    pub exposure_slack: f64,
    /// Longest duration of a graceful shutdown.
    pub grace: DurationSetting,
    /// Time for which callers may cache the list of entry addresses.
    pub hold: DurationSetting,
    /// Multiple of the rate of a cold endpoint that its requests in any second may reach.
    pub cold_overshoot: f64,
    /// Requests in any second that a cold endpoint may get beyond the multiple.
    pub cold_slack: f64,
}

impl Default for BoundSettings {
    fn default() -> Self {
        Self {
            revocation: DurationSetting(Millis::from_secs(5)),
            in_force: DurationSetting(Millis::from_secs(4)),
            heartbeat: DurationSetting(Millis::from_secs(1)),
            retry_ratio: 0.2,
            retry_slack: 10.0,
            retry_window: DurationSetting(Millis::from_secs(10)),
            exposure: 0.1,
            exposure_slack: 0.0,
            grace: DurationSetting(Millis::from_secs(30)),
            hold: DurationSetting(Millis::from_secs(2)),
            cold_overshoot: ColdBound::default().overshoot,
            cold_slack: ColdBound::default().slack,
        }
    }
}

impl From<BoundSettings> for Bounds {
    fn from(settings: BoundSettings) -> Self {
        Self {
            revocation: settings.revocation.0,
            in_force: settings.in_force.0,
            heartbeat: settings.heartbeat.0,
            arrivals: ArrivalBound {
                ratio: settings.retry_ratio,
                slack: settings.retry_slack,
                window: settings.retry_window.0,
            },
            exposure: ExposureBound {
                share: settings.exposure,
                slack: settings.exposure_slack,
            },
            grace: settings.grace.0,
            hold: settings.hold.0,
            cold: ColdBound {
                overshoot: settings.cold_overshoot,
                slack: settings.cold_slack,
            },
        }
    }
}

impl GatewaySettings {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns the first invalid value, or the reason why the file cannot be read or parsed.
    pub fn load(path: &Path) -> Result<Self, GatewaySettingsError> {
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|error| GatewaySettingsError::Read(path.to_owned(), error))?;
        let settings: Self = toml::from_str(&text).map_err(GatewaySettingsError::Parse)?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), GatewaySettingsError> {
        let is_fraction = |value: f64| (0.0..=1.0).contains(&value);
        let checks = [
            (
                self.cluster_secret.expose().len() >= MIN_SECRET_BYTES,
                "cluster_secret",
                "16 bytes or more",
            ),
            (!self.seeds.is_empty(), "seeds", "one address or more"),
            (
                self.memory
                    .is_none_or(|megabytes| MEMORY_RANGE.contains(&megabytes)),
                "memory",
                "32 to 1000000 megabytes",
            ),
            (
                self.entry.is_some() != self.control.is_some(),
                "entry, control",
                "exactly one of the two roles",
            ),
            (
                self.entry
                    .as_ref()
                    .is_none_or(|entry| entry.traced <= 1_000),
                "entry.traced",
                "0 to 1000",
            ),
            (
                self.control
                    .as_ref()
                    .is_none_or(|control| control.tolerance > 0),
                "control.tolerance",
                "1 or more",
            ),
            (
                is_fraction(self.bounds.exposure),
                "bounds.exposure",
                "a share from 0 to 1",
            ),
            (
                self.bounds.exposure_slack >= 0.0,
                "bounds.exposure_slack",
                "0 or more",
            ),
            (
                self.bounds.retry_ratio >= 0.0 && self.bounds.retry_slack >= 0.0,
                "bounds.retry_ratio, bounds.retry_slack",
                "0 or more",
            ),
            (
                self.bounds.cold_overshoot >= 1.0 && self.bounds.cold_slack >= 1.0,
                "bounds.cold_overshoot, bounds.cold_slack",
                "1 or more",
            ),
        ];
        let failed = checks.iter().find(|(is_valid, ..)| !is_valid);
        failed.map_or(Ok(()), |(_, key, expected)| {
            Err(GatewaySettingsError::Value(key, expected))
        })
    }

    /// Returns the settings that do not depend on the role.
    pub fn identity(&self) -> Identity {
        Identity {
            vm: self.vm.clone(),
            data_centre: self.data_centre.clone(),
            secret: self.cluster_secret.expose().to_owned(),
            seeds: self.seeds.clone(),
            bounds: self.bounds.into(),
            memory: self.memory.map(|megabytes| megabytes * BYTES_PER_MEGABYTE),
        }
    }
}
