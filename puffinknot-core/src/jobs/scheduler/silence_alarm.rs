/*!
What is done when orders to several executors are unanswered at one time.

Connections may fall silent for good, without a reset. A hold that waits for
an end on such a connection is missed only when its time is over, and until
then the ends of an executor are not heard of. But orders that should be
answered at once are missed within a few round trips. So if several of these
are, all executors on which something runs are asked at once for an account,
beside the holds that wait.
*/

use crate::ids::Millis;
use crate::jobs::mechanism::Mechanism;
use crate::jobs::scheduler::Scheduler;

/// So many unanswered orders raise the alarm, each within [`AT_ONE_TIME`] of
/// the next. One may be lost, or its executor have crashed.
const SEVERAL: u32 = 3;
/// See [`SEVERAL`], in milliseconds.
const AT_ONE_TIME: Millis = 150;
/// The time until the next alarm, in milliseconds: while a data centre is cut
/// off, orders go unanswered again and again.
const AGAIN: Millis = 2_000;

/// What raises the alarm.
#[derive(Debug, Default)]
pub(super) struct SilenceAlarm {
    /// When an order was found unanswered last, and how many were shortly
    /// after each other.
    last: Millis,
    count: u32,
    /// No alarm is raised before.
    quiet_until: Millis,
}

impl SilenceAlarm {
    /// An order is unanswered. Returns whether that raises the alarm.
    fn unanswered(&mut self, now: Millis) -> bool {
        let again = now <= self.last + AT_ONE_TIME;
        self.count = if again { self.count + 1 } else { 1 };
        self.last = now;
        let raised = self.count >= SEVERAL && now >= self.quiet_until;
        if raised {
            self.quiet_until = now + AGAIN;
        }
        raised
    }
}

impl Scheduler {
    /// An order to an executor is unanswered.
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
