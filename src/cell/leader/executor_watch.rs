/*!
Tells the scheduler which executors the store lists.

Executors write their entries again every second or two though nothing in
them has changed. So changes are gathered for a while before the next watch,
and the scheduler is told only of entries that say something new. The store
tells a bounded number of changes at once: while there are more, nothing is
gathered, or a large cell would fall behind without end.
*/

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use puffinknot_core::ids::Millis;
use puffinknot_core::jobs::{Event, ExecutorInfo};
use tokio::time::sleep;
use tracing::warn;

use super::{Input, LeaderHandle, LeaderTerm, PAUSE};
use crate::cell::node::Shared;
use crate::cell::ports::{Item, Platform};
use crate::cell::watch_limit::WatchLimit;
use crate::clock;

/// How long one watch of the executors' entries waits. On a connection that
/// has fallen silent nothing is learnt for so long: less than the time in
/// which an executor that leaves has to be noticed. Executors write more often
/// than that, so that it costs no call.
const WATCH: Millis = 1_500;
/// How long changes are gathered before the next watch. A cell of 48
/// executors would ask 32 times a second without it, and asks five times at
/// most; a tenth of the two seconds in which an executor that leaves has to be
/// noticed.
const GATHER: Duration = Duration::from_millis(200);
/// An entry that says nothing new is told again after this time, in
/// milliseconds: the scheduler may have taken the executor for gone.
const TELL_AGAIN: Millis = 4_000;

/// What the scheduler was told.
#[derive(Default)]
struct Told {
    /// Entries by the executors' names, and when they were told.
    entries: HashMap<String, (ExecutorInfo, Millis)>,
    /// The names of executors whose entries can't be read.
    unreadable: HashSet<String>,
}

impl Told {
    /// Tells the scheduler what an entry says, unless it knows.
    fn tell<P: Platform>(
        &mut self,
        platform: &P,
        handle: &LeaderHandle,
        item: &Item,
    ) {
        let id = &item.key[platform.executors_prefix().len()..];
        let info = match platform.executor(item) {
            Ok(info) => info,
            Err(problem) => return self.misread(handle, id, &problem),
        };
        self.unreadable.remove(id);
        let now = clock::mono();
        let known = self.entries.get(&info.id);
        if known
            .is_some_and(|(same, at)| *same == info && now < at + TELL_AGAIN)
        {
            return;
        }
        self.entries.insert(info.id.clone(), (info.clone(), now));
        handle.send(Input::Event(Event::Listed(info)));
    }

    /// An entry can't be read. That is told once, until it can.
    fn misread(&mut self, handle: &LeaderHandle, id: &str, problem: &str) {
        if !self.unreadable.insert(id.to_string()) {
            return;
        }
        warn!(problem, executor = id, "entry_unreadable");
        // It is told of again once it can be read.
        self.entries.remove(id);
        let event = Event::EntryUnreadable(id.to_string());
        handle.send(Input::Event(event));
    }

    /// Tells the scheduler that an executor is no longer listed.
    fn tell_gone(&mut self, handle: &LeaderHandle, id: &str) {
        self.entries.remove(id);
        self.unreadable.remove(id);
        handle.send(Input::Event(Event::Unlisted(id.to_string())));
    }
}

impl<P: Platform> LeaderTerm<P> {
    /// Tells the scheduler which executors the store lists.
    pub(super) fn spawn_watch(&self) {
        let shared = self.shared.clone();
        let handle = self.handle.clone();
        actix_rt::spawn(async move {
            let mut told = Told::default();
            while !handle.has_ended() {
                watch_executors(&shared, &handle, &mut told).await;
                sleep(PAUSE).await;
            }
        });
    }
}

/// Reads the executors' entries and follows their changes until a call
/// fails.
async fn watch_executors<P: Platform>(
    shared: &Shared<P>,
    handle: &LeaderHandle,
    told: &mut Told,
) {
    let (platform, store) = (&shared.platform, &shared.store);
    let prefix = platform.executors_prefix();
    let mut present = HashSet::new();
    // What one page says may be used before the next is there.
    let read = store.read_pages(prefix, |items| {
        for item in items {
            present.insert(item.key[prefix.len()..].to_string());
            told.tell(&**platform, handle, &item);
        }
    });
    let Ok(mut revision) = read.await else { return };
    let known = told.entries.keys().chain(&told.unreadable);
    let gone = known.filter(|id| !present.contains(*id));
    for id in gone.cloned().collect::<Vec<_>>() {
        told.tell_gone(handle, &id);
    }
    handle.send(Input::Event(Event::EntriesRead));
    let mut backlog = WatchLimit::default();
    while !handle.has_ended() {
        let changes = store.watch(prefix, revision, WATCH).await;
        let Ok(changes) = changes else { return };
        revision = changes.revision;
        for key in &changes.removed {
            told.tell_gone(handle, &key[prefix.len()..]);
        }
        for item in &changes.written {
            told.tell(&**platform, handle, item);
        }
        let told_now = changes.removed.len() + changes.written.len();
        if backlog.observe(told_now) {
            shared.count("entries_asked_on");
        } else {
            sleep(GATHER).await;
        }
    }
}
