/*!
How fast executors are, and how far guesses at run times are off, learnt from
runs.

Nothing says that one executor is quicker than another, and the guess that
comes with a job may be off by a factor of two. Both show in how long runs
take, and have to be told apart:

* The tasks of one step share the error of their guess. Compared with each
  other, it cancels, and what is left tells of the executors ([`compare`]).
* What a whole step took, less what its executors explain, tells how far the
  guesses of its queue are off ([`EstimateError`]).

All is reckoned in natural logarithms of times, where factors add up. Evidence
is weighed by the inverse of its variance and fades with time, so that an
executor which has become slow, or has recovered, is found out within a few
runs. An executor counts as usual until it is known to differ ([`Speed`]): a
cell of equal executors is decided on as if nothing were learnt.
*/

use crate::ids::Millis;
use crate::jobs::message::ExecutorIndex;

/// Executors and guesses that differ from the usual by less than this, in
/// natural logarithms, count as usual: less than a quarter of a run time is
/// not worth a worse fit.
pub const MARGIN: f64 = 0.223;
/// What differs is known once it does so by this many standard errors. With
/// hundreds of executors, less would find one that differs by chance.
const SURE: f64 = 3.0;
/// What is known is given up below this many.
const DOUBTFUL: f64 = 2.0;
/// Before any run, executors are thought to lie around the usual with this
/// variance: two of three within a factor of 1.6.
const PRIOR: f64 = 0.25;
/// Evidence loses half of its weight in this time, in milliseconds: an
/// executor that gets no runs for being slow is tried again within a minute,
/// and one that gets a run every few seconds stays known.
const HALF_LIFE: f64 = 10_000.0;
/// Evidence weighs no more than this, the standard error being an eighth, so
/// that a change is not outweighed by a long past.
const MOST_WEIGHT: f64 = 60.0;
/// A run that lies further off than this many standard deviations is no chance
/// any more: the executor has changed, or something else held the run up.
const FAR: f64 = 3.0;
/// So many of them in a row, all to one side, are a change.
const CHANGED_BY: i8 = 2;
/// The variance of the tasks of one step among each other, until it is known.
const UNEVEN: f64 = 0.09;
/// The variance of guesses, until it is known: a factor of 1.6.
const SPREAD: f64 = 0.25;
/// No variance is taken to be less than this: clocks and ways to executors
/// add to short runs.
const LEAST: f64 = 0.01;
/// The steps of a queue that its guesses are judged by, about.
const STEPS: f64 = 64.0;
/// A queue's guesses are judged by this many steps at least.
const FEW_STEPS: f64 = 8.0;
/// At most so many runs of a step are compared.
const MOST_COMPARED: usize = 64;
/// A byte that is kept of an executor counts such parts of a logarithm.
const KEPT_PARTS: f64 = 32.0;
/// What is kept of an executor weighs as much as this, a few runs, so that
/// its own runs soon outweigh it.
const KEPT_WEIGHT: f64 = 50.0;

/// How long runs take on one executor.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Speed {
    /// The weight of all evidence, and its sum by weight, as of `at`.
    weight: f64,
    sum: f64,
    at: Millis,
    /// Runs in a row that lay far off, negative if they were short.
    far: i8,
    shown: f64,
}

impl Speed {
    /// What a predecessor has kept of an executor, see [`Speed::to_stored`].
    pub fn from_stored(kept: i8, now: Millis) -> Speed {
        if kept == 0 {
            return Speed::default();
        }
        let shown = f64::from(kept) / KEPT_PARTS;
        let sum = shown * (KEPT_WEIGHT + 1.0 / PRIOR);
        Speed { weight: KEPT_WEIGHT, sum, at: now, far: 0, shown }
    }

    /// A byte to know it by later; zero if it is not known to differ.
    pub fn to_stored(&self) -> i8 {
        let parts = (self.shown * KEPT_PARTS).round();
        parts.clamp(f64::from(i8::MIN), f64::from(i8::MAX)) as i8
    }

    /// How much longer runs take than on the usual executor, as a natural
    /// logarithm; zero unless it is known to differ. Negative is quicker.
    pub fn slowness(&self) -> f64 {
        self.shown
    }

    /// What is thought of it, whether it is sure or not.
    pub fn mean(&self) -> f64 {
        self.sum / (self.weight + 1.0 / PRIOR)
    }

    /// The variance of [`Speed::mean`].
    fn variance(&self) -> f64 {
        1.0 / (self.weight + 1.0 / PRIOR)
    }

    fn fade(&mut self, now: Millis) {
        let age = now.saturating_sub(self.at) as f64;
        let left = (-age / HALF_LIFE).exp2();
        self.weight *= left;
        self.sum *= left;
        self.at = now;
    }

    /// Takes in that a run was longer than it should by a logarithm, which has
    /// a variance by itself.
    pub fn observe(&mut self, longer: f64, variance: f64, now: Millis) {
        self.fade(now);
        let variance = variance.max(LEAST);
        let mean = self.mean();
        let bound = FAR * (variance + self.variance()).sqrt();
        let off = longer - mean;
        let mut longer = longer;
        if off.abs() <= bound {
            self.far = 0;
        } else if self.far.signum() == off.signum() as i8
            && self.far.abs() + 1 >= CHANGED_BY
        {
            (self.weight, self.sum, self.far) = (0.0, 0.0, 0);
        } else {
            self.far = off.signum() as i8;
            longer = mean + off.clamp(-bound, bound);
        }
        self.weight += 1.0 / variance;
        self.sum += longer / variance;
        if self.weight > MOST_WEIGHT {
            self.sum *= MOST_WEIGHT / self.weight;
            self.weight = MOST_WEIGHT;
        }
        self.show();
    }

    /// Takes in that a run has gone on for longer than it should by a
    /// logarithm, and goes on.
    pub fn observe_overdue(
        &mut self,
        longer: f64,
        variance: f64,
        now: Millis,
    ) {
        self.fade(now);
        if longer > self.mean() {
            self.observe(longer, variance, now);
        }
    }

    /// Lets evidence fade.
    pub fn refresh(&mut self, now: Millis) {
        if self.weight > 0.0 {
            self.fade(now);
            self.show();
        }
    }

    /// Decides whether it is known to differ.
    fn show(&mut self) {
        let (mean, error) = (self.mean(), self.variance().sqrt());
        let same_side = self.shown * mean > 0.0;
        let (margin, errors) = match same_side {
            true => (MARGIN / 2.0, DOUBTFUL),
            false => (MARGIN, SURE),
        };
        let known = mean.abs() >= margin && mean.abs() >= errors * error;
        self.shown = if known { mean } else { 0.0 };
    }
}

/// How long the runs of one step have taken.
#[derive(Clone, Debug, Default)]
pub struct StepTimes {
    /// Where each was, and the logarithm of its milliseconds.
    runs: Vec<(ExecutorIndex, f64)>,
    /// The sum of these less how slow their executors are.
    sum: f64,
}

impl StepTimes {
    /// Takes in a run on an executor of this slowness.
    pub fn add(&mut self, at: ExecutorIndex, time: Millis, slowness: f64) {
        if self.runs.len() < MOST_COMPARED {
            let log = (time.max(1) as f64).ln();
            self.runs.push((at, log));
            self.sum += log - slowness;
        }
    }

    /// The number of runs.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// The logarithm of the milliseconds that a run takes on the usual
    /// executor, by these alone.
    pub fn usual(&self) -> Option<f64> {
        let count = self.runs.len() as f64;
        (count > 0.0).then(|| self.sum / count)
    }
}

/// How much longer the runs of a step on one executor were than they should.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedSample {
    /// The executor.
    pub at: ExecutorIndex,
    /// The logarithm.
    pub log_ratio: f64,
    /// Its variance.
    pub variance: f64,
}

/// Compares the runs of a step by executors: each with what the others took,
/// and with `expected`, the logarithm of what they should have taken, each by
/// its weight. The error of the guess, which all share, counts little beside
/// several others.
pub fn compare(
    times: &StepTimes,
    speed_of: impl Fn(ExecutorIndex) -> Speed,
    error: &EstimateError,
    expected: f64,
) -> Vec<SpeedSample> {
    let mut runs = times.runs.clone();
    runs.sort_by_key(|(at, _)| *at);
    let groups: Vec<Group> = runs
        .chunk_by(|one, other| one.0 == other.0)
        .map(|group| Group::new(group, &speed_of(group[0].0)))
        .collect();
    let count: f64 = groups.iter().map(|group| group.count).sum();
    let sum: f64 = groups.iter().map(|group| group.usual()).sum();
    let unsure: f64 = groups.iter().map(|group| group.unsure).sum();
    let findings = groups.iter().map(|group| {
        let others = count - group.count;
        let mut weight = 1.0 / error.estimate_variance();
        let mut usual = weight * expected;
        if others > 0.0 {
            let unsure = (unsure - group.unsure) / (others * others);
            let seen = 1.0 / (error.task_variance() / others + unsure);
            usual += seen * (sum - group.usual()) / others;
            weight += seen;
        }
        let longer = group.sum / group.count - usual / weight;
        let variance = 1.0 / weight + error.task_variance() / group.count;
        SpeedSample { at: group.at, log_ratio: longer, variance }
    });
    findings.collect()
}

/// The runs of a step on one executor.
struct Group {
    at: ExecutorIndex,
    count: f64,
    sum: f64,
    /// What is thought of the executor.
    slowness: f64,
    /// The variance that not knowing it better adds to a sum.
    unsure: f64,
}

impl Group {
    fn new(runs: &[(ExecutorIndex, f64)], speed: &Speed) -> Group {
        let count = runs.len() as f64;
        Group {
            at: runs[0].0,
            count,
            sum: runs.iter().map(|(_, log)| log).sum(),
            slowness: speed.mean(),
            unsure: count * count * speed.variance(),
        }
    }

    /// The sum of what its runs would have been on the usual executor.
    fn usual(&self) -> f64 {
        self.sum - self.count * self.slowness
    }
}

/// How far the guesses that come with the jobs of a queue are off.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EstimateError {
    steps: f64,
    bias: f64,
    /// The variance of guesses around their bias.
    spread: f64,
    /// The variance of the tasks of one step among each other, and the
    /// number of steps that have told of it.
    uneven: f64,
    compared: f64,
}

impl EstimateError {
    /// Takes in a step that is done: its guess, in milliseconds, and what it
    /// took.
    pub fn observe_step(&mut self, guess: Millis, times: &StepTimes) {
        let Some(usual) = times.usual() else { return };
        let off = usual - (guess.max(1) as f64).ln();
        self.steps = (self.steps + 1.0).min(STEPS);
        let share = 1.0 / self.steps;
        let from_bias = off - self.bias;
        self.bias += share * from_bias;
        let square = from_bias * from_bias;
        self.spread += share * (square * (1.0 - share) - self.spread);
    }

    /// Takes in how much the tasks of a step differ, by executors.
    pub fn observe_task_variance(
        &mut self,
        findings: &[SpeedSample],
        slow: &[f64],
    ) {
        let count = findings.len() as f64;
        if count < 2.0 {
            return;
        }
        // One that has changed would make all seem uneven.
        let most = FAR * self.task_variance().sqrt();
        let off = findings.iter().zip(slow);
        let squares = off.map(|(finding, slow)| {
            let off = (finding.log_ratio - slow).clamp(-most, most);
            off * off
        });
        // Each is compared with the mean of the others.
        let variance = squares.sum::<f64>() / count * (1.0 - 1.0 / count);
        self.compared = (self.compared + 1.0).min(STEPS);
        self.uneven += (variance - self.uneven) / self.compared;
    }

    /// How far off they are thought to be on the mean, sure or not.
    pub fn mean(&self) -> f64 {
        self.bias
    }

    /// How far off they are on the mean, as a natural logarithm; zero unless
    /// they are known to be.
    pub fn bias(&self) -> f64 {
        let error = (self.spread.max(LEAST) / self.steps.max(1.0)).sqrt();
        let known = self.steps >= FEW_STEPS
            && self.bias.abs() >= MARGIN
            && self.bias.abs() >= SURE * error;
        if known {
            self.bias
        } else {
            0.0
        }
    }

    /// The variance of guesses of a queue around their bias.
    pub fn estimate_variance(&self) -> f64 {
        let known = self.steps >= FEW_STEPS;
        (if known { self.spread } else { SPREAD }).max(LEAST)
    }

    /// The variance of the tasks of one step among each other.
    pub fn task_variance(&self) -> f64 {
        let known = self.compared >= FEW_STEPS;
        (if known { self.uneven } else { UNEVEN }).max(LEAST)
    }

    /// What a run takes on the usual executor, in milliseconds, by the guess
    /// that came with it and by runs of its step that have ended.
    pub fn run_time(&self, guess: Millis, times: &StepTimes) -> Millis {
        if guess == 0 {
            return 0;
        }
        let by_guess = (guess as f64).ln();
        let mut log = by_guess + self.bias();
        if let Some(usual) = times.usual() {
            let guessed = 1.0 / self.estimate_variance();
            let seen = times.len() as f64 / self.task_variance();
            log = (log * guessed + usual * seen) / (guessed + seen);
        }
        if (log - by_guess).abs() < MARGIN {
            return guess;
        }
        log.exp() as Millis
    }
}
