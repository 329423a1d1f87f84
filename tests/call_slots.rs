//! The limit on open calls to one executor. The calls are channels, so that
//! each test decides when a call is answered.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use puffinknot::cell::call_slots::{
    CallEnd, CallLimits, CallSlots, Priority, MAX_CALLS,
};
use tokio::sync::oneshot;
use tokio::task::{yield_now, JoinHandle};

const ADDRESS: &str = "executor:1";
/// Longer than any test takes.
const NEVER_MS: u64 = 600_000;
const PATIENT: CallLimits = CallLimits { wait: NEVER_MS, late: NEVER_MS };

/// Calls to one executor, by number.
#[derive(Default)]
struct Calls {
    slots: Rc<CallSlots>,
    /// The calls that were sent, in order.
    sent: Rc<RefCell<Vec<u32>>>,
    /// Answers a call.
    answers: BTreeMap<u32, oneshot::Sender<()>>,
    ends: BTreeMap<u32, JoinHandle<CallEnd<()>>>,
}

impl Calls {
    async fn begin(&mut self, number: u32, order: Priority, l: CallLimits) {
        let (answer, answered) = oneshot::channel();
        self.answers.insert(number, answer);
        let (slots, sent) = (self.slots.clone(), self.sent.clone());
        let end = actix_rt::spawn(async move {
            let call = async {
                sent.borrow_mut().push(number);
                // A dropped sender is an answer, too.
                let _ = answered.await;
            };
            slots.call(ADDRESS, order, l, call).await
        });
        self.ends.insert(number, end);
        settle().await;
    }

    async fn answer(&mut self, number: u32) {
        self.answers.remove(&number);
        settle().await;
    }

    async fn end(&mut self, number: u32) -> CallEnd<()> {
        self.ends.remove(&number).expect("a call").await.expect("no panic")
    }

    fn sent(&self) -> Vec<u32> {
        self.sent.borrow().clone()
    }
}

/// Lets all tasks run that can.
async fn settle() {
    for _ in 0..50 {
        yield_now().await;
    }
}

fn numbers() -> Vec<u32> {
    (0..MAX_CALLS as u32).collect()
}

/// Guards against a node that opens as many connections to an executor as it
/// has orders for it.
#[test]
fn calls_beyond_the_limit_wait_for_a_slot() {
    actix_rt::System::new().block_on(async {
        let mut calls = Calls::default();
        for number in numbers() {
            calls.begin(number, Priority::Start, PATIENT).await;
        }
        calls.begin(10, Priority::Start, PATIENT).await;
        calls.begin(11, Priority::Start, PATIENT).await;
        assert_eq!(calls.sent(), numbers());
        calls.answer(1).await;
        assert_eq!(calls.end(1).await, CallEnd::Completed(()));
        assert_eq!(calls.sent().last(), Some(&10));
        calls.answer(10).await;
        assert_eq!(calls.sent().last(), Some(&11));
    });
}

/// Guards against renewals and stops that wait behind a burst of starts.
#[test]
fn waiting_calls_are_sent_by_priority_and_age() {
    actix_rt::System::new().block_on(async {
        let mut calls = Calls::default();
        for number in numbers() {
            calls.begin(number, Priority::Start, PATIENT).await;
        }
        calls.begin(10, Priority::Start, PATIENT).await;
        calls.begin(11, Priority::Throttle, PATIENT).await;
        calls.begin(12, Priority::Stop, PATIENT).await;
        calls.begin(13, Priority::Renewal, PATIENT).await;
        calls.begin(14, Priority::Stop, PATIENT).await;
        calls.answer(0).await;
        for number in [13, 12, 14, 11] {
            calls.answer(number).await;
        }
        assert_eq!(calls.sent()[MAX_CALLS..], [13, 12, 14, 11, 10]);
    });
}

/// Guards against unanswered calls that keep others from being sent.
#[test]
fn a_late_call_makes_room_for_one_that_waits() {
    actix_rt::System::new().block_on(async {
        let mut calls = Calls::default();
        calls.begin(0, Priority::Start, PATIENT).await;
        let late = CallLimits { wait: NEVER_MS, late: 0 };
        calls.begin(1, Priority::Renewal, late).await;
        calls.begin(2, Priority::Start, late).await;
        assert_eq!(calls.sent(), numbers(), "late calls go on alone");
        calls.begin(10, Priority::Start, PATIENT).await;
        assert_eq!(calls.end(1).await, CallEnd::Abandoned);
        calls.begin(11, Priority::Start, PATIENT).await;
        assert_eq!(calls.end(2).await, CallEnd::Abandoned);
        assert_eq!(calls.sent()[MAX_CALLS..], [10, 11]);
        // The one that is not late stays.
        calls.begin(12, Priority::Start, PATIENT).await;
        calls.answer(0).await;
        assert_eq!(calls.end(0).await, CallEnd::Completed(()));
        assert_eq!(calls.sent().last(), Some(&12));
    });
}

#[test]
fn a_call_is_not_sent_after_its_wait() {
    actix_rt::System::new().block_on(async {
        let mut calls = Calls::default();
        for number in numbers() {
            calls.begin(number, Priority::Start, PATIENT).await;
        }
        let impatient = CallLimits { wait: 0, late: NEVER_MS };
        calls.begin(10, Priority::Renewal, impatient).await;
        assert_eq!(calls.end(10).await, CallEnd::NotSent);
        calls.answer(0).await;
        assert_eq!(calls.sent(), numbers());
    });
}

#[test]
fn executors_do_not_share_slots() {
    actix_rt::System::new().block_on(async {
        let mut calls = Calls::default();
        for number in numbers() {
            calls.begin(number, Priority::Start, PATIENT).await;
        }
        let other =
            calls
                .slots
                .call("executor:2", Priority::Start, PATIENT, async { 7 });
        assert_eq!(other.await, CallEnd::Completed(7));
    });
}
