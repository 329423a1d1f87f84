/*!
Jobs, steps and the names of tasks.
*/

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::config::Resources;
use crate::ids::Millis;

/// The name of a job, chosen by whoever hands it in: 16 hex digits.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct JobId(pub u64);

/// The number of digits of a [`JobId`].
const JOB_ID_DIGITS: usize = 16;

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A text is not the name of a job or a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotAName;

impl fmt::Display for NotAName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a job id; use 16 lower-case hex digits")
    }
}

impl std::error::Error for NotAName {}

impl FromStr for JobId {
    type Err = NotAName;

    fn from_str(text: &str) -> Result<JobId, NotAName> {
        let digit = |b: u8| matches!(b, b'0'..=b'9' | b'a'..=b'f');
        if text.len() != JOB_ID_DIGITS || !text.bytes().all(digit) {
            return Err(NotAName);
        }
        u64::from_str_radix(text, 16).map(JobId).map_err(|_| NotAName)
    }
}

/// One step of one repetition of a job.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Serialize,
    Deserialize,
)]
pub struct StepKey {
    /// The job.
    pub job: JobId,
    /// Which repetition, from zero.
    pub time: u32,
    /// Which step, from zero.
    pub step: u32,
}

impl StepKey {
    /// The task with this index.
    pub fn task(&self, index: u32) -> TaskKey {
        TaskKey { step: *self, index }
    }
}

impl fmt::Display for StepKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.time, self.step)
    }
}

/// One task of a step.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Serialize,
    Deserialize,
)]
pub struct TaskKey {
    /// The step.
    pub step: StepKey,
    /// Which task of it, from zero.
    pub index: u32,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl FromStr for TaskKey {
    type Err = NotAName;

    fn from_str(text: &str) -> Result<TaskKey, NotAName> {
        let mut parts = text.split('.');
        let job = parts.next().ok_or(NotAName)?.parse()?;
        let mut number = || -> Result<u32, NotAName> {
            parts.next().ok_or(NotAName)?.parse().map_err(|_| NotAName)
        };
        let (time, step, index) = (number()?, number()?, number()?);
        if parts.next().is_some() {
            return Err(NotAName);
        }
        Ok(TaskKey { step: StepKey { job, time, step }, index })
    }
}

/// A number of equal tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// How many tasks.
    pub count: u32,
    /// What each of them needs.
    pub need: Resources,
    /// A rough guess at the time of one task, in milliseconds.
    pub estimate: Millis,
    /// The steps that must be done first.
    pub after: Vec<u32>,
    /// The tasks work only together.
    pub gang: bool,
    /// The tasks are slowed if they are on more than one rack.
    pub same_rack: bool,
    /// A label that the executor must have.
    pub label: Option<String>,
    /// The rack where the data lies; elsewhere the work is slower.
    pub near: Option<String>,
    /// The most tasks of the step on one executor; zero means any number.
    pub max_per_executor: u32,
    /// Copies of a task may run side by side.
    pub copies: bool,
    /// The tasks save their progress.
    pub checkpoints: bool,
    /// The tasks run until the job is cancelled.
    pub lasting: bool,
    /// What the tasks run; tasks with the same image behave alike.
    pub image: String,
    /// For serving tasks: the bound on the tail of their answer times.
    pub target: Millis,
    /// The tasks use only processor time that others leave.
    pub fills: bool,
    /// How many tasks may be away at once by our own doing.
    pub may_miss: Option<u32>,
}

impl Step {
    /// The task that stands for another in what is counted and kept of tasks:
    /// a gang counts as its first.
    pub fn representative(&self, index: u32) -> u32 {
        if self.gang {
            0
        } else {
            index
        }
    }

    /// What one of its tasks takes of an executor's room.
    pub fn footprint(&self) -> Resources {
        if self.fills {
            Resources { cpu_millis: 0, ..self.need }
        } else {
            self.need
        }
    }
}

/// When a job that repeats is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repeats {
    /// The first time, in milliseconds since 1970.
    pub first: Millis,
    /// The time between two repetitions, in milliseconds.
    pub every: Millis,
    /// How many repetitions.
    pub times: u32,
}

/// What was handed in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Its name.
    pub id: JobId,
    /// The client account that it belongs to. A job of an open queue has
    /// none.
    pub account: Option<String>,
    /// The queue.
    pub queue: String,
    /// The service that ran the queue when the job was accepted.
    pub service: String,
    /// What each task is told.
    pub spec: String,
    /// The steps.
    pub steps: Vec<Step>,
    /// When it is due, if it is not due at once.
    pub repeats: Option<Repeats>,
}

/// The most steps of a job.
const MAX_STEPS: usize = 64;
/// The most tasks of a job in one repetition.
const MAX_TASKS: u64 = 20_000;
/// The most repetitions of a job.
const MAX_REPEATS: u32 = 10_000;

impl Job {
    /// How often the steps run.
    pub fn repetitions(&self) -> u32 {
        self.repeats.map_or(1, |r| r.times)
    }

    /// The longest chain of estimates, in milliseconds.
    pub fn critical_path(&self) -> Millis {
        let mut ends: Vec<Millis> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.after.iter();
            let before = before.filter_map(|&a| ends.get(a as usize));
            let start = before.copied().max().unwrap_or(0);
            ends.push(start + step.estimate);
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// The longest chain that begins with a step, in milliseconds, if each
    /// step takes as long as `time_of` says.
    pub fn critical_path_from(
        &self,
        number: u32,
        time_of: impl Fn(u32) -> Millis,
    ) -> Millis {
        let first = number as usize;
        if let [last] = &self.steps[first.min(self.steps.len())..] {
            return last.estimate;
        }
        let mut ends: Vec<Option<Millis>> = vec![None; self.steps.len()];
        for (at, step) in self.steps.iter().enumerate().skip(first) {
            let before = step.after.iter();
            let before =
                before.filter_map(|&a| ends.get(a as usize)?.as_ref());
            let start = match before.max() {
                Some(end) => *end,
                None if at == first => 0,
                None => continue,
            };
            ends[at] = Some(start + time_of(at as u32));
        }
        ends.into_iter().flatten().max().unwrap_or(0)
    }

    /// Checks what the types can't.
    ///
    /// # Errors
    ///
    /// The first thing that is wrong, with its remedy.
    pub fn validate(&self) -> Result<(), String> {
        if self.steps.is_empty() {
            return Err("the job has no steps; give it one".into());
        }
        if self.steps.len() > MAX_STEPS {
            return Err(format!("over {MAX_STEPS} steps; split the job"));
        }
        let mut tasks = 0;
        for (at, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(format!("step {at} has no tasks; give it one"));
            }
            if step.after.iter().any(|&a| a as usize >= at) {
                return Err(format!(
                    "step {at} depends on a step that is not before it; \
                     name earlier steps only"
                ));
            }
            tasks += u64::from(step.count);
        }
        if tasks > MAX_TASKS {
            return Err(format!("over {MAX_TASKS} tasks; split the job"));
        }
        if self.repetitions() > MAX_REPEATS {
            return Err(format!("over {MAX_REPEATS} times; split the job"));
        }
        Ok(())
    }
}

/// Where a job stands, as whoever handed it in is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task has begun.
    Queued,
    /// A task has begun.
    Running,
    /// All tasks are done.
    Succeeded,
    /// A task has failed as often as it may.
    Failed,
    /// It was cancelled.
    Cancelled,
}
