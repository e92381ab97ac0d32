//! Settings of the daemon, read from TOML and checked as a whole before any socket opens.

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
pub use value::Bytes;
pub use value::HashText;
pub use value::Secret;
pub use value::Span;
