/*!
Detection of connections that stop responding without a reset.

A lease renewal waits at the executor for the end of a run. If its connection
stops responding, that shows only when the renewal times out, and until then
the ends of runs there go unreported. Other orders are answered at once, so a
missing answer shows within a few round trips. When several such orders go
unanswered in quick succession, the leader requests a report from every
executor that has runs, in addition to the pending renewals.
*/

use crate::ids::Millis;
use crate::jobs::mechanism::Mechanism;
use crate::jobs::scheduler::Scheduler;

/// The number of unanswered orders that raises the alarm, each at most
/// [`MAX_GAP`] after the one before. A single order may be lost, or its
/// executor may have crashed.
const MIN_UNANSWERED: u32 = 3;
/// The longest time between two unanswered orders of one series.
const MAX_GAP: Millis = 150;
/// The least time between two alarms. While a data centre is cut off, orders
/// go unanswered repeatedly.
const MIN_ALARM_INTERVAL: Millis = 2_000;

/// Counts unanswered orders and raises the alarm.
#[derive(Debug, Default)]
pub(super) struct SilenceAlarm {
    /// When an order was last found unanswered.
    last: Millis,
    /// The number of unanswered orders in the current series.
    count: u32,
    /// Until when no alarm is raised.
    quiet_until: Millis,
}

impl SilenceAlarm {
    /// Records an unanswered order. Returns whether it raises the alarm.
    fn unanswered(&mut self, now: Millis) -> bool {
        let same_series = now <= self.last + MAX_GAP;
        self.count = if same_series { self.count + 1 } else { 1 };
        self.last = now;
        let raised = self.count >= MIN_UNANSWERED && now >= self.quiet_until;
        if raised {
            self.quiet_until = now + MIN_ALARM_INTERVAL;
        }
        raised
    }
}

impl Scheduler {
    /// Records an unanswered order to an executor. On an alarm, probes all
    /// executors that have runs.
    pub(super) fn order_unanswered(&mut self, now: Millis) {
        if !self.is_enabled(Mechanism::SilenceAlarm)
            || !self.silence_alarm.unanswered(now)
        {
            return;
        }
        self.count("silence_alarms");
        for (index, executor) in self.executors.iter_mut() {
            if !executor.runs.is_empty() {
                executor.probe = true;
                self.renewal_queue.enqueue(*index);
            }
        }
    }
}
