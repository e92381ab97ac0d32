//! Report: measures, held against their bounds as they come.

use std::fs::OpenOptions;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

use serde_json::json;

use crate::bounds::Bounds;
use crate::bounds::load;
use crate::plot::Curve;
use crate::plot::draw;

/// Measures so far.
#[derive(Debug)]
pub(crate) struct Report {
    bounds: Bounds,
    json: Option<PathBuf>,
    plots: Option<PathBuf>,
    broken: Vec<String>,
}

impl Report {
    pub(crate) fn new(json: Option<PathBuf>, plots: Option<PathBuf>) -> Self {
        Self {
            bounds: load(),
            json,
            plots,
            broken: Vec::new(),
        }
    }

    /// Takes in a measure.
    pub(crate) fn add(&mut self, bench: &str, measure: &str, value: f64) {
        let bound = self.bounds.get(bench).and_then(|own| own.get(measure));
        let verdict = match bound {
            None => String::new(),
            Some(bound) if bound.holds(value) => format!("  ok, {}", bound.to_text()),
            Some(bound) => {
                let line = format!(
                    "{bench}.{measure} = {value}: {} ({})",
                    bound.to_text(),
                    bound.target
                );
                self.broken.push(line);
                format!("  BROKEN, {}", bound.to_text())
            }
        };
        println!("{bench:12} {measure:44} {value:>14.3}{verdict}");
        let is_ok = bound.map(|bound| bound.holds(value));
        let line = json!({"bench": bench, "measure": measure, "value": value, "holds": is_ok});
        self.write(&line.to_string());
    }

    /// Draws curves, where plots are wanted.
    pub(crate) fn plot(&self, name: &str, title: &str, axes: (&str, &str), curves: &[Curve]) {
        let Some(folder) = &self.plots else {
            return;
        };
        let path = folder.join(format!("{name}.svg"));
        if let Err(error) = draw(&path, title, axes, curves) {
            eprintln!("bench: {}: {error}", path.display());
        }
    }

    fn write(&self, line: &str) {
        let Some(path) = &self.json else {
            return;
        };
        let file = OpenOptions::new().create(true).append(true).open(path);
        if let Err(error) = file.and_then(|mut file| writeln!(file, "{line}")) {
            eprintln!("bench: {}: {error}", path.display());
        }
    }

    /// Tells by the exit code whether all bounds hold.
    pub(crate) fn finish(self) -> ExitCode {
        if self.broken.is_empty() {
            println!("all bounds hold");
            return ExitCode::SUCCESS;
        }
        for line in &self.broken {
            println!("BROKEN {line}");
        }
        ExitCode::FAILURE
    }
}

/// Returns the value below which `share` of the values lie.
pub(crate) fn percentile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    #[expect(clippy::cast_possible_truncation, reason = "a place within the values")]
    #[expect(clippy::cast_sign_loss, reason = "shares are not negative")]
    let place = (values.len() as f64 * share) as usize;
    let last = values.len().saturating_sub(1);
    values.get(place.min(last)).copied().unwrap_or(0.0)
}
