//! Benchmarks of papayatray, compared with the bounds in `bounds.toml`.
//!
//! Each measure is printed on a line and, with `--json FILE`, appended to a file as a JSON line.

mod bounds;
mod daemons;
mod decisions;
mod log;
mod plans;
mod plot;
mod propagation;
mod relay;
mod report;
mod serving;
mod state;

use std::process::Command;
use std::process::ExitCode;

use self::report::Report;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs benchmarks of papayatray.
        ///
        /// Exit codes: 0 all bounds hold; 1 a bound is violated or a run failed.
        cmd bench {
            /// Benchmark to run: decisions, releases and plain (parts of decisions), relay, idle, log, plans, recovery, propagation, state, many,
            /// spread, failover or all (default).
            optional name: String
            /// File to which each measure is appended as a JSON line.
            optional --json json: PathBuf
            /// Folder to which plots are written as SVG.
            optional --plots plots: PathBuf
            /// Runs a daemon with these settings; used by benchmarks that start a site.
            optional --daemon daemon: PathBuf
        }
    }
}

/// Environment variable for the number of threads that stand-ins and callers run on.
const THREADS_VARIABLE: &str = "SMOL_THREADS";
/// Number of threads that stand-ins and callers run on.
const THREAD_COUNT: &str = "3";

fn main() -> ExitCode {
    let flags = flags::Bench::from_env_or_exit();
    if let Some(settings) = &flags.daemon {
        return daemons::run(settings);
    }
    if std::env::var_os(THREADS_VARIABLE).is_none() {
        return rerun_with_threads();
    }
    let name = flags.name.as_deref().unwrap_or("all");
    let mut report = Report::new(flags.json, flags.plots);
    let outcome = smol::block_on(run(name, &mut report));
    if let Err(error) = outcome {
        eprintln!("bench: {error}");
        return ExitCode::FAILURE;
    }
    report.finish()
}

/// Runs this program again with [`THREADS_VARIABLE`] set, as the executor reads it once at its
/// start.
fn rerun_with_threads() -> ExitCode {
    let program = std::env::current_exe();
    let status = program.and_then(|program| {
        Command::new(program)
            .args(std::env::args_os().skip(1))
            .env(THREADS_VARIABLE, THREAD_COUNT)
            .status()
    });
    match status {
        Ok(status) if status.success() => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("bench: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(name: &str, report: &mut Report) -> Result<(), Box<dyn std::error::Error>> {
    match name {
        "decisions" => decisions::run(report),
        "releases" => decisions::releases::run(report),
        "plain" => decisions::plain_releases::run(report),
        "relay" => relay::run(report).await?,
        "idle" => daemons::idle(report).await?,
        "log" => log::run(report)?,
        "plans" => plans::run(report)?,
        "recovery" => state::recovery(report)?,
        "propagation" => propagation::run(report).await?,
        "state" => state::memory(report)?,
        "many" => serving::many(report).await?,
        "spread" => serving::spread(report).await?,
        "failover" => serving::failover(report).await?,
        "all" => {
            // Runs first: it measures the memory of this process, which must not hold other data.
            state::memory(report)?;
            decisions::run(report);
            state::recovery(report)?;
            log::run(report)?;
            plans::run(report)?;
            propagation::run(report).await?;
            daemons::idle(report).await?;
            serving::many(report).await?;
            serving::spread(report).await?;
            serving::failover(report).await?;
            relay::run(report).await?;
        }
        other => {
            return Err(format!("unknown benchmark {other}: see --help for the names").into());
        }
    }
    Ok(())
}
