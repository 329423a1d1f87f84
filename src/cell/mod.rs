/*!
A node of a cell that runs batch jobs.

All nodes are alike. Each accepts client requests; one at a time leads the
cell and makes the decisions. Durable state is in an external store. The
protocols of the store, of executors and of clients are behind [`ports`], so
that nothing here depends on the names of a platform.

* [`ports`] is the interface that a platform implements.
* [`node`] assembles a node and runs it.
* [`store_watch`] watches the operators' requests and the leader, and claims a
  vacant leadership.
* [`leader`] runs the scheduler while this node leads.
* [`store`] makes calls to the store, each with an adaptive [`call_timeout`].
* [`journal`] writes the leader's changes, each under a condition.
* [`watch_limit`] infers how many changes the store returns at most in one
  answer.
* [`order`] defines the orders to executors, [`order_queue`] limits how many
  the leader has open, and [`relay`] passes them on by way of other nodes;
  [`call_slots`] limits the open calls to each executor.
* [`link`] connects each node to the leader, over a [`channel`].
* [`reachability`] tracks whether this node can serve clients, and
  [`leader_search`] chooses the nodes to try to find the leader.
* [`logging`] and [`stats`] provide logs and metrics for on-call engineers.
* [`decision_log`] logs the leader's inputs and decisions; [`iteration`]
  measures how long deciding takes, and how long inputs wait for it.
* [`ingress`] answers client requests, readiness checks and metrics scrapes,
  within the [`resources`] of the process; [`shutdown`] stops the node after
  all requests are answered.

[`resources`]: crate::resources
*/

pub mod call_slots;
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
pub mod order_queue;
pub mod ports;
pub mod reachability;
pub mod relay;
pub mod shutdown;
pub mod stats;
pub mod store;
pub mod store_watch;
pub mod watch_limit;

pub use self::node::{run, NodeSettings, NodeSignals};
