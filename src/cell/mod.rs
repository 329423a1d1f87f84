/*!
A node of a cell that runs batch jobs.

All nodes are alike. Each takes requests from clients; one of them at a time
leads the cell and decides. What lasts is in a store that somebody else runs,
and what the store, executors and clients speak is behind [`ports`], so that
nothing here knows any platform's names.

* [`ports`] is what a platform has to provide.
* [`node`] puts a node together and runs it.
* [`follow`] learns the operators' policy and who leads.
* [`lead`] runs the scheduler while this node leads.
* [`store`] makes calls to the store with as much [`patience`] as it needs.
* [`journal`] writes the leader's changes, each under a condition.
* [`backlog`] knows whether the store may have more changes than it has told.
* [`order`] is what executors are told, and [`relay`] how orders reach them
  by other nodes.
* [`link`] carries requests to the leader; [`channel`] is what it uses.
* [`reachability`] knows whether this node can serve clients, and [`leader_search`] whom to
  try on the way to the leader.
* [`logging`] and [`stats`] are what on-call engineers look at.
* [`decisions`] logs what the leader decides, and from what; [`turn`] measures
  how long that takes, and how long inputs wait for it.
* [`ingress`] answers clients, and whoever asks whether the node is ready;
  [`shutdown`] ends the node so that all are answered.
*/

pub mod backlog;
pub mod channel;
pub mod decisions;
pub mod follow;
pub mod ingress;
pub mod journal;
pub mod lead;
pub mod leader_search;
pub mod link;
pub mod logging;
pub mod node;
pub mod order;
pub mod patience;
pub mod ports;
pub mod reachability;
pub mod relay;
pub mod shutdown;
pub mod stats;
pub mod store;
pub mod turn;

pub use self::node::{run, NodeSettings, NodeSignals};
