/*!
The store, with as much patience as it needs.

A call that is not answered in time is given up, see [`crate::cell::call_timeout`].
So an answer that is lost, or a silent store, is noticed soon, and a slow store
is still used. Reading a page of a range has a time of its own: on a small
link it takes long while other calls are quick.
*/

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use puffinknot_core::ids::{Millis, Revision};
use puffinknot_core::jobs::mechanism::Mechanism::{
    StorePatience, StoreRetries,
};
use puffinknot_core::jobs::Mechanisms;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::cell::call_timeout::{CallTimeout, TimeoutBounds};
use crate::cell::ports::{
    Changes, Item, Listing, Page, Platform, ReadError, Transaction, WriteError,
};
use crate::clock;

/// The time for a write. The store answers in some milliseconds, a slow one in
/// a quarter of a second; jobs wait for a write whose answer is lost.
const WRITES: TimeoutBounds =
    TimeoutBounds { min: 150, initial: 450, max: 1_000 };
/// The time for other calls. Nobody waits for them, and one that is given up
/// too soon makes the store seem away.
const READS: TimeoutBounds =
    TimeoutBounds { min: 450, initial: 450, max: 1_000 };
/// A large write may take longer by what the machine's link needs for this
/// many times its bytes: they grow by a third on the wire, and others are sent
/// beside it.
const WRITE_TIMES: usize = 2;
/// A large write takes as long as if the link carried no more bytes a
/// millisecond than this.
const MOST_BYTES_PER_MS: usize = 1_000;
/// The time for reading a page of a range at first, on a link that takes no
/// time. A range takes as many times as it has pages: what all executors of a
/// fleet have written takes long, and is not begun anew for that.
const FIRST_RANGE: Millis = 900;
/// The most time for reading a page, on such a link.
const LAST_RANGE: Millis = 4_000;
/// What the link needs for so many bytes is added to both: what a leader
/// leaves to its successor with a hundred jobs open.
const RANGE_BYTES: u32 = 256 << 10;
/// A takeover may take so many times what the link needs for that: values grow
/// by a third on the wire, and the first calls of other nodes and the entries
/// of executors come beside them.
const TAKEOVER_TIMES: Millis = 3;
/// No takeover is waited for longer than this beyond the usual, in
/// milliseconds: the lead stays vacant for so long if its holder falls silent.
const LONGEST_TAKEOVER: Millis = 4_000;
/// A store that has answered nothing for so long, in milliseconds, and then
/// answers, was away. Less than the least patience with a call, more than
/// what passes between two calls of a leader.
const AWAY: Millis = 400;

/// How long a takeover may take by what the link of a machine carries, in
/// milliseconds.
pub fn takeover_time(link_bytes_per_ms: u32) -> Millis {
    let range = Millis::from(RANGE_BYTES / link_bytes_per_ms.max(1));
    (range * TAKEOVER_TIMES).min(LONGEST_TAKEOVER)
}

/// The store of a platform.
pub struct Store<P> {
    platform: Rc<P>,
    writes: CallTimeout,
    reads: CallTimeout,
    range_within: Cell<Millis>,
    /// What the link adds to the time for a page.
    range_extra: Millis,
    /// What the link carries for a write, in bytes a millisecond.
    write_bytes_per_ms: usize,
    /// When a call was answered last.
    answered: Cell<Millis>,
    /// Calls in a row without a usable answer.
    failures: Cell<u32>,
    /// Told when the store answers after it was away.
    regained: Notify,
    /// Whether anybody is to be told.
    tells_regained: bool,
}

impl<P: Platform> Store<P> {
    /// The store of this platform, behind a link that carries so many bytes
    /// a millisecond.
    pub fn new(
        platform: Rc<P>,
        without: &Mechanisms,
        link_bytes_per_ms: u32,
    ) -> Store<P> {
        let follows = without.enabled(StorePatience);
        let patience = |bounds: TimeoutBounds| {
            CallTimeout::new(
                bounds.with_link_delay(link_bytes_per_ms),
                follows,
            )
        };
        let link = link_bytes_per_ms.max(1);
        let carried = (link as usize).min(MOST_BYTES_PER_MS);
        let range_extra = Millis::from(RANGE_BYTES / link);
        Store {
            platform,
            writes: patience(WRITES),
            reads: patience(READS),
            range_within: Cell::new(FIRST_RANGE + range_extra),
            range_extra,
            write_bytes_per_ms: (carried / WRITE_TIMES).max(1),
            answered: Cell::new(0),
            failures: Cell::new(0),
            regained: Notify::new(),
            tells_regained: without.enabled(StoreRetries),
        }
    }

    /// When a call was answered last, on the monotonic clock.
    pub fn answered(&self) -> Millis {
        self.answered.get()
    }

    /// How many calls in a row have had no usable answer.
    pub fn failures(&self) -> u32 {
        self.failures.get()
    }

    /// Waits until the store answers after it was away. A call that was
    /// made before may never be answered; it is better made again.
    pub async fn regained(&self) {
        self.regained.notified().await;
    }

    fn note(&self, answered: bool) {
        if answered {
            let now = clock::mono();
            let failed = self.failures.replace(0) > 0;
            let before = self.answered.replace(now);
            if self.tells_regained && failed && now > before + AWAY {
                self.regained.notify_waiters();
            }
        } else {
            self.failures.set(self.failures.get() + 1);
        }
    }

    async fn reading<T>(
        &self,
        extra: Millis,
        call: impl std::future::Future<Output = Result<T, ReadError>>,
    ) -> Result<T, ReadError> {
        let within = Duration::from_millis(self.reads.current() + extra);
        let sent_at = clock::mono();
        match timeout(within, call).await {
            Ok(answer) => {
                // A watch is answered when something happens.
                if extra == 0 {
                    self.reads.record_answer(clock::mono() - sent_at);
                }
                let unavailable = Err(ReadError::Unavailable);
                let heard = answer.as_ref().map(|_| ()).map_err(|e| *e);
                self.note(heard != unavailable);
                answer
            }
            Err(_) => {
                self.note(false);
                self.reads.record_timeout();
                Err(ReadError::Unavailable)
            }
        }
    }

    /// Reads all items whose keys begin with `prefix`, page by page.
    ///
    /// # Errors
    ///
    /// If there is no usable answer.
    pub async fn read(&self, prefix: &str) -> Result<Listing, ReadError> {
        let mut items = Vec::new();
        let revision =
            self.read_pages(prefix, |page| items.extend(page)).await?;
        Ok(Listing { items, revision })
    }

    /// The same, but gives each page to `take` as soon as it is there. Returns
    /// the store's revision before the first was read.
    ///
    /// # Errors
    ///
    /// If there is no usable answer.
    pub async fn read_pages(
        &self,
        prefix: &str,
        mut take: impl FnMut(Vec<Item>),
    ) -> Result<Revision, ReadError> {
        let mut first = None;
        let mut after = String::new();
        loop {
            let page = self.page(prefix, &after).await?;
            let revision = *first.get_or_insert(page.revision);
            let last = page.items.last().map(|item| item.key.clone());
            take(page.items);
            match last {
                Some(last) if page.more => after = last,
                _ => return Ok(revision),
            }
        }
    }

    async fn page(
        &self,
        prefix: &str,
        after: &str,
    ) -> Result<Page, ReadError> {
        let within = self.range_within.get();
        let call = self.platform.page(prefix, after);
        let answer = timeout(Duration::from_millis(within), call).await;
        match answer {
            Ok(Ok(page)) => {
                self.note(true);
                self.range_within.set(FIRST_RANGE + self.range_extra);
                Ok(page)
            }
            Ok(Err(error)) => {
                self.note(error != ReadError::Unavailable);
                Err(error)
            }
            Err(_) => {
                self.note(false);
                let most = LAST_RANGE + self.range_extra;
                self.range_within.set((within * 2).min(most));
                Err(ReadError::Unavailable)
            }
        }
    }

    /// See [`Platform::get`].
    ///
    /// # Errors
    ///
    /// If there is no usable answer.
    pub async fn get(&self, key: &str) -> Result<Option<Item>, ReadError> {
        self.reading(0, self.platform.get(key)).await
    }

    /// See [`Platform::watch`].
    ///
    /// # Errors
    ///
    /// If there is no usable answer, or history is gone.
    pub async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Millis,
    ) -> Result<Changes, ReadError> {
        let call = self.platform.watch(prefix, after, wait);
        self.reading(wait, call).await
    }

    /// See [`Platform::grant`].
    ///
    /// # Errors
    ///
    /// If there is no usable answer.
    pub async fn grant(&self, ttl: Millis) -> Result<u64, ReadError> {
        self.reading(0, self.platform.grant(ttl)).await
    }

    /// See [`Platform::renew`].
    ///
    /// # Errors
    ///
    /// If there is no usable answer.
    pub async fn renew(&self, lease: u64) -> Result<bool, ReadError> {
        self.reading(0, self.platform.renew(lease)).await
    }

    /// See [`Platform::end`].
    ///
    /// # Errors
    ///
    /// If there is no usable answer.
    pub async fn end(&self, lease: u64) -> Result<(), ReadError> {
        self.reading(0, self.platform.end(lease)).await
    }

    /// See [`Platform::write`].
    ///
    /// # Errors
    ///
    /// If the changes are not known to be made.
    pub async fn write(
        &self,
        transaction: &Transaction,
    ) -> Result<Revision, WriteError> {
        let values = transaction.put.iter().map(|(_, value, _)| value.len());
        let bytes: usize = values.sum();
        let extra = (bytes / self.write_bytes_per_ms) as Millis;
        let within = Duration::from_millis(self.writes.current() + extra);
        let sent_at = clock::mono();
        let call = self.platform.write(transaction);
        match timeout(within, call).await {
            Ok(answer) => {
                self.writes.record_answer(clock::mono() - sent_at);
                let heard = !matches!(
                    answer,
                    Err(WriteError::NotDone | WriteError::Unknown)
                );
                self.note(heard);
                answer
            }
            Err(_) => {
                self.note(false);
                self.writes.record_timeout();
                Err(WriteError::Unknown)
            }
        }
    }
}
