//! Executors that die, crash and restart, and the incarnations that replace
//! them.

use super::*;

impl World {
    /// Changes the capacity of an executor while it runs. The leader is not
    /// told of its new entry yet.
    pub fn resize(&mut self, at: usize, capacity: Resources) {
        let now = self.now;
        let executor = &mut self.executors[at];
        executor.capacities.push((now, executor.info.capacity));
        executor.info.capacity = capacity;
    }

    /// Makes an executor die silently.
    pub fn die(&mut self, at: usize) {
        self.record_crash(at);
        self.executors[at].dead = true;
        self.executors[at].running.clear();
    }

    /// Records the crash of an executor for each task that runs there.
    pub(super) fn record_crash(&mut self, at: usize) {
        let running = self.executors[at].running.keys();
        let counted: BTreeSet<TaskKey> = running
            .map(|task| {
                let steps = &self.jobs[&task.step.job].steps;
                match steps[task.step.step as usize].gang {
                    true => task.step.task(0),
                    false => *task,
                }
            })
            .collect();
        for task in counted {
            *self.crashes_during.entry(task).or_default() += 1;
        }
    }

    /// Crashes the process of an executor; unless `silent`, its host says so.
    /// Renewals that wait there are aborted, and the next incarnation starts
    /// after a delay.
    pub fn crash_by_itself(&mut self, at: usize, silent: bool) {
        if self.executors[at].dead {
            return;
        }
        self.die(at);
        let address = self.executors[at].info.address.clone();
        self.powered_off.insert(address.clone());
        self.restarting.push((self.now + RESTART_DELAY, address));
        if silent {
            return;
        }
        self.executors[at].resets_connections = true;
        for (_, executor, sent_at, token) in self.take_waiting_renewals(at) {
            let answer = Err(OrderFailure::Unknown);
            let event = Event::RenewalAnswered { executor, sent_at, answer };
            self.answer(LATENCY, token, event);
        }
    }

    /// Lets tasks crash their executors.
    pub(super) fn crash_by_tasks(&mut self) {
        let mut due = Vec::new();
        for (at, executor) in self.executors.iter().enumerate() {
            let fatal = executor.running.iter().find_map(|(task, run)| {
                let how = self.crashing.get(task)?;
                (run.since + how.after <= self.now).then_some((*task, *how))
            });
            due.extend(fatal.map(|(task, how)| (at, task, how)));
        }
        for (at, task, how) in due {
            let id = self.executors[at].info.id.clone();
            self.crashed.entry(task).or_default().push(id);
            self.crash_by_itself(at, how.silent);
        }
    }

    /// Starts the next incarnations of executors that have crashed, under
    /// other names unless the world keeps names.
    pub(super) fn restart_crashed(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.restarting)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.restarting = later;
        let due: Vec<(Millis, String)> = due;
        for (_, address) in due {
            self.powered_off.remove(&address);
            if self.keep_names {
                self.restart_at(&address);
                continue;
            }
            let executors = self.executors.iter();
            let former = executors.rev().find(|e| e.info.address == address);
            let former = former.map(|e| e.info.clone()).unwrap_or_default();
            self.add_executor(&format!("{address}-{now}"));
            let last = self.executors.len() - 1;
            let info = &mut self.executors[last].info;
            info.address = address;
            info.labels = former.labels;
            info.capacity = former.capacity;
            self.list_entry(last);
        }
    }

    /// Restarts an executor at once, under its own name and at its own
    /// address: its runs are lost, and it remembers nothing. Its clock shows
    /// `clock`. Renewals that wait there are aborted; with `silent`, they go
    /// unanswered instead. The leader is not told of its entry yet.
    pub fn restart_unlisted(
        &mut self,
        at: usize,
        clock: Millis,
        silent: bool,
    ) {
        let waiting = self.take_waiting_renewals(at);
        self.record_crash(at);
        self.begin_incarnation(at, clock);
        // A reset does not get through to an isolated leader either.
        let silent = silent || self.executors[at].isolated;
        for (due, executor, sent_at, token) in waiting {
            let given_up = due + RENEWAL_GRACE - self.now;
            let after = if silent { given_up } else { LATENCY };
            let answer = Err(OrderFailure::Unknown);
            let event = Event::RenewalAnswered { executor, sent_at, answer };
            self.schedule(after, Pending::Deliver(token, event));
        }
    }

    /// Begins the next incarnation of an executor under its name, with the
    /// faults that it had.
    pub(super) fn begin_incarnation(&mut self, at: usize, clock: Millis) {
        self.drop_sealed_orders(at);
        let id = self.executors[at].info.id.clone();
        self.add_executor(&id);
        let mut next = self.executors.pop().expect("an executor");
        let executor = &mut self.executors[at];
        next.info = executor.info.clone();
        self.restarts += 1;
        // Wall time may jump, so a later birth time is not a greater number.
        next.info.born = Some(FIRST_BIRTH_TIME - self.restarts);
        next.restarts = executor.restarts + 1;
        next.clock_origin = (self.now, clock);
        next.capacities = executor.capacities.clone();
        next.isolated = executor.isolated;
        next.isolated_from = executor.isolated_from;
        next.lost_answers = executor.lost_answers;
        next.order_delay = executor.order_delay;
        next.answer_delay = executor.answer_delay;
        *executor = next;
    }

    /// Drops the delayed orders that were sealed, since the incarnation that
    /// knows the seals is over. Their tasks may have started elsewhere since,
    /// and nobody can tell the next incarnation in time.
    pub(super) fn drop_sealed_orders(&mut self, at: usize) {
        let sealed = &self.executors[at].sealed;
        self.queue.retain(|_, pending| match pending {
            Pending::DelayedOrder(to, action, ..) if *to == at => {
                match **action {
                    Action::Start { task, run, .. } => {
                        sealed.get(&task).is_none_or(|sealed| *sealed < run)
                    }
                    _ => true,
                }
            }
            _ => true,
        });
    }

    /// Restarts the last executor at an address under its name, and tells the
    /// leader of its entry.
    pub(super) fn restart_at(&mut self, address: &str) {
        let mut all = self.executors.iter();
        let at = all.rposition(|e| e.info.address == address);
        let at = at.expect("an executor");
        self.begin_incarnation(at, self.now / 2);
        self.list_entry(at);
    }

    /// Restarts an executor at once, and tells the leader of its entry.
    pub fn restart(&mut self, at: usize, clock: Millis) {
        self.restart_unlisted(at, clock, false);
        self.list_entry(at);
    }

    /// The executors to which start orders are in flight.
    pub fn starts_in_flight(&self) -> Vec<usize> {
        let orders = self.queue.values().filter_map(|pending| match pending {
            Pending::Order(at, action, ..)
                if matches!(**action, Action::Start { .. }) =>
            {
                Some(*at)
            }
            _ => None,
        });
        orders.collect()
    }

    /// Removes the renewals that wait at an executor, and returns them with
    /// the times until which they wait.
    pub(super) fn take_waiting_renewals(
        &mut self,
        at: usize,
    ) -> Vec<(Millis, ExecutorIndex, Millis, u64)> {
        let mut waiting = Vec::new();
        self.queue.retain(|(due, _), pending| match pending {
            Pending::RenewalDue(i, executor, sent_at, _, token)
                if *i == at =>
            {
                waiting.push((*due, *executor, *sent_at, *token));
                false
            }
            _ => true,
        });
        waiting
    }

    /// Makes an executor die and another incarnation take its address.
    pub fn crash(&mut self, at: usize, id: &str) {
        let next = self.crash_unlisted(at, id);
        self.list_entry(next);
    }

    /// Like [`World::crash`], but the leader is not told of the entry of the
    /// other incarnation yet. Returns that incarnation.
    pub fn crash_unlisted(&mut self, at: usize, id: &str) -> usize {
        self.die(at);
        let address = self.executors[at].info.address.clone();
        self.add_executor(id);
        let last = self.executors.len() - 1;
        self.executors[last].info.address = address;
        last
    }

    /// The incarnation that listens at the address of a dead executor.
    pub(super) fn replacement_of(&self, at: usize) -> Option<usize> {
        let former = &self.executors[at];
        let mut executors = self.executors.iter();
        let replacement = executors.position(|executor| {
            !executor.dead && executor.info.address == former.info.address
        });
        replacement.filter(|_| former.dead)
    }

    /// Makes an executor die and be replaced under another name. The answers
    /// of the replacement don't show that the former one is over.
    pub fn isolate_and_replace(&mut self, at: usize, id: &str) {
        let address = self.executors[at].info.address.clone();
        self.die(at);
        self.add_executor(id);
        let last = self.executors.len() - 1;
        // As far as orders to the former one go, the replacement listens
        // elsewhere.
        self.executors[last].info.address = address;
        self.executors[at].info.address = String::new();
        self.unlisted.insert(String::new());
        self.list_entry(last);
    }
}
