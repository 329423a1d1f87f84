/*!
Calls to the store, with adaptive timeouts.

A call that is not answered in time is given up, see
[`crate::cell::call_timeout`]. A lost answer or a silent store is thus noticed
soon, while a slow store can still be used. Reading a page of a range has a
separate timeout, since it takes long on a narrow link on which other calls are
quick.
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

/// The timeout for writes, in milliseconds. The store answers within a few
/// milliseconds, a slow one within a quarter of a second. Jobs wait for a
/// write whose answer is lost, so the timeout is short.
const WRITE_TIMEOUT: TimeoutBounds =
    TimeoutBounds { min: 150, initial: 450, max: 1_000 };
/// The timeout for other calls, in milliseconds. Nobody waits for them, and a
/// call that is given up too soon makes the store look unavailable.
const READ_TIMEOUT: TimeoutBounds =
    TimeoutBounds { min: 450, initial: 450, max: 1_000 };
/// The timeout of a write is extended by the time that the link of the machine
/// needs to carry the bytes of the write this many times: they grow by a third
/// on the wire, and other data is sent at the same time.
const WRITE_SIZE_FACTOR: usize = 2;
/// A link that carries more bytes per millisecond counts as carrying this many
/// when the timeout of a write is extended.
const MAX_WRITE_BYTES_PER_MS: usize = 1_000;
/// The initial timeout for reading a page of a range, without the time that
/// the link needs. Each page has its own timeout, so that reading the entries
/// of all executors of a fleet, which takes long, is not started over.
const INITIAL_PAGE_TIMEOUT_MS: Millis = 900;
/// The maximum timeout for reading a page, without the time that the link
/// needs.
const MAX_PAGE_TIMEOUT_MS: Millis = 4_000;
/// Both page timeouts are extended by the time that the link needs for this
/// many bytes: the state that a leader with a hundred open jobs leaves to its
/// successor.
const RANGE_BYTES: u32 = 256 << 10;
/// A takeover may take this many times as long as the link needs for
/// [`RANGE_BYTES`]: values grow by a third on the wire, and the first calls of
/// other nodes and the entries of executors are transferred at the same time.
const TAKEOVER_FACTOR: Millis = 3;
/// The maximum time that is added for a takeover: if the leader falls silent,
/// there is no leader for that much longer.
const MAX_TAKEOVER_MS: Millis = 4_000;
/// A store that answers after it has answered nothing for longer than this
/// was unavailable. Less than the minimum timeout of a read, and more than the
/// time between two calls of a leader.
const MIN_OUTAGE_MS: Millis = 400;

/// The time that is allowed for a takeover on a machine whose link carries
/// this many bytes per millisecond, in milliseconds.
pub fn takeover_time(link_bytes_per_ms: u32) -> Millis {
    let range = Millis::from(RANGE_BYTES / link_bytes_per_ms.max(1));
    (range * TAKEOVER_FACTOR).min(MAX_TAKEOVER_MS)
}

/// The store of a platform.
pub struct Store<P> {
    platform: Rc<P>,
    writes: CallTimeout,
    reads: CallTimeout,
    page_timeout: Cell<Millis>,
    /// The extension of the page timeout for the link, in milliseconds.
    page_link_time: Millis,
    /// A write extends its timeout by a millisecond for this many bytes.
    write_bytes_per_ms: usize,
    /// When a call was answered last, on the monotonic clock.
    last_answered_at: Cell<Millis>,
    consecutive_failures: Cell<u32>,
    /// Notified when the store answers after it was unavailable.
    recovered: Notify,
    /// Whether `recovered` is notified.
    notifies_recovery: bool,
}

impl<P: Platform> Store<P> {
    /// Creates a store for a machine whose link carries this many bytes per
    /// millisecond.
    pub fn new(
        platform: Rc<P>,
        mechanisms: &Mechanisms,
        link_bytes_per_ms: u32,
    ) -> Store<P> {
        let adaptive = mechanisms.enabled(StorePatience);
        let adaptive_timeout = |bounds: TimeoutBounds| {
            CallTimeout::new(
                bounds.with_link_delay(link_bytes_per_ms),
                adaptive,
            )
        };
        let link = link_bytes_per_ms.max(1);
        let carried = (link as usize).min(MAX_WRITE_BYTES_PER_MS);
        let page_link_time = Millis::from(RANGE_BYTES / link);
        Store {
            platform,
            writes: adaptive_timeout(WRITE_TIMEOUT),
            reads: adaptive_timeout(READ_TIMEOUT),
            page_timeout: Cell::new(INITIAL_PAGE_TIMEOUT_MS + page_link_time),
            page_link_time,
            write_bytes_per_ms: (carried / WRITE_SIZE_FACTOR).max(1),
            last_answered_at: Cell::new(0),
            consecutive_failures: Cell::new(0),
            recovered: Notify::new(),
            notifies_recovery: mechanisms.enabled(StoreRetries),
        }
    }

    /// When a call was answered last, in milliseconds on the monotonic clock,
    /// or zero if none was.
    pub fn last_answered_at(&self) -> Millis {
        self.last_answered_at.get()
    }

    /// The number of calls in a row that had no usable answer.
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures.get()
    }

    /// Waits until the store answers after it was unavailable. Calls made
    /// before may never be answered, so it is better to repeat them.
    pub async fn wait_until_recovered(&self) {
        self.recovered.notified().await;
    }

    /// Records whether a call had a usable answer.
    fn record_call(&self, answered: bool) {
        if answered {
            let now = clock::mono();
            let failed = self.consecutive_failures.replace(0) > 0;
            let previous = self.last_answered_at.replace(now);
            if self.notifies_recovery
                && failed
                && now > previous + MIN_OUTAGE_MS
            {
                self.recovered.notify_waiters();
            }
        } else {
            self.consecutive_failures.set(self.consecutive_failures.get() + 1);
        }
    }

    /// Makes a call that writes no items. The timeout is extended by `extra`
    /// milliseconds, during which a watch may wait for changes.
    async fn read_call<T>(
        &self,
        extra: Millis,
        call: impl std::future::Future<Output = Result<T, ReadError>>,
    ) -> Result<T, ReadError> {
        let within = Duration::from_millis(self.reads.current() + extra);
        let sent_at = clock::mono();
        match timeout(within, call).await {
            Ok(answer) => {
                // A watch waits for changes, so how long it takes says nothing
                // about the round trip.
                if extra == 0 {
                    self.reads.record_answer(clock::mono() - sent_at);
                }
                let unavailable = Err(ReadError::Unavailable);
                let outcome = answer.as_ref().map(|_| ()).map_err(|e| *e);
                self.record_call(outcome != unavailable);
                answer
            }
            Err(_) => {
                self.record_call(false);
                self.reads.record_timeout();
                Err(ReadError::Unavailable)
            }
        }
    }

    /// Reads all items whose keys begin with `prefix`, page by page.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no usable answer.
    pub async fn read(&self, prefix: &str) -> Result<Listing, ReadError> {
        let mut items = Vec::new();
        let revision =
            self.read_pages(prefix, |page| items.extend(page)).await?;
        Ok(Listing { items, revision })
    }

    /// Like [`Store::read`], but passes the items of each page to `consume` as
    /// soon as they arrive. Returns the revision of the store before the first
    /// page was read.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no usable answer.
    pub async fn read_pages(
        &self,
        prefix: &str,
        mut consume: impl FnMut(Vec<Item>),
    ) -> Result<Revision, ReadError> {
        let mut first = None;
        let mut after = String::new();
        loop {
            let page = self.page(prefix, &after).await?;
            let revision = *first.get_or_insert(page.revision);
            let last = page.items.last().map(|item| item.key.clone());
            consume(page.items);
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
        let within = self.page_timeout.get();
        let call = self.platform.page(prefix, after);
        let answer = timeout(Duration::from_millis(within), call).await;
        match answer {
            Ok(Ok(page)) => {
                self.record_call(true);
                self.page_timeout
                    .set(INITIAL_PAGE_TIMEOUT_MS + self.page_link_time);
                Ok(page)
            }
            Ok(Err(error)) => {
                self.record_call(error != ReadError::Unavailable);
                Err(error)
            }
            Err(_) => {
                self.record_call(false);
                let max = MAX_PAGE_TIMEOUT_MS + self.page_link_time;
                self.page_timeout.set((within * 2).min(max));
                Err(ReadError::Unavailable)
            }
        }
    }

    /// See [`Platform::get`].
    ///
    /// # Errors
    ///
    /// Fails if the store gives no usable answer.
    pub async fn get(&self, key: &str) -> Result<Option<Item>, ReadError> {
        self.read_call(0, self.platform.get(key)).await
    }

    /// See [`Platform::watch`].
    ///
    /// # Errors
    ///
    /// Fails if the store gives no usable answer, or no longer has the
    /// history.
    pub async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Millis,
    ) -> Result<Changes, ReadError> {
        let call = self.platform.watch(prefix, after, wait);
        self.read_call(wait, call).await
    }

    /// See [`Platform::grant`].
    ///
    /// # Errors
    ///
    /// Fails if the store gives no usable answer.
    pub async fn grant(&self, ttl: Millis) -> Result<u64, ReadError> {
        self.read_call(0, self.platform.grant(ttl)).await
    }

    /// See [`Platform::renew`].
    ///
    /// # Errors
    ///
    /// Fails if the store gives no usable answer.
    pub async fn renew(&self, lease: u64) -> Result<bool, ReadError> {
        self.read_call(0, self.platform.renew(lease)).await
    }

    /// See [`Platform::revoke`].
    ///
    /// # Errors
    ///
    /// Fails if the store gives no usable answer.
    pub async fn revoke(&self, lease: u64) -> Result<(), ReadError> {
        self.read_call(0, self.platform.revoke(lease)).await
    }

    /// See [`Platform::write`].
    ///
    /// # Errors
    ///
    /// Fails if the transaction is not known to be applied.
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
                let answered = !matches!(
                    answer,
                    Err(WriteError::NotDone | WriteError::Unknown)
                );
                self.record_call(answered);
                answer
            }
            Err(_) => {
                self.record_call(false);
                self.writes.record_timeout();
                Err(WriteError::Unknown)
            }
        }
    }
}
