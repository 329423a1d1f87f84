/*!
puffinknot is a cluster scheduler for unlike workloads: calls that must never
queue, calls that may wait, services that are kept running, and batch work,
all on one fixed set of VMs.

This crate is everything around the decisions: the connections to callers,
targets, operators, other entry VMs and the platform. The decisions are in
[`puffinknot_core`], which does no I/O and is driven alike by the
daemon, by fuzzing and by model checking.

# A tour

A call arrives at an entry VM. [`entry`] finds out who calls and what is
wanted, and [`traffic`] leads the call to its end. What to do is decided on
the [`control`] thread, which alone owns the state: run the call at an
executor ([`target`]), send it on to the entry VM that holds a free slot
([`link`], [`wire`]), or answer it. On the other side, [`link_server`] takes calls
that were sent on.

Behind that, [`daemon`] keeps the state up to date: from the platform's
key-value service ([`platform`]), from the VM list ([`vm_list`]), and from
other entry VMs.

Operators talk to the daemon through [`admin`], mostly by the commands in
[`client`].

# Examples

Settings are checked before anything is started, and say what to do:

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

The operators' file is checked as a whole:

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
pub mod settings;
pub mod target;
pub mod traffic;
pub mod vm_list;
pub mod wire;

pub use puffinknot_core as core;
