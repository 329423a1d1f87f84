/*!
Orders to executors, whoever carries them out.

The leader decides on orders; it or another node makes the calls, see
[`crate::cell::relay`]. An order holds all that the call needs but the text
of the job, which many orders share.
*/

use puffinknot_core::ids::Millis;
use puffinknot_core::jobs::{
    ExecutorInfo, ExecutorReport, OrderFailure, TaskKey,
};
use serde::{Deserialize, Serialize};

use crate::cell::ports::{LeaseRenewal, Platform, Start};

/// What an executor is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Extend the lease and give an account.
    Hold {
        /// The end of the lease, on the executor's clock.
        due: Option<Millis>,
        /// Ends up to this one may be forgotten.
        last_seen: u64,
        /// Ends of this life up to this one are known to the leader. Executors
        /// list them until they may be forgotten; they are left out of the
        /// answer.
        known: u64,
        /// How long the executor may wait for an end, in milliseconds.
        wait: Millis,
    },
    /// Start a task.
    Start {
        /// The task.
        task: TaskKey,
        /// Which run of it.
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
    /// Let a run work at a share of the time.
    Pace {
        /// The task.
        task: TaskKey,
        /// The run.
        run: u64,
        /// The share, in percent.
        percent: u32,
    },
}

/// What an executor answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Its account, to a hold.
    Account(ExecutorReport),
    /// The task runs; what its clock showed, as far as it says.
    Started(Option<Millis>),
    /// It is done.
    Done,
}

/// What came of an order.
pub type Answer = Result<Reply, OrderFailure>;

impl Order {
    /// How long the executor may take before it answers, in milliseconds.
    pub fn wait(&self) -> Millis {
        match self {
            Order::Hold { wait, .. } => *wait,
            _ => 0,
        }
    }

    /// Whether it starts a task.
    pub fn is_start(&self) -> bool {
        matches!(self, Order::Start { .. })
    }

    /// The same order, to be given once more to an executor that may have
    /// started again since: what it is told of its ends holds for the life
    /// that was meant only.
    pub fn again(&self) -> Order {
        let mut order = self.clone();
        if let Order::Hold { last_seen, .. } = &mut order {
            *last_seen = 0;
        }
        order
    }

    /// Makes the call, and waits for its answer for so many milliseconds.
    /// `text` is what a task that is started is told.
    ///
    /// # Errors
    ///
    /// If the order is not known to be carried out.
    pub async fn carry_out<P: Platform>(
        &self,
        platform: &P,
        executor: &ExecutorInfo,
        token: u64,
        text: &str,
        within: Millis,
    ) -> Answer {
        match self {
            Order::Hold { due, last_seen, known, wait } => {
                let hold = LeaseRenewal {
                    due: *due,
                    last_seen: *last_seen,
                    wait: *wait,
                    within,
                };
                let mut account =
                    platform.renew_executor(executor, token, hold).await?;
                // Another life numbers its ends anew.
                if account.born == executor.born {
                    account.ended.retain(|end| end.number > *known);
                }
                Ok(Reply::Account(account))
            }
            Order::Start { task, run, due, checkpoint, ticket } => {
                let start = Start {
                    task: *task,
                    run: *run,
                    spec: text,
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
                let paced =
                    platform.throttle(executor, token, *task, *run, *percent);
                paced.await.map(|()| Reply::Done)
            }
        }
    }
}

/// What is known from an answer. If the order was given before and it is
/// not known what became of that, a failure is one of this try only: the
/// first may have been carried out, or be carried out yet.
///
/// # Errors
///
/// Why the order is not known to be carried out.
pub fn known(answer: Answer, given_before: bool) -> Answer {
    use OrderFailure::{Fenced, Gone, Unknown};
    match answer {
        // These are about the leader and the executor, not about this try.
        Err(Fenced | Gone) => answer,
        Err(_) if given_before => Err(Unknown),
        answer => answer,
    }
}
