/*!
Carries out what the scheduler wants done, and tells it what came of it.
*/

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use puffinknot_core::ids::Millis;
use puffinknot_core::jobs::message::{AdviceFailure, CallId, ExecutorIndex};
use puffinknot_core::jobs::model::StepKey;
use puffinknot_core::jobs::{
    Action, Change, Event, ExecutorInfo, MaintenanceFailure, Mechanism,
    OrderFailure, Scheduler,
};
use tokio::time::{sleep, timeout};
use tracing::info;

use super::{Input, LeadHandle, Tenure, PAUSE};
use crate::cell::decisions;
use crate::cell::journal::Unwritten;
use crate::cell::link::{ToNode, ADVICE_TIMEOUT_MS};
use crate::cell::order::{Answer, Order, Reply};
use crate::cell::patience::Patience;
use crate::cell::ports::{Platform, Transaction};
use crate::clock;

/// How much longer an order is left open after it counts as unanswered, in
/// milliseconds. An answer that was held up by a full link still says what
/// became of the order, and the connection can be used again; given up, it
/// would have to be asked for once more, over a new connection, and the link
/// would fill further.
const LATE: Millis = 3_000;

/// The clocks of two machines run apart by one part in this many at most.
const CLOCK_DRIFT: Millis = 50;

/// Takes in how long an order took.
fn learn<T>(
    patience: &Patience,
    answer: &Result<T, OrderFailure>,
    took: Millis,
) {
    match answer {
        Err(OrderFailure::Unknown) => patience.unanswered(),
        // A connection that was refused says nothing about answers.
        Err(OrderFailure::NotSent) => {}
        _ => patience.answered(took),
    }
}

impl<P: Platform> Tenure<P> {
    fn executor(
        &self,
        scheduler: &Scheduler,
        index: ExecutorIndex,
    ) -> Option<Rc<ExecutorInfo>> {
        let executor = scheduler.executor(index)?;
        let mut known = self.executors.borrow_mut();
        let info = known
            .entry(index)
            .or_insert_with(|| Rc::new(executor.info.clone()));
        // Its entry may have changed, and its address with it.
        if **info != executor.info {
            *info = Rc::new(executor.info.clone());
        }
        Some(info.clone())
    }

    /// Carries out actions. Returns whether the tenure is over.
    pub(super) fn perform(
        &mut self,
        scheduler: &Scheduler,
        actions: Vec<Action>,
    ) -> bool {
        for action in actions {
            decisions::action(scheduler, self.token, &action);
            match action {
                Action::Reply { id, outcome } => self.answer(id, outcome),
                Action::Commit(changes) => self.commit(changes),
                Action::Superseded => return true,
                Action::JobEnded { job, .. } => {
                    self.handle.relays.forget(job);
                }
                // These are for the logs only.
                Action::TakeoverComplete { .. }
                | Action::NotAdmitted { .. }
                | Action::OverShare { .. }
                | Action::Preempted { .. }
                | Action::ExecutorSpeed { .. }
                | Action::StepDeferred { .. }
                | Action::RunOverdue { .. }
                | Action::RunsEvicted { .. }
                | Action::ExecutorHeard { .. }
                | Action::ExecutorOver { .. }
                | Action::RunGivenUp { .. }
                | Action::TaskSuspected { .. }
                | Action::TaskCleared { .. }
                | Action::TaskGivenUp { .. } => {}
                Action::Advise { call, advisor, step, executors } => {
                    self.advise(call, &advisor, step, executors);
                }
                Action::RenewLease {
                    executor,
                    sent_at,
                    due,
                    last_seen,
                    known,
                    wait,
                } => {
                    let order = Order::Hold { due, last_seen, known, wait };
                    let held = move |answer: Answer| {
                        let answer = answer.and_then(|reply| match reply {
                            Reply::Account(account) => Ok(account),
                            _ => Err(OrderFailure::Unknown),
                        });
                        Event::RenewalAnswered { executor, sent_at, answer }
                    };
                    self.order(scheduler, executor, order, None, held);
                }
                Action::Start {
                    executor,
                    task,
                    run,
                    spec,
                    due,
                    checkpoint,
                    ticket,
                } => {
                    let order =
                        Order::Start { task, run, due, checkpoint, ticket };
                    let started = move |answer: Answer| {
                        let answer = answer.map(|reply| match reply {
                            Reply::Started(clock) => clock,
                            _ => None,
                        });
                        Event::StartAnswered { executor, task, run, answer }
                    };
                    let text = Some(spec);
                    self.order(scheduler, executor, order, text, started);
                }
                Action::Stop { executor, task, run } => {
                    let order = Order::Stop { task, run };
                    let stopped = move |answer: Answer| {
                        let answer = answer.map(|_| ());
                        Event::StopAnswered { executor, task, run, answer }
                    };
                    self.order(scheduler, executor, order, None, stopped);
                }
                Action::Throttle { executor, task, run, percent } => {
                    let order = Order::Pace { task, run, percent };
                    let paced = move |answer: Answer| {
                        let answer = answer.map(|_| ());
                        Event::ThrottleAnswered { executor, answer }
                    };
                    self.order(scheduler, executor, order, None, paced);
                }
                Action::ListMachines => self.list_machines(),
                Action::StartMaintenance { wave, machine } => {
                    self.upkeep(wave, machine);
                }
                Action::WaveState { wave, succeeded } => {
                    self.tell_wave_state(wave, succeeded);
                }
            }
        }
        false
    }

    fn outside(&self) -> (Rc<P>, LeadHandle) {
        (self.shared.platform.clone(), self.handle.clone())
    }

    fn commit(&self, changes: Vec<Change>) {
        let shared = self.shared.clone();
        let journal = self.journal.clone();
        let handle = self.handle.clone();
        let confirmed = self.confirmed.clone();
        actix_rt::spawn(async move {
            let sent_at = clock::mono();
            let written = journal.write(changes).await;
            shared.stats.record_latency("commit", clock::mono() - sent_at);
            match written {
                Ok(()) => {
                    confirmed.set(confirmed.get().max(sent_at));
                    handle.send(Input::Event(Event::Committed));
                }
                Err(Unwritten::Superseded) => handle.send(Input::Over),
                Err(Unwritten::Declined(changes)) => {
                    let event = Event::CommitDeclined(changes);
                    handle.send(Input::Event(event));
                }
            }
        });
    }

    /// Gives an order to an executor, and tells the scheduler by `event`
    /// what came of it: after as long as answers usually take that nothing
    /// is known, and what the answer says if it comes later.
    fn order(
        &self,
        scheduler: &Scheduler,
        executor: ExecutorIndex,
        order: Order,
        text: Option<Arc<str>>,
        event: impl Fn(Answer) -> Event + 'static,
    ) {
        let Some(info) = self.executor(scheduler, executor) else { return };
        let handle = self.handle.clone();
        let ways = self.ways.clone();
        let shared = self.shared.clone();
        let patience = self.patience.clone();
        let wait = order.wait();
        let within = wait + patience.within();
        let late =
            if shared.is_enabled(Mechanism::LateAnswers) { LATE } else { 0 };
        actix_rt::spawn(async move {
            let sent_at = clock::mono();
            let text = text.unwrap_or_else(|| Arc::from(""));
            let call = ways.order(&info, &order, &text, within + late);
            let mut call = std::pin::pin!(call);
            let usual = Duration::from_millis(within);
            let answer = match timeout(usual, &mut call).await {
                Ok(answer) => answer,
                Err(_) => {
                    patience.unanswered();
                    let unknown = event(Err(OrderFailure::Unknown));
                    handle.send(Input::Event(unknown));
                    let answer = call.await;
                    if answer == Err(OrderFailure::Unknown) {
                        return;
                    }
                    shared.count("answered_late");
                    answer
                }
            };
            let took = clock::mono() - sent_at;
            if matches!(order, Order::Start { .. }) {
                shared.stats.record_latency("start_order", took);
            }
            if wait == 0 {
                learn(&patience, &answer, took);
            }
            handle.send(Input::Event(event(answer)));
        });
    }

    fn list_machines(&self) {
        let (platform, handle) = self.outside();
        actix_rt::spawn(async move {
            let machines = platform.machines().await.ok();
            handle.send(Input::Event(Event::Machines(machines)));
        });
    }

    fn upkeep(&self, wave: u64, machine: String) {
        let (platform, handle) = self.outside();
        let token = self.token;
        let holder = self.shared.settings.borrow().node.clone();
        let confirmed = self.confirmed.get();
        let lease = self.shared.settings.borrow().leader_lease;
        let begun = self.begun;
        actix_rt::spawn(async move {
            // Nobody may check the token of this call, so that it is made
            // only while nobody else can lead: a predecessor may think so
            // for the length of its lease after it was replaced.
            let now = clock::mono();
            let alone = now > begun + lease + lease / CLOCK_DRIFT;
            let sure = alone && now < confirmed + lease;
            let answer = if sure {
                platform
                    .start_maintenance(&holder, token, &machine, wave)
                    .await
            } else {
                Err(MaintenanceFailure::Refused)
            };
            let event = Event::MaintenanceAnswered { wave, machine, answer };
            handle.send(Input::Event(event));
        });
    }

    /// Writes where a wave stands, trying until it is written.
    fn tell_wave_state(&self, wave: u64, succeeded: bool) {
        let shared = self.shared.clone();
        let handle = self.handle.clone();
        actix_rt::spawn(async move {
            let (key, value) = shared.platform.wave_state(wave, succeeded);
            while !handle.is_over() {
                let leader = shared.leader().map(|leader| leader.revision);
                let condition = shared.platform.leader_key().to_string();
                let transaction = Transaction {
                    expect: vec![(condition, leader.unwrap_or_default())],
                    put: vec![(key.clone(), value.clone(), 0)],
                    remove: Vec::new(),
                };
                if shared.store.write(&transaction).await.is_ok() {
                    info!(wave, succeeded, "wave_state_written");
                    return;
                }
                sleep(PAUSE).await;
            }
        });
    }

    fn advise(
        &self,
        call: CallId,
        advisor: &str,
        step: StepKey,
        executors: Vec<String>,
    ) {
        let own = self.shared.settings.borrow().node == advisor;
        let peer = self.peers.values().find(|peer| peer.node == advisor);
        match peer {
            Some(peer) if !own => {
                let message = ToNode::Advise(call, step, executors);
                peer.sender.send(&message);
            }
            _ => {
                let (platform, handle) = self.outside();
                let within = Duration::from_millis(ADVICE_TIMEOUT_MS);
                actix_rt::spawn(async move {
                    let advice = platform.advise(step, &executors);
                    let answer = timeout(within, advice).await;
                    let answer = answer.unwrap_or(Err(AdviceFailure::Unknown));
                    handle.advised(call, answer);
                });
            }
        }
    }
}
