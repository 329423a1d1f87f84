//! Orders that arrive at executors, and their answers.

use super::*;

impl World {
    /// Handles an order that arrives at an executor.
    pub(super) fn order(
        &mut self,
        at: usize,
        action: Action,
        token: u64,
        answer_to: Option<u64>,
    ) {
        // An order to a former incarnation is answered by the present one.
        if let Some(life) = self.replacement_of(at) {
            let silent = self.executors[life].is_silent_to(token);
            return match answer_to {
                Some(_) if silent => self.leave_unanswered(&action, token),
                Some(_) => self.refuse(action, token, OrderFailure::Gone),
                None => {}
            };
        }
        let there = &mut self.executors[at];
        if there.resets_connections && answer_to.is_some() {
            return self.refuse(action, token, OrderFailure::NotSent);
        }
        if there.unhealthy && matches!(action, Action::RenewLease { .. }) {
            return self.refuse(action, token, OrderFailure::Unhealthy);
        }
        let silent = there.is_silent_to(token);
        if let (Some(late), false) = (there.order_delay, silent) {
            if answer_to.is_some()
                && !matches!(action, Action::RenewLease { .. })
            {
                let life = there.restarts;
                self.leave_unanswered(&action, token);
                let action = Box::new(action);
                let order = Pending::DelayedOrder(at, action, token, life);
                return self.schedule(late, order);
            }
        }
        if silent {
            if answer_to.is_some() {
                self.leave_unanswered(&action, token);
            }
            return;
        }
        let fenced = token < there.token;
        there.token = there.token.max(token);
        let answer_delay = there.answer_delay.filter(|_| answer_to.is_some());
        if answer_delay.is_some() {
            self.leave_unanswered(&action, token);
        }
        let way = answer_delay.map_or(LATENCY, |late| ORDER_TIMEOUT + late);
        let there = &mut self.executors[at];
        match action {
            Action::RenewLease {
                executor,
                sent_at,
                due,
                last_seen,
                wait,
                ..
            } => {
                if fenced {
                    return self.answer(
                        way,
                        token,
                        Event::RenewalAnswered {
                            executor,
                            sent_at,
                            answer: Err(OrderFailure::Fenced),
                        },
                    );
                }
                there.due = there.due.max(due.unwrap_or(0));
                self.acknowledge(at, last_seen);
                let any = !self.executors[at].ended.is_empty();
                let after = if any { 0 } else { wait };
                let pending = Pending::RenewalDue(
                    at, executor, sent_at, last_seen, token,
                );
                self.schedule(after, pending);
            }
            Action::Start { executor, task, run, due, .. } => {
                let there = self.executors[at].runs(&task);
                let answer = if fenced {
                    Err(OrderFailure::Fenced)
                } else {
                    self.start(at, task, run, due)
                };
                if answer.is_ok() && !there && answer_to.is_some() {
                    self.check_cordon(at, task, run);
                }
                let clock = self.executors[at].clock(self.now);
                let answer = answer.map(|()| Some(clock));
                if self.loses_answer(at, answer_to) {
                    let event = Event::StartAnswered {
                        executor,
                        task,
                        run,
                        answer: Err(OrderFailure::Unknown),
                    };
                    self.schedule(
                        ORDER_TIMEOUT,
                        Pending::Deliver(token, event),
                    );
                } else if answer_to.is_some() {
                    let event =
                        Event::StartAnswered { executor, task, run, answer };
                    self.answer(way, token, event);
                }
            }
            Action::Stop { executor, task, run } => {
                let answer = if fenced {
                    Err(OrderFailure::Fenced)
                } else {
                    self.stop(at, task, run);
                    Ok(())
                };
                if answer_to.is_some() {
                    let event =
                        Event::StopAnswered { executor, task, run, answer };
                    self.answer(way, token, event);
                }
            }
            _ => {}
        }
    }

    pub(super) fn loses_answer(
        &mut self,
        at: usize,
        answer_to: Option<u64>,
    ) -> bool {
        let there = &mut self.executors[at];
        let loses_answer = answer_to.is_some() && there.lost_answers > 0;
        there.lost_answers -= u32::from(loses_answer);
        loses_answer
    }

    pub(super) fn answer(&mut self, way: Millis, token: u64, event: Event) {
        self.schedule(way, Pending::Deliver(token, event));
    }

    /// Answers an order with a failure.
    pub(super) fn refuse(
        &mut self,
        action: Action,
        token: u64,
        why: OrderFailure,
    ) {
        if let Some(event) = failed(&action, why) {
            self.answer(LATENCY, token, event);
        }
    }

    /// Reports the timeout of an order that nobody answers.
    pub(super) fn leave_unanswered(&mut self, action: &Action, token: u64) {
        let after = match action {
            Action::RenewLease { wait, .. } => wait + RENEWAL_GRACE,
            _ => ORDER_TIMEOUT,
        };
        if let Some(event) = failed(action, OrderFailure::Unknown) {
            self.schedule(after, Pending::Deliver(token, event));
        }
    }

    pub(super) fn acknowledge(&mut self, at: usize, last_seen: u64) {
        let there = &mut self.executors[at];
        let (gone, kept) = std::mem::take(&mut there.ended)
            .into_iter()
            .partition(|end| end.number <= last_seen);
        there.ended = kept;
        let gone: Vec<EndReport> = gone;
        for end in gone {
            self.acknowledged_ends.insert((end.task, end.run));
            if end.how == EndKind::Failed {
                let runs =
                    self.acknowledged_failures.entry(end.task).or_default();
                runs.insert(end.run);
            }
        }
    }

    pub(super) fn answer_renewal(
        &mut self,
        at: usize,
        executor: ExecutorIndex,
        sent_at: Millis,
        _last_seen: u64,
        token: u64,
    ) {
        let there = &self.executors[at];
        let clock = there.clock(self.now);
        if there.is_silent_to(token) {
            let event = Event::RenewalAnswered {
                executor,
                sent_at,
                answer: Err(OrderFailure::Unknown),
            };
            return self
                .schedule(RENEWAL_GRACE, Pending::Deliver(token, event));
        }
        let running = there.running.iter().map(|(task, run)| RunReport {
            task: *task,
            run: run.run,
            checkpoint: String::new(),
            percent: self.percents.get(task).copied().unwrap_or(100),
            usage: self.usages.get(task).copied().unwrap_or(0),
        });
        let answer = Ok(ExecutorReport {
            born: there.info.born,
            clock,
            running: running.collect(),
            ended: there
                .ended
                .iter()
                .take(MAX_REPORTED_ENDS)
                .cloned()
                .collect(),
            more_ended: there.ended.len() >= MAX_REPORTED_ENDS,
        });
        let way =
            there.answer_delay.map_or(LATENCY, |late| RENEWAL_GRACE + late);
        self.answer(
            way,
            token,
            Event::RenewalAnswered { executor, sent_at, answer },
        );
    }

    pub(super) fn start(
        &mut self,
        at: usize,
        task: TaskKey,
        run: u64,
        due: Millis,
    ) -> Result<(), OrderFailure> {
        let now = self.now;
        let step = &self.jobs[&task.step.job].steps[task.step.step as usize];
        let (need, gang) = (step.footprint(), step.gang);
        let takes = self.run_time_percents.get(&task).copied().unwrap_or(100);
        let work = step.estimate * takes / 100;
        let lasting = step.lasting;
        let (after, step_count) = (step.after.clone(), step.count);
        let there = &mut self.executors[at];
        let work = work * there.run_time_percent / 100;
        if there.running.get(&task).is_some_and(|r| r.run == run) {
            return Ok(());
        }
        if there.sealed.get(&task).is_some_and(|sealed| run <= *sealed) {
            return Err(OrderFailure::Old);
        }
        if due <= there.clock(now) {
            return Err(OrderFailure::Late);
        }
        there.due = there.due.max(due);
        let failing = self.failing.get_mut(&task);
        let fails = failing.is_some_and(|left| {
            let fails = *left > 0;
            *left -= u32::from(fails);
            fails
        });
        let fails = fails || there.fails_all;
        let how = if fails { EndKind::Failed } else { EndKind::Done };
        let work = if there.fails_all { FAILURE_DELAY } else { work };
        // A gang works once all its members are there.
        let forever = gang || lasting;
        let ends_at = if forever { Millis::MAX } else { now + work };
        let count = step_count;
        let gang_of = gang.then_some(count);
        let started =
            Run { run, gang: gang_of, work, since: now, ends_at, how, need };
        there.running.insert(task, started);
        *self.starts.entry(task).or_default() += 1;
        self.check_start(at, task, run, gang, &after);
        Ok(())
    }

    pub(super) fn stop(&mut self, at: usize, task: TaskKey, run: u64) {
        let now = self.now;
        let there = &mut self.executors[at];
        let sealed = there.sealed.entry(task).or_default();
        *sealed = (*sealed).max(run);
        if let Some(on) = there.running.get_mut(&task) {
            if on.run <= run {
                on.how = EndKind::Stopped;
                on.ends_at = on.ends_at.min(now + STOP_DURATION);
            }
        }
    }
}
