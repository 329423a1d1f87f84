//! The runs on executors: they work, end, and lapse.

use super::*;

impl World {
    /// Lets gangs begin once all members are there, and break when one of them
    /// has ended.
    pub(super) fn work_gangs(&mut self) {
        let now = self.now;
        let mut members: BTreeMap<(StepKey, u64), Vec<(usize, TaskKey)>> =
            BTreeMap::new();
        for (at, there) in self.executors.iter().enumerate() {
            for (task, run) in &there.running {
                if run.gang.is_some() {
                    let key = (task.step, run.run);
                    members.entry(key).or_default().push((at, *task));
                }
            }
        }
        for ((step, _), there) in members {
            let first = &self.executors[there[0].0].running[&there[0].1];
            let count = first.gang.unwrap_or(0) as usize;
            let working = there.iter().any(|(at, task)| {
                let run = &self.executors[*at].running[task];
                run.ends_at != Millis::MAX && run.how != EndKind::Stopped
            });
            let whole = there.len() == count;
            // The gang ends with its slowest member.
            let work = there
                .iter()
                .map(|(at, task)| self.executors[*at].running[task].work);
            let work = work.max().unwrap_or(0);
            if whole && !working {
                let fails = there.iter().any(|(at, task)| {
                    let run = &self.executors[*at].running[task];
                    run.how == EndKind::Failed
                });
                for (at, task) in &there {
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
                for (at, task) in &there {
                    let run = &mut self.executors[*at].running;
                    let Some(run) = run.get_mut(task) else { continue };
                    let done = self.gangs_done.contains(&step);
                    if run.how != EndKind::Stopped && !done {
                        run.how = EndKind::Broken;
                        run.ends_at = now;
                    }
                }
            }
            for (at, task) in &there {
                let run_there = &mut self.executors[*at].running;
                let Some(member) = run_there.get_mut(task) else { continue };
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
        for at in 0..self.executors.len() {
            let there = &mut self.executors[at];
            if there.dead {
                continue;
            }
            let lapsed = there.due < there.clock(now);
            let over: Vec<TaskKey> = there
                .running
                .iter()
                .filter(|(_, run)| lapsed || run.ends_at <= now)
                .map(|(task, _)| *task)
                .collect();
            if over.is_empty() {
                continue;
            }
            for task in over {
                let Some(run) = there.running.remove(&task) else { continue };
                let how = if lapsed { EndKind::Lapsed } else { run.how };
                there.end_count += 1;
                there.ended.push(EndReport {
                    number: there.end_count,
                    task,
                    run: run.run,
                    how,
                    checkpoint: String::new(),
                });
                let sealed = there.sealed.entry(task).or_default();
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
                for end in &there.ended {
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
