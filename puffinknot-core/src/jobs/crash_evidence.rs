/*!
What the crashes of executors tell of a task that ran there.

A task may crash each executor that starts it. The executor says nothing any
more, and all that ran there is lost with it, so that one crash puts all under
suspicion that had been started there shortly before. What tells them apart is
the next start: whoever may have done it is started where nothing else is that
may, see [`crate::jobs::scheduler`]. If that executor crashes too, again and
again, no other explanation is left than chance, and that is weighed here.

What a crash weighs is how much likelier it is if the task did it than if the
executor crashed by something else, in powers of ten, in tenths. A task that
does it is taken to do so at any age up to a second, most likely at a low one,
and again at about the same; how often executors crash by something else is
reckoned from how many have lately, see [`crate::jobs::crash_rate`]. Weights
add up. A task that harms nobody gets to a sum at most as often as that says,
however often it is tried, since a run that survives takes back what was
counted before. The product of the mere chances of its crashes would be small
more often: the more they are, the more.

While executors crash often, a loss tells little, and a harmless task is likely
to be lost once more. A task that has been lost again is therefore tried when
they crash less, if that is soon.
*/

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ids::Millis;

/// A run may have crashed its executor as long as it was not heard to have
/// been there for this time, in milliseconds, unless its task is known to
/// need longer. Tasks that crash executors were seen to do so within 16 ms.
const FIRST_WINDOW: Millis = 100;
/// The longest such time. A run that gets through half of it clears its
/// task: what needs longer is not found, and all that an executor has started
/// within it would be under suspicion.
const LONGEST_WINDOW: Millis = 1_000;
/// The first crash makes suspects only of what may have been started so
/// shortly before, in milliseconds. Executors that crash by themselves have
/// seldom started anything within it, and each trial keeps others off an
/// executor.
const SOON: Millis = 100;
/// The weight at which a task is given up: by chance, one in 10,000 is. At the
/// lowest rate two crashes have it of which each was seen to come within 30 ms
/// after a start, or three of which is known only that they came within 800.
/// More than five starts of such a task are too many; one or two of them may
/// have been beside others that were as young, and one may be forgotten with a
/// leader.
const ENOUGH: u32 = 40;
/// The least runs that a task has to be lost with to be given up.
const LEAST_RUNS: u32 = 2;
/// Executors that crash no more often than this, in crashes a second and
/// executor, leave nineteen in twenty trials alone.
const CALM_RATE: f64 = 0.06;
/// A trial is put off for so long at the most, in milliseconds: by then
/// crashes of before are no longer counted.
const LONGEST_PUT_OFF: Millis = 20_000;
/// So many crashes under a gang that was alone are enough, whatever they
/// weigh: with one more beside others, the next start would be the sixth. It
/// meets more crashes the wider it is, and each weighs less.
const MOST_ALONE: u32 = 4;
/// Of the tasks that crash executors, as many do so before this age, in
/// milliseconds, as in each doubling of what lies beyond it.
const EARLY: f64 = 10.0;
/// A crash that was seen was so long before that at most, in milliseconds.
const SEEN_WITHIN: Millis = 50;
/// Ages that differ by less than this part of a doubling are alike.
const ALIKE: f64 = 0.3;
/// So are ages that differ by no more than this, in milliseconds.
const GRAIN: f64 = 5.0;

/// How a run was lost with an executor that has crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunLoss {
    /// The run.
    pub run: u64,
    /// Nothing else there may have crashed the executor.
    pub alone: bool,
    /// The executor had confirmed the start. Else the run may never have been
    /// there, and counts for no crash: an executor may crash while the order
    /// is on its way, or leave it for later. A job was given up so for two
    /// crashes though its task had met one.
    pub confirmed: bool,
    /// The crash was seen as it happened: what waited for the executor was
    /// broken off.
    pub seen: bool,
    /// The number of executors that the run was on; a gang's is on several.
    pub executors: u32,
    /// How long it may have been there at most, in milliseconds.
    pub ran: Millis,
    /// How long it is known to have been there, in milliseconds.
    pub survived: Millis,
    /// The address of the executor.
    pub address: String,
}

impl RunLoss {
    /// Whether the run was there for too long to have crashed the executor.
    pub fn rules_out_task(&self) -> bool {
        self.survived > LONGEST_WINDOW / 2
    }

    /// Whether the executor may have crashed shortly after the start.
    fn may_be_soon(&self) -> bool {
        let least = if self.seen { self.ran } else { self.survived };
        least <= SOON
    }

    /// What it weighs if executors crash so often by themselves, and the
    /// former run was lost at this age.
    fn weight(&self, rate: f64, former: Option<Millis>) -> u32 {
        if !self.alone {
            return 0;
        }
        let least = if self.seen { SEEN_WITHIN } else { Millis::MAX };
        let from = self.survived.max(self.ran.saturating_sub(least));
        let from = from.min(self.ran);
        let seconds = (self.ran - from).max(1) as f64 / 1_000.0;
        let by_itself = rate * seconds * f64::from(self.executors.max(1));
        let former = former.filter(|_| self.seen);
        let likelier = by_task(from, self.ran, former) / by_itself.min(1.0);
        (likelier.max(1.0).log10() * 10.0).round() as u32
    }
}

/// How likely a task that crashes its executors does so between two ages, if
/// it did it before at about this one. The later age is what was seen.
fn by_task(from: Millis, until: Millis, former: Option<Millis>) -> f64 {
    let doublings = |age: Millis| {
        let age = age.min(LONGEST_WINDOW);
        (1.0 + age as f64 / EARLY).log2()
    };
    let at_any = doublings(until) - doublings(from);
    let at_any = at_any / doublings(LONGEST_WINDOW);
    let Some(former) = former else { return at_any };
    let beyond = former as f64 + EARLY;
    let least = (beyond * (-ALIKE).exp2() - EARLY).min(former as f64 - GRAIN);
    let most = (beyond * ALIKE.exp2() - EARLY).max(former as f64 + GRAIN);
    let alike = if (least..=most).contains(&(until as f64)) {
        (until - from) as f64 / (most - least.max(0.0))
    } else {
        0.0
    };
    (at_any + alike) / 2.0
}

/// A crash of an executor on which nothing else was under suspicion.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Evidence {
    at: Millis,
    loss: RunLoss,
    /// The age at which the run before was seen to be lost.
    former: Option<Millis>,
    /// What a predecessor has counted of the same run.
    counted: u32,
    weight: u32,
}

/// The last run that was lost: a gang's may be lost with several executors,
/// and counts once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Last {
    run: u64,
    /// It was on several executors.
    gang: bool,
    alone: bool,
    /// What its loss weighs.
    weight: u32,
}

/// The crashes of executors that a task may have brought about.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashEvidence {
    /// The runs that were lost so.
    pub runs: u32,
    /// Those of them in which nothing else may have done it.
    alone: u32,
    /// What these crashes weigh.
    pub weight: u32,
    /// The longest time that one of these runs may have been there, in
    /// milliseconds.
    ran: Millis,
    /// One of these crashes may have come soon after the start.
    soon: bool,
    /// The addresses of the executors.
    pub addresses: BTreeSet<String>,
    last: Last,
    /// What is weighed of these crashes. To a successor only its weight is
    /// known.
    #[serde(skip)]
    evidence: Vec<Evidence>,
    /// What the evidence weighed last.
    #[serde(skip)]
    weighed: u32,
    /// The age of the last run that was seen to be lost, in milliseconds. A
    /// successor does without.
    #[serde(skip)]
    seen_at: Option<Millis>,
    /// Since when the next trial is put off.
    #[serde(skip)]
    put_off_since: Option<Millis>,
}

impl CrashEvidence {
    /// Takes in another one. Returns whether the task may have done it; if it
    /// has been there for too long, it is cleared of the former as well.
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
            self.last = Last { run, gang, ..Last::default() };
        }
        if !loss.alone {
            return;
        }
        if !std::mem::replace(&mut self.last.alone, true) {
            self.alone += 1;
        }
        // The members of a gang are lost with the same run: that their ages
        // are alike tells nothing.
        let mut same = self.evidence.iter().filter(|e| e.loss.run == loss.run);
        let (former, counted) =
            same.next().map_or((self.seen_at, self.last.weight), |evidence| {
                (evidence.former, evidence.counted)
            });
        self.evidence.push(Evidence {
            at: now,
            loss: loss.clone(),
            former,
            counted,
            weight: 0,
        });
    }

    /// Weighs the crashes anew, if executors crashed so often at some moment
    /// by something else: what others have done may be known only later. What
    /// the rate is not known of keeps its weight.
    pub fn weigh(&mut self, rate: impl Fn(Millis) -> Option<f64>) {
        let mut by_run: BTreeMap<u64, u32> = BTreeMap::new();
        for evidence in &mut self.evidence {
            if let Some(rate) = rate(evidence.at) {
                let weight = evidence.loss.weight(rate, evidence.former);
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

    /// Whether the next trial may be the one that settles it.
    pub fn may_decide(&self) -> bool {
        self.alone > 0 && self.runs >= LEAST_RUNS
    }

    /// Whether a trial should wait until executors crash less often: now a
    /// task that harms nobody might be lost once more, and that would count
    /// against it.
    pub fn defers_trial(&mut self, rate: f64, now: Millis) -> bool {
        if rate <= CALM_RATE {
            return false;
        }
        let since = *self.put_off_since.get_or_insert(now);
        now < since + LONGEST_PUT_OFF
    }

    /// How long a run has to be there until it is known to be harmless, in
    /// milliseconds.
    pub fn window(&self) -> Millis {
        self.ran.saturating_mul(2).clamp(FIRST_WINDOW, LONGEST_WINDOW)
    }

    /// Whether the next run has to be on its own. One that was there for some
    /// time before the crash is suspected only when that happens again.
    pub fn needs_isolation(&self) -> bool {
        self.runs > 1 || self.soon
    }

    /// Whether chance explains them no more. One crash never is enough.
    pub fn rules_out_chance(&self) -> bool {
        (self.last.gang && self.alone >= MOST_ALONE)
            || (self.runs >= LEAST_RUNS && self.weight >= ENOUGH)
    }
}
