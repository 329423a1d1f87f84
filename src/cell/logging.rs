/*!
Structured logs on standard output: one JSON object a line.

Writing never holds up a decision: lines go through a bounded queue to a
thread of their own, and what does not fit is dropped. Each kind of line has
a budget for each second, so that one kind can't push out the others. What
was dropped for either reason is counted, and a line says so.
*/

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use tracing::callsite::Identifier;
use tracing::{warn, Level, Metadata};
use tracing_appender::non_blocking::{
    ErrorCounter, NonBlockingBuilder, WorkerGuard,
};
use tracing_subscriber::filter::filter_fn;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::Layer;

/// Lines of one kind in a second, at the most.
pub const MAX_LINES_PER_SECOND: u32 = 400;
/// Lines that wait to be written, at the most.
const QUEUE: usize = 4_096;
/// How often it is said what was dropped.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// What was let through of each kind of line in this second.
#[derive(Default)]
pub struct LineBudget {
    since: Option<Instant>,
    lines: HashMap<Identifier, u32>,
    dropped: u64,
}

impl LineBudget {
    /// Whether one more line of this kind may be written now.
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

    /// How many lines were dropped since the last time.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }
}

thread_local! {
    static LINES: RefCell<LineBudget> = RefCell::default();
}

fn admits(metadata: &Metadata<'_>) -> bool {
    if *metadata.level() > Level::INFO {
        return false;
    }
    // A line that is written while another is decided on passes.
    LINES.with(|lines| match lines.try_borrow_mut() {
        Ok(mut lines) => lines.admits(metadata.callsite(), Instant::now()),
        Err(_) => true,
    })
}

/// What must be kept for lines to be written.
pub struct Logs {
    _guard: WorkerGuard,
    queue: ErrorCounter,
}

/// Begins to write lines to standard output.
pub fn init() -> Logs {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(QUEUE)
        .lossy(true)
        .finish(std::io::stdout());
    let queue = writer.error_counter();
    let lines = tracing_subscriber::fmt::layer()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_writer(writer)
        .with_filter(filter_fn(admits).with_max_level_hint(Level::INFO));
    tracing_subscriber::registry().with(lines).init();
    Logs { _guard: guard, queue }
}

impl Logs {
    /// Says from time to time what was dropped, for ever.
    pub async fn report(&self) {
        let mut reported = 0;
        loop {
            tokio::time::sleep(REPORT_INTERVAL).await;
            let over = LINES.with(|l| l.borrow_mut().take_dropped());
            let queue = self.queue.dropped_lines();
            if over > 0 || queue > reported {
                let full = queue - reported;
                reported = queue;
                warn!(over_budget = over, queue_full = full, "lines_dropped");
            }
        }
    }
}
