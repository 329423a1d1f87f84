//! The runs on executors: they work, end, and lapse.

use super::*;

impl World {
    /// Lets gangs begin once all members are there, and break when one of them
    /// has ended.
    pub(super) fn work_gangs(&mut self) {
        let now = self.now;
        let mut members: BTreeMap<(StepKey, u64), Vec<(usize, TaskKey)>> =
            BTreeMap::new();
        for (at, executor) in self.executors.iter().enumerate() {
            for (task, run) in &executor.running {
                if run.gang.is_some() {
                    let key = (task.step, run.run);
                    members.entry(key).or_default().push((at, *task));
                }
            }
        }
        for ((step, _), present) in members {
            let first = &self.executors[present[0].0].running[&present[0].1];
            let count = first.gang.unwrap_or(0) as usize;
            let working = present.iter().any(|(at, task)| {
                let run = &self.executors[*at].running[task];
                run.ends_at != Millis::MAX && run.how != EndKind::Stopped
            });
            let whole = present.len() == count;
            // The gang ends with its slowest member.
            let work = present
                .iter()
                .map(|(at, task)| self.executors[*at].running[task].work);
            let work = work.max().unwrap_or(0);
            if whole && !working {
                let fails = present.iter().any(|(at, task)| {
                    let run = &self.executors[*at].running[task];
                    run.how == EndKind::Failed
                });
                for (at, task) in &present {
                    let run = &mut self.executors[*at].running;
                    let Some(run) = run.get_mut(task) else { continue };
                    if run.ends_at == Millis::MAX {
                        run.ends_at = now + work;
                        if fails && run.how == EndKind::Done {
                            run.how = EndKind::Broken;
                        }
                    }
                }
            }
            if working && !whole {
                for (at, task) in &present {
                    let run = &mut self.executors[*at].running;
                    let Some(run) = run.get_mut(task) else { continue };
                    let done = self.gangs_done.contains(&step);
                    if run.how != EndKind::Stopped && !done {
                        run.how = EndKind::Broken;
                        run.ends_at = now;
                    }
                }
            }
            for (at, task) in &present {
                let runs = &mut self.executors[*at].running;
                let Some(member) = runs.get_mut(task) else { continue };
                let alone = member.ends_at == Millis::MAX
                    && member.since + GANG_WAIT < now;
                if alone {
                    member.how = EndKind::Alone;
                    member.ends_at = now;
                }
            }
        }
    }

    /// Lets runs work, and leases expire.
    pub(super) fn work(&mut self) {
        self.work_gangs();
        let now = self.now;
        let runs = self.executors.iter().map(|e| e.running.len()).sum();
        self.most_runs = self.most_runs.max(runs);
        for at in 0..self.executors.len() {
            let executor = &mut self.executors[at];
            if executor.dead {
                continue;
            }
            let lapsed = executor.due < executor.clock(now);
            let ended: Vec<TaskKey> = executor
                .running
                .iter()
                .filter(|(_, run)| lapsed || run.ends_at <= now)
                .map(|(task, _)| *task)
                .collect();
            if ended.is_empty() {
                continue;
            }
            for task in ended {
                let Some(run) = executor.running.remove(&task) else {
                    continue;
                };
                let how = if lapsed { EndKind::Lapsed } else { run.how };
                executor.end_count += 1;
                executor.ended.push(EndReport {
                    number: executor.end_count,
                    task,
                    run: run.run,
                    how,
                    checkpoint: String::new(),
                });
                let sealed = executor.sealed.entry(task).or_default();
                *sealed = (*sealed).max(run.run);
                if how == EndKind::Failed {
                    self.failures.entry(task).or_default().insert(run.run);
                }
                if how == EndKind::Done {
                    self.all_done.insert(task);
                    self.done.entry(task).or_default().insert(run.run);
                    if run.gang.is_some() {
                        self.gangs_done.insert(task.step);
                    }
                }
            }
            if lapsed {
                // Ends from before the lapse bind nobody any more.
                for end in &executor.ended {
                    if let Some(runs) = self.done.get_mut(&end.task) {
                        runs.remove(&end.run);
                        if runs.is_empty() {
                            self.done.remove(&end.task);
                        }
                    }
                }
            }
            self.wake_renewals(at);
        }
    }

    /// Answers the renewals that wait at an executor when a run ends.
    pub(super) fn wake_renewals(&mut self, at: usize) {
        let waiting: Vec<(Millis, u64)> = self
            .queue
            .iter()
            .filter(
                |(_, p)| matches!(p, Pending::RenewalDue(i, ..) if *i == at),
            )
            .map(|(key, _)| *key)
            .collect();
        for key in waiting {
            if let Some(pending) = self.queue.remove(&key) {
                self.schedule(0, pending);
            }
        }
    }
}
