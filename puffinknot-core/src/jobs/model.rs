/*!
Jobs, their steps and tasks, and how these are identified.
*/

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::config::Resources;
use crate::ids::Millis;

/// The id of a job, chosen by its submitter and written as 16 hex digits.
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

/// An error from parsing a [`JobId`] or a [`TaskKey`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseNameError;

impl fmt::Display for ParseNameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a job id; use 16 lower-case hex digits")
    }
}

impl std::error::Error for ParseNameError {}

impl FromStr for JobId {
    type Err = ParseNameError;

    fn from_str(text: &str) -> Result<JobId, ParseNameError> {
        let is_digit = |b: u8| matches!(b, b'0'..=b'9' | b'a'..=b'f');
        if text.len() != JOB_ID_DIGITS || !text.bytes().all(is_digit) {
            return Err(ParseNameError);
        }
        u64::from_str_radix(text, 16).map(JobId).map_err(|_| ParseNameError)
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
    /// The index of the repetition.
    pub time: u32,
    /// The index of the step.
    pub step: u32,
}

impl StepKey {
    /// The task of the step with an index.
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
    /// The index of the task in the step.
    pub index: u32,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl FromStr for TaskKey {
    type Err = ParseNameError;

    fn from_str(text: &str) -> Result<TaskKey, ParseNameError> {
        let mut parts = text.split('.');
        let job = parts.next().ok_or(ParseNameError)?.parse()?;
        let mut number = || -> Result<u32, ParseNameError> {
            parts
                .next()
                .ok_or(ParseNameError)?
                .parse()
                .map_err(|_| ParseNameError)
        };
        let (time, step, index) = (number()?, number()?, number()?);
        if parts.next().is_some() {
            return Err(ParseNameError);
        }
        Ok(TaskKey { step: StepKey { job, time, step }, index })
    }
}

/// A step of a job: a number of equal tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// The number of tasks.
    pub count: u32,
    /// The resources that each task needs.
    pub need: Resources,
    /// A rough estimate of the run time of one task, in milliseconds.
    pub estimate: Millis,
    /// The indexes of the steps that must be done first.
    pub after: Vec<u32>,
    /// Whether the tasks are a gang, which only works if all run together.
    pub gang: bool,
    /// Whether the tasks are slower if they are on more than one rack.
    pub same_rack: bool,
    /// A label that the executor must have, if any.
    pub label: Option<String>,
    /// The rack that holds the data, if any; elsewhere the tasks are slower.
    pub near: Option<String>,
    /// The most tasks of the step on one executor; zero means no limit.
    pub max_per_executor: u32,
    /// Whether several copies of a task may run at the same time.
    pub copies: bool,
    /// Whether the tasks save checkpoints.
    pub checkpoints: bool,
    /// Whether the tasks run until the job is cancelled.
    pub lasting: bool,
    /// The image that the tasks run; tasks with the same image behave alike.
    pub image: String,
    /// The bound on the tail latency of serving tasks, in milliseconds; zero
    /// for others.
    pub target: Millis,
    /// Whether the tasks use only processor time that others leave idle.
    pub fills: bool,
    /// The most tasks that the scheduler's own actions may make unavailable at
    /// the same time, if limited.
    pub may_miss: Option<u32>,
}

impl Step {
    /// The index under which counts and checkpoints of a task are kept: a gang
    /// is represented by its first task.
    pub fn representative(&self, index: u32) -> u32 {
        if self.gang {
            0
        } else {
            index
        }
    }

    /// The capacity that one task takes up on an executor.
    pub fn footprint(&self) -> Resources {
        if self.fills {
            Resources { cpu_millis: 0, ..self.need }
        } else {
            self.need
        }
    }
}

/// The schedule of a repeating job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repeats {
    /// The time of the first repetition, in milliseconds since the Unix epoch.
    pub first: Millis,
    /// The interval between two repetitions, in milliseconds.
    pub every: Millis,
    /// The number of repetitions.
    pub times: u32,
}

/// A job as submitted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Its id.
    pub id: JobId,
    /// The client account that it belongs to; `None` for a job of an open
    /// queue.
    pub account: Option<String>,
    /// The queue.
    pub queue: String,
    /// The service that ran the queue when the job was accepted.
    pub service: String,
    /// The specification that is passed to each task.
    pub spec: String,
    /// The steps.
    pub steps: Vec<Step>,
    /// The schedule by which it repeats; `None` if it runs once, at once.
    pub repeats: Option<Repeats>,
}

/// The most steps of a job.
pub const MAX_STEPS: usize = 64;
/// The most tasks of a job in one repetition.
const MAX_TASKS: u64 = 20_000;
/// The most repetitions of a job.
const MAX_REPEATS: u32 = 10_000;

impl Job {
    /// The number of tasks of one repetition.
    pub fn task_count(&self) -> usize {
        self.steps.iter().map(|step| step.count as usize).sum()
    }

    /// The bytes of the texts that clients choose freely.
    pub fn text_bytes(&self) -> usize {
        let length =
            |text: &Option<String>| text.as_ref().map_or(0, String::len);
        let steps = self.steps.iter().map(|step| {
            length(&step.label) + length(&step.near) + step.image.len()
        });
        self.spec.len() + steps.sum::<usize>()
    }

    /// The number of repetitions; one for a job that does not repeat.
    pub fn repetitions(&self) -> u32 {
        self.repeats.map_or(1, |r| r.times)
    }

    /// The length of the critical path by the estimates, in milliseconds.
    pub fn critical_path(&self) -> Millis {
        let mut ends: Vec<Millis> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.after.iter();
            let before = before.filter_map(|&at| ends.get(at as usize));
            let start = before.copied().max().unwrap_or(0);
            ends.push(start + step.estimate);
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// The length of the longest path that begins with a step, in
    /// milliseconds, if each step takes the time that `time_of` returns for
    /// it.
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
                before.filter_map(|&at| ends.get(at as usize)?.as_ref());
            let start = match before.max() {
                Some(end) => *end,
                None if at == first => 0,
                None => continue,
            };
            ends[at] = Some(start + time_of(at as u32));
        }
        ends.into_iter().flatten().max().unwrap_or(0)
    }

    /// Checks the constraints that the types do not enforce.
    ///
    /// # Errors
    ///
    /// A description of the first violation, with its remedy.
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

/// The state of a job, as shown to its submitter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task has started.
    Queued,
    /// At least one task has started.
    Running,
    /// All tasks are done.
    Succeeded,
    /// A task has failed on all its attempts.
    Failed,
    /// It was cancelled.
    Cancelled,
}
