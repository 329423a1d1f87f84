/*!
Measures the scheduling decisions of puffinknot.

Experiments drive the production core in virtual time and simulate callers,
executors and workers at its interfaces. The same run compares the implemented
policy with baselines. Only the experiments named `processes-*` start real
daemons; these run on threads of this process and communicate over loopback.
*/

mod calls;
mod leader;
mod packing;
mod processes;
mod report;
mod sim;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use eyre::WrapErr;

use self::report::Report;

/// Measures waiting time, packing and control cost.
#[derive(Debug, Parser)]
#[command(name = "puffinknot-measure", version, after_help = EXAMPLES)]
struct Cli {
    /// The experiment, or `all`.
    #[arg(default_value = "all")]
    experiment: String,
    /// The seed of all arrivals and durations.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// List the experiments.
    #[arg(long)]
    list: bool,
    /// Write one JSON object for each experiment to this file.
    #[arg(long)]
    json: Option<PathBuf>,
}

const EXAMPLES: &str = "\
Examples:
  puffinknot-measure --list
  puffinknot-measure waiting-litoral --seed 7
  puffinknot-measure all --json record/today.jsonl";

type Experiment = (&'static str, &'static str, fn(u64) -> Report);

const EXPERIMENTS: &[Experiment] = &[
    (
        "waiting-litoral",
        "waiting time by class and load, climate service",
        calls::litoral,
    ),
    (
        "waiting-karibu",
        "waiting time by class and load, invitations",
        calls::karibu,
    ),
    ("gust", "immediate calls tenfold on a full overnight load", calls::gust),
    ("flood", "one caller's flood and the others' waiting", calls::flood),
    ("loss", "a fifth of the executors lost in the middle", calls::loss),
    ("goodput", "calls answered in time at and over capacity", calls::goodput),
    ("packing", "demand placed and VMs used", packing::packing),
    ("churn", "placement at 160 starts a second", packing::churn),
    ("decisions", "time and memory of decisions, by size", packing::decisions),
    ("leader", "a cell's leader by size, and its successor", leader::leader),
    (
        "leader-backlog",
        "a cell's leader while hundreds of wide steps wait",
        leader::backlog,
    ),
    (
        "processes-calls",
        "calls through six daemons, against direct calls",
        processes::calls,
    ),
    (
        "processes-control",
        "platform calls, link bytes and processor time",
        processes::control,
    ),
    (
        "processes-config",
        "time until a file is in force everywhere",
        processes::config,
    ),
];

fn main() -> ExitCode {
    let cli = Cli::parse();
    if cli.list {
        for (name, about, _) in EXPERIMENTS {
            println!("{name:18} {about}");
        }
        return ExitCode::SUCCESS;
    }
    match run(&cli) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("puffinknot-measure: {err:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(cli: &Cli) -> eyre::Result<()> {
    let matches = |(name, ..): &&Experiment| {
        cli.experiment == "all" || cli.experiment == *name
    };
    let chosen: Vec<&Experiment> =
        EXPERIMENTS.iter().filter(matches).collect();
    if chosen.is_empty() {
        eyre::bail!("no experiment {:?}; see --list", cli.experiment);
    }
    let mut lines = String::new();
    for report in reports(&chosen, cli.seed) {
        print!("{report}");
        lines.push_str(&report.json(cli.seed));
    }
    if let Some(path) = &cli.json {
        std::fs::write(path, lines).wrap_err("cannot write the JSON file")?;
    }
    Ok(())
}

/// Runs experiments and returns their reports in the order of `chosen`.
///
/// `decisions`, `leader*` and `processes-*` run one by one, since other load
/// on the processors distorts their times. The others run in parallel.
fn reports(chosen: &[&Experiment], seed: u64) -> Vec<Report> {
    let parallel = |name: &str| {
        let measures_time = name == "decisions" || name.starts_with("leader");
        !name.starts_with("processes") && !measures_time
    };
    let mut reports: Vec<Option<Report>> = Vec::new();
    std::thread::scope(|scope| {
        let threads: Vec<_> = chosen
            .iter()
            .map(|(name, _, run)| {
                parallel(name).then(|| scope.spawn(move || run(seed)))
            })
            .collect();
        for thread in threads {
            reports.push(thread.and_then(|thread| thread.join().ok()));
        }
    });
    let all = chosen.iter().zip(reports);
    all.map(|((_, _, run), finished)| finished.unwrap_or_else(|| run(seed)))
        .collect()
}
