/*!
puffinknot is a cluster scheduler for mixed workloads: calls that must never
queue, calls that may wait, services that are kept running, and batch work,
all on one fixed set of VMs.

This crate does the I/O: it connects to callers, targets, operators, other
entry VMs and the platform. The decisions are made in [`puffinknot_core`],
which does no I/O, so that the daemon, fuzzing and model checking all drive
the same code.

# A tour

A call arrives at an entry VM. [`entry`] authenticates the caller and parses
the call, and [`traffic`] handles the call until it ends. The [`control`]
thread, the only owner of the state, decides what to do: run the call at an
executor ([`target`]), forward it to the entry VM that has a free slot
([`link`], [`wire`]), or answer it. On that VM, [`link_server`] receives the
forwarded call.

In the background, [`daemon`] updates the state from the platform's key-value
service ([`platform`]), the VM list ([`vm_list`]) and other entry VMs.

Operators reach the daemon through [`admin`], usually with the commands in
[`client`].

[`cell`] is separate: it is a node of a cell that runs batch jobs.

# Examples

Settings are validated before anything starts. An error says what to do:

```
use clap::Parser;
use puffinknot::settings::Settings;

let settings = Settings::parse_from([
    "puffinknotd", "--cell", "litoral", "--dc", "goya", "--vm", "goya-1",
    "--listen", "127.0.0.1:0", "--link", "127.0.0.1:0",
    "--admin", "127.0.0.1:0", "--secret", "short",
    "--platform", "http://127.0.0.1:2379",
    "--vm-list", "http://127.0.0.1:2379/vms",
]);
let err = settings.validate().unwrap_err();
assert_eq!(
    err.to_string(),
    "--secret is too short; use at least 8 characters",
);
```

The operators' file is validated as a whole:

```
use puffinknot::core::config::Config;

let file = include_str!("../examples/litoral.toml");
let config = Config::parse(file)?;
assert_eq!(config.data_centres.len(), 2);
assert!(config.class("vent-check").is_some());
# Ok::<(), puffinknot::core::config::ConfigErrors>(())
```
*/
#![deny(missing_docs)]

pub mod admin;
pub mod cell;
pub mod client;
pub mod clock;
pub mod control;
pub mod daemon;
pub mod entry;
pub mod error;
pub mod http;
pub mod link;
pub mod link_server;
pub mod metrics;
pub mod platform;
mod platform_watch;
mod registry;
pub mod resources;
pub mod settings;
pub mod target;
pub mod traffic;
pub mod vm_list;
pub mod wire;

pub use puffinknot_core as core;
