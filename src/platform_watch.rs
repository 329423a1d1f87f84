/*!
Background tasks that use the platform's key-value service: watching the
cell's values for changes, and keeping this VM's lease alive.

Retries use exponential backoff with jitter, so that the VMs of a cell don't
all reconnect at the same moment after an outage.
*/

use std::cell::Cell;
use std::time::Duration;

use log::{debug, warn};
use puffinknot_core::ids::{Revision, VmId};
use puffinknot_core::node::Event;
use puffinknot_core::store::{Key, Member, Value};
use rand::Rng;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::clock;
use crate::control::{Control, Input};
use crate::platform::{Lease, Platform};

/// The shortest and the longest delay before a retry, without jitter.
const BACK_OFF: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(2_000));
/// The interval between checks for changes that the watch has missed, since a
/// connection may fall silent without an error.
const WATCH_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// How long the watch may take to deliver a change that a check has found.
const WATCH_GRACE: Duration = Duration::from_millis(1_000);

/// An exponential backoff with jitter, so that VMs don't retry in step.
struct BackOff(Duration);

impl BackOff {
    fn new() -> BackOff {
        BackOff(BACK_OFF.0)
    }

    async fn wait(&mut self) {
        let jitter = rand::rng().random_range(0.5..1.0);
        sleep(self.0.mul_f64(jitter)).await;
        self.0 = (self.0 * 2).min(BACK_OFF.1);
    }
}

/// Reads all values of the cell, with retries until the platform responds,
/// and returns the revision of the read.
pub(crate) async fn read_with_retries(
    platform: &Platform,
    control: &Control,
) -> Revision {
    let mut back_off = BackOff::new();
    loop {
        let sent_at = clock::mono();
        match platform.read(0).await {
            Ok(read) => {
                for problem in &read.undecodable {
                    warn!("platform: skipped an unreadable value, {problem}.");
                }
                let (revision, stored) = (read.revision, read.stored);
                control.event(Event::Snapshot { revision, stored });
                control.send(Input::ConfigConfirmed(sent_at));
                return revision;
            }
            Err(err) => debug!("platform: {err}."),
        }
        back_off.wait().await;
    }
}

/// Reads all values, then watches for changes; starts over when the watch
/// ends.
pub(crate) async fn watch_forever(platform: Platform, control: Control) {
    loop {
        let revision = read_with_retries(&platform, &control).await;
        let reason = watch_from(&platform, &control, revision).await;
        debug!("platform: {reason}");
        BackOff::new().wait().await;
    }
}

/// Watches until the connection ends or a check finds a change that the
/// watch has missed. Returns the reason.
async fn watch_from(
    platform: &Platform,
    control: &Control,
    revision: Revision,
) -> String {
    let newest_seen = Cell::new(revision);
    let watch = platform.watch(revision + 1, |update| {
        newest_seen.set(newest_seen.get().max(update.revision));
        control.event(Event::Changed {
            revision: update.revision,
            stored: update.stored,
            deleted: update.deleted,
        });
    });
    let check = async {
        loop {
            sleep(WATCH_CHECK_INTERVAL).await;
            let sent_at = clock::mono();
            let Ok(read) = platform.read(newest_seen.get() + 1).await else {
                continue;
            };
            let changed = read.stored.iter().map(|s| s.revision).max();
            if changed.is_none_or(|changed| changed <= newest_seen.get()) {
                control.send(Input::ConfigConfirmed(sent_at));
                continue;
            }
            sleep(WATCH_GRACE).await;
            if changed.is_some_and(|changed| changed > newest_seen.get()) {
                return;
            }
        }
    };
    tokio::select! {
        ended = watch => match ended {
            Ok(()) => "the watch ended".into(),
            Err(err) => err.to_string(),
        },
        () = check => "the watch missed a change".into(),
    }
}

/// Keeps this VM's lease alive and its member entry up to date.
pub(crate) struct LeaseKeeper {
    pub(crate) platform: Platform,
    pub(crate) control: Control,
    pub(crate) ttl: u64,
    pub(crate) vm: VmId,
    pub(crate) member: Member,
}

impl LeaseKeeper {
    /// Renews the lease until the channel is closed. Each message is the new
    /// value of `draining` in the entry: whether the VM is about to stop.
    pub(crate) async fn run(
        mut self,
        mut draining_updates: mpsc::UnboundedReceiver<bool>,
    ) {
        let renewal_interval = Duration::from_millis(self.ttl * 1_000 / 3);
        let mut lease = self.acquire().await;
        loop {
            tokio::select! {
                update = draining_updates.recv() => {
                    let Some(draining) = update else { return };
                    self.member.draining = draining;
                    self.put_entry(&mut lease).await;
                }
                () = sleep(renewal_interval) => self.renew(&mut lease).await,
            }
        }
    }

    fn entry(&self) -> (Key, Value) {
        let key = Key::Member(self.member.dc.clone(), self.vm.clone());
        (key, Value::Member(self.member.clone()))
    }

    async fn acquire(&self) -> Lease {
        let (key, value) = self.entry();
        let mut back_off = BackOff::new();
        loop {
            let acquired =
                Lease::acquire(&self.platform, self.ttl, &key, &value);
            match acquired.await {
                Ok(lease) => {
                    let sent_at = lease.sent_at;
                    self.control.event(Event::Renewed { sent_at });
                    return lease;
                }
                Err(err) => debug!("lease: {err}."),
            }
            back_off.wait().await;
        }
    }

    async fn put_entry(&self, lease: &mut Lease) {
        let (key, value) = self.entry();
        if self.platform.put(&key, &value, lease.id).await.is_err() {
            // The lease may have expired, which a renewal detects. If it is
            // still valid, the entry is not written again.
            self.renew(lease).await;
        }
    }

    async fn renew(&self, lease: &mut Lease) {
        let sent_at = clock::mono();
        match self.platform.keep_alive(lease.id).await {
            Ok(true) => {
                lease.sent_at = sent_at;
                self.control.event(Event::Renewed { sent_at });
            }
            Ok(false) => {
                warn!("lease: the lease has expired; acquiring a new one.");
                self.control.event(Event::LeaseLost);
                *lease = self.acquire().await;
            }
            Err(err) => debug!("lease: {err}."),
        }
    }
}
