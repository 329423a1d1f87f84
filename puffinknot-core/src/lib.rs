/*!
The decision core of puffinknot: everything the scheduler *decides*, and
nothing that it *does*.

The core has no I/O, clock, randomness or async. A caller hands it events
with the time at which they happened and carries out the actions it gets
back. The daemon, the stateful fuzzing and the model checking therefore all
run the same code.

A tour, from the ground up:

* [`ids`] names VMs, data centres, targets, callers and tasks.
* [`config`] reads and checks the operators' file.
* [`contract`] says which VM alone may fill which targets, under an epoch
  that only grows, and who should take a contract over.
* [`term`] is what a new holder has to finish before it may trust what it
  knows: presenting its epoch to every target of the contract.
* [`idempotency`] remembers calls that must not be repeated.
* [`calls`] hands executor slots to calls, and queues or refuses the rest.
* [`tasks`] places tasks on workers under leases.
* [`jobs`] runs jobs of several steps for a cell that one node leads.
* [`store`] names what is kept in the platform's key-value service.
* [`node`] puts these together into the state of one entry VM.

# Example

Reading a file reports every error at once, each with its remedy:

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
pub mod contract;
pub mod idempotency;
pub mod ids;
pub mod jobs;
pub mod node;
pub mod outcome;
pub mod store;
pub mod tasks;
pub mod term;
