/*!
The decision core of puffinknot, a cluster scheduler.

The core is a set of deterministic state machines without I/O, clocks,
randomness or async code. A driver passes in events with the times at which
they happened, and carries out the actions that are returned. The daemon, the
stateful fuzz tests and the model checker therefore run the same code.

The modules, in the order in which they build on each other:

* [`ids`] defines the names of VMs, data centres, targets, callers and tasks.
* [`config`] parses and checks the operators' file.
* [`contract`] determines the one VM that may start work on a set of targets,
  under an epoch that only grows, and which VM should take a contract over.
* [`term`] tracks the takeover of a contract: a new holder knows what runs
  only after it has presented its epoch to every target of the contract.
* [`idempotency`] remembers calls that must not be repeated.
* [`calls`] assigns executor slots to calls, and queues or refuses the rest.
* [`tasks`] places tasks on workers under leases.
* [`jobs`] runs jobs of several steps for a cell that one node leads.
* [`connections`] limits the connections of clients, and what they buffer.
* [`outcome`] defines how calls end.
* [`store`] defines what is stored in the platform's key-value service.
* [`node`] combines these into the state of one entry VM.

# Example

Parsing a file reports all of its errors at once, each with a remedy:

```
use puffinknot_core::config::Config;

let errors = Config::parse("cell = ''\ndata_centres = []").unwrap_err();
let keys: Vec<&str> = errors.iter().map(|e| e.key.as_str()).collect();
assert_eq!(keys, ["cell", "data_centres"]);
assert!(errors.to_string().contains("list at least one"));
```
*/
#![deny(missing_docs)]

pub mod calls;
pub mod config;
pub mod connections;
pub mod contract;
pub mod idempotency;
pub mod ids;
pub mod jobs;
pub mod node;
pub mod outcome;
pub mod store;
pub mod tasks;
pub mod term;
