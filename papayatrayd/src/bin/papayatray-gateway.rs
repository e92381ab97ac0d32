//! Command line of `papayatray-gateway`.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use papayatray_core::gateway::homes::Regions;
use papayatrayd::gateway::ControlRole;
use papayatrayd::gateway::ControlRoleSettings;
use papayatrayd::gateway::EntryRole;
use papayatrayd::gateway::EntryRoleSettings;
use papayatrayd::gateway::Gateway;
use papayatrayd::gateway::GatewayError;
use papayatrayd::gateway::GatewaySettings;
use papayatrayd::gateway::HeaderDialect;
use papayatrayd::gateway::MakeHandler;
use papayatrayd::gateway::MetricsPage;
use papayatrayd::gateway::OperatorApi;
use papayatrayd::gateway::OperatorService;
use papayatrayd::gateway::StatusApi;
use papayatrayd::gateway::run_control;
use papayatrayd::gateway::run_entry;
use papayatrayd::observe::set_up_log;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs the role of the gateway that a settings file names.
        cmd papayatray-gateway {
            /// Settings file, in TOML.
            required file: PathBuf
            /// Checks the settings and exits.
            optional --check
            /// Minimum severity of logged events: error, warn, info or debug.
            optional --log-level log_level: String
        }
    }
}

/// Exit code for invalid settings.
const BAD_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let flags = flags::PapayatrayGateway::from_env_or_exit();
    let settings = match GatewaySettings::load(&flags.file) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("papayatray-gateway: {}: {error}", flags.file.display());
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if flags.check {
        println!("{}: the settings are valid", flags.file.display());
        return ExitCode::SUCCESS;
    }
    let level = flags.log_level.as_deref().unwrap_or("info");
    let logging = set_up_log(&settings.vm, level).map_err(|error| error.to_string());
    let result =
        logging.and_then(|()| run(&settings, &flags.file).map_err(|error| error.to_string()));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("papayatray-gateway: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(settings: &GatewaySettings, file: &Path) -> Result<(), GatewayError> {
    // `GatewaySettings::load` has checked that exactly one role is set.
    match (&settings.entry, &settings.control) {
        (Some(entry), _) => run_as_entry(settings, entry, file.to_owned()),
        (None, Some(control)) => run_as_control(settings, control),
        (None, None) => Ok(()),
    }
}

fn run_as_entry(
    settings: &GatewaySettings,
    entry: &EntryRoleSettings,
    file: PathBuf,
) -> Result<(), GatewayError> {
    let status: MakeHandler<Gateway> = Box::new(|gateway| Arc::new(StatusApi::new(gateway)));
    let mut listeners = vec![(entry.status_address, status)];
    if let Some(address) = settings.metrics_address {
        let page: MakeHandler<Gateway> = Box::new(|gateway| {
            let traces = gateway.traces.clone();
            let page = MetricsPage::new(move || gateway.render_metrics());
            Arc::new(page.with_traces(traces))
        });
        listeners.push((address, page));
    }
    let read_seeds = move || {
        let loaded = GatewaySettings::load(&file).map_err(|error| error.to_string());
        loaded.map(|settings| settings.seeds)
    };
    let role = EntryRole {
        caller_address: entry.caller_address,
        peer_address: entry.peer_address,
        dialect: Arc::new(HeaderDialect::default()),
        listeners,
        read_seeds: Arc::new(read_seeds),
        traced_permille: entry.traced,
        size: entry.size,
        regions: Regions::new(settings.regions.clone()),
    };
    run_entry(settings.identity(), role)
}

fn run_as_control(
    settings: &GatewaySettings,
    control: &ControlRoleSettings,
) -> Result<(), GatewayError> {
    let api: MakeHandler<OperatorService> =
        Box::new(|operator| Arc::new(OperatorApi::new(operator)));
    let mut listeners = vec![(control.operator_address, api)];
    if let Some(address) = settings.metrics_address {
        let page: MakeHandler<OperatorService> =
            Box::new(|operator| Arc::new(MetricsPage::new(move || operator.render_metrics())));
        listeners.push((address, page));
    }
    let role = ControlRole {
        peer_address: control.peer_address,
        folder: control.data_folder.clone(),
        joins_existing: !control.founds,
        tolerance: control.tolerance,
        listeners,
    };
    run_control(&settings.identity(), role)
}
