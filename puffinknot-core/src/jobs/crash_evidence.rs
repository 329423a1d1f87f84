/*!
Evidence that a task crashes the executors that start it.

A task may crash each executor that starts it. The executor then stops
answering, and all runs there are lost with it, so that one crash makes
suspects of all tasks that were started there shortly before. The next start
tells them apart: each suspect is started where no other suspect is, see
[`crate::jobs::scheduler`]. If that executor crashes as well, again and again,
the only other explanation is chance. This module weighs the two against each
other.

The weight of a crash is its likelihood ratio in tenths of a power of ten: how
much likelier the crash is if the task caused it than if the executor crashed
for another reason. A task that crashes executors is assumed to do so at any
age up to a second, most likely early, and again at about the same age. How
often executors crash for other reasons is estimated from recent crashes, see
[`crate::jobs::crash_rate`]. Weights add up. However often a harmless task is
tried, it reaches a given sum at most as often as the ratio says, since a run
that survives clears what was counted before. Multiplying the probabilities of
its crashes by chance instead would accuse harmless tasks more often, and ever
more so as crashes accumulate.

While executors crash often, a loss is weak evidence, and a harmless task is
likely to be lost once more. A task that was lost again is therefore tried when
the rate is lower, if that is soon.
*/

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ids::Millis;

/// How long a run is suspected at first: until its executor is known to have
/// survived it for this time, unless its task is known to need longer. Tasks
/// that crash executors have been seen to do so within 16 ms.
const INITIAL_WINDOW_MS: Millis = 100;
/// The longest such time. A run that lasts for more than half of it clears its
/// task: a task that needs longer to crash its executor is not found. A longer
/// window would put more of what an executor has started under suspicion.
const MAX_WINDOW_MS: Millis = 1_000;
/// A first crash makes only those tasks need isolation that may have started
/// this shortly before it. Executors that crash for other reasons have seldom
/// started anything within this time, and each trial keeps other tasks off an
/// executor.
const SOON_MS: Millis = 100;
/// The weight at which a task is given up, which one in 10,000 harmless tasks
/// reaches by chance. At the lowest crash rate, two crashes reach it if each
/// was observed within 30 ms of a start, or three that are only known to have
/// come within 800 ms. More than five starts of such a task are too many; one
/// or two of these may happen beside other starts that are as recent, and one
/// may be forgotten with a leader.
const GIVE_UP_WEIGHT: u32 = 40;
/// The least number of lost runs at which a task is given up.
const MIN_LOST_RUNS: u32 = 2;
/// The highest crash rate at which trials are not deferred, in crashes per
/// second and executor: nineteen of twenty trials complete without an
/// unrelated crash.
const CALM_RATE: f64 = 0.06;
/// How long a trial is deferred at most: by then earlier crashes no longer
/// count.
const MAX_DEFERRAL_MS: Millis = 20_000;
/// The number of crashes with a gang as the only suspect that is enough to
/// give it up, whatever their weight: with one more crash beside other
/// suspects, the next start would be the sixth. The more executors a gang
/// uses, the more crashes it meets and the less each weighs.
const GANG_GIVE_UP_CRASHES: u32 = 4;
/// The scale of the distribution of ages at which tasks crash executors: as
/// many do so before this age as in each doubling of the age beyond it.
const AGE_SCALE_MS: f64 = 10.0;
/// The longest delay between a crash and its observation, if it was observed
/// as it happened.
const OBSERVATION_DELAY_MS: Millis = 50;
/// Ages are similar if they differ by less than this fraction of a doubling.
const SIMILAR_DOUBLINGS: f64 = 0.3;
/// Ages are also similar if they differ by no more than this.
const SIMILAR_MS: f64 = 5.0;

/// A run that was lost with an executor that crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunLoss {
    /// The run.
    pub run: u64,
    /// Whether no other run there may have crashed the executor.
    pub alone: bool,
    /// Whether the executor had confirmed the start. Otherwise the run may
    /// never have been there, since the executor may crash while the order is
    /// in transit or still queued, and the crash does not count. If it did, a
    /// job whose task met a single crash could be given up for two.
    pub confirmed: bool,
    /// Whether the crash was observed as it happened, since the connection to
    /// the executor broke.
    pub seen: bool,
    /// The number of executors on which the run was; several for a gang.
    pub executors: u32,
    /// The longest time that it can have been there, in milliseconds.
    pub ran: Millis,
    /// The least time that it is known to have been there, in milliseconds.
    pub survived: Millis,
    /// The address of the executor.
    pub address: String,
}

impl RunLoss {
    /// Whether the run was there for too long to have crashed the executor.
    pub fn rules_out_task(&self) -> bool {
        self.survived > MAX_WINDOW_MS / 2
    }

    /// Whether the executor may have crashed shortly after the start.
    fn may_be_soon(&self) -> bool {
        let least = if self.seen { self.ran } else { self.survived };
        least <= SOON_MS
    }

    /// The weight of the crash as evidence if executors crash at `rate` for
    /// other reasons, and the previous run was lost at the age `previous`.
    fn weight(&self, rate: f64, previous: Option<Millis>) -> u32 {
        if !self.alone {
            return 0;
        }
        let delay = if self.seen { OBSERVATION_DELAY_MS } else { Millis::MAX };
        let from = self.survived.max(self.ran.saturating_sub(delay));
        let from = from.min(self.ran);
        let seconds = (self.ran - from).max(1) as f64 / 1_000.0;
        let unrelated = rate * seconds * f64::from(self.executors.max(1));
        let previous = previous.filter(|_| self.seen);
        let ratio =
            crash_probability(from, self.ran, previous) / unrelated.min(1.0);
        (ratio.max(1.0).log10() * 10.0).round() as u32
    }
}

/// The probability that a task which crashes its executors does so between two
/// ages, given the age at which it last did, if known. The upper bound is the
/// age at which the crash was observed.
fn crash_probability(
    from: Millis,
    until: Millis,
    previous: Option<Millis>,
) -> f64 {
    let doublings = |age: Millis| {
        let age = age.min(MAX_WINDOW_MS);
        (1.0 + age as f64 / AGE_SCALE_MS).log2()
    };
    let at_any = doublings(until) - doublings(from);
    let at_any = at_any / doublings(MAX_WINDOW_MS);
    let Some(previous) = previous else { return at_any };
    let scaled = previous as f64 + AGE_SCALE_MS;
    let least = (scaled * (-SIMILAR_DOUBLINGS).exp2() - AGE_SCALE_MS)
        .min(previous as f64 - SIMILAR_MS);
    let most = (scaled * SIMILAR_DOUBLINGS.exp2() - AGE_SCALE_MS)
        .max(previous as f64 + SIMILAR_MS);
    let at_similar = if (least..=most).contains(&(until as f64)) {
        (until - from) as f64 / (most - least.max(0.0))
    } else {
        0.0
    };
    (at_any + at_similar) / 2.0
}

/// A crash of an executor for which a task is the only suspect.
#[derive(Clone, Debug, PartialEq, Eq)]
struct SoleSuspectCrash {
    at: Millis,
    loss: RunLoss,
    /// The age at which the previous run was observed to be lost.
    previous_age: Option<Millis>,
    /// The weight that a previous leader has counted for the same run.
    counted: u32,
    weight: u32,
}

/// The last run that was lost. A gang's run may be lost with several
/// executors and counts once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct LastRun {
    run: u64,
    /// Whether it was on several executors.
    gang: bool,
    alone: bool,
    /// The weight of its loss.
    weight: u32,
}

/// The crashes of executors that a task may have caused.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashEvidence {
    /// The number of runs lost in them.
    pub runs: u32,
    /// The number of these in which no other task was suspected.
    alone: u32,
    /// The weight of these crashes.
    pub weight: u32,
    /// The longest time that one of these runs can have been there, in
    /// milliseconds.
    ran: Millis,
    /// Whether one of these crashes may have come soon after the start.
    soon: bool,
    /// The addresses of the executors.
    pub addresses: BTreeSet<String>,
    last: LastRun,
    /// The crashes that are weighed. A new leader knows only their weight.
    #[serde(skip)]
    evidence: Vec<SoleSuspectCrash>,
    /// The weight of `evidence` when it was last computed.
    #[serde(skip)]
    weighed: u32,
    /// The age of the last run that was observed to be lost, in milliseconds.
    /// It is not passed on to a new leader.
    #[serde(skip)]
    seen_at: Option<Millis>,
    /// Since when the next trial is deferred.
    #[serde(skip)]
    put_off_since: Option<Millis>,
}

impl CrashEvidence {
    /// Adds a loss. Returns whether the task may have caused it. A run that
    /// was there for too long clears its task of all earlier crashes as well.
    pub fn add(&mut self, loss: &RunLoss, now: Millis) -> bool {
        if loss.rules_out_task() {
            *self = CrashEvidence::default();
            return false;
        }
        if loss.confirmed {
            if loss.survived >= self.window() {
                self.evidence.clear();
                (self.weight, self.weighed) = (0, 0);
                self.last.weight = 0;
            }
            self.count(loss, now);
            self.seen_at = loss.seen.then_some(loss.ran).or(self.seen_at);
        }
        self.put_off_since = None;
        self.ran = self.ran.max(loss.ran);
        self.soon |= loss.may_be_soon();
        self.addresses.insert(loss.address.clone());
        true
    }

    fn count(&mut self, loss: &RunLoss, now: Millis) {
        if self.last.run != loss.run {
            self.runs += 1;
            let (run, gang) = (loss.run, loss.executors > 1);
            self.last = LastRun { run, gang, ..LastRun::default() };
        }
        if !loss.alone {
            return;
        }
        if !std::mem::replace(&mut self.last.alone, true) {
            self.alone += 1;
        }
        // The members of a gang are lost with the same run, so that their
        // similar ages are no evidence.
        let mut same = self.evidence.iter().filter(|e| e.loss.run == loss.run);
        let (previous_age, counted) =
            same.next().map_or((self.seen_at, self.last.weight), |evidence| {
                (evidence.previous_age, evidence.counted)
            });
        self.evidence.push(SoleSuspectCrash {
            at: now,
            loss: loss.clone(),
            previous_age,
            counted,
            weight: 0,
        });
    }

    /// Reweighs the crashes. `rate` is how often executors crashed for other
    /// reasons at a moment, which may change as other tasks are found to have
    /// caused crashes. Where it is `None`, a crash keeps its weight.
    pub fn weigh(&mut self, rate: impl Fn(Millis) -> Option<f64>) {
        let mut by_run: BTreeMap<u64, u32> = BTreeMap::new();
        for evidence in &mut self.evidence {
            if let Some(rate) = rate(evidence.at) {
                let weight = evidence.loss.weight(rate, evidence.previous_age);
                evidence.weight = weight.saturating_sub(evidence.counted);
            }
            let weight = by_run.entry(evidence.loss.run).or_default();
            *weight = evidence.weight.max(*weight);
            if evidence.loss.run == self.last.run {
                self.last.weight = evidence.counted + *weight;
            }
        }
        let weighed = by_run.values().sum();
        self.weight += weighed;
        self.weight -= std::mem::replace(&mut self.weighed, weighed);
    }

    /// Whether the next trial may be the decisive one.
    pub fn may_decide(&self) -> bool {
        self.alone > 0 && self.runs >= MIN_LOST_RUNS
    }

    /// Whether a trial should wait until executors crash less often. At a high
    /// rate a harmless task might be lost once more, which would count against
    /// it.
    pub fn defers_trial(&mut self, rate: f64, now: Millis) -> bool {
        if rate <= CALM_RATE {
            return false;
        }
        let since = *self.put_off_since.get_or_insert(now);
        now < since + MAX_DEFERRAL_MS
    }

    /// How long a run has to last until it is known to be harmless, in
    /// milliseconds.
    pub fn window(&self) -> Millis {
        self.ran.saturating_mul(2).clamp(INITIAL_WINDOW_MS, MAX_WINDOW_MS)
    }

    /// Whether the next run must be the only suspect on its executor. A task
    /// whose run was there for some time before the crash needs isolation only
    /// after a second crash.
    pub fn needs_isolation(&self) -> bool {
        self.runs > 1 || self.soon
    }

    /// Whether chance no longer explains the crashes. A single crash is never
    /// enough.
    pub fn rules_out_chance(&self) -> bool {
        (self.last.gang && self.alone >= GANG_GIVE_UP_CRASHES)
            || (self.runs >= MIN_LOST_RUNS && self.weight >= GIVE_UP_WEIGHT)
    }
}
