//! Errors in settings.

use std::fmt;

/// Invalid setting; its message is one line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Settings file.
    pub file: String,
    /// Key of the invalid value, with its table.
    pub key: String,
    /// Value that was found, or `(hidden)` for a secret.
    pub value: String,
    /// What is expected instead.
    pub expected: String,
}

impl SettingsError {
    /// Creates an error.
    pub fn new<V, W>(file: &str, key: &str, value: V, expected: W) -> Self
    where
        V: fmt::Display,
        W: Into<String>,
    {
        Self {
            file: file.to_owned(),
            key: key.to_owned(),
            value: value.to_string(),
            expected: expected.into(),
        }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            file,
            key,
            value,
            expected,
        } = self;
        write!(f, "{file}: {key} = {value}: wanted is {expected}")
    }
}

impl std::error::Error for SettingsError {}
