//! Layout of the settings file.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use papayatray_core::clock::Millis;
use papayatray_core::id::DataCentre;
use papayatray_core::id::OperatorId;
use papayatray_core::id::VmId;
use serde::Deserialize;

use super::ByteSize;
use super::DurationSetting;
use super::KeyDigest;
use super::Secret;

/// Contents of the settings file, as parsed.
///
/// Parsing only checks the type and format of each value; [`Settings`](super::Settings) also checks
/// ranges, and that the values are consistent with one another.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SettingsFile {
    /// Name of the VM.
    pub vm: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Address at which other processes of the deployment reach this one.
    pub peer_address: SocketAddr,
    /// Address to bind, if other processes reach this one at a different `peer_address`.
    pub peer_bind: Option<SocketAddr>,
    /// Secret that all processes of the deployment share.
    pub cluster_secret: Secret,
    /// Number of threads that run the daemon's asynchronous tasks.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Peer addresses of the initial control replicas by VM.
    pub replicas: BTreeMap<VmId, SocketAddr>,
    /// Settings of the entry role, if the VM runs it.
    pub entry: Option<EntrySettings>,
    /// Settings of the control role, if the VM runs it.
    pub control: Option<ControlSettings>,
    /// Digests of the operators' keys by operator name.
    #[serde(default)]
    pub operators: BTreeMap<OperatorId, KeyDigest>,
    /// Digests of the keys of platform components, such as endpoints, by component name. Each key
    /// permits its holder to announce endpoints and to send ratings of responses.
    #[serde(default)]
    pub platform: BTreeMap<String, KeyDigest>,
    /// Settings of metrics.
    #[serde(default)]
    pub metrics: MetricsSettings,
    /// Settings of logs.
    #[serde(default)]
    pub log: LogSettings,
}

/// Settings of the entry role.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Address that serves callers, endpoints and operators.
    pub caller_address: SocketAddr,
    /// Time for which callers may cache the list of entry addresses; a draining entry serves new
    /// requests for at least this long.
    #[serde(default = "default_address_ttl")]
    pub hold: DurationSetting,
    /// Maximum number of open connections.
    #[serde(default = "default_max_connections")]
    pub connections: usize,
    /// Maximum size of a request body.
    #[serde(default = "default_max_body_size")]
    pub body: ByteSize,
    /// Time for which a read or write may stay pending before its connection is closed.
    #[serde(default = "default_idle_timeout")]
    pub idle: DurationSetting,
    /// Deadline of requests whose caller sets none, counted from when the request has been read.
    #[serde(default = "default_deadline")]
    pub deadline: DurationSetting,
    /// Time after which a stream without progress is resumed on a new connection.
    #[serde(default = "default_progress_timeout")]
    pub progress: DurationSetting,
    /// Requests per thousand that are traced in addition to those whose callers sampled them.
    #[serde(default = "default_traced_permille")]
    pub traced: u32,
}

/// Settings of the control role.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Data folder, which holds the replica's log and snapshots.
    pub data_folder: PathBuf,
}

/// Settings of metrics.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MetricsSettings {
    /// Address of a `StatsD` collector; if absent, metrics are not sent.
    pub address: Option<SocketAddr>,
}

/// Settings of logs.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// Minimum severity that is logged: `error`, `warn`, `info` or `debug`.
    pub level: Option<String>,
}

const fn default_threads() -> usize {
    2
}

const fn default_address_ttl() -> DurationSetting {
    DurationSetting(Millis::from_secs(3))
}

const fn default_max_connections() -> usize {
    4_096
}

const fn default_max_body_size() -> ByteSize {
    ByteSize(1 << 20)
}

const fn default_idle_timeout() -> DurationSetting {
    DurationSetting(Millis::from_secs(30))
}

const fn default_deadline() -> DurationSetting {
    DurationSetting(Millis::from_secs(60))
}

const fn default_progress_timeout() -> DurationSetting {
    DurationSetting(Millis::from_secs(2))
}

const fn default_traced_permille() -> u32 {
    10
}
