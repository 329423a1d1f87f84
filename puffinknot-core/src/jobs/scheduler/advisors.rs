/*!
Advisors: the nodes that call the advice service for the leader.

The service handles one call at a time from each node, in order of arrival. The
leader therefore tracks when each node's calls should be answered, and gives a
node no more calls than it can have answered soon. A node that leaves a call
overdue receives no calls for a while.
*/

use std::collections::BTreeMap;

use crate::ids::Millis;

/// The maximum number of calls in flight at one node. The second one waits in
/// the queue of the service.
const MAX_CALLS_PER_ADVISOR: usize = 2;
/// A short call goes only to a node that should be free within this time,
/// unless there is just one node.
const MAX_SHORT_CALL_WAIT: Millis = 60;
/// The fixed part of the slack: a call is overdue if its answer is later than
/// expected by more than the slack. Covers a few round trips and a time slice
/// of a busy processor.
const OVERDUE_SLACK: Millis = 200;
/// The proportional part of the slack, relative to the expected time, which is
/// only the service's own statement.
const OVERDUE_SLACK_RATIO: f64 = 0.5;
/// The factor by which the slack grows with each overdue call, since the
/// service may be slower than it states.
const SLACK_GROWTH: f64 = 2.0;
/// The factor by which the slack shrinks with each answer.
const SLACK_DECAY: f64 = 0.9;
/// The maximum slack factor. The slack then exceeds three seconds, which is
/// longer than clients wait for anything.
const MAX_SLACK_FACTOR: f64 = 16.0;
/// How long a node receives no calls after one of its calls was overdue. The
/// link to an unreachable node is closed sooner than this.
const AVOID_FOR: Millis = 1_500;

/// A node that can call the advice service.
#[derive(Clone, Debug, Default)]
struct Advisor {
    /// When all of its calls should be answered.
    busy_until: Millis,
    /// The number of its calls in flight.
    calls: usize,
    /// It receives no calls before this time.
    avoided_until: Millis,
}

impl Advisor {
    fn is_avoided(&self, now: Millis) -> bool {
        self.avoided_until > now
    }
}

/// All nodes that can call the advice service.
#[derive(Debug)]
pub(super) struct Advisors {
    by_name: BTreeMap<String, Advisor>,
    /// The factor by which the usual slack is extended, at least 1.
    slack_factor: f64,
}

impl Default for Advisors {
    fn default() -> Advisors {
        Advisors { by_name: BTreeMap::new(), slack_factor: 1.0 }
    }
}

impl Advisors {
    /// Replaces the set of nodes. Returns the nodes that are gone.
    pub fn update(&mut self, names: Vec<String>) -> Vec<String> {
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

    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// For how long the calls in flight keep the nodes busy, all together.
    pub fn busy_time(&self, now: Millis) -> Millis {
        let advisors = self.by_name.values();
        advisors.map(|advisor| advisor.busy_until.saturating_sub(now)).sum()
    }

    /// Records that a node makes a call which should take `cost` milliseconds.
    /// Returns the time from which its answer is overdue.
    pub fn start_call(
        &mut self,
        name: &str,
        cost: Millis,
        now: Millis,
    ) -> Millis {
        let advisor = self.by_name.entry(name.to_string()).or_default();
        advisor.calls += 1;
        advisor.busy_until = advisor.busy_until.max(now) + cost;
        let time = advisor.busy_until - now;
        let slack = time as f64 * OVERDUE_SLACK_RATIO + OVERDUE_SLACK as f64;
        advisor.busy_until + (slack * self.slack_factor) as Millis
    }

    /// Records that a call of a node is no longer in flight.
    pub fn call_ended(&mut self, name: &str, now: Millis) {
        let Some(advisor) = self.by_name.get_mut(name) else { return };
        advisor.calls = advisor.calls.saturating_sub(1);
        if advisor.calls == 0 {
            advisor.busy_until = now;
        }
    }

    /// Records that a call of a node was not answered in time.
    pub fn call_overdue(&mut self, name: &str, now: Millis) {
        if let Some(advisor) = self.by_name.get_mut(name) {
            advisor.avoided_until = now + AVOID_FOR;
        }
        self.slack_factor =
            (self.slack_factor * SLACK_GROWTH).min(MAX_SLACK_FACTOR);
    }

    /// Records that a call has returned advice.
    pub fn call_succeeded(&mut self) {
        self.slack_factor = (self.slack_factor * SLACK_DECAY).max(1.0);
    }

    /// Returns the node that should answer first, among those that can take
    /// such a call, or `None` if no node can. With `reserve_short_lane`, some
    /// nodes take no long calls. A node that has recently left a call overdue
    /// is skipped, unless all nodes have.
    pub fn pick(
        &self,
        long: bool,
        reserve_short_lane: bool,
        now: Millis,
    ) -> Option<String> {
        let all = self.len();
        let reserved =
            if long && reserve_short_lane { short_lane_nodes(all) } else { 0 };
        let most = if long { 1 } else { MAX_CALLS_PER_ADVISOR };
        let all_avoided = self.by_name.values().all(|a| a.is_avoided(now));
        self.by_name
            .iter()
            .skip(reserved)
            .filter(|(_, advisor)| advisor.calls < most)
            .filter(|(_, advisor)| all_avoided || !advisor.is_avoided(now))
            .filter(|(_, advisor)| {
                long || advisor.busy_until < now + MAX_SHORT_CALL_WAIT
                    || all == 1
            })
            .min_by_key(|(_, advisor)| advisor.busy_until)
            .map(|(name, _)| name.clone())
    }
}

/// Returns how many of the nodes are reserved for short calls. Short calls are
/// many but cheap, so a large cell reserves a smaller fraction.
fn short_lane_nodes(advisors: usize) -> usize {
    match advisors {
        0 | 1 => 0,
        2 | 3 => 1,
        _ => advisors.isqrt(),
    }
}
