/*!
Writes of the leader to the store.

Each write is conditional on the revision of the *head*, a key that every write
changes. A write whose answer was lost can therefore be repeated: if the first
attempt took effect, the second one is refused, and the value of the head tells
which write changed it. A successor changes the head first, so that all writes
that its predecessor has in flight fail.

A write that the store declined, and that can no longer take effect, is
returned to the caller, which may have fewer changes to make by then.
*/

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use puffinknot_core::ids::Revision;
use puffinknot_core::jobs::Change;
use tracing::warn;

use crate::cell::ports::{Platform, Transaction, WriteError};
use crate::cell::store::Store;

/// The pause after the first failed write. It doubles up to `MAX_PAUSE`.
const MIN_PAUSE: Duration = Duration::from_millis(20);
/// The longest pause after a failed write.
const MAX_PAUSE: Duration = Duration::from_millis(320);

/// Why a write failed.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteFailure {
    /// Another node has led since, or the journal is closed.
    Superseded,
    /// The store declined it. Contains its changes, none of which is or will
    /// be made.
    Declined(Vec<Change>),
}

/// The journal of one leader term.
pub struct Journal<P> {
    store: Rc<Store<P>>,
    prefix: String,
    token: u64,
    sequence: Cell<u64>,
    head: Cell<Revision>,
    closed: Cell<bool>,
    /// The pause before the next attempt, zero if the last one was answered.
    pause: Cell<Duration>,
}

/// Returns the key of the head, below the prefix of the leader's keys.
pub fn head_key(prefix: &str) -> String {
    format!("{prefix}head")
}

/// Returns the value of the head after the write with this number.
pub fn head_value(token: u64, sequence: u64) -> Vec<u8> {
    format!("{token} {sequence}").into_bytes()
}

impl<P: Platform> Journal<P> {
    /// Returns the journal of a leader whose claim was written at revision
    /// `token`.
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

    /// Closes the journal: no further attempts are made.
    pub fn close(&self) {
        self.closed.set(true);
    }

    /// Returns the revision of the head.
    pub fn head(&self) -> Revision {
        self.head.get()
    }

    /// Sets the revision of the head, after a transaction outside of this
    /// journal has changed it.
    pub fn set_head(&self, revision: Revision) {
        self.head.set(revision);
    }

    /// Writes changes, and retries until it is known whether they are made. A
    /// write after one that the store declined is delayed like a retry.
    ///
    /// # Errors
    ///
    /// Fails if another node has led since, if the journal is closed, or if
    /// the store declined the write, so that none of the changes is or will be
    /// made.
    pub async fn write(
        &self,
        changes: Vec<Change>,
    ) -> Result<(), WriteFailure> {
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        let head = head_key(&self.prefix);
        let value = head_value(self.token, sequence);
        let mut transaction = self.transaction(&head, &value, changes);
        // Whether an earlier attempt may still take effect.
        let mut in_doubt = false;
        loop {
            self.wait_to_retry().await;
            if self.closed.get() {
                return Err(WriteFailure::Superseded);
            }
            transaction.expect = vec![(head.clone(), self.head.get())];
            let Some(answer) = self.attempt(&transaction).await else {
                warn!(sequence, "write_made_again");
                self.pause.set(MIN_PAUSE);
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
                    let current = items.find(|item| item.key == head);
                    let Some(current) = current else {
                        return Err(WriteFailure::Superseded);
                    };
                    if current.value == value {
                        self.head.set(current.revision);
                        return Ok(());
                    }
                    if current.revision != self.head.get() {
                        return Err(WriteFailure::Superseded);
                    }
                }
                Err(error) => {
                    warn!(?error, sequence, "write_retried");
                    let doubled = self.pause.get() * 2;
                    self.pause.set(doubled.clamp(MIN_PAUSE, MAX_PAUSE));
                    if error == WriteError::NotDone && !in_doubt {
                        let changes = self.changes_of(transaction, &head);
                        return Err(WriteFailure::Declined(changes));
                    }
                    in_doubt = true;
                }
            }
        }
    }

    /// Waits out the pause before the next attempt, or until the store is
    /// reachable again.
    async fn wait_to_retry(&self) {
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

    /// Returns the changes that a transaction was built from.
    fn changes_of(&self, transaction: Transaction, head: &str) -> Vec<Change> {
        let name = |key: String| key[self.prefix.len()..].to_string();
        let puts = transaction.put.into_iter();
        let puts = puts.filter(|(key, ..)| key != head);
        let puts =
            puts.map(|(key, value, _)| Change::Put { name: name(key), value });
        let removed = transaction.remove.into_iter();
        let removed = removed.map(|key| Change::Remove { name: name(key) });
        puts.chain(removed).collect()
    }

    /// Writes once. Returns `None` if the store becomes reachable again before
    /// it answers: an attempt from before the outage is given up.
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
