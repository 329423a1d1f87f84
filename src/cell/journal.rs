/*!
The leader's writes.

Each is made under the condition that the *head*, a key that every write
changes, is where the last one left it. So a write whose answer was lost can
be made again: if the first one took effect after all, the second is refused,
and the head says by whom it was changed. A successor changes the head first,
so that whatever its predecessor still has under way fails.

A write that the store has declined, and that cannot take effect any more, goes
back to whoever wants it, who may want less of it by now.
*/

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use puffinknot_core::ids::Revision;
use puffinknot_core::jobs::Change;
use tracing::warn;

use crate::cell::ports::{Platform, Transaction, WriteError};
use crate::cell::store::Store;

/// The first pause after a write that failed; it doubles up to the last.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
/// The longest pause after a write that failed.
const LAST_PAUSE: Duration = Duration::from_millis(320);

/// Why a write was not made.
#[derive(Clone, Debug, PartialEq)]
pub enum Unwritten {
    /// Somebody else has led since, or the journal is closed.
    Superseded,
    /// The store has declined it. These are its changes; nothing of them is
    /// done or will be.
    Declined(Vec<Change>),
}

/// The journal of one tenure.
pub struct Journal<P> {
    store: Rc<Store<P>>,
    prefix: String,
    token: u64,
    sequence: Cell<u64>,
    head: Cell<Revision>,
    closed: Cell<bool>,
    /// The pause before the next attempt; none if the last one was answered.
    pause: Cell<Duration>,
}

/// The key of the head below the leader's keys.
pub fn head_key(prefix: &str) -> String {
    format!("{prefix}head")
}

/// The value of the head after the write with this number.
pub fn head_value(token: u64, sequence: u64) -> Vec<u8> {
    format!("{token} {sequence}").into_bytes()
}

impl<P: Platform> Journal<P> {
    /// The journal of a leader whose claim was written at `token`.
    pub fn new(store: Rc<Store<P>>, prefix: &str, token: u64) -> Journal<P> {
        Journal {
            store,
            prefix: prefix.to_string(),
            token,
            sequence: Cell::new(0),
            head: Cell::new(token),
            closed: Cell::new(false),
            pause: Cell::new(Duration::ZERO),
        }
    }

    /// Makes no more attempts.
    pub fn close(&self) {
        self.closed.set(true);
    }

    /// The revision of the head.
    pub fn head(&self) -> Revision {
        self.head.get()
    }

    /// Takes over the revision that a transaction outside this journal has
    /// given the head.
    pub fn set_head(&self, revision: Revision) {
        self.head.set(revision);
    }

    /// Writes changes, trying until it is known whether they are made. After
    /// a write that the store has declined, waits for as long as after an
    /// attempt that failed.
    ///
    /// # Errors
    ///
    /// If somebody else has led since, or the journal is closed, or nothing of
    /// it is done or will be.
    pub async fn write(&self, changes: Vec<Change>) -> Result<(), Unwritten> {
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        let head = head_key(&self.prefix);
        let value = head_value(self.token, sequence);
        let mut transaction = self.transaction(&head, &value, changes);
        // Whether an attempt may still take effect.
        let mut in_doubt = false;
        loop {
            self.wait_out().await;
            if self.closed.get() {
                return Err(Unwritten::Superseded);
            }
            transaction.expect = vec![(head.clone(), self.head.get())];
            let Some(answer) = self.attempt(&transaction).await else {
                warn!(sequence, "write_made_again");
                self.pause.set(FIRST_PAUSE);
                in_doubt = true;
                continue;
            };
            match answer {
                Ok(revision) => {
                    self.pause.set(Duration::ZERO);
                    self.head.set(revision);
                    return Ok(());
                }
                Err(WriteError::Refused(items)) => {
                    self.pause.set(Duration::ZERO);
                    let mut items = items.into_iter();
                    let now = items.find(|item| item.key == head);
                    let Some(now) = now else {
                        return Err(Unwritten::Superseded);
                    };
                    if now.value == value {
                        self.head.set(now.revision);
                        return Ok(());
                    }
                    if now.revision != self.head.get() {
                        return Err(Unwritten::Superseded);
                    }
                }
                Err(error) => {
                    warn!(?error, sequence, "write_retried");
                    let longer = self.pause.get() * 2;
                    self.pause.set(longer.clamp(FIRST_PAUSE, LAST_PAUSE));
                    if error == WriteError::NotDone && !in_doubt {
                        let changes = self.changes(transaction, &head);
                        return Err(Unwritten::Declined(changes));
                    }
                    in_doubt = true;
                }
            }
        }
    }

    /// Waits until the next attempt may be made: after a pause, or once the
    /// store is back.
    async fn wait_out(&self) {
        let pause = self.pause.get();
        if pause.is_zero() {
            return;
        }
        let regained = self.store.wait_until_recovered();
        if tokio::time::timeout(pause, regained).await.is_ok() {
            self.pause.set(Duration::ZERO);
        }
    }

    fn transaction(
        &self,
        head: &str,
        value: &[u8],
        changes: Vec<Change>,
    ) -> Transaction {
        let mut transaction = Transaction::default();
        transaction.put.push((head.to_string(), value.to_vec(), 0));
        for change in changes {
            match change {
                Change::Put { name, value } => {
                    let key = format!("{}{name}", self.prefix);
                    transaction.put.push((key, value, 0));
                }
                Change::Remove { name } => {
                    let key = format!("{}{name}", self.prefix);
                    transaction.remove.push(key);
                }
            }
        }
        transaction
    }

    /// The changes that a transaction was made of.
    fn changes(&self, transaction: Transaction, head: &str) -> Vec<Change> {
        let name = |key: String| key[self.prefix.len()..].to_string();
        let puts = transaction.put.into_iter();
        let puts = puts.filter(|(key, ..)| key != head);
        let puts =
            puts.map(|(key, value, _)| Change::Put { name: name(key), value });
        let removed = transaction.remove.into_iter();
        let removed = removed.map(|key| Change::Remove { name: name(key) });
        puts.chain(removed).collect()
    }

    /// Writes once. An attempt that was made before the store went away is
    /// given up, with no answer, when the store is back.
    async fn attempt(
        &self,
        transaction: &Transaction,
    ) -> Option<Result<Revision, WriteError>> {
        tokio::select! {
            biased;
            answer = self.store.write(transaction) => Some(answer),
            () = self.store.wait_until_recovered() => None,
        }
    }
}
