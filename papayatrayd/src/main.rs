//! Command line of the daemon.

use std::path::Path;
use std::process::ExitCode;

use papayatrayd::daemon;
use papayatrayd::settings::Settings;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs the roles that a settings file names.
        cmd papayatrayd {
            /// Settings file, in TOML.
            required file: PathBuf
            /// Only checks the settings.
            optional --check
        }
    }
}

/// Exit code for settings with a fault.
const BAD_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let flags = flags::Papayatrayd::from_env_or_exit();
    run(&flags.file, flags.check)
}

fn run(file: &Path, only_check: bool) -> ExitCode {
    let settings = match Settings::load(file) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("papayatrayd: {error}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if only_check {
        println!("{}: the settings are sound", file.display());
        return ExitCode::SUCCESS;
    }
    match daemon::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("papayatrayd: {}: {error}", file.display());
            ExitCode::FAILURE
        }
    }
}
