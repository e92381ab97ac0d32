//! Settings of the gateway's own program, in TOML.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use displaydoc::Display;
use papayatray_core::clock::Millis;
use papayatray_core::gateway::arrivals::ArrivalBound;
use papayatray_core::id::DataCentre;
use papayatray_core::id::VmId;
use serde::Deserialize;

use super::daemon::Identity;
use super::state::Bounds;
use crate::settings::Secret;
use crate::settings::Span;

/// Fewest bytes of the secret.
const MIN_SECRET_BYTES: usize = 16;

/// Why settings of the gateway cannot be used.
#[derive(Debug, Display)]
pub enum GatewaySettingsError {
    /// cannot read {0}: {1}
    Read(PathBuf, std::io::Error),
    /// {0}
    Parse(toml::de::Error),
    /// {0}: expected is {1}
    Value(&'static str, &'static str),
}

impl std::error::Error for GatewaySettingsError {}

/// Settings of one process of the gateway.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Name of the VM.
    pub vm: VmId,
    /// Data centre that the VM stands in.
    pub data_centre: DataCentre,
    /// Secret that all processes of the deployment share.
    pub cluster_secret: Secret,
    /// Addresses of control replicas, for the system's own processes.
    pub seeds: Vec<SocketAddr>,
    /// Address of the metrics.
    pub metrics_address: Option<SocketAddr>,
    /// Role entry, if the process plays it.
    pub entry: Option<EntryRoleSettings>,
    /// Role control, if the process plays it.
    pub control: Option<ControlRoleSettings>,
    /// Bounds of the deployment.
    #[serde(default)]
    pub bounds: BoundSettings,
}

/// Settings of the role entry.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryRoleSettings {
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for the list of entries and for readiness.
    pub status_address: SocketAddr,
    /// Requests in a thousand that are traced beside those whose callers ask for it.
    #[serde(default = "traced")]
    pub traced: u32,
}

/// Settings of the role control.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlRoleSettings {
    /// Address for the system's own processes.
    pub peer_address: SocketAddr,
    /// Address for operators and endpoints.
    pub operator_address: SocketAddr,
    /// Folder that the replica's state lives under.
    pub data_folder: PathBuf,
    /// Whether the deployment is to be founded; false once it stands.
    #[serde(default)]
    pub founds: bool,
    /// Replicas that may be lost at once.
    #[serde(default = "one")]
    pub tolerance: usize,
}

const fn traced() -> u32 {
    10
}

const fn one() -> usize {
    1
}

/// Bounds of a deployment, as they stand in the settings.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BoundSettings {
    /// Time within which revoked keys must stop working everywhere.
    pub revocation: Span,
    /// Time between two heartbeats of an endpoint.
    pub heartbeat: Span,
    /// Arrivals at a service beyond the first, for each request.
    pub retry_ratio: f64,
    /// Arrivals beyond the ratio.
    pub retry_slack: f64,
    /// Window in which both are counted.
    pub retry_window: Span,
    /// Share of a service's requests that a release in roll-out may get.
    pub exposure: f64,
    /// Time that a planned stop may take.
    pub grace: Span,
    /// Time for which callers may keep the addresses to use.
    pub hold: Span,
}

impl Default for BoundSettings {
    fn default() -> Self {
        Self {
            revocation: Span(Millis::from_secs(5)),
            heartbeat: Span(Millis::from_secs(1)),
            retry_ratio: 0.2,
            retry_slack: 10.0,
            retry_window: Span(Millis::from_secs(10)),
            exposure: 0.1,
            grace: Span(Millis::from_secs(30)),
            hold: Span(Millis::from_secs(2)),
        }
    }
}

impl From<BoundSettings> for Bounds {
    fn from(own: BoundSettings) -> Self {
        Self {
            revocation: own.revocation.0,
            heartbeat: own.heartbeat.0,
            arrivals: ArrivalBound {
                ratio: own.retry_ratio,
                slack: own.retry_slack,
                window: own.retry_window.0,
            },
            exposure: own.exposure,
            grace: own.grace.0,
            hold: own.hold.0,
        }
    }
}

impl GatewaySettings {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns the first fault.
    pub fn load(path: &Path) -> Result<Self, GatewaySettingsError> {
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|error| GatewaySettingsError::Read(path.to_owned(), error))?;
        let own: Self = toml::from_str(&text).map_err(GatewaySettingsError::Parse)?;
        own.check()?;
        Ok(own)
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
                self.entry.is_some() != self.control.is_some(),
                "entry, control",
                "one of the two roles",
            ),
            (
                self.entry.as_ref().is_none_or(|own| own.traced <= 1_000),
                "entry.traced",
                "0 to 1000",
            ),
            (
                self.control.as_ref().is_none_or(|own| own.tolerance > 0),
                "control.tolerance",
                "1 or more",
            ),
            (
                is_fraction(self.bounds.exposure),
                "bounds.exposure",
                "a share from 0 to 1",
            ),
            (
                self.bounds.retry_ratio >= 0.0 && self.bounds.retry_slack >= 0.0,
                "bounds.retry_ratio, bounds.retry_slack",
                "0 or more",
            ),
        ];
        let failed = checks.iter().find(|(is_valid, ..)| !is_valid);
        failed.map_or(Ok(()), |(_, key, expected)| {
            Err(GatewaySettingsError::Value(key, expected))
        })
    }

    /// Returns what the process knows of itself.
    pub fn identity(&self) -> Identity {
        Identity {
            vm: self.vm.clone(),
            data_centre: self.data_centre.clone(),
            secret: self.cluster_secret.expose().to_owned(),
            seeds: self.seeds.clone(),
            bounds: self.bounds.into(),
        }
    }
}
