/*!
Watches the executors' entries in the store.

Executors rewrite their entries every second or two even if nothing in them has
changed. Changes are therefore batched for a while before the next watch, and
only entries that differ are passed to the scheduler. The store returns a
limited number of changes at once: while there are more, there is no pause for
batching, or the watch of a large cell would lag further and further.
*/

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use puffinknot_core::ids::Millis;
use puffinknot_core::jobs::{Event, ExecutorInfo};
use tokio::time::sleep;
use tracing::warn;

use super::{Input, LeaderHandle, LeaderTerm, RETRY_PAUSE};
use crate::cell::node::NodeState;
use crate::cell::ports::{Item, Platform};
use crate::cell::watch_limit::WatchLimit;
use crate::clock;

/// How long one watch of the executors' entries waits. This is also how long a
/// silent connection goes unnoticed, and has to be less than the time in which
/// a departing executor must be noticed. Executors write more often than this,
/// so that the limit costs no additional calls.
const WATCH_TIMEOUT: Millis = 1_500;
/// How long changes are batched before the next watch. This limits the calls
/// to five a second; without it, a cell of 48 executors makes 32. It is a
/// tenth of the two seconds in which a departing executor must be noticed.
const BATCH_PAUSE: Duration = Duration::from_millis(200);
/// An unchanged entry is passed to the scheduler again after this time, since
/// the scheduler may have considered the executor gone.
const REPEAT_AFTER: Millis = 4_000;
/// The most unreadable entries that are logged in one term. Other writers may
/// leave any number of them.
const MAX_UNREADABLE_LINES: usize = 20;
/// The most characters of a problem that are logged. It may quote the entry.
const MAX_PROBLEM_CHARS: usize = 200;

/// The entries as last passed to the scheduler.
#[derive(Default)]
struct ReportedEntries {
    /// The entries by executor name, and when each was passed on.
    entries: HashMap<String, (ExecutorInfo, Millis)>,
    /// The names of executors whose entries are unreadable.
    unreadable: HashSet<String>,
    /// The number of unreadable entries that were logged.
    unreadable_lines: usize,
}

/// The name of the executor whose entry has this key.
fn entry_id<'a, P: Platform>(platform: &P, key: &'a str) -> &'a str {
    key.strip_prefix(platform.executors_prefix()).unwrap_or(key)
}

impl ReportedEntries {
    /// Passes an entry to the scheduler, unless it is unchanged and was passed
    /// on lately.
    fn report_entry<P: Platform>(
        &mut self,
        platform: &P,
        handle: &LeaderHandle,
        item: &Item,
    ) {
        let id = entry_id(platform, &item.key);
        let info = match platform.executor(item) {
            Ok(info) => info,
            Err(problem) => {
                return self.report_unreadable(handle, id, &problem)
            }
        };
        self.unreadable.remove(id);
        let now = clock::mono();
        let known = self.entries.get(&info.id);
        if known
            .is_some_and(|(same, at)| *same == info && now < at + REPEAT_AFTER)
        {
            return;
        }
        self.entries.insert(info.id.clone(), (info.clone(), now));
        handle.send(Input::Event(Event::Listed(info)));
    }

    /// Reports an unreadable entry, once until the entry is readable again.
    fn report_unreadable(
        &mut self,
        handle: &LeaderHandle,
        id: &str,
        problem: &str,
    ) {
        if !self.unreadable.insert(id.to_string()) {
            return;
        }
        self.log_unreadable(id, problem);
        // The entry is passed on as soon as it is readable again.
        self.entries.remove(id);
        let event = Event::EntryUnreadable(id.to_string());
        handle.send(Input::Event(event));
    }

    fn log_unreadable(&mut self, id: &str, problem: &str) {
        self.unreadable_lines += 1;
        if self.unreadable_lines > MAX_UNREADABLE_LINES {
            return;
        }
        let problem: String =
            problem.chars().take(MAX_PROBLEM_CHARS).collect();
        warn!(problem, executor = id, "entry_unreadable");
        if self.unreadable_lines == MAX_UNREADABLE_LINES {
            warn!("further_unreadable_entries_not_logged");
        }
    }

    /// Reports that an executor is no longer listed.
    fn report_gone(&mut self, handle: &LeaderHandle, id: &str) {
        self.entries.remove(id);
        self.unreadable.remove(id);
        handle.send(Input::Event(Event::Unlisted(id.to_string())));
    }
}

impl<P: Platform> LeaderTerm<P> {
    /// Reports the executors that the store lists for as long as the term
    /// lasts.
    pub(super) fn spawn_executor_watch(&self) {
        let shared = self.shared.clone();
        let handle = self.handle.clone();
        actix_rt::spawn(async move {
            let mut reported = ReportedEntries::default();
            while !handle.has_ended() {
                watch_executors(&shared, &handle, &mut reported).await;
                sleep(RETRY_PAUSE).await;
            }
        });
    }
}

/// Reads the executors' entries and watches their changes until a call fails.
async fn watch_executors<P: Platform>(
    shared: &NodeState<P>,
    handle: &LeaderHandle,
    reported: &mut ReportedEntries,
) {
    let (platform, store) = (&shared.platform, &shared.store);
    let prefix = platform.executors_prefix();
    let mut present = HashSet::new();
    // Each page is passed on before the next one is read.
    let read = store.read_pages(prefix, |items| {
        for item in items {
            present.insert(entry_id(&**platform, &item.key).to_string());
            reported.report_entry(&**platform, handle, &item);
        }
    });
    let Ok(mut revision) = read.await else { return };
    let known = reported.entries.keys().chain(&reported.unreadable);
    let gone = known.filter(|id| !present.contains(*id));
    for id in gone.cloned().collect::<Vec<_>>() {
        reported.report_gone(handle, &id);
    }
    handle.send(Input::Event(Event::EntriesRead));
    let mut limit = WatchLimit::default();
    while !handle.has_ended() {
        let changes = store.watch(prefix, revision, WATCH_TIMEOUT).await;
        let Ok(changes) = changes else { return };
        revision = changes.revision;
        for key in &changes.removed {
            reported.report_gone(handle, entry_id(&**platform, key));
        }
        for item in &changes.written {
            reported.report_entry(&**platform, handle, item);
        }
        let changed = changes.removed.len() + changes.written.len();
        if limit.observe(changed) {
            shared.count("entries_asked_on");
        } else {
            sleep(BATCH_PAUSE).await;
        }
    }
}
