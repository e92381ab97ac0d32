//! Layout of the settings file.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use papayatray_core::clock::Millis;
use papayatray_core::id::DataCentre;
use papayatray_core::id::OperatorId;
use papayatray_core::id::VmId;
use serde::Deserialize;

use super::Bytes;
use super::HashText;
use super::Secret;
use super::Span;

/// Settings as they stand in the file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SettingsFile {
    /// Name of the VM.
    pub vm: VmId,
    /// Data centre that the VM stands in.
    pub data_centre: DataCentre,
    /// Address for the system's own processes.
    pub peer_address: SocketAddr,
    /// Address to listen at, where it is not the one that the others reach the VM under.
    pub peer_bind: Option<SocketAddr>,
    /// Secret that all processes of the deployment share.
    pub cluster_secret: Secret,
    /// Threads that run tasks.
    #[serde(default = "threads")]
    pub threads: usize,
    /// Control replicas that found the deployment, by VM, with their peer addresses.
    pub replicas: BTreeMap<VmId, SocketAddr>,
    /// Role entry, if the VM plays it.
    pub entry: Option<EntrySettings>,
    /// Role control, if the VM plays it.
    pub control: Option<ControlSettings>,
    /// Operators by name, with the digests of their keys.
    #[serde(default)]
    pub operators: BTreeMap<OperatorId, HashText>,
    /// Parts of the platform that may announce and rate, with the digests of their keys.
    #[serde(default)]
    pub platform: BTreeMap<String, HashText>,
    /// Metrics.
    #[serde(default)]
    pub metrics: MetricsSettings,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
}

/// Settings of the role entry.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Address for callers, endpoints and operators.
    pub caller_address: SocketAddr,
    /// Time for which callers may keep the answer which addresses to use.
    #[serde(default = "hold")]
    pub hold: Span,
    /// Connections that may be open at once.
    #[serde(default = "connections")]
    pub connections: usize,
    /// Largest body of a request.
    #[serde(default = "body")]
    pub body: Bytes,
    /// Time after which a caller that sends nothing is cut off.
    #[serde(default = "idle")]
    pub idle: Span,
    /// Time that a request may take where its caller names no deadline.
    #[serde(default = "deadline")]
    pub deadline: Span,
    /// Time after which a stream without progress is taken up on a new connection.
    #[serde(default = "progress")]
    pub progress: Span,
    /// Share of requests that are traced, in thousandths; those with a sampled parent always are.
    #[serde(default = "traced")]
    pub traced: u32,
}

/// Settings of the role control.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Folder that the replica's state lives under.
    pub data_folder: PathBuf,
}

/// Settings of metrics.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MetricsSettings {
    /// Address of a `StatsD` collector; metrics go nowhere where absent.
    pub address: Option<SocketAddr>,
}

/// Settings of logs.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// Least level: `error`, `warn`, `info` or `debug`.
    pub level: Option<String>,
}

const fn threads() -> usize {
    2
}

const fn hold() -> Span {
    Span(Millis::from_secs(3))
}

const fn connections() -> usize {
    4_096
}

const fn body() -> Bytes {
    Bytes(1 << 20)
}

const fn idle() -> Span {
    Span(Millis::from_secs(30))
}

const fn deadline() -> Span {
    Span(Millis::from_secs(60))
}

const fn progress() -> Span {
    Span(Millis::from_secs(2))
}

const fn traced() -> u32 {
    10
}
