//! The commands `status` and `drain`, which use the VMs' admin interface.

use std::collections::BTreeMap;
use std::fmt::Write;

use awc::Client;
use clap::Args;
use puffinknot_core::node::{ContractStatus, NodeStatus};
use serde::Serialize;

use crate::error::{Error, ErrorKind, Result};

use super::{read_current, Cell, Output, Report, DONE};

/// The arguments of `status`.
#[derive(Clone, Debug, Args)]
pub struct StatusArgs {
    #[command(flatten)]
    cell: Cell,
    /// The cell's secret.
    #[arg(long, env = "PUFFINKNOT_SECRET", hide_env_values = true)]
    secret: String,
    /// Query this VM, as IP:PORT of its --admin, instead of the VMs that the
    /// platform knows; for use while the platform is down. May be given
    /// several times.
    #[arg(long = "vm")]
    vms: Vec<String>,
    /// Show every target.
    #[arg(long)]
    full: bool,
}

/// The arguments of `drain`.
#[derive(Clone, Debug, Args)]
pub struct DrainArgs {
    #[command(flatten)]
    cell: Cell,
    /// The cell's secret.
    #[arg(long, env = "PUFFINKNOT_SECRET", hide_env_values = true)]
    secret: String,
    /// The name of the VM, or IP:PORT of its --admin.
    vm: String,
}

#[derive(Debug, Serialize)]
struct CellStatus {
    vms: Vec<NodeStatus>,
    unreachable: Vec<String>,
}

/// The admin address of each VM that the platform knows, by VM name.
async fn admin_addrs(cell: &Cell) -> Result<BTreeMap<String, String>> {
    let members = read_current(&cell.connect()).await?.members;
    let addr = |(vm, member): (puffinknot_core::ids::VmId, _)| {
        let member: puffinknot_core::store::Member = member;
        (vm.0, member.admin)
    };
    Ok(members.into_iter().map(addr).collect())
}

pub(super) async fn status(
    args: StatusArgs,
    output: Output,
) -> Result<Report> {
    let addrs = if args.vms.is_empty() {
        admin_addrs(&args.cell).await?.into_values().collect()
    } else {
        args.vms.clone()
    };
    let client = Client::default();
    let mut all = CellStatus { vms: Vec::new(), unreachable: Vec::new() };
    for addr in addrs {
        match fetch_status(&client, &addr, &args.secret).await {
            Ok(status) => all.vms.push(status),
            Err(problem) => {
                all.unreachable.push(format!("{addr}: {problem}"));
            }
        }
    }
    let text = match output {
        Output::Json => {
            let text = serde_json::to_string(&all).unwrap_or_default();
            format!("{text}\n")
        }
        Output::Text => render(&all, args.full),
    };
    Ok(Report { text, code: DONE })
}

async fn fetch_status(
    client: &Client,
    addr: &str,
    secret: &str,
) -> std::result::Result<NodeStatus, String> {
    let request = client
        .get(format!("http://{addr}/status"))
        .insert_header(("authorization", format!("Bearer {secret}")));
    let response = request.send().await;
    let mut response = response.map_err(|err| err.to_string())?;
    if !response.status().is_success() {
        return Err(response.status().to_string());
    }
    let status = response.json().limit(8 << 20).await;
    status.map_err(|err| err.to_string())
}

fn render(all: &CellStatus, full: bool) -> String {
    let mut text = String::new();
    for vm in &all.vms {
        write_vm(&mut text, vm, full);
    }
    for vm in &all.unreachable {
        let _ = writeln!(text, "unreachable {vm}");
    }
    text
}

fn write_vm(text: &mut String, vm: &NodeStatus, full: bool) {
    let platform = if vm.platform { "up" } else { "down" };
    let draining = if vm.draining { ", draining" } else { "" };
    let _ = writeln!(
        text,
        "vm {} in {}: revision {}, platform {platform}{draining}",
        vm.vm, vm.dc, vm.config
    );
    for home in &vm.homes {
        write_contract(text, home, full);
    }
    for job in &vm.jobs {
        let _ = writeln!(
            text,
            "  job {}: tasks {}, running {}, waiting {}, done {}, unknown {}",
            job.name,
            job.tasks,
            job.running,
            job.waiting,
            job.done,
            job.unknown
        );
    }
    let counters = &vm.counters;
    let _ = writeln!(
        text,
        "  calls {}, hops {}, answered {}, claims {}, handovers {}",
        counters.calls,
        counters.hops,
        counters.answered,
        counters.claims,
        counters.handovers
    );
    let reasons = [
        ("refused", &counters.refused),
        ("unknown", &counters.unknown),
        ("retried", &counters.retries),
    ];
    for (name, by_reason) in reasons {
        for (reason, count) in by_reason {
            let _ = writeln!(text, "  {name} {reason}: {count}");
        }
    }
}

fn write_contract(text: &mut String, home: &ContractStatus, full: bool) {
    let settled = if home.settled { "settled" } else { "settling" };
    let confirmed = if home.confirmed { "" } else { ", not confirmed" };
    let _ = writeln!(
        text,
        "  holds {} at {}: {settled}{confirmed}, targets {}, running {}, \
         waiting {}",
        home.scope,
        home.epoch,
        home.targets.len(),
        home.running,
        home.waiting
    );
    if !full {
        return;
    }
    for target in &home.targets {
        let ready = if target.ready { "ready" } else { "not ready" };
        let _ = writeln!(
            text,
            "    {}: {ready}, used {} of {}",
            target.id, target.used, target.slots
        );
    }
}

pub(super) async fn drain(args: DrainArgs, output: Output) -> Result<Report> {
    let addr = if args.vm.parse::<std::net::SocketAddr>().is_ok() {
        args.vm.clone()
    } else {
        find_admin_addr(&args).await?
    };
    let request = Client::default()
        .post(format!("http://{addr}/drain"))
        .insert_header(("authorization", format!("Bearer {}", args.secret)));
    let failed = |problem: String| {
        Error::new(
            ErrorKind::Link,
            format!("the request to {addr} failed: {problem}"),
            "check the name and the secret, or send SIGTERM on the VM",
        )
    };
    let response = request.send().await;
    let response = response.map_err(|err| failed(err.to_string()))?;
    if !response.status().is_success() {
        return Err(failed(response.status().to_string()));
    }
    let text = match output {
        Output::Json => "{\"draining\":true}\n".to_string(),
        Output::Text => format!("{} drains\n", args.vm),
    };
    Ok(Report { text, code: DONE })
}

async fn find_admin_addr(args: &DrainArgs) -> Result<String> {
    let addrs = admin_addrs(&args.cell).await?;
    let matches_name = |name: &String| {
        let base_name =
            name.rsplit_once('.').map_or("", |(base_name, _)| base_name);
        *name == args.vm || base_name == args.vm
    };
    let found = addrs.iter().find(|(name, _)| matches_name(name));
    found.map(|(_, addr)| addr.clone()).ok_or_else(|| {
        let names: Vec<&str> = addrs.keys().map(String::as_str).collect();
        Error::new(
            ErrorKind::Setting,
            format!("no VM has the name {:?}", args.vm),
            format!("use one of {}", names.join(", ")),
        )
    })
}
