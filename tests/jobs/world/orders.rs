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
        if let Some(replacement) = self.replacement_of(at) {
            let silent = self.executors[replacement].is_silent_to(token);
            return match answer_to {
                Some(_) if silent => self.leave_unanswered(&action, token),
                Some(_) => self.refuse(action, token, OrderFailure::Gone),
                None => {}
            };
        }
        let receiver = &mut self.executors[at];
        if receiver.resets_connections && answer_to.is_some() {
            return self.refuse(action, token, OrderFailure::NotSent);
        }
        if receiver.unhealthy && matches!(action, Action::RenewLease { .. }) {
            return self.refuse(action, token, OrderFailure::Unhealthy);
        }
        let silent = receiver.is_silent_to(token);
        if let (Some(delay), false) = (receiver.order_delay, silent) {
            if answer_to.is_some()
                && !matches!(action, Action::RenewLease { .. })
            {
                let restarts = receiver.restarts;
                self.leave_unanswered(&action, token);
                let action = Box::new(action);
                let order = Pending::DelayedOrder(at, action, token, restarts);
                return self.schedule(delay, order);
            }
        }
        if silent {
            if answer_to.is_some() {
                self.leave_unanswered(&action, token);
            }
            return;
        }
        let fenced = token < receiver.token;
        receiver.token = receiver.token.max(token);
        let answer_delay =
            receiver.answer_delay.filter(|_| answer_to.is_some());
        if answer_delay.is_some() {
            self.leave_unanswered(&action, token);
        }
        let delay =
            answer_delay.map_or(LATENCY, |delay| ORDER_TIMEOUT + delay);
        let receiver = &mut self.executors[at];
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
                        delay,
                        token,
                        Event::RenewalAnswered {
                            executor,
                            sent_at,
                            answer: Err(OrderFailure::Fenced),
                        },
                    );
                }
                receiver.due = receiver.due.max(due.unwrap_or(0));
                self.acknowledge(at, last_seen);
                let any = !self.executors[at].ended.is_empty();
                let after = if any { 0 } else { wait };
                let pending = Pending::RenewalDue(
                    at, executor, sent_at, last_seen, token,
                );
                self.schedule(after, pending);
            }
            Action::Start { executor, task, run, due, .. } => {
                let already_running = self.executors[at].runs(&task);
                let answer = if fenced {
                    Err(OrderFailure::Fenced)
                } else {
                    self.start(at, task, run, due)
                };
                if answer.is_ok() && !already_running && answer_to.is_some() {
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
                    self.answer(delay, token, event);
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
                    self.answer(delay, token, event);
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
        let receiver = &mut self.executors[at];
        let loses_answer = answer_to.is_some() && receiver.lost_answers > 0;
        receiver.lost_answers -= u32::from(loses_answer);
        loses_answer
    }

    pub(super) fn answer(&mut self, delay: Millis, token: u64, event: Event) {
        self.schedule(delay, Pending::Deliver(token, event));
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
        let receiver = &mut self.executors[at];
        let (acknowledged, kept) = std::mem::take(&mut receiver.ended)
            .into_iter()
            .partition(|end| end.number <= last_seen);
        receiver.ended = kept;
        let acknowledged: Vec<EndReport> = acknowledged;
        for end in acknowledged {
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
        let receiver = &self.executors[at];
        let clock = receiver.clock(self.now);
        if receiver.is_silent_to(token) {
            let event = Event::RenewalAnswered {
                executor,
                sent_at,
                answer: Err(OrderFailure::Unknown),
            };
            return self
                .schedule(RENEWAL_GRACE, Pending::Deliver(token, event));
        }
        let running = receiver.running.iter().map(|(task, run)| RunReport {
            task: *task,
            run: run.run,
            checkpoint: String::new(),
            percent: self.share_percents.get(task).copied().unwrap_or(100),
            usage: self.usages.get(task).copied().unwrap_or(0),
        });
        let answer = Ok(ExecutorReport {
            born: receiver.info.born,
            clock,
            running: running.collect(),
            ended: receiver
                .ended
                .iter()
                .take(MAX_REPORTED_ENDS)
                .cloned()
                .collect(),
            more_ended: receiver.ended.len() >= MAX_REPORTED_ENDS,
        });
        let delay = receiver
            .answer_delay
            .map_or(LATENCY, |delay| RENEWAL_GRACE + delay);
        self.answer(
            delay,
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
        let receiver = &mut self.executors[at];
        let work = work * receiver.run_time_percent / 100;
        if receiver.running.get(&task).is_some_and(|r| r.run == run) {
            return Ok(());
        }
        if receiver.sealed.get(&task).is_some_and(|sealed| run <= *sealed) {
            return Err(OrderFailure::Old);
        }
        if due <= receiver.clock(now) {
            return Err(OrderFailure::Late);
        }
        if self.rejected_tickets > 0 {
            self.rejected_tickets -= 1;
            return Err(OrderFailure::Ticket);
        }
        receiver.due = receiver.due.max(due);
        let failing = self.failing.get_mut(&task);
        let fails = failing.is_some_and(|left| {
            let fails = *left > 0;
            *left -= u32::from(fails);
            fails
        });
        let fails = fails || receiver.fails_all;
        let how = if fails { EndKind::Failed } else { EndKind::Done };
        let work = if receiver.fails_all { FAILURE_DELAY } else { work };
        // A gang works once all its members are there. A lasting task ends only
        // if it fails.
        let forever = gang || lasting && !fails;
        let ends_at = if forever { Millis::MAX } else { now + work };
        let count = step_count;
        let gang_of = gang.then_some(count);
        let started =
            Run { run, gang: gang_of, work, since: now, ends_at, how, need };
        receiver.running.insert(task, started);
        *self.starts.entry(task).or_default() += 1;
        self.check_start(at, task, run, gang, &after);
        Ok(())
    }

    pub(super) fn stop(&mut self, at: usize, task: TaskKey, run: u64) {
        let now = self.now;
        let receiver = &mut self.executors[at];
        let sealed = receiver.sealed.entry(task).or_default();
        *sealed = (*sealed).max(run);
        if let Some(run_there) = receiver.running.get_mut(&task) {
            if run_there.run <= run {
                run_there.how = EndKind::Stopped;
                run_there.ends_at = run_there.ends_at.min(now + STOP_DURATION);
            }
        }
    }
}
