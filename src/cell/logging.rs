/*!
Structured logs on standard output, one JSON object per line.

Writing never blocks the event loop: lines go through a bounded queue to a
separate thread, and lines that don't fit are dropped. Each kind of line, that
is, each call site, has a budget per second, so that one kind can't crowd out
the others. Lines dropped for either reason are counted, and the counts are
logged.
*/

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use tracing::callsite::Identifier;
use tracing::{warn, Level, Metadata};
use tracing_appender::non_blocking::{
    ErrorCounter, NonBlockingBuilder, WorkerGuard,
};
use tracing_subscriber::filter::dynamic_filter_fn;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::Layer;

/// The budget of each kind of line.
pub const MAX_LINES_PER_SECOND: u32 = 400;
/// The maximum number of lines that wait to be written.
const QUEUE_LINES: usize = 4_096;
/// How often dropped lines are reported.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Counts the lines of each kind in the current second.
#[derive(Default)]
pub struct LineBudget {
    /// When the current second began.
    since: Option<Instant>,
    lines: HashMap<Identifier, u32>,
    dropped: u64,
}

impl LineBudget {
    /// Counts a line of this kind, and returns whether it may be written.
    pub fn admits(&mut self, kind: Identifier, now: Instant) -> bool {
        let second = Duration::from_secs(1);
        if self.since.is_none_or(|since| now >= since + second) {
            self.since = Some(now);
            self.lines.clear();
        }
        let lines = self.lines.entry(kind).or_default();
        *lines += 1;
        let admitted = *lines <= MAX_LINES_PER_SECOND;
        self.dropped += u64::from(!admitted);
        admitted
    }

    /// Returns how many lines were dropped since the last call.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }
}

thread_local! {
    static LINE_BUDGET: RefCell<LineBudget> = RefCell::default();
}

fn admits(metadata: &Metadata<'_>) -> bool {
    if *metadata.level() > Level::INFO {
        return false;
    }
    // A line logged during the check of another one passes unchecked.
    LINE_BUDGET.with(|budget| match budget.try_borrow_mut() {
        Ok(mut budget) => budget.admits(metadata.callsite(), Instant::now()),
        Err(_) => true,
    })
}

/// Keeps the writer thread running. Lines are lost once this is dropped.
pub struct Logs {
    _guard: WorkerGuard,
    queue_errors: ErrorCounter,
}

/// Installs the subscriber that writes lines to standard output.
pub fn init() -> Logs {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(QUEUE_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    let queue_errors = writer.error_counter();
    let lines = tracing_subscriber::fmt::layer()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_writer(writer)
        // The result must not be cached for a kind of line.
        .with_filter(
            dynamic_filter_fn(|line, _| admits(line))
                .with_max_level_hint(Level::INFO),
        );
    tracing_subscriber::registry().with(lines).init();
    Logs { _guard: guard, queue_errors }
}

impl Logs {
    /// Logs the number of dropped lines periodically. Never returns.
    pub async fn report(&self) {
        let mut reported = 0;
        loop {
            tokio::time::sleep(REPORT_INTERVAL).await;
            let over_budget =
                LINE_BUDGET.with(|b| b.borrow_mut().take_dropped());
            let queue_dropped = self.queue_errors.dropped_lines();
            if over_budget > 0 || queue_dropped > reported {
                let queue_full = queue_dropped - reported;
                reported = queue_dropped;
                warn!(
                    over_budget = over_budget,
                    queue_full = queue_full,
                    "lines_dropped"
                );
            }
        }
    }
}
