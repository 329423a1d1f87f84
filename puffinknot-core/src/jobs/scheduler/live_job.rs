/*!
Jobs that have not ended, as the leader knows them.
*/

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::config::Resources;
use crate::ids::Millis;
use crate::jobs::crash_evidence::CrashEvidence;
use crate::jobs::message::{AccountIndex, CallId, ExecutorIndex, RequestId};
use crate::jobs::model::{Job, JobState, Step};
use crate::jobs::policy::Queue;
use crate::jobs::record::{Progress, StepProgress};
use crate::jobs::speed::StepTimes;

/// An executor that advice allows a step to run on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Ticket {
    pub text: String,
    /// Until when it surely holds.
    pub valid_until: Millis,
}

/// What is known from advice about a step.
#[derive(Clone, Debug, Default)]
pub(super) struct Advice {
    /// The calls that are queued or under way.
    pub open_calls: BTreeSet<CallId>,
    /// The executors that may run the step.
    pub tickets: BTreeMap<ExecutorIndex, Ticket>,
    /// The executors that were asked about.
    pub asked: BTreeSet<ExecutorIndex>,
    /// All executors that may run the step were asked about when
    /// [`Executors::descriptions_version`](crate::jobs::executors::Executors::descriptions_version)
    /// was this.
    pub all_asked: Option<u64>,
    /// Whether the first answer has come.
    pub answered: bool,
    /// When executors that were not asked about before were asked about last.
    pub widened_at: Millis,
}

/// A step that has begun or may begin.
#[derive(Clone, Debug, Default)]
pub(super) struct StepState {
    /// Tasks that are to be started.
    pub waiting: BTreeSet<u32>,
    /// Where tasks are, and in which run.
    pub placements: BTreeMap<u32, (ExecutorIndex, u64)>,
    /// Runs beside those in `places`, which are being stopped.
    pub strays: BTreeMap<u32, BTreeSet<(ExecutorIndex, u64)>>,
    /// Tasks that are done.
    pub done: BTreeSet<u32>,
    /// The runs that have failed, by task; a gang counts as its first.
    pub failed: BTreeMap<u32, BTreeSet<u64>>,
    /// The executors that may have crashed by a task; a gang counts as its
    /// first.
    pub losses: BTreeMap<u32, CrashEvidence>,
    /// Until when a gang that may have crashed executors waits for such on
    /// which nothing else is under suspicion.
    pub trial_wait_until: Millis,
    /// The number of executors that the last run of a gang was started on.
    pub executor_count: u32,
    /// Executors on which runs of the step have failed.
    pub failed_on: BTreeSet<ExecutorIndex>,
    /// The last checkpoint of each task.
    pub checkpoints: BTreeMap<u32, String>,
    /// The run of a gang is over, and its members are being stopped.
    pub stopping_gang: bool,
    /// What is known from advice.
    pub advice: Advice,
    /// How long its runs have taken.
    pub times: StepTimes,
    /// Tasks that have given way to others.
    pub preempted: BTreeSet<u32>,
    /// Until when room is kept while others give way to it.
    pub preempting_until: Millis,
    /// When others may be asked to give way to it.
    pub preempt_from: Millis,
    /// Whether a start was held back for urgent work.
    pub held_back: bool,
    /// Whether its turn has come: all that it depends on is done. What a
    /// predecessor has started is reported in any order, so that a step may
    /// be known before.
    pub released: bool,
}

impl StepState {
    /// A step of which nothing has been done.
    pub fn new(step: &Step) -> StepState {
        let waiting = (0..step.count).collect();
        StepState { waiting, ..StepState::default() }
    }

    /// Takes over what a predecessor has written.
    pub fn restore(&mut self, step: &Step, progress: &StepProgress) {
        if step.gang && !progress.done.is_empty() {
            self.done = (0..step.count).collect();
        } else {
            self.done.extend(progress.done.iter().copied());
        }
        for (index, runs) in &progress.failed {
            let runs = runs.iter().copied();
            self.failed.entry(*index).or_default().extend(runs);
        }
        self.losses.extend(progress.losses.clone());
        let done = &self.done;
        self.waiting.retain(|index| !done.contains(index));
    }

    /// How long a run of a task has to be on an executor until it is known not
    /// to crash it, in milliseconds. A gang counts as its first.
    pub fn window(&self, counted: u32) -> Millis {
        match self.losses.get(&counted) {
            Some(losses) => losses.window(),
            None => CrashEvidence::default().window(),
        }
    }

    /// The losses of a task, if it needs a trial. A gang counts as its
    /// first.
    pub fn suspected_losses(&self, counted: u32) -> Option<&CrashEvidence> {
        self.losses.get(&counted).filter(|losses| losses.needs_isolation())
    }

    /// Where a task is, or all members of its gang are, and in which run.
    pub fn placements_of(
        &self,
        index: u32,
        gang: bool,
    ) -> Vec<(u32, (ExecutorIndex, u64))> {
        let places = self.placements.iter();
        let places = places.filter(|(member, _)| gang || **member == index);
        places.map(|(member, place)| (*member, *place)).collect()
    }

    /// A run of a task is at an executor. Wanted or not, the task is started
    /// nowhere until it ends. Returns whether the task was to be started.
    pub fn add_run(
        &mut self,
        index: u32,
        at: ExecutorIndex,
        run: u64,
    ) -> bool {
        if self.done.contains(&index) {
            return false;
        }
        let place = *self.placements.entry(index).or_insert((at, run));
        if place != (at, run) {
            self.strays.entry(index).or_default().insert((at, run));
        }
        self.waiting.remove(&index)
    }

    /// A run of a task is over. Returns whether it was the one that counts. If
    /// another goes on, by `goes_on`, that is in its place.
    pub fn end_run(
        &mut self,
        index: u32,
        at: ExecutorIndex,
        run: u64,
        goes_on: impl Fn(ExecutorIndex, u64) -> bool,
    ) -> bool {
        let here = self.placements.get(&index) == Some(&(at, run));
        let mut others = self.strays.remove(&index).unwrap_or_default();
        others.remove(&(at, run));
        if here {
            others.retain(|(at, run)| goes_on(*at, *run));
            match others.pop_last() {
                Some(other) => self.placements.insert(index, other),
                None => self.placements.remove(&index),
            };
        }
        if !others.is_empty() {
            self.strays.insert(index, others);
        }
        here
    }

    /// Whether all tasks are done.
    pub fn is_complete(&self, step: &Step) -> bool {
        self.done.len() as u32 >= step.count
    }

    fn progress(&self, step: &Step) -> StepProgress {
        let done = if step.gang {
            self.done.iter().copied().take(1).collect()
        } else {
            self.done.iter().copied().collect()
        };
        let failed = self.failed.iter();
        let failed = failed
            .map(|(index, runs)| (*index, runs.iter().copied().collect()))
            .collect();
        // What is done harms nobody any more.
        let losses = self.losses.iter();
        let losses = losses.filter(|(index, _)| !self.done.contains(index));
        let losses = losses.map(|(i, losses)| (*i, losses.clone())).collect();
        StepProgress { done, failed, losses }
    }
}

/// A job that has not ended.
#[derive(Clone, Debug)]
pub(super) struct LiveJob {
    pub job: Job,
    pub queue: Arc<Queue>,
    /// The client account that it belongs to.
    pub account: Option<AccountIndex>,
    pub spec: Arc<str>,
    /// It was handed in beyond its account's due.
    pub over_rate: bool,
    /// The order of arrival.
    pub arrival_seq: u64,
    /// When this scheduler heard of it.
    pub arrived_at: Millis,
    /// When its objective is over.
    pub deadline: Millis,
    /// Whether it stands in the store.
    pub written: bool,
    /// Whether a predecessor may have started tasks of it.
    pub inherited: bool,
    /// Clients that wait for its acceptance.
    pub submitters: Vec<RequestId>,
    /// Clients that wait for its cancellation.
    pub cancellers: Vec<RequestId>,
    /// How it has ended, if that is not written yet.
    pub ended: Option<JobState>,
    /// Whether any task has begun.
    pub started: bool,
    /// Its steps, by repetition and number, once they may begin.
    pub steps: BTreeMap<(u32, u32), StepState>,
    /// The number of repetitions that have become due.
    pub due_repeats: u32,
}

impl LiveJob {
    /// Whether its tasks go before all that may wait.
    pub fn is_urgent(&self) -> bool {
        self.queue.priority == 0 && !self.over_rate
    }

    /// About how many bytes it takes to write it.
    pub fn encoded_size(&self) -> usize {
        const EACH: usize = 300;
        const STEP: usize = 60;
        let links: usize =
            self.job.steps.iter().map(|step| STEP + step.after.len()).sum();
        EACH + self.job.spec.len() + links
    }

    /// What its tasks need that wait to be started. Of a job that a
    /// predecessor accepted, they may run unseen.
    pub fn waits_for(&self) -> Resources {
        let steps = self.steps.iter().map(|(&(_, number), run)| {
            let need = self.job.steps[number as usize].need;
            need.times(run.waiting.len() as u32)
        });
        steps.fold(Resources::default(), |sum, need| sum.plus(&need))
    }

    /// The progress to be written.
    pub fn progress(&self) -> Progress {
        let mut progress = Progress::default();
        for (&(time, number), run) in &self.steps {
            let losses = &run.losses;
            if run.done.is_empty()
                && run.failed.is_empty()
                && losses.is_empty()
            {
                continue;
            }
            let step = &self.job.steps[number as usize];
            progress.steps.insert((time, number), run.progress(step));
        }
        progress
    }

    /// Whether every step of every repetition is done.
    pub fn is_complete(&self) -> bool {
        let all = self.job.repetitions() as usize * self.job.steps.len();
        let done = self.steps.iter().filter(|(&(_, number), run)| {
            run.is_complete(&self.job.steps[number as usize])
        });
        done.count() == all
    }

    /// A step, which is made known if it is not. None if there is no such
    /// step.
    pub fn step_state(
        &mut self,
        time: u32,
        number: u32,
    ) -> Option<&mut StepState> {
        let step = self.job.steps.get(number as usize)?;
        if time >= self.job.repetitions() {
            return None;
        }
        let run = self.steps.entry((time, number));
        Some(run.or_insert_with(|| StepState::new(step)))
    }

    /// Releases the steps of a repetition whose dependencies are done, and
    /// returns those that were not released before.
    pub fn release(&mut self, time: u32) -> Vec<u32> {
        let mut released = Vec::new();
        for number in 0..self.job.steps.len() as u32 {
            let after = &self.job.steps[number as usize].after;
            let done = after.iter().all(|&before| {
                let run = self.steps.get(&(time, before));
                let step = &self.job.steps[before as usize];
                run.is_some_and(|run| run.is_complete(step))
            });
            if !done {
                continue;
            }
            let Some(run) = self.step_state(time, number) else { continue };
            if !std::mem::replace(&mut run.released, true) {
                released.push(number);
            }
        }
        released
    }
}
