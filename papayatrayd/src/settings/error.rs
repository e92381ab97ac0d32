//! What is wrong with settings.

use std::fmt;

/// Fault in a settings file, told in one line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// File with the fault.
    pub file: String,
    /// Key with the fault.
    pub key: String,
    /// Value that was found.
    pub value: String,
    /// What is wanted instead.
    pub wanted: String,
}

impl SettingsError {
    /// Creates an error.
    pub fn new<V, W>(file: &str, key: &str, value: V, wanted: W) -> Self
    where
        V: fmt::Display,
        W: Into<String>,
    {
        Self {
            file: file.to_owned(),
            key: key.to_owned(),
            value: value.to_string(),
            wanted: wanted.into(),
        }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            file,
            key,
            value,
            wanted,
        } = self;
        write!(f, "{file}: {key} = {value}: wanted is {wanted}")
    }
}

impl std::error::Error for SettingsError {}
