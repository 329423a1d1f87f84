/*!
A node of a cell that runs batch jobs.

All nodes are alike. Each takes requests from clients; one of them at a time
leads the cell and decides. What lasts is in a store that somebody else runs,
and what the store, executors and clients speak is behind [`ports`], so that
nothing here knows any platform's names.

* [`ports`] is what a platform has to provide.
* [`node`] puts a node together and runs it.
* [`store_watch`] learns the operators' policy and who leads.
* [`leader`] runs the scheduler while this node leads.
* [`store`] makes calls to the store with as much [`call_timeout`] as it needs.
* [`journal`] writes the leader's changes, each under a condition.
* [`watch_limit`] knows whether the store may have more changes than it has told.
* [`order`] is what executors are told, and [`relay`] how orders reach them
  by other nodes.
* [`link`] carries requests to the leader; [`channel`] is what it uses.
* [`reach`] knows whether this node can serve clients, and [`search`] whom to
  try on the way to the leader.
* [`logs`] and [`stats`] are what on-call engineers look at.
* [`decision_log`] logs what the leader decides, and from what; [`iteration`] measures
  how long that takes, and how long inputs wait for it.
* [`ingress`] answers clients, and whoever asks whether the node is ready;
  [`stop`] ends the node so that all are answered.
*/

pub mod call_timeout;
pub mod channel;
pub mod decision_log;
pub mod ingress;
pub mod iteration;
pub mod journal;
pub mod leader;
pub mod link;
pub mod logs;
pub mod node;
pub mod order;
pub mod ports;
pub mod reach;
pub mod relay;
pub mod search;
pub mod stats;
pub mod stop;
pub mod store;
pub mod store_watch;
pub mod watch_limit;

pub use self::node::{run, NodeSettings, Orders};
