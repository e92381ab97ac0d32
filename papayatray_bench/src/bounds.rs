//! Bounds of the measures, read from `bounds.toml`, each with the target that it is derived from.

use std::collections::BTreeMap;

use serde::Deserialize;

/// Content of the file with the bounds.
const BOUNDS_TOML: &str = include_str!("../bounds.toml");

/// Bound of one measure.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Bound {
    at_most: Option<f64>,
    at_least: Option<f64>,
    /// Target that the bound is derived from.
    pub(crate) target: String,
}

impl Bound {
    /// Returns whether a measure is within the bound.
    pub(crate) fn holds(&self, value: f64) -> bool {
        self.at_most.is_none_or(|maximum| value <= maximum)
            && self.at_least.is_none_or(|minimum| value >= minimum)
    }

    /// Returns the bound as text.
    pub(crate) fn to_text(&self) -> String {
        match (self.at_most, self.at_least) {
            (Some(maximum), _) => format!("at most {maximum}"),
            (None, Some(minimum)) => format!("at least {minimum}"),
            (None, None) => "none".to_owned(),
        }
    }
}

/// Bounds by benchmark and measure.
pub(crate) type Bounds = BTreeMap<String, BTreeMap<String, Bound>>;

/// Returns the bounds.
///
/// # Panics
///
/// Panics if `bounds.toml`, which is compiled in, is malformed.
pub(crate) fn load() -> Bounds {
    toml::from_str(BOUNDS_TOML).expect("bounds.toml is well formed")
}
