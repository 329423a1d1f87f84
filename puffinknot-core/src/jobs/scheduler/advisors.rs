/*!
The nodes that ask for advice, and how busy each of them is.

The service takes one call at a time from each node, in turn. So a node is
known by when its calls should be answered, and gets no more of them than it
can have answered soon; one whose answer is overdue is passed over for a while.
*/

use std::collections::BTreeMap;

use crate::ids::Millis;

/// Calls under way at one node; the second waits in the service's queue.
const PER_ADVISOR: usize = 2;
/// A short call goes to a node that should answer within this time.
const SOON: Millis = 60;
/// A call is overdue if it is not answered this long after its time, in
/// milliseconds: some round trips, and a slice of a busy processor.
const OVERDUE: Millis = 200;
/// The same in shares of its time, which is only what the service says.
const OVERDUE_SHARE: f64 = 0.5;
/// By how much the slack grows with each call that is overdue: the service
/// may be slower than it says.
const SLACK_GROWS: f64 = 2.0;
/// By how much it shrinks with each answer.
const SLACK_SHRINKS: f64 = 0.9;
/// The most that it grows to; the slack is then over three seconds, longer
/// than clients wait for anything.
const MOST_SLACK: f64 = 16.0;
/// A node whose call was overdue gets none for this time, in milliseconds. A
/// link to a node that is out of reach is given up sooner.
const AVOIDED: Millis = 1_500;

/// A node that can ask for advice.
#[derive(Clone, Debug, Default)]
struct Advisor {
    /// When its calls should be answered.
    busy_until: Millis,
    /// Its calls that are under way.
    calls: usize,
    /// It gets no calls until then.
    avoided_until: Millis,
}

impl Advisor {
    fn avoided(&self, now: Millis) -> bool {
        self.avoided_until > now
    }
}

/// All nodes that ask for advice.
#[derive(Debug)]
pub(super) struct Advisors {
    by_name: BTreeMap<String, Advisor>,
    /// By how much more calls are waited for than usual.
    slack: f64,
}

impl Default for Advisors {
    fn default() -> Advisors {
        Advisors { by_name: BTreeMap::new(), slack: 1.0 }
    }
}

impl Advisors {
    /// Takes in which nodes there are. Returns those that are gone.
    pub fn set(&mut self, names: Vec<String>) -> Vec<String> {
        let known = self.by_name.keys();
        let gone = known.filter(|name| !names.contains(name)).cloned();
        let gone: Vec<String> = gone.collect();
        for name in &gone {
            self.by_name.remove(name);
        }
        for name in names {
            self.by_name.entry(name).or_default();
        }
        gone
    }

    /// The number of nodes.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// A node makes a call that takes so long. Returns when its answer is
    /// overdue.
    pub fn ask(&mut self, name: &str, cost: Millis, now: Millis) -> Millis {
        let advisor = self.by_name.entry(name.to_string()).or_default();
        advisor.calls += 1;
        advisor.busy_until = advisor.busy_until.max(now) + cost;
        let time = advisor.busy_until - now;
        let slack = time as f64 * OVERDUE_SHARE + OVERDUE as f64;
        advisor.busy_until + (slack * self.slack) as Millis
    }

    /// A call of a node is under way no more.
    pub fn answered(&mut self, name: &str, now: Millis) {
        let Some(advisor) = self.by_name.get_mut(name) else { return };
        advisor.calls = advisor.calls.saturating_sub(1);
        if advisor.calls == 0 {
            advisor.busy_until = now;
        }
    }

    /// A call of a node was not answered in time.
    pub fn overdue(&mut self, name: &str, now: Millis) {
        if let Some(advisor) = self.by_name.get_mut(name) {
            advisor.avoided_until = now + AVOIDED;
        }
        self.slack = (self.slack * SLACK_GROWS).min(MOST_SLACK);
    }

    /// A call has brought advice.
    pub fn in_time(&mut self) {
        self.slack = (self.slack * SLACK_SHRINKS).max(1.0);
    }

    /// The node that answers first, of those that take such a call. With
    /// `lane`, some nodes take no long calls.
    pub fn free(&self, long: bool, lane: bool, now: Millis) -> Option<String> {
        let all = self.len();
        let kept = if long && lane { short_lane(all) } else { 0 };
        let most = if long { 1 } else { PER_ADVISOR };
        let all_avoided = self.by_name.values().all(|a| a.avoided(now));
        self.by_name
            .iter()
            .skip(kept)
            .filter(|(_, advisor)| advisor.calls < most)
            .filter(|(_, advisor)| all_avoided || !advisor.avoided(now))
            .filter(|(_, advisor)| {
                long || advisor.busy_until < now + SOON || all == 1
            })
            .min_by_key(|(_, advisor)| advisor.busy_until)
            .map(|(name, _)| name.clone())
    }
}

/// How many of so many nodes are kept free of long calls. Short calls are
/// many but take little, so that a large cell keeps a smaller part.
fn short_lane(advisors: usize) -> usize {
    match advisors {
        0 | 1 => 0,
        2 | 3 => 1,
        _ => advisors.isqrt(),
    }
}
