/*!
Orders to executors.

The leader decides on orders, and it or a relay makes the calls (see
[`crate::cell::relay`]). An order contains all that the call needs except for
the job specification, which many orders share.
*/

use puffinknot_core::ids::Millis;
use puffinknot_core::jobs::{
    ExecutorInfo, ExecutorReport, OrderFailure, TaskKey,
};
use serde::{Deserialize, Serialize};

use crate::cell::call_slots::{CallEnd, CallLimits, Priority};
use crate::cell::call_timeout;
use crate::cell::node::NodeState;
use crate::cell::ports::{LeaseRenewal, Platform, Start};

/// The longest time for an answer, in milliseconds, without the time for which
/// the executor is told to wait and the delay of a narrow link.
pub const MAX_ANSWER_TIME: Millis = 300;

/// A call to an executor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Renew the lease and return a report.
    Hold {
        /// The end of the lease, on the executor's clock.
        due: Option<Millis>,
        /// The number of the last acknowledged end: the executor may forget
        /// the ends up to it.
        last_seen: u64,
        /// The number of the last end of this incarnation that the leader has
        /// received. Executors list ends until they are acknowledged; those
        /// up to this one are left out of the answer.
        known: u64,
        /// How long the executor may wait for a run to end before it answers.
        wait: Millis,
    },
    /// Start a task.
    Start {
        /// The task.
        task: TaskKey,
        /// The number of the run.
        run: u64,
        /// The end of the lease, on the executor's clock.
        due: Millis,
        /// The checkpoint to resume from, empty for none.
        checkpoint: String,
        /// The ticket, empty for none.
        ticket: String,
    },
    /// Stop a run.
    Stop {
        /// The task.
        task: TaskKey,
        /// The run.
        run: u64,
    },
    /// Throttle a run to a share of the time.
    Pace {
        /// The task.
        task: TaskKey,
        /// The run.
        run: u64,
        /// The share, in percent.
        percent: u32,
    },
}

/// The answer of an executor to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The report, in answer to a lease renewal.
    Account(ExecutorReport),
    /// The task runs. Contains the reading of the executor's clock, if the
    /// answer has one.
    Started(Option<Millis>),
    /// The order is carried out.
    Done,
}

/// The result of an order.
pub type Answer = Result<Reply, OrderFailure>;

impl Order {
    /// Returns how long the executor may wait before it answers.
    pub fn wait(&self) -> Millis {
        match self {
            Order::Hold { wait, .. } => *wait,
            _ => 0,
        }
    }

    /// Returns the priority of the call.
    pub fn priority(&self) -> Priority {
        match self {
            Order::Hold { .. } => Priority::Renewal,
            Order::Stop { .. } => Priority::Stop,
            Order::Pace { .. } => Priority::Throttle,
            Order::Start { .. } => Priority::Start,
        }
    }

    /// Returns whether the order starts a task.
    pub fn is_start(&self) -> bool {
        matches!(self, Order::Start { .. })
    }

    /// Returns the order as it may be sent once more. The executor may have
    /// restarted in between, and an acknowledgement applies only to the ends
    /// of the incarnation that it was meant for, so it is left out.
    pub fn for_retry(&self) -> Order {
        let mut order = self.clone();
        if let Order::Hold { last_seen, .. } = &mut order {
            *last_seen = 0;
        }
        order
    }

    /// Makes the call, as soon as not too many others to the executor are
    /// open, and waits for the answer for `within` milliseconds. `spec` is the
    /// job specification for the task that is started.
    ///
    /// # Errors
    ///
    /// Fails if the order is not known to be carried out.
    pub async fn carry_out<P: Platform>(
        &self,
        node: &NodeState<P>,
        executor: &ExecutorInfo,
        token: u64,
        spec: &str,
        within: Millis,
    ) -> Answer {
        let call = self.call(&*node.platform, executor, token, spec, within);
        let link = node.settings.borrow().link_bytes_per_ms;
        let answer_time = MAX_ANSWER_TIME + call_timeout::link_delay(link);
        let limits =
            CallLimits { wait: answer_time, late: self.wait() + answer_time };
        let address = &executor.address;
        let end = node.calls.call(address, self.priority(), limits, call);
        match end.await {
            CallEnd::Completed(answer) => answer,
            CallEnd::NotSent => {
                node.count("orders_without_slot");
                // A renewal that can't be sent shows that the executor
                // refuses connections, which is not known here.
                let is_renewal = self.priority() == Priority::Renewal;
                Err(match is_renewal {
                    true => OrderFailure::Unknown,
                    false => OrderFailure::NotSent,
                })
            }
            CallEnd::Abandoned => {
                node.count("late_orders_abandoned");
                Err(OrderFailure::Unknown)
            }
        }
    }

    async fn call<P: Platform>(
        &self,
        platform: &P,
        executor: &ExecutorInfo,
        token: u64,
        spec: &str,
        within: Millis,
    ) -> Answer {
        match self {
            Order::Hold { due, last_seen, known, wait } => {
                let renewal = LeaseRenewal {
                    due: *due,
                    last_seen: *last_seen,
                    wait: *wait,
                    within,
                };
                let mut report =
                    platform.renew_executor(executor, token, renewal).await?;
                // Each incarnation numbers its ends from the start.
                if report.born == executor.born {
                    report.ended.retain(|end| end.number > *known);
                }
                Ok(Reply::Account(report))
            }
            Order::Start { task, run, due, checkpoint, ticket } => {
                let start = Start {
                    task: *task,
                    run: *run,
                    spec,
                    due: *due,
                    checkpoint,
                    ticket,
                    within,
                };
                let started = platform.start(executor, token, start);
                started.await.map(Reply::Started)
            }
            Order::Stop { task, run } => {
                let stopped =
                    platform.stop(executor, token, *task, *run, within);
                stopped.await.map(|()| Reply::Done)
            }
            Order::Pace { task, run, percent } => {
                let throttled =
                    platform.throttle(executor, token, *task, *run, *percent);
                throttled.await.map(|()| Reply::Done)
            }
        }
    }
}

/// Returns what is certain after an answer. If the order was sent before and
/// the result of that attempt is unknown, most failures say something about
/// the last attempt only: the earlier one may have been or may yet be carried
/// out.
///
/// # Errors
///
/// Returns why the order is not known to be carried out.
pub fn certain_answer(answer: Answer, sent_before: bool) -> Answer {
    use OrderFailure::{Fenced, Gone, Unknown};
    match answer {
        // These apply to the leader and the executor, not to one attempt.
        Err(Fenced | Gone) => answer,
        Err(_) if sent_before => Err(Unknown),
        answer => answer,
    }
}
