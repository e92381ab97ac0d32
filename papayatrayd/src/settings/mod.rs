//! Settings of the daemon, read from TOML and fully checked before any socket is opened.

mod check;
mod error;
mod file;
mod value;

pub use check::Settings;
pub use error::SettingsError;
pub use file::ControlSettings;
pub use file::EntrySettings;
pub use file::LogSettings;
pub use file::MetricsSettings;
pub use file::SettingsFile;
pub use value::ByteSize;
pub use value::DurationSetting;
pub use value::KeyDigest;
pub use value::Secret;
