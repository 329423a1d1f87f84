/*!
Carries out the scheduler's actions and reports the results to it.
*/

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use puffinknot_core::ids::Millis;
use puffinknot_core::jobs::message::{AdviceFailure, CallId, ExecutorIndex};
use puffinknot_core::jobs::model::StepKey;
use puffinknot_core::jobs::{
    Action, Change, Event, ExecutorInfo, MaintenanceFailure, OrderFailure,
    Scheduler,
};
use tokio::time::{sleep, timeout};
use tracing::info;

use super::order_sender::PendingOrder;
use super::{Input, LeaderHandle, LeaderTerm, RETRY_PAUSE};
use crate::cell::decision_log;
use crate::cell::journal::WriteFailure;
use crate::cell::link::{ToNode, ADVICE_TIMEOUT_MS};
use crate::cell::order::{Answer, Order, Reply};
use crate::cell::ports::{Platform, Transaction};
use crate::clock;

/// The clocks of two machines drift apart by at most one part in this many.
const CLOCK_DRIFT_DIVISOR: Millis = 50;

impl<P: Platform> LeaderTerm<P> {
    /// Returns the entry of an executor, shared among its orders.
    fn info_for(
        &self,
        scheduler: &Scheduler,
        index: ExecutorIndex,
    ) -> Option<Rc<ExecutorInfo>> {
        let executor = scheduler.executor(index)?;
        let mut infos = self.executor_infos.borrow_mut();
        let info = infos
            .entry(index)
            .or_insert_with(|| Rc::new(executor.info.clone()));
        // The entry may have changed, and with it the address.
        if **info != executor.info {
            *info = Rc::new(executor.info.clone());
        }
        Some(info.clone())
    }

    /// Carries out actions. Returns whether the term has ended.
    pub(super) fn perform(
        &mut self,
        scheduler: &Scheduler,
        actions: Vec<Action>,
    ) -> bool {
        for action in actions {
            decision_log::log_action(scheduler, self.token, &action);
            match action {
                Action::Reply { id, outcome } => self.answer(id, outcome),
                Action::Commit(changes) => self.commit(changes),
                Action::Superseded => return true,
                Action::JobEnded { job, .. } => {
                    self.handle.relays.forget_job(job);
                }
                // These are only logged.
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
                    let renewed = move |answer: Answer| {
                        let answer = answer.and_then(|reply| match reply {
                            Reply::Account(report) => Ok(report),
                            _ => Err(OrderFailure::Unknown),
                        });
                        Event::RenewalAnswered { executor, sent_at, answer }
                    };
                    self.send_order(scheduler, executor, order, None, renewed);
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
                    let spec = Some(spec);
                    self.send_order(scheduler, executor, order, spec, started);
                }
                Action::Stop { executor, task, run } => {
                    let order = Order::Stop { task, run };
                    let stopped = move |answer: Answer| {
                        let answer = answer.map(|_| ());
                        Event::StopAnswered { executor, task, run, answer }
                    };
                    self.send_order(scheduler, executor, order, None, stopped);
                }
                Action::Throttle { executor, task, run, percent } => {
                    let order = Order::Pace { task, run, percent };
                    let throttled = move |answer: Answer| {
                        let answer = answer.map(|_| ());
                        Event::ThrottleAnswered { executor, answer }
                    };
                    self.send_order(
                        scheduler, executor, order, None, throttled,
                    );
                }
                Action::ListMachines => self.list_machines(),
                Action::StartMaintenance { wave, machine } => {
                    self.start_maintenance(wave, machine);
                }
                Action::WaveState { wave, succeeded } => {
                    self.write_wave_state(wave, succeeded);
                }
            }
        }
        false
    }

    fn platform_and_handle(&self) -> (Rc<P>, LeaderHandle) {
        (self.shared.platform.clone(), self.handle.clone())
    }

    /// Writes changes to the store.
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
                Err(WriteFailure::Superseded) => handle.send(Input::End),
                Err(WriteFailure::Declined(changes)) => {
                    let event = Event::CommitDeclined(changes);
                    handle.send(Input::Event(event));
                }
            }
        });
    }

    /// Sends an order to an executor. `event` reports its answer to the
    /// scheduler.
    fn send_order(
        &self,
        scheduler: &Scheduler,
        executor: ExecutorIndex,
        order: Order,
        spec: Option<Arc<str>>,
        event: impl Fn(Answer) -> Event + 'static,
    ) {
        let Some(info) = self.info_for(scheduler, executor) else { return };
        let event = Box::new(event);
        self.orders.send(PendingOrder { executor, info, order, spec, event });
    }

    fn list_machines(&self) {
        let (platform, handle) = self.platform_and_handle();
        actix_rt::spawn(async move {
            let machines = platform.machines().await.ok();
            handle.send(Input::Event(Event::Machines(machines)));
        });
    }

    fn start_maintenance(&self, wave: u64, machine: String) {
        let (platform, handle) = self.platform_and_handle();
        let token = self.token;
        let holder = self.shared.settings.borrow().node.clone();
        let confirmed = self.confirmed.get();
        let lease = self.shared.settings.borrow().leader_lease;
        let started_at = self.started_at;
        actix_rt::spawn(async move {
            // The receiver may not check the token of this call, so the call
            // is made only while no other node can believe that it leads. A
            // predecessor may believe so for the length of its lease after it
            // was replaced.
            let now = clock::mono();
            let alone = now > started_at + lease + lease / CLOCK_DRIFT_DIVISOR;
            let may_call = alone && now < confirmed + lease;
            let answer = if may_call {
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

    /// Writes the state of a wave, and retries until it is written.
    fn write_wave_state(&self, wave: u64, succeeded: bool) {
        let shared = self.shared.clone();
        let handle = self.handle.clone();
        actix_rt::spawn(async move {
            let (key, value) = shared.platform.wave_state(wave, succeeded);
            while !handle.has_ended() {
                let leader = shared.leader().map(|leader| leader.revision);
                let leader_key = shared.platform.leader_key().to_string();
                let transaction = Transaction {
                    expect: vec![(leader_key, leader.unwrap_or_default())],
                    put: vec![(key.clone(), value.clone(), 0)],
                    remove: Vec::new(),
                };
                if shared.store.write(&transaction).await.is_ok() {
                    info!(wave, succeeded, "wave_state_written");
                    return;
                }
                sleep(RETRY_PAUSE).await;
            }
        });
    }

    /// Asks for advice, through the peer that is to ask if it is not this
    /// node.
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
                let (platform, handle) = self.platform_and_handle();
                let within = Duration::from_millis(ADVICE_TIMEOUT_MS);
                actix_rt::spawn(async move {
                    let advice = platform.advise(step, &executors);
                    let answer = timeout(within, advice).await;
                    let answer = answer.unwrap_or(Err(AdviceFailure::Unknown));
                    handle.report_advice(call, answer);
                });
            }
        }
    }
}
