/*!
Carries out what the scheduler wants done, and tells it what came of it.
*/

use std::rc::Rc;
use std::time::Duration;

use puffinknot_core::ids::Millis;
use puffinknot_core::jobs::message::{AdviceFailure, CallId, ExecutorIndex};
use puffinknot_core::jobs::model::StepKey;
use puffinknot_core::jobs::{
    Action, Change, Event, ExecutorInfo, OrderFailure, Scheduler, TaskKey,
    UpkeepFailure,
};
use tokio::time::{sleep, timeout};
use tracing::info;

use super::{Input, LeadHandle, Tenure, PAUSE};
use crate::cell::decisions;
use crate::cell::journal::Superseded;
use crate::cell::link::{ToNode, ADVICE_WITHIN};
use crate::cell::patience::Patience;
use crate::cell::ports::{Hold, Platform, Start, Transaction};
use crate::clock;

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
                Action::Deposed => return true,
                // These are for the logs only.
                Action::JobEnded { .. } | Action::Settled { .. } => {}
                Action::Advise { call, advisor, step, executors } => {
                    self.advise(call, &advisor, step, executors);
                }
                Action::Hold { executor, sent_at, due, last_seen, wait } => {
                    let within = wait + self.patience.within();
                    let hold = Hold { due, last_seen, wait, within };
                    self.hold(scheduler, executor, sent_at, hold);
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
                    let Some(info) = self.executor(scheduler, executor) else {
                        continue;
                    };
                    let (platform, handle) = self.ways();
                    let token = self.token;
                    let shared = self.shared.clone();
                    let patience = self.patience.clone();
                    let within = patience.within();
                    actix_rt::spawn(async move {
                        let sent_at = clock::mono();
                        let start = Start {
                            task,
                            run,
                            spec: &spec,
                            due,
                            checkpoint: &checkpoint,
                            ticket: &ticket,
                            within,
                        };
                        let answer = platform.start(&info, token, start).await;
                        let took = clock::mono() - sent_at;
                        shared.stats.took("start_order", took);
                        learn(&patience, &answer, took);
                        let event =
                            Event::Started { executor, task, run, answer };
                        handle.send(Input::Event(event));
                    });
                }
                Action::Stop { executor, task, run } => {
                    self.stop(scheduler, executor, task, run);
                }
                Action::Pace { executor, task, run, percent } => {
                    self.pace(scheduler, executor, task, run, percent);
                }
                Action::ListMachines => self.list_machines(),
                Action::Upkeep { wave, machine } => {
                    self.upkeep(wave, machine);
                }
                Action::WaveState { wave, succeeded } => {
                    self.tell_wave_state(wave, succeeded);
                }
            }
        }
        false
    }

    fn ways(&self) -> (Rc<P>, LeadHandle) {
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
            shared.stats.took("commit", clock::mono() - sent_at);
            match written {
                Ok(()) => {
                    confirmed.set(confirmed.get().max(sent_at));
                    handle.send(Input::Event(Event::Committed));
                }
                Err(Superseded) => handle.send(Input::Over),
            }
        });
    }

    fn hold(
        &self,
        scheduler: &Scheduler,
        executor: ExecutorIndex,
        sent_at: Millis,
        hold: Hold,
    ) {
        let Some(info) = self.executor(scheduler, executor) else { return };
        let (platform, handle) = self.ways();
        let token = self.token;
        let patience = self.patience.clone();
        actix_rt::spawn(async move {
            let answer = platform.hold(&info, token, hold).await;
            if hold.wait == 0 {
                learn(&patience, &answer, clock::mono() - sent_at);
            }
            let event = Event::Held { executor, sent_at, answer };
            handle.send(Input::Event(event));
        });
    }

    fn stop(
        &self,
        scheduler: &Scheduler,
        executor: ExecutorIndex,
        task: TaskKey,
        run: u64,
    ) {
        let Some(info) = self.executor(scheduler, executor) else { return };
        let (platform, handle) = self.ways();
        let token = self.token;
        let patience = self.patience.clone();
        let within = patience.within();
        actix_rt::spawn(async move {
            let sent_at = clock::mono();
            let stopped = platform.stop(&info, token, task, run, within);
            let answer = stopped.await;
            learn(&patience, &answer, clock::mono() - sent_at);
            let event = Event::Stopped { executor, task, run, answer };
            handle.send(Input::Event(event));
        });
    }

    fn pace(
        &self,
        scheduler: &Scheduler,
        executor: ExecutorIndex,
        task: TaskKey,
        run: u64,
        percent: u32,
    ) {
        let Some(info) = self.executor(scheduler, executor) else { return };
        let (platform, handle) = self.ways();
        let token = self.token;
        actix_rt::spawn(async move {
            let answer = platform.pace(&info, token, task, run, percent).await;
            let event = Event::Paced { executor, answer };
            handle.send(Input::Event(event));
        });
    }

    fn list_machines(&self) {
        let (platform, handle) = self.ways();
        actix_rt::spawn(async move {
            let machines = platform.machines().await.ok();
            handle.send(Input::Event(Event::Machines(machines)));
        });
    }

    fn upkeep(&self, wave: u64, machine: String) {
        let (platform, handle) = self.ways();
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
                platform.upkeep(&holder, token, &machine, wave).await
            } else {
                Err(UpkeepFailure::Refused)
            };
            let event = Event::UpkeepAnswered { wave, machine, answer };
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
                let (platform, handle) = self.ways();
                let within = Duration::from_millis(ADVICE_WITHIN);
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
