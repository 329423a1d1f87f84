/*!
Small stand-ins for the systems that puffinknot serves or depends on.

* [`platform`]: the key-value service, which speaks the JSON form of etcd's
  version 3 interface, and the VM list, which has the form of Prometheus'
  HTTP service discovery. Faults delay them, make them unreachable or lose
  their answers.
* [`executor`]: answers calls and records every run.
* [`worker`]: runs tasks under leases and records every run.
* [`users`]: the users' platform: a metadata store, executors and advice.
* [`proxy`]: delays, silences or resets connections, or blocks one direction.
* [`crowd`]: clients that send as much as they may, and what that costs.
* [`load`]: sends calls as callers do and counts their outcomes.

The servers speak plain HTTP, and a test can run each on its own port. The
program `puffinknot-standin` runs them as processes. docs/TARGETS.md states
what they assume about the real systems.
*/
#![deny(missing_docs)]

pub mod crowd;
pub mod executor;
pub mod load;
pub mod platform;
pub mod proxy;
pub mod record;
pub mod server;
pub mod users;
pub mod worker;
