//! The operators' command line client.

use std::process::ExitCode;

use clap::Parser;
use puffinknot::client::{run, Cli};

fn main() -> ExitCode {
    let cli = Cli::parse();
    let result: eyre::Result<_> =
        actix_rt::System::new().block_on(run(cli)).map_err(eyre::Report::from);
    match result {
        Ok(report) => {
            print!("{}", report.text);
            ExitCode::from(report.code)
        }
        Err(err) => {
            eprintln!("puffinknot: {err:#}");
            ExitCode::FAILURE
        }
    }
}
