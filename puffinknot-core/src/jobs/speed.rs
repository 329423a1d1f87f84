/*!
The speed of executors and the error of run time estimates, learnt from runs.

Nothing tells in advance that one executor is faster than another, and the
estimate that comes with a job may be off by a factor of two. Both show in run
times, and have to be told apart:

* The tasks of one step share the error of their estimate. When they are
  compared with each other it cancels, and what remains is due to the executors
  ([`compare`]).
* The run times of a whole step, corrected for the speed of its executors, show
  how far the estimates of its queue are off ([`EstimateError`]).

All calculations use natural logarithms of times, in which factors add up.
Evidence is weighted by the inverse of its variance and decays with time, so
that an executor which has become slow, or has recovered, is detected within a
few runs. An executor counts as typical until a difference is established
([`Speed`]): in a cell of equal executors, decisions are the same as without
learning.
*/

use crate::ids::Millis;
use crate::jobs::message::ExecutorIndex;

/// Executors and estimates that differ from the typical by less than this, in
/// natural logarithms, count as typical: less than a quarter of a run time is
/// not worth a worse fit.
pub const MARGIN: f64 = 0.223;
/// The number of standard errors from which on a difference is established.
/// With hundreds of executors, a lower threshold would find some that differ
/// by chance.
const ESTABLISHED_ERRORS: f64 = 3.0;
/// The number of standard errors below which an established difference is
/// dropped.
const DROPPED_ERRORS: f64 = 2.0;
/// The prior variance of executors around the typical: two of three are within
/// a factor of 1.6.
const PRIOR_VARIANCE: f64 = 0.25;
/// The half-life of evidence: an executor that gets no runs since it is slow
/// is tried again within a minute, while the speed of one that gets a run
/// every few seconds stays established.
const HALF_LIFE_MS: f64 = 10_000.0;
/// The maximum weight of evidence, at which the standard error is an eighth,
/// so that a long past does not outweigh a change.
const MAX_WEIGHT: f64 = 60.0;
/// The number of standard deviations beyond which a run is an outlier: the
/// executor has changed, or something else delayed the run.
const OUTLIER_DEVIATIONS: f64 = 3.0;
/// The number of consecutive outliers to one side that count as a change of
/// the executor.
const CHANGE_OUTLIERS: i8 = 2;
/// The variance among the tasks of one step until enough steps are compared.
const DEFAULT_TASK_VARIANCE: f64 = 0.09;
/// The variance of estimates until enough steps are observed: a factor of 1.6.
const DEFAULT_ESTIMATE_VARIANCE: f64 = 0.25;
/// The least variance that is assumed, since clock resolution and latency to
/// executors distort short runs.
const MIN_VARIANCE: f64 = 0.01;
/// The approximate number of recent steps that determine the error of a
/// queue's estimates.
const MAX_STEPS: f64 = 64.0;
/// The least number of steps from which the error of a queue's estimates is
/// derived.
const MIN_STEPS: f64 = 8.0;
/// The most runs of a step that are compared.
const MAX_COMPARED: usize = 64;
/// The resolution of the stored speed, in parts of a natural logarithm.
const STORED_RESOLUTION: f64 = 32.0;
/// The weight of a stored speed: that of a few runs, so that new runs soon
/// outweigh it.
const STORED_WEIGHT: f64 = 50.0;

/// The speed of one executor, as learnt from run times.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Speed {
    /// The weight of all evidence, and its weighted sum, as of `at`.
    weight: f64,
    sum: f64,
    at: Millis,
    /// The number of consecutive outliers, negative if they were short.
    outliers: i8,
    /// The established difference from the typical executor, or zero.
    established: f64,
}

impl Speed {
    /// Decodes a speed that a previous leader has stored, see
    /// [`Speed::to_stored`].
    pub fn from_stored(stored: i8, now: Millis) -> Speed {
        if stored == 0 {
            return Speed::default();
        }
        let established = f64::from(stored) / STORED_RESOLUTION;
        let sum = established * (STORED_WEIGHT + 1.0 / PRIOR_VARIANCE);
        Speed { weight: STORED_WEIGHT, sum, at: now, outliers: 0, established }
    }

    /// Encodes the speed as a byte for the store; zero if it is not known to
    /// differ.
    pub fn to_stored(&self) -> i8 {
        let parts = (self.established * STORED_RESOLUTION).round();
        parts.clamp(f64::from(i8::MIN), f64::from(i8::MAX)) as i8
    }

    /// How much longer runs take than on a typical executor, as a natural
    /// logarithm; zero unless the difference is established. Negative is
    /// faster.
    pub fn slowness(&self) -> f64 {
        self.established
    }

    /// The estimate of [`Speed::slowness`], whether established or not.
    pub fn mean(&self) -> f64 {
        self.sum / (self.weight + 1.0 / PRIOR_VARIANCE)
    }

    /// The variance of [`Speed::mean`].
    fn variance(&self) -> f64 {
        1.0 / (self.weight + 1.0 / PRIOR_VARIANCE)
    }

    fn decay(&mut self, now: Millis) {
        let age = now.saturating_sub(self.at) as f64;
        let factor = (-age / HALF_LIFE_MS).exp2();
        self.weight *= factor;
        self.sum *= factor;
        self.at = now;
    }

    /// Adds a run that has ended. `log_ratio` is the natural logarithm of its
    /// run time over the expected one, and `variance` the variance of that.
    pub fn observe(&mut self, log_ratio: f64, variance: f64, now: Millis) {
        self.decay(now);
        let variance = variance.max(MIN_VARIANCE);
        let mean = self.mean();
        let bound = OUTLIER_DEVIATIONS * (variance + self.variance()).sqrt();
        let deviation = log_ratio - mean;
        let mut log_ratio = log_ratio;
        if deviation.abs() <= bound {
            self.outliers = 0;
        } else if self.outliers.signum() == deviation.signum() as i8
            && self.outliers.abs() + 1 >= CHANGE_OUTLIERS
        {
            (self.weight, self.sum, self.outliers) = (0.0, 0.0, 0);
        } else {
            self.outliers = deviation.signum() as i8;
            log_ratio = mean + deviation.clamp(-bound, bound);
        }
        self.weight += 1.0 / variance;
        self.sum += log_ratio / variance;
        if self.weight > MAX_WEIGHT {
            self.sum *= MAX_WEIGHT / self.weight;
            self.weight = MAX_WEIGHT;
        }
        self.establish();
    }

    /// Adds a run that has not ended and already takes longer than expected,
    /// with the same parameters as [`Speed::observe`].
    pub fn observe_overdue(
        &mut self,
        log_ratio: f64,
        variance: f64,
        now: Millis,
    ) {
        self.decay(now);
        if log_ratio > self.mean() {
            self.observe(log_ratio, variance, now);
        }
    }

    /// Lets evidence decay.
    pub fn refresh(&mut self, now: Millis) {
        if self.weight > 0.0 {
            self.decay(now);
            self.establish();
        }
    }

    /// Decides whether the difference is established.
    fn establish(&mut self) {
        let (mean, error) = (self.mean(), self.variance().sqrt());
        let same_side = self.established * mean > 0.0;
        let (margin, errors) = match same_side {
            true => (MARGIN / 2.0, DROPPED_ERRORS),
            false => (MARGIN, ESTABLISHED_ERRORS),
        };
        let differs = mean.abs() >= margin && mean.abs() >= errors * error;
        self.established = if differs { mean } else { 0.0 };
    }
}

/// The run times of one step.
#[derive(Clone, Debug, Default)]
pub struct StepTimes {
    /// The executor of each run, and the logarithm of its run time in
    /// milliseconds.
    runs: Vec<(ExecutorIndex, f64)>,
    /// The sum of these logarithms, each less the slowness of its executor.
    sum: f64,
}

impl StepTimes {
    /// Adds a run on an executor with this slowness.
    pub fn add(
        &mut self,
        executor: ExecutorIndex,
        time: Millis,
        slowness: f64,
    ) {
        if self.runs.len() < MAX_COMPARED {
            let log = (time.max(1) as f64).ln();
            self.runs.push((executor, log));
            self.sum += log - slowness;
        }
    }

    /// The number of runs.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Whether there are no runs.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// The logarithm of the run time in milliseconds on a typical executor, by
    /// these runs alone; `None` if there are none.
    pub fn typical(&self) -> Option<f64> {
        let count = self.runs.len() as f64;
        (count > 0.0).then(|| self.sum / count)
    }
}

/// The run times of a step on one executor, relative to the expected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedSample {
    /// The executor.
    pub executor: ExecutorIndex,
    /// The natural logarithm of the actual over the expected run time.
    pub log_ratio: f64,
    /// Its variance.
    pub variance: f64,
}

/// Compares the runs of a step by executor. The reference for each executor is
/// the weighted mean of the run times on the others and of `expected`, the
/// logarithm of the expected run time. The error of the estimate, which all
/// share, counts little beside several others.
pub fn compare(
    times: &StepTimes,
    speed_of: impl Fn(ExecutorIndex) -> Speed,
    error: &EstimateError,
    expected: f64,
) -> Vec<SpeedSample> {
    let mut runs = times.runs.clone();
    runs.sort_by_key(|(executor, _)| *executor);
    let groups: Vec<Group> = runs
        .chunk_by(|one, other| one.0 == other.0)
        .map(|group| Group::new(group, &speed_of(group[0].0)))
        .collect();
    let count: f64 = groups.iter().map(|group| group.count).sum();
    let sum: f64 = groups.iter().map(|group| group.typical()).sum();
    let speed_variance: f64 =
        groups.iter().map(|group| group.speed_variance).sum();
    let samples = groups.iter().map(|group| {
        let others = count - group.count;
        let mut weight = 1.0 / error.estimate_variance();
        let mut reference = weight * expected;
        if others > 0.0 {
            let speed_variance =
                (speed_variance - group.speed_variance) / (others * others);
            let observed =
                1.0 / (error.task_variance() / others + speed_variance);
            reference += observed * (sum - group.typical()) / others;
            weight += observed;
        }
        let log_ratio = group.sum / group.count - reference / weight;
        let variance = 1.0 / weight + error.task_variance() / group.count;
        SpeedSample { executor: group.executor, log_ratio, variance }
    });
    samples.collect()
}

/// The runs of a step on one executor.
struct Group {
    executor: ExecutorIndex,
    count: f64,
    sum: f64,
    /// The estimated slowness of the executor.
    slowness: f64,
    /// The variance that the uncertainty of the slowness adds to a sum.
    speed_variance: f64,
}

impl Group {
    fn new(runs: &[(ExecutorIndex, f64)], speed: &Speed) -> Group {
        let count = runs.len() as f64;
        Group {
            executor: runs[0].0,
            count,
            sum: runs.iter().map(|(_, log)| log).sum(),
            slowness: speed.mean(),
            speed_variance: count * count * speed.variance(),
        }
    }

    /// The sum of the logarithms that its runs would have had on a typical
    /// executor.
    fn typical(&self) -> f64 {
        self.sum - self.count * self.slowness
    }
}

/// The error of the run time estimates that come with the jobs of a queue.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EstimateError {
    steps: f64,
    bias: f64,
    /// The variance of estimates around their bias.
    estimate_variance: f64,
    /// The variance among the tasks of one step, and the number of steps from
    /// which it is derived.
    task_variance: f64,
    compared: f64,
}

impl EstimateError {
    /// Adds a step that is done, by its estimate in milliseconds and its run
    /// times.
    pub fn observe_step(&mut self, estimate: Millis, times: &StepTimes) {
        let Some(typical) = times.typical() else { return };
        let log_ratio = typical - (estimate.max(1) as f64).ln();
        self.steps = (self.steps + 1.0).min(MAX_STEPS);
        let weight = 1.0 / self.steps;
        let from_bias = log_ratio - self.bias;
        self.bias += weight * from_bias;
        let square = from_bias * from_bias;
        self.estimate_variance +=
            weight * (square * (1.0 - weight) - self.estimate_variance);
    }

    /// Adds the differences between the executors of a step, given the
    /// slowness of each.
    pub fn observe_task_variance(
        &mut self,
        samples: &[SpeedSample],
        slowness: &[f64],
    ) {
        let count = samples.len() as f64;
        if count < 2.0 {
            return;
        }
        // An executor that has changed must not inflate the variance.
        let bound = OUTLIER_DEVIATIONS * self.task_variance().sqrt();
        let pairs = samples.iter().zip(slowness);
        let squares = pairs.map(|(sample, slowness)| {
            let deviation = (sample.log_ratio - slowness).clamp(-bound, bound);
            deviation * deviation
        });
        // Each is compared with the mean of the others, which adds variance.
        let variance = squares.sum::<f64>() / count * (1.0 - 1.0 / count);
        self.compared = (self.compared + 1.0).min(MAX_STEPS);
        self.task_variance += (variance - self.task_variance) / self.compared;
    }

    /// The mean error as a natural logarithm, whether established or not.
    pub fn mean(&self) -> f64 {
        self.bias
    }

    /// The mean error as a natural logarithm; zero unless it is established.
    pub fn bias(&self) -> f64 {
        let error = (self.estimate_variance.max(MIN_VARIANCE)
            / self.steps.max(1.0))
        .sqrt();
        let established = self.steps >= MIN_STEPS
            && self.bias.abs() >= MARGIN
            && self.bias.abs() >= ESTABLISHED_ERRORS * error;
        if established {
            self.bias
        } else {
            0.0
        }
    }

    /// The variance of the estimates of a queue around their bias.
    pub fn estimate_variance(&self) -> f64 {
        let known = self.steps >= MIN_STEPS;
        (if known {
            self.estimate_variance
        } else {
            DEFAULT_ESTIMATE_VARIANCE
        })
        .max(MIN_VARIANCE)
    }

    /// The variance among the tasks of one step.
    pub fn task_variance(&self) -> f64 {
        let known = self.compared >= MIN_STEPS;
        (if known { self.task_variance } else { DEFAULT_TASK_VARIANCE })
            .max(MIN_VARIANCE)
    }

    /// The run time on a typical executor in milliseconds, from the estimate
    /// that came with the job and the runs of the step that have ended.
    pub fn run_time(&self, estimate: Millis, times: &StepTimes) -> Millis {
        if estimate == 0 {
            return 0;
        }
        let estimated = (estimate as f64).ln();
        let mut log = estimated + self.bias();
        if let Some(typical) = times.typical() {
            let estimate_weight = 1.0 / self.estimate_variance();
            let times_weight = times.len() as f64 / self.task_variance();
            log = (log * estimate_weight + typical * times_weight)
                / (estimate_weight + times_weight);
        }
        if (log - estimated).abs() < MARGIN {
            return estimate;
        }
        log.exp() as Millis
    }
}
