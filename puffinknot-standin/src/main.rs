//! Runs the stand-ins as processes.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use awc::Client;
use clap::{Args, Parser, Subcommand};
use eyre::{eyre, WrapErr};
use puffinknot::vm_list::VmList;
use puffinknot_core::config::Resources;
use puffinknot_core::node::TargetKind;
use puffinknot_core::tasks::WorkerInfo;
use puffinknot_standin::executor::{Executor, ExecutorConfig};
use puffinknot_standin::load::{
    self, ClassLoad, LoadConfig, Records, Verdict,
};
use puffinknot_standin::platform::{Platform, Vm};
use puffinknot_standin::worker::Worker;

/// Stand-ins for the systems that puffinknot serves.
#[derive(Debug, Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run the key-value service and the VM list.
    Platform(PlatformArgs),
    /// Run the executors and workers of one data centre.
    Targets(TargetsArgs),
    /// Wait until every entry VM is ready and serves calls.
    Wait(LoadArgs),
    /// Send calls and check the records of all targets.
    Load(LoadArgs),
    /// Set the faults of the platform.
    Fault(FaultArgs),
}

#[derive(Debug, Args)]
struct PlatformArgs {
    /// The address to listen on, as IP:PORT.
    #[arg(long)]
    listen: String,
    /// Reads allowed per second; 0 for no limit.
    #[arg(long, default_value_t = 2_000)]
    reads: u32,
    /// Writes allowed per second; 0 for no limit.
    #[arg(long, default_value_t = 300)]
    writes: u32,
}

#[derive(Debug, Args)]
struct TargetsArgs {
    /// The data centre.
    #[arg(long)]
    dc: String,
    /// The first three numbers of the IP addresses of the targets, such as
    /// 127.1.1.
    #[arg(long)]
    net: String,
    /// The number of executors, at addresses from .100 up.
    #[arg(long, default_value_t = 4)]
    executors: u8,
    /// The number of workers, at addresses from .150 up.
    #[arg(long, default_value_t = 4)]
    workers: u8,
    /// The number of workers per rack.
    #[arg(long, default_value_t = 2)]
    rack: u8,
    /// The number of accelerators of the last worker; the others have none.
    #[arg(long, default_value_t = 2)]
    accelerators: u32,
    /// The platform, as http://IP:PORT.
    #[arg(long)]
    platform: String,
}

#[derive(Debug, Args)]
struct LoadArgs {
    /// Entry VMs, as IP:PORT.
    #[arg(long = "entry", required = true)]
    entries: Vec<String>,
    /// Classes, as NAME:TOKEN:RUN_MS:PATIENCE_MS:WEIGHT, with `key:` before
    /// it if calls carry a key.
    #[arg(long = "class", required = true)]
    classes: Vec<String>,
    /// The platform, as http://IP:PORT.
    #[arg(long)]
    platform: String,
    /// The number of calls.
    #[arg(long, default_value_t = 300)]
    calls: u32,
    /// The mean number of calls per second.
    #[arg(long, default_value_t = 100.0)]
    rate: f64,
    /// The seed of arrivals and random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The number of running tasks to wait for before the records are read.
    #[arg(long, default_value_t = 0)]
    tasks: usize,
}

#[derive(Debug, Args)]
struct FaultArgs {
    /// The platform, as http://IP:PORT.
    #[arg(long)]
    platform: String,
    /// The faults, as JSON; `{}` ends all faults.
    faults: String,
}

/// The port of every target.
const PORT: u16 = 9000;
/// The timeout of `wait` and of the wait for running tasks.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(100);

fn main() -> ExitCode {
    let cli = Cli::parse();
    let result = match cli.command {
        Command::Platform(args) => platform(&args),
        Command::Targets(args) => targets(&args),
        Command::Wait(args) => in_system(wait(args)),
        Command::Load(args) => in_system(run_load(args)),
        Command::Fault(args) => in_system(fault(args)),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(err) => {
            eprintln!("puffinknot-standin: {err:#}");
            ExitCode::FAILURE
        }
    }
}

fn in_system(
    run: impl std::future::Future<Output = eyre::Result<bool>>,
) -> eyre::Result<bool> {
    actix_rt::System::new().block_on(run)
}

fn platform(args: &PlatformArgs) -> eyre::Result<bool> {
    let platform = Platform::new();
    platform.change_faults(|faults| {
        faults.reads_per_s = args.reads;
        faults.writes_per_s = args.writes;
    });
    platform.serve(&args.listen).wrap_err("can't listen")?.join();
    Ok(true)
}

fn targets(args: &TargetsArgs) -> eyre::Result<bool> {
    let mut running = Vec::new();
    let mut vms = Vec::new();
    let mut add = |kind: &str, n: u8, addr: String| {
        vms.push(Vm {
            id: format!("{}-{kind}-{n}", args.dc),
            kind: kind.into(),
            dc: args.dc.clone(),
            addr,
            state: "live".into(),
        });
    };
    for n in 0..args.executors {
        let addr = format!("{}.{}:{PORT}", args.net, 100 + n);
        let executor = Executor::new(ExecutorConfig::default());
        running.push(executor.serve(&addr).wrap_err("can't listen")?);
        add("executor", n, addr);
    }
    for n in 0..args.workers {
        let addr = format!("{}.{}:{PORT}", args.net, 150 + n);
        let last = n + 1 == args.workers;
        let info = WorkerInfo {
            capacity: Resources {
                cpu_millis: 16_000,
                memory_mb: 65_536,
                accelerators: if last { args.accelerators } else { 0 },
            },
            rack: format!("{}-rack-{}", args.dc, n / args.rack.max(1)),
            leaving: false,
        };
        let worker = Worker::new(&format!("{}-worker-{n}", args.dc), info);
        running.push(worker.serve(&addr).wrap_err("can't listen")?);
        add("worker", n, addr);
    }
    in_system(register(args.platform.clone(), vms))?;
    running.into_iter().for_each(|server| server.join());
    Ok(true)
}

/// Registers VMs with the stand-in for the platform. The real platform knows
/// its VMs without registration.
async fn register(platform: String, vms: Vec<Vm>) -> eyre::Result<bool> {
    let url = format!("{platform}/standin/vms");
    let sent = Client::default().post(url).send_json(&vms).await;
    sent.map_err(|err| {
        eyre!("can't register the VMs with the platform: {err}")
    })?;
    Ok(true)
}

async fn fault(args: FaultArgs) -> eyre::Result<bool> {
    let url = format!("{}/standin/faults", args.platform);
    let sent = Client::default().post(url).send_body(args.faults).await;
    let response = sent
        .map_err(|err| eyre!("can't set the faults of the platform: {err}"))?;
    Ok(response.status().is_success())
}

fn parse_class(text: &str) -> eyre::Result<ClassLoad> {
    let invalid = || {
        eyre!(
            "invalid class {text:?}: \
             expected NAME:TOKEN:RUN_MS:PATIENCE_MS:WEIGHT"
        )
    };
    let (keyed, rest) = match text.strip_prefix("key:") {
        Some(rest) => (true, rest),
        None => (false, text),
    };
    let parts: Vec<&str> = rest.split(':').collect();
    let [class, token, run_ms, give_up_after, weight] = parts[..] else {
        return Err(invalid());
    };
    Ok(ClassLoad {
        class: class.into(),
        token: token.into(),
        keyed,
        run_ms: run_ms.parse().map_err(|_| invalid())?,
        give_up_after: Duration::from_millis(
            give_up_after.parse().map_err(|_| invalid())?,
        ),
        weight: weight.parse().map_err(|_| invalid())?,
    })
}

fn load_config(args: &LoadArgs) -> eyre::Result<LoadConfig> {
    let classes: eyre::Result<Vec<ClassLoad>> =
        args.classes.iter().map(|text| parse_class(text)).collect();
    Ok(LoadConfig {
        entries: args.entries.clone(),
        classes: classes?,
        calls: args.calls,
        rate: args.rate,
        seed: args.seed,
    })
}

/// Waits until each entry VM has answered a call of each class.
async fn wait(args: LoadArgs) -> eyre::Result<bool> {
    let config = load_config(&args)?;
    let until = std::time::Instant::now() + WAIT_TIMEOUT;
    for entry in &config.entries {
        for class in &config.classes {
            loop {
                let one = LoadConfig {
                    entries: vec![entry.clone()],
                    classes: vec![class.clone()],
                    calls: 1,
                    ..config.clone()
                };
                let result = load::run(one, |_| {}).await;
                let ends = result.calls.values();
                if ends.into_iter().all(|(_, e)| *e == load::Outcome::Answered)
                {
                    break;
                }
                if std::time::Instant::now() > until {
                    let reasons = result.reasons;
                    return Err(eyre!("{entry} is not ready: {reasons:?}"));
                }
                actix_rt::time::sleep(POLL_INTERVAL).await;
            }
        }
    }
    Ok(true)
}

async fn run_load(args: LoadArgs) -> eyre::Result<bool> {
    let config = load_config(&args)?;
    let step = (args.calls / 4).max(1);
    let result = load::run(config, |sent| {
        if sent % step == 0 {
            println!("sent {sent} of {} calls", args.calls);
        }
    })
    .await;
    for (class, class_result) in &result.classes {
        let wait = &class_result.wait_us;
        println!(
            "class {class}: {:?}, waiting time p50 {:.1} ms, p99 {:.1} ms",
            class_result.outcomes,
            wait.value_at_quantile(0.5) as f64 / 1_000.0,
            wait.value_at_quantile(0.99) as f64 / 1_000.0,
        );
    }
    println!("turned away on the way: {:?}", result.reasons);
    let records = await_records(&args).await?;
    for worker in &records.workers {
        let open = worker.runs.iter().filter(|run| run.until.is_none());
        let names: Vec<&str> = open.map(|run| run.task.as_str()).collect();
        println!("placed on {}: {}", worker.id, names.join(" "));
    }
    let v = Verdict::new(&result, &records);
    if v.falsely_refused > 0 {
        println!("calls said not to be run that ran: {}", v.falsely_refused);
    }
    println!(
        "local cell: calls={} answered={} refused={} unknown={} doubled={} \
         lost={} tasks_running={} overcommitted={}",
        v.calls,
        v.answered,
        v.refused,
        v.unknown,
        v.doubled,
        v.lost,
        v.tasks_running,
        v.overcommitted
    );
    Ok(v.is_clean())
}

/// Fetches the records of all targets, once `args.tasks` tasks run or the wait
/// times out.
async fn await_records(args: &LoadArgs) -> eyre::Result<Records> {
    let until = std::time::Instant::now() + WAIT_TIMEOUT;
    loop {
        let records = fetch_records(&args.platform).await?;
        let running = Verdict::new(&Default::default(), &records);
        let enough = running.tasks_running >= args.tasks as u64;
        if enough || std::time::Instant::now() > until {
            return Ok(records);
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

async fn fetch_records(platform: &str) -> eyre::Result<Records> {
    let client = Client::default();
    let list = VmList::fetch(&client, &format!("{platform}/vms")).await?;
    let mut records = Records::default();
    for target in &list.targets {
        let addr: SocketAddr = list.addrs[&target.id];
        let url = format!("http://{addr}/record");
        let response = client.get(url).send().await;
        let mut response =
            response.map_err(|err| eyre!("{}: {err}", target.id))?;
        let body = response.body().limit(64 << 20).await;
        let body = body.map_err(|err| eyre!("{}: {err}", target.id))?;
        match target.kind {
            TargetKind::Executor => {
                records.executors.push(serde_json::from_slice(&body)?);
            }
            TargetKind::Worker => {
                records.workers.push(serde_json::from_slice(&body)?);
            }
        }
    }
    Ok(records)
}
