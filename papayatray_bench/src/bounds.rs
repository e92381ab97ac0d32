//! Bounds, each with the target that it comes from.

use std::collections::BTreeMap;

use serde::Deserialize;

/// The bounds, as they stand in the project.
const TEXT: &str = include_str!("../bounds.toml");

/// Bound of one measure.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Bound {
    at_most: Option<f64>,
    at_least: Option<f64>,
    /// Target that the bound comes from.
    pub(crate) target: String,
}

impl Bound {
    /// Tells whether a measure is within the bound.
    pub(crate) fn holds(&self, value: f64) -> bool {
        self.at_most.is_none_or(|most| value <= most)
            && self.at_least.is_none_or(|least| value >= least)
    }

    /// Returns the bound as text.
    pub(crate) fn to_text(&self) -> String {
        match (self.at_most, self.at_least) {
            (Some(most), _) => format!("at most {most}"),
            (None, Some(least)) => format!("at least {least}"),
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
/// Panics where the project's own file is malformed.
pub(crate) fn load() -> Bounds {
    toml::from_str(TEXT).expect("the project's own bounds are well formed")
}
