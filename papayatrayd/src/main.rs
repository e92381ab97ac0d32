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
            /// Checks the settings and exits.
            optional --check
        }
    }
}

/// Exit code for invalid settings.
const EXIT_BAD_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let flags = flags::Papayatrayd::from_env_or_exit();
    run(&flags.file, flags.check)
}

fn run(file: &Path, is_check_only: bool) -> ExitCode {
    let settings = match Settings::load(file) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("papayatrayd: {error}");
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    if is_check_only {
        println!("{}: the settings are valid", file.display());
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
