/*!
The operators' command line client, `puffinknot`.

Each command is a function from its arguments to a [`Report`]. A report is
plain text or, with `--output json`, one JSON object for scripts.
*/

mod apply;
mod call;
mod explain;
mod status;

use std::net::{IpAddr, Ipv4Addr};

use clap::{Args, Parser, Subcommand, ValueEnum};
use puffinknot_core::config::Config;
use puffinknot_core::ids::{Revision, VmId};
use puffinknot_core::store::{Key, Member, Value};

use crate::error::{Error, ErrorKind, Result};
use crate::platform::{http_client, Platform, Read};

/// Operates a puffinknot cell.
#[derive(Clone, Debug, Parser)]
#[command(name = "puffinknot", version, after_help = EXAMPLES)]
pub struct Cli {
    /// The command to run.
    #[command(subcommand)]
    pub command: Command,
    /// The output format.
    #[arg(long, global = true, value_enum, default_value_t = Output::Text)]
    pub output: Output,
}

const EXAMPLES: &str = "\
Examples:
  puffinknot plan cell.toml      show what an apply would change
  puffinknot apply cell.toml     activate the file as a whole
  puffinknot status              VMs, contracts, targets, jobs, counters
  puffinknot drain goya-1        start a planned shutdown of an entry VM
  puffinknot call --entry 10.1.0.1:8080 --class vent-check --token T
  puffinknot explain 5c0e7a21d94b36f8 logs/*.log

PUFFINKNOT_PLATFORM, PUFFINKNOT_CELL and PUFFINKNOT_SECRET can be set instead
of the flags of the same names.

Exit codes: 0 done, 1 failed, 2 invalid arguments or file, 3 another apply
came first, 4 a call that was not run, 5 a call that may have run.";

/// The output format of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Output {
    /// Plain text.
    Text,
    /// One JSON object.
    Json,
}

/// The commands.
#[derive(Clone, Debug, Subcommand)]
pub enum Command {
    /// Activate a file as a whole.
    Apply(apply::ApplyArgs),
    /// Show what applying a file would change.
    Plan(apply::PlanArgs),
    /// Show VMs, contracts, targets, jobs and counters.
    Status(status::StatusArgs),
    /// Start a planned shutdown of an entry VM.
    Drain(status::DrainArgs),
    /// Send one request as a caller would.
    Call(call::CallArgs),
    /// Explain the outcome of a job from logs.
    Explain(explain::ExplainArgs),
}

/// The location of the cell.
#[derive(Clone, Debug, Args)]
pub struct Cell {
    /// The platform's key-value service, as http://IP:PORT.
    #[arg(long, env = "PUFFINKNOT_PLATFORM")]
    pub platform: String,
    /// The name of the cell.
    #[arg(long, env = "PUFFINKNOT_CELL")]
    pub cell: String,
}

impl Cell {
    fn connect(&self) -> Platform {
        let client = http_client(IpAddr::V4(Ipv4Addr::UNSPECIFIED));
        Platform::new(client, &self.platform, &self.cell)
    }
}

/// The output and the exit code of a command.
#[derive(Clone, Debug)]
pub struct Report {
    /// The text to print.
    pub text: String,
    /// The exit code.
    pub code: u8,
}

/// The exit code of a successful command.
pub const DONE: u8 = 0;
/// The exit code for invalid arguments or an invalid file.
pub const WRONG: u8 = 2;
/// The exit code of an apply that was not done, or was overwritten, because
/// another apply came first.
pub const LOST: u8 = 3;
/// The exit code of a call that was not run.
pub const NOT_RUN: u8 = 4;
/// The exit code of a call that may have run.
pub const UNKNOWN: u8 = 5;

/// Runs a command.
///
/// # Errors
///
/// If the command fails. The message says what to do.
pub async fn run(cli: Cli) -> Result<Report> {
    let output = cli.output;
    match cli.command {
        Command::Apply(args) => apply::apply(args, output).await,
        Command::Plan(args) => apply::plan(args, output).await,
        Command::Status(args) => status::status(args, output).await,
        Command::Drain(args) => status::drain(args, output).await,
        Command::Call(args) => call::call(args, output).await,
        Command::Explain(args) => explain::explain(args, output),
    }
}

/// The configuration and the members of a cell, as read from the platform.
struct Current {
    /// The revision, text and parsed form of the operators' file in force, if
    /// there is one.
    config: Option<(Revision, String, Config)>,
    members: Vec<(VmId, Member)>,
}

async fn read_current(platform: &Platform) -> Result<Current> {
    let Read { stored, .. } = platform.read(0).await?;
    let mut current = Current { config: None, members: Vec::new() };
    for entry in stored {
        match (entry.key, entry.value) {
            (_, Value::Config(text)) => {
                let config = Config::parse(&text).map_err(|err| {
                    Error::new(
                        ErrorKind::File,
                        format!(
                            "the operators' file in force is invalid: {err}"
                        ),
                        "apply a valid one",
                    )
                })?;
                current.config = Some((entry.revision, text, config));
            }
            (Key::Member(_, vm), Value::Member(member)) => {
                current.members.push((vm, member));
            }
            _ => {}
        }
    }
    Ok(current)
}
