//! The oracle: what must hold whenever a task starts, and at the end.

use super::*;

impl World {
    pub(super) fn record_limit(&mut self) {
        if !self.any_start_ordered {
            // Nothing was ordered under an earlier limit.
            self.limits.clear();
        }
        let limit = self.policy.accounts[LIMITED].limit.cpu_millis;
        self.limits.push((self.now, limit));
    }

    /// The highest limit that any leader may apply, if there is one.
    pub(super) fn highest_limit(&self) -> Option<u32> {
        let mut highest = 0;
        let mut until = Millis::MAX;
        for (since, limit) in self.limits.iter().rev() {
            if until.saturating_add(UNCONFIRMED_LIMIT) < self.now {
                break;
            }
            if *limit == 0 {
                return None;
            }
            highest = highest.max(*limit);
            until = *since;
        }
        Some(highest)
    }

    /// Records that a job is submitted. If it was refused before, it may run
    /// from now on unless it is refused again.
    pub(super) fn record_submission(&mut self, job: &Job) {
        self.refused.remove(&job.id);
    }

    pub(super) fn record_reply(&mut self, id: u64, outcome: Outcome) {
        let Some(&job) = self.submitted.get(&id) else { return };
        match outcome {
            Outcome::Accepted => {
                self.accepted.insert(job);
                // The job was submitted again.
                self.refused.remove(&job);
            }
            outcome if outcome.is_refusal() => {
                self.refused.insert(job);
            }
            _ => {}
        }
    }

    /// Checks what must hold whenever a task starts.
    pub(super) fn check_start(
        &mut self,
        at: usize,
        task: TaskKey,
        run: u64,
        gang: bool,
        after: &[u32],
    ) {
        let mut violations = Vec::new();
        let executor = &self.executors[at];
        let mut used = Resources::default();
        for run in executor.running.values() {
            used = used.plus(&run.need);
        }
        if !executor.may_use(&used, self.now) {
            violations
                .push(format!("over the limits of {}", executor.info.id));
        }
        let elsewhere =
            self.executors.iter().enumerate().any(|(i, e)| {
                i != at && !e.dead && e.running.contains_key(&task)
            });
        if elsewhere {
            violations.push("runs twice".to_string());
        }
        let acknowledged = self.done.get(&task).is_some_and(|runs| {
            runs.iter().any(|r| self.acknowledged_ends.contains(&(task, *r)))
        });
        let gang_acknowledged = gang
            && self.done.iter().any(|(member, runs)| {
                member.step == task.step
                    && runs.iter().any(|r| {
                        self.acknowledged_ends.contains(&(*member, *r))
                    })
            });
        if acknowledged || gang_acknowledged {
            violations.push("starts after it was done".to_string());
        }
        for before in after {
            let step = StepKey { step: *before, ..task.step };
            let job = &self.jobs[&task.step.job];
            let step_job = &job.steps[*before as usize];
            let all = (0..step_job.count)
                .all(|index| self.all_done.contains(&step.task(index)));
            let whole = step_job.gang && self.gangs_done.contains(&step);
            if !all && !whole {
                violations
                    .push("starts before what it depends on".to_string());
            }
        }
        let counted = if gang { task.step.task(0) } else { task };
        let failures = self.acknowledged_failures.get(&counted);
        let step = &self.jobs[&task.step.job].steps[task.step.step as usize];
        // Lasting tasks have no limit of attempts.
        if !step.lasting && failures.is_some_and(|runs| runs.len() >= 3) {
            violations.push("starts after its last attempt".to_string());
        }
        let crashed = self.crashed.get(&task).into_iter().flatten();
        let known =
            crashed.filter(|id| !self.unknowable_crashes.contains(*id));
        if known.count() >= CRASH_THRESHOLD {
            let more = self.extra_starts.entry(task).or_default();
            *more += 1;
            if *more > MAX_EXTRA_STARTS {
                let what = "starts again after it has crashed executors";
                violations.push(what.to_string());
            }
        }
        if self.refused.contains(&task.step.job) {
            violations.push("starts though its job was refused".to_string());
        }
        let limit = self.highest_limit();
        if limit.is_some_and(|limit| self.limited_runs() > limit) {
            violations.push("over the limit of its account".to_string());
        }
        for what in violations {
            let line = format!("{} ms: {task} run {run}: {what}", self.now);
            self.violations.push(line);
        }
    }

    /// The jobs that were accepted and have not ended.
    pub fn unfinished(&mut self) -> Vec<JobId> {
        let ids: Vec<JobId> = self.accepted.iter().copied().collect();
        ids.into_iter()
            .filter(|id| {
                !matches!(
                    self.state(id.0),
                    Some(
                        JobState::Succeeded
                            | JobState::Failed
                            | JobState::Cancelled
                    )
                )
            })
            .collect()
    }

    /// Checks that the reported states of jobs are true.
    pub fn check_states(&mut self) {
        let jobs: Vec<Job> = self.jobs.values().cloned().collect();
        for job in jobs {
            let state = self.state(job.id.0);
            let tasks = |number: usize, count: u32| {
                let step =
                    StepKey { job: job.id, time: 0, step: number as u32 };
                (0..count).map(move |index| step.task(index))
            };
            let mut steps = job.steps.iter().enumerate();
            let wrong = match state {
                Some(JobState::Succeeded) => !steps.all(|(number, step)| {
                    let mut all = tasks(number, step.count);
                    let done = |t: TaskKey| self.all_done.contains(&t);
                    if step.gang {
                        all.any(done)
                    } else {
                        all.all(done)
                    }
                }),
                Some(JobState::Failed) if self.may_give_up(&job) => false,
                Some(JobState::Failed) => !steps.any(|(number, step)| {
                    let failures = tasks(number, step.count)
                        .map(|t| self.failures.get(&t).map_or(0, |r| r.len()));
                    let most = if step.gang {
                        failures.sum()
                    } else {
                        failures.max().unwrap_or(0)
                    };
                    most >= 3
                }),
                _ => false,
            };
            if wrong {
                self.violations
                    .push(format!("{} is reported as {state:?}", job.id));
            }
        }
    }

    /// Whether so many executors have crashed while a task or a gang of a job
    /// ran there that the job may be given up. Which task crashed an executor
    /// can't be known for certain.
    pub(super) fn may_give_up(&self, job: &Job) -> bool {
        let crashed = self.crashes_during.iter();
        let mut crashed = crashed.filter(|(t, _)| t.step.job == job.id);
        crashed.any(|(_, crashes)| *crashes >= GIVE_UP_THRESHOLD)
    }

    /// Panics with every violation that was found.
    pub fn assert_no_violations(&self) {
        assert!(self.violations.is_empty(), "{:#?}", self.violations);
    }
}
