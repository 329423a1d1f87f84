/*!
The leader's state of jobs that have not ended, and of their steps.
*/

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::config::Resources;
use crate::ids::Millis;
use crate::jobs::crash_evidence::CrashEvidence;
use crate::jobs::executor::Executor;
use crate::jobs::message::{AccountIndex, CallId, ExecutorIndex, RequestId};
use crate::jobs::model::{Job, JobState, Step};
use crate::jobs::policy::Queue;
use crate::jobs::record::{Progress, StepProgress};
use crate::jobs::scheduler::placements::Placements;
use crate::jobs::scheduler::repetitions::Repetitions;
use crate::jobs::speed::StepTimes;

/// The permission, given by advice, to run a step on an executor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Ticket {
    /// The ticket as the start order carries it.
    pub text: String,
    /// Until when it is certainly valid.
    pub valid_until: Millis,
}

/// The advice on where a step may run.
#[derive(Clone, Debug, Default)]
pub(super) struct Advice {
    /// The advice calls that are queued or in progress.
    pub open_calls: BTreeSet<CallId>,
    /// The executors that may run the step, with their tickets.
    pub tickets: BTreeMap<ExecutorIndex, Ticket>,
    /// The executors that answers have covered, approved or not, each with
    /// the [`Executors::descriptions_version`] at the time of the call.
    ///
    /// [`Executors::descriptions_version`]:
    ///     crate::jobs::executor_index::Executors::descriptions_version
    pub answered_for: BTreeMap<ExecutorIndex, u64>,
    /// The same version when answers had covered all executors that may run
    /// the step.
    pub all_answered: Option<u64>,
    /// Whether the first answer has come.
    pub answered: bool,
    /// When advice was last requested for further executors.
    pub last_requested_at: Millis,
}

impl Advice {
    /// Whether an answer has covered an executor as it is described now.
    pub fn is_answered_for(
        &self,
        index: ExecutorIndex,
        executor: &Executor,
    ) -> bool {
        let answered = self.answered_for.get(&index);
        answered.is_some_and(|version| *version >= executor.described_at)
    }
}

/// The state of a step, in one repetition of its job.
#[derive(Clone, Debug, Default)]
pub(super) struct StepState {
    /// The tasks to be started.
    pub waiting: BTreeSet<u32>,
    /// The executor and the run of each placed task.
    pub placements: Placements,
    /// Further runs of tasks in `placements`, which are being stopped.
    pub extra_runs: BTreeMap<u32, BTreeSet<(ExecutorIndex, u64)>>,
    /// The tasks that are done.
    pub done: BTreeSet<u32>,
    /// The runs that have failed, by task. The first task stands for a whole
    /// gang.
    pub failed: BTreeMap<u32, BTreeSet<u64>>,
    /// The evidence that a task crashes executors, by task. The first task
    /// stands for a whole gang.
    pub crash_evidence: BTreeMap<u32, CrashEvidence>,
    /// Until when a gang that may have crashed executors waits for executors
    /// without other suspects.
    pub trial_wait_until: Millis,
    /// The number of executors on which the last run of a gang was started.
    pub executor_count: u32,
    /// The executors on which runs of the step have failed.
    pub failed_on: BTreeSet<ExecutorIndex>,
    /// The last checkpoint of each task. The first task stands for a whole
    /// gang.
    pub checkpoints: BTreeMap<u32, String>,
    /// The run of a gang has ended, and its other members are being stopped.
    pub stopping_gang: bool,
    /// The advice on where the step may run.
    pub advice: Advice,
    /// The run times of its tasks.
    pub times: StepTimes,
    /// The tasks that have been preempted.
    pub preempted: BTreeSet<u32>,
    /// Until when capacity is reserved for it while preempted runs
    /// stop.
    pub preempting_until: Millis,
    /// From when it may preempt other runs.
    pub preempt_from: Millis,
    /// Whether a start was held back for the sake of urgent work.
    pub held_back: bool,
    /// Whether all steps that it depends on are done. Executors report the
    /// runs that a predecessor started in any order, so a step may have state
    /// before it is released.
    pub released: bool,
}

impl StepState {
    /// A step of which no task has started.
    pub fn new(step: &Step) -> StepState {
        let waiting = (0..step.count).collect();
        let placements = Placements::new(step.gang);
        StepState { waiting, placements, ..StepState::default() }
    }

    /// Adds the progress that a predecessor stored.
    pub fn restore(&mut self, step: &Step, progress: &StepProgress) {
        if step.gang && !progress.done.is_empty() {
            self.done = (0..step.count).collect();
        } else {
            self.done.extend(progress.done.iter().copied());
        }
        // Earlier versions store the failures of lasting steps.
        let failed = progress.failed.iter().filter(|_| !step.lasting);
        for (index, runs) in failed {
            let runs = runs.iter().copied();
            self.failed.entry(*index).or_default().extend(runs);
        }
        self.crash_evidence.extend(progress.losses.clone());
        let done = &self.done;
        self.waiting.retain(|index| !done.contains(index));
    }

    /// How long a run has to survive on an executor until it is known not to
    /// crash it, in milliseconds. The first task stands for a whole gang.
    pub fn window(&self, representative: u32) -> Millis {
        match self.crash_evidence.get(&representative) {
            Some(evidence) => evidence.window(),
            None => CrashEvidence::default().window(),
        }
    }

    /// The crash evidence of a task, if the task needs a trial. The first task
    /// stands for a whole gang.
    pub fn trial_evidence(
        &self,
        representative: u32,
    ) -> Option<&CrashEvidence> {
        self.crash_evidence
            .get(&representative)
            .filter(|evidence| evidence.needs_isolation())
    }

    /// The executor and the run of a task, or of each member of its gang.
    pub fn placements_of(
        &self,
        index: u32,
        gang: bool,
    ) -> Vec<(u32, (ExecutorIndex, u64))> {
        let places = self.placements.iter();
        let places = places.filter(|(member, _)| gang || **member == index);
        places.map(|(member, place)| (*member, *place)).collect()
    }

    /// Adds a run that is on an executor. Even if it is not wanted, the task
    /// is started nowhere else until it ends. Returns whether the task was
    /// waiting to be started.
    pub fn add_run(
        &mut self,
        index: u32,
        at: ExecutorIndex,
        run: u64,
    ) -> bool {
        if self.done.contains(&index) {
            return false;
        }
        match self.placements.get(&index) {
            None => self.placements.insert(index, (at, run)),
            Some(place) if *place == (at, run) => {}
            Some(_) => {
                self.extra_runs.entry(index).or_default().insert((at, run));
            }
        }
        self.waiting.remove(&index)
    }

    /// Removes a run that has ended. Returns whether it was the run in
    /// `placements`. If so, an extra run that still continues, according to
    /// `goes_on`, takes its place.
    pub fn end_run(
        &mut self,
        index: u32,
        at: ExecutorIndex,
        run: u64,
        goes_on: impl Fn(ExecutorIndex, u64) -> bool,
    ) -> bool {
        let was_placed = self.placements.get(&index) == Some(&(at, run));
        let mut others = self.extra_runs.remove(&index).unwrap_or_default();
        others.remove(&(at, run));
        if was_placed {
            others.retain(|(at, run)| goes_on(*at, *run));
            match others.pop_last() {
                Some(other) => self.placements.insert(index, other),
                None => self.placements.remove(index),
            };
        }
        if !others.is_empty() {
            self.extra_runs.insert(index, others);
        }
        was_placed
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
        // A task that is done is not started again, so its evidence is not
        // needed.
        let losses = self.crash_evidence.iter();
        let losses = losses.filter(|(index, _)| !self.done.contains(index));
        let losses =
            losses.map(|(i, evidence)| (*i, evidence.clone())).collect();
        StepProgress { done, failed, losses }
    }
}

/// A job that has not ended.
#[derive(Clone, Debug)]
pub(super) struct LiveJob {
    pub job: Job,
    pub queue: Arc<Queue>,
    /// The client account that it belongs to, if any.
    pub account: Option<AccountIndex>,
    /// The specification that is sent to its tasks.
    pub spec: Arc<str>,
    /// Whether it was submitted over its account's job rate.
    pub over_rate: bool,
    /// Its position in the order of arrival.
    pub arrival_seq: u64,
    /// When it arrived: at the first attempt to submit it, or at the takeover
    /// for an inherited job.
    pub arrived_at: Millis,
    /// When its objective has passed.
    pub deadline: Millis,
    /// Whether it is in the store.
    pub written: bool,
    /// Whether a predecessor accepted it, and may have started its tasks.
    pub inherited: bool,
    /// Requests that wait for its acceptance.
    pub submitters: Vec<RequestId>,
    /// Requests that wait for its cancellation.
    pub cancellers: Vec<RequestId>,
    /// How it has ended, while that is not stored yet.
    pub ended: Option<JobState>,
    /// Whether any task has started.
    pub started: bool,
    /// The states of its steps, by repetition and step number.
    pub steps: BTreeMap<(u32, u32), StepState>,
    /// The progress of its repetitions.
    pub repetitions: Repetitions,
}

impl LiveJob {
    /// Moves it to another queue, or to another version of its queue. The
    /// queue has the address of the job's submission.
    pub fn set_queue(&mut self, queue: Arc<Queue>) {
        self.job.queue.clone_from(&queue.name);
        self.queue = queue;
        // The queue may belong to another service now.
        for state in self.steps.values_mut() {
            state.advice.all_answered = None;
        }
    }

    /// Whether its tasks rank ahead of all tasks that are not urgent.
    pub fn is_urgent(&self) -> bool {
        self.queue.priority == 0 && !self.over_rate
    }

    /// Whether nothing of it runs or is being started.
    pub fn is_idle(&self) -> bool {
        self.steps.values().all(|state| state.placements.is_empty())
    }

    /// The approximate size of its stored form, in bytes.
    pub fn encoded_size(&self) -> usize {
        const JOB_BYTES: usize = 300;
        const STEP_BYTES: usize = 60;
        let links: usize = self
            .job
            .steps
            .iter()
            .map(|step| STEP_BYTES + step.after.len())
            .sum();
        JOB_BYTES + self.job.spec.len() + links
    }

    /// The sum of what its waiting tasks need, including those of repetitions
    /// that are due and not released. Those of an inherited job may already
    /// run without this leader knowing.
    pub fn waiting_need(&self) -> Resources {
        let steps = self.steps.iter().map(|(&(_, number), state)| {
            let need = self.job.steps[number as usize].need;
            need.times(state.waiting.len() as u32)
        });
        let waiting =
            steps.fold(Resources::default(), |sum, need| sum.plus(&need));
        let per_repetition =
            self.job.steps.iter().fold(Resources::default(), |sum, step| {
                sum.plus(&step.need.times(step.count))
            });
        waiting.plus(&per_repetition.times(self.repetitions.unreleased()))
    }

    /// The progress to be stored.
    pub fn progress(&self) -> Progress {
        let mut progress = Progress::default();
        for (&(time, number), state) in &self.steps {
            let evidence = &state.crash_evidence;
            if state.done.is_empty()
                && state.failed.is_empty()
                && evidence.is_empty()
            {
                continue;
            }
            let step = &self.job.steps[number as usize];
            progress.steps.insert((time, number), state.progress(step));
        }
        progress
    }

    /// Whether every step of every repetition is done.
    pub fn is_complete(&self) -> bool {
        let left =
            self.job.repetitions() as usize - self.repetitions.done_count();
        let left = left * self.job.steps.len();
        if self.steps.len() < left {
            return false;
        }
        let done = self.steps.iter().filter(|(&(_, number), state)| {
            state.is_complete(&self.job.steps[number as usize])
        });
        done.count() == left
    }

    /// The state of a step, which is created if needed. `None` if the job has
    /// no such step or repetition, or if the repetition is done.
    pub fn step_state(
        &mut self,
        time: u32,
        number: u32,
    ) -> Option<&mut StepState> {
        let step = self.job.steps.get(number as usize)?;
        if time >= self.job.repetitions() || self.repetitions.is_done(time) {
            return None;
        }
        let state = self.steps.entry((time, number));
        Some(state.or_insert_with(|| StepState::new(step)))
    }

    /// Releases the steps of a repetition whose dependencies are done, and
    /// returns those that were not released before.
    pub fn release(&mut self, time: u32) -> Vec<u32> {
        let mut released = Vec::new();
        for number in 0..self.job.steps.len() as u32 {
            let after = &self.job.steps[number as usize].after;
            let done = after.iter().all(|&before| {
                let state = self.steps.get(&(time, before));
                let step = &self.job.steps[before as usize];
                state.is_some_and(|state| state.is_complete(step))
            });
            if !done {
                continue;
            }
            let Some(state) = self.step_state(time, number) else { continue };
            if !std::mem::replace(&mut state.released, true) {
                released.push(number);
            }
        }
        released
    }
}
