//! Report of measures, each compared with its bound when it is added.

use std::fs::OpenOptions;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

use serde_json::json;

use crate::bounds::Bounds;
use crate::bounds::load;
use crate::plot::Curve;
use crate::plot::draw;

/// Output of the measures, and the bounds violated so far.
#[derive(Debug)]
pub(crate) struct Report {
    bounds: Bounds,
    /// File to which each measure is appended as a JSON line.
    json: Option<PathBuf>,
    /// Folder to which plots are written.
    plots: Option<PathBuf>,
    /// One line for each measure out of its bound.
    violations: Vec<String>,
}

impl Report {
    pub(crate) fn new(json: Option<PathBuf>, plots: Option<PathBuf>) -> Self {
        Self {
            bounds: load(),
            json,
            plots,
            violations: Vec::new(),
        }
    }

    /// Prints a measure, compares it with its bound, and appends it to the JSON file if one was
    /// given.
    pub(crate) fn add(&mut self, bench: &str, measure: &str, value: f64) {
        let bound = self
            .bounds
            .get(bench)
            .and_then(|measures| measures.get(measure));
        let status = match bound {
            None => String::new(),
            Some(bound) if bound.holds(value) => format!("  ok, {}", bound.to_text()),
            Some(bound) => {
                let line = format!(
                    "{bench}.{measure} = {value}: {} ({})",
                    bound.to_text(),
                    bound.target
                );
                self.violations.push(line);
                format!("  BROKEN, {}", bound.to_text())
            }
        };
        println!("{bench:12} {measure:44} {value:>14.3}{status}");
        let is_ok = bound.map(|bound| bound.holds(value));
        let line = json!({"bench": bench, "measure": measure, "value": value, "holds": is_ok});
        self.write(&line.to_string());
    }

    /// Draws curves into `NAME.svg` if a folder for plots was given.
    pub(crate) fn plot(&self, name: &str, title: &str, axes: (&str, &str), curves: &[Curve]) {
        let Some(folder) = &self.plots else {
            return;
        };
        let path = folder.join(format!("{name}.svg"));
        if let Err(error) = draw(&path, title, axes, curves) {
            eprintln!("bench: {}: {error}", path.display());
        }
    }

    /// Appends a line to the JSON file if one was given.
    fn write(&self, line: &str) {
        let Some(path) = &self.json else {
            return;
        };
        let file = OpenOptions::new().create(true).append(true).open(path);
        if let Err(error) = file.and_then(|mut file| writeln!(file, "{line}")) {
            eprintln!("bench: {}: {error}", path.display());
        }
    }

    /// Prints the violated bounds; returns failure if there are any.
    pub(crate) fn finish(self) -> ExitCode {
        if self.violations.is_empty() {
            println!("all bounds hold");
            return ExitCode::SUCCESS;
        }
        for line in &self.violations {
            println!("BROKEN {line}");
        }
        ExitCode::FAILURE
    }
}

/// Returns the value below which `share` of the values lie, with 1.0 the largest value.
///
/// Leaves the values sorted.
pub(crate) fn percentile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    #[expect(
        clippy::cast_possible_truncation,
        reason = "an index within the values"
    )]
    #[expect(clippy::cast_sign_loss, reason = "shares are not negative")]
    let index = (values.len() as f64 * share) as usize;
    let last = values.len().saturating_sub(1);
    values.get(index.min(last)).copied().unwrap_or(0.0)
}
