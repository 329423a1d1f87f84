/*!
A node of a cell that runs batch jobs.

All nodes are alike. Each accepts client requests; one at a time leads the
cell and makes the decisions. Durable state is in an external store. The
protocols of the store, of executors and of clients are behind [`ports`], so
that nothing here depends on the names of a platform.

* [`ports`] is the interface that a platform implements.
* [`node`] assembles a node and runs it.
* [`store_watch`] learns the operators' policy and who leads.
* [`leader`] runs the scheduler while this node leads.
* [`store`] makes calls to the store with as much [`call_timeout`] as it needs.
* [`journal`] writes the leader's changes, each under a condition.
* [`watch_limit`] knows whether the store may have more changes than it has
  told.
* [`order`] is what executors are told, and [`relay`] how orders reach them
  by other nodes.
* [`link`] connects each node to the leader, over a [`channel`].
* [`reachability`] tracks whether this node can serve clients, and
  [`leader_search`] chooses the nodes to try to find the leader.
* [`logging`] and [`stats`] provide logs and metrics for on-call engineers.
* [`decision_log`] logs what the leader decides, and from what; [`iteration`]
  measures how long that takes, and how long inputs wait for it.
* [`ingress`] answers client requests, readiness checks and metrics scrapes;
  [`shutdown`] stops the node after all requests are answered.
*/

pub mod call_timeout;
pub mod channel;
pub mod decision_log;
pub mod ingress;
pub mod iteration;
pub mod journal;
pub mod leader;
pub mod leader_search;
pub mod link;
pub mod logging;
pub mod node;
pub mod order;
pub mod ports;
pub mod reachability;
pub mod relay;
pub mod shutdown;
pub mod stats;
pub mod store;
pub mod store_watch;
pub mod watch_limit;

pub use self::node::{run, NodeSettings, NodeSignals};
