//! Entry point of the operators' command-line tool.

use std::process::ExitCode;

use papayatray::command;
use papayatray::flags::Papayatray;

fn main() -> ExitCode {
    let flags = Papayatray::from_env_or_exit();
    match smol::block_on(command::run(flags)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("papayatray: {error}");
            for line in error.details() {
                eprintln!("  {line}");
            }
            ExitCode::from(error.exit_code())
        }
    }
}
