/*!
Small stand-ins of the systems that puffinknot serves or stands on.

* [`platform`]: the key-value service, which speaks the JSON form of etcd's
  version 3 interface, and the VM list, which has the form of Prometheus'
  HTTP service discovery. Both can be made slow, cut off, or lose answers.
* [`executor`]: answers calls, and keeps a record of every run.
* [`worker`]: runs tasks under leases, and keeps a record of every run.
* [`users`]: the users' platform: a metadata store, executors and advice.
* [`proxy`]: delays, silences, cuts one way or resets connections.
* [`load`]: sends calls as callers do, and counts how they end.

Each is an ordinary HTTP server that a test can run on a port of its own, and
the program `puffinknot-standin` runs them as processes. What they assume of
the real systems is written down in docs/TARGETS.md.
*/
#![deny(missing_docs)]

pub mod executor;
pub mod load;
pub mod platform;
pub mod proxy;
pub mod record;
pub mod server;
pub mod users;
pub mod worker;
