//! The entry daemon.

use std::process::ExitCode;

use clap::Parser;
use eyre::WrapErr;
use puffinknot::daemon::Daemon;
use puffinknot::settings::Settings;
use simplelog::{ColorChoice, ConfigBuilder, TermLogger, TerminalMode};

/// The exit code for invalid settings.
const INVALID_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let settings = Settings::parse();
    if let Err(err) = settings.validate() {
        eprintln!("puffinknotd: {err}");
        return ExitCode::from(INVALID_SETTINGS);
    }
    if settings.check {
        println!("settings are in order");
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("puffinknotd: {err:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(settings: Settings) -> eyre::Result<()> {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .add_filter_allow_str("puffinknot")
        .build();
    let (mode, color) = (TerminalMode::Stderr, ColorChoice::Never);
    TermLogger::init(settings.log, config, mode, color)
        .wrap_err("logging can't be set up")?;
    let daemon = Daemon::start(settings)?;
    let control = daemon.control().clone();
    std::thread::spawn(move || drain_on_signal(&control));
    daemon.join();
    Ok(())
}

/// Starts a planned shutdown at the first signal. Later signals have no
/// effect.
fn drain_on_signal(control: &puffinknot::control::Control) {
    use tokio::signal::unix::{signal, SignalKind};
    actix_rt::System::new().block_on(async {
        let term = signal(SignalKind::terminate());
        let int = signal(SignalKind::interrupt());
        let (Ok(mut term), Ok(mut int)) = (term, int) else { return };
        loop {
            tokio::select! {
                _ = term.recv() => {}
                _ = int.recv() => {}
            }
            control.send(puffinknot::control::Input::Drain);
        }
    });
}
