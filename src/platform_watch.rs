/*!
What a daemon does with the platform's service all the time: it follows the
changes of the cell's values, and keeps this VM's lease.

Every wait after a failure doubles, with jitter, so that the VMs of a cell
don't return all at once from an outage.
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
use crate::control::Control;
use crate::platform::{Lease, Platform};

/// The first and the longest wait before the platform is tried again.
const BACK_OFF: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(2_000));
/// How often it is checked that the watch has missed nothing.
const CHECK_WATCH: Duration = Duration::from_secs(8);
/// The watch gets this long to bring what the check has found.
const WATCH_GRACE: Duration = Duration::from_millis(1_000);

/// A wait that doubles, with jitter, so that VMs don't try in step.
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

/// Reads everything, however long it takes until the platform answers, and
/// returns the revision of the read.
pub(crate) async fn read_with_retries(
    platform: &Platform,
    control: &Control,
) -> Revision {
    let mut back_off = BackOff::new();
    loop {
        match platform.read(0).await {
            Ok(read) => {
                for problem in &read.unusable {
                    warn!("platform: passed over {problem}.");
                }
                let (revision, stored) = (read.revision, read.stored);
                control.event(Event::Snapshot { revision, stored });
                return revision;
            }
            Err(err) => debug!("platform: {err}."),
        }
        back_off.wait().await;
    }
}

/// Reads everything, then watches; begins anew when the watch ends.
pub(crate) async fn watch_forever(platform: Platform, control: Control) {
    loop {
        let revision = read_with_retries(&platform, &control).await;
        let ended = watch_from(&platform, &control, revision).await;
        debug!("platform: {ended}");
        BackOff::new().wait().await;
    }
}

/// Watches until the connection ends or is found to miss changes.
async fn watch_from(
    platform: &Platform,
    control: &Control,
    revision: Revision,
) -> String {
    let newest = Cell::new(revision);
    let watch = platform.watch(revision + 1, |seen| {
        newest.set(newest.get().max(seen.revision));
        control.event(Event::Changed {
            revision: seen.revision,
            stored: seen.stored,
            deleted: seen.deleted,
        });
    });
    let check = async {
        loop {
            sleep(CHECK_WATCH).await;
            let Ok(read) = platform.read(newest.get() + 1).await else {
                continue;
            };
            let changed = read.stored.iter().map(|s| s.revision).max();
            sleep(WATCH_GRACE).await;
            if changed.is_some_and(|changed| changed > newest.get()) {
                return;
            }
        }
    };
    tokio::select! {
        ended = watch => match ended {
            Ok(()) => "the watch has ended".into(),
            Err(err) => err.to_string(),
        },
        () = check => "the watch has missed a change".into(),
    }
}

/// Keeps this VM's lease and entry with the platform.
pub(crate) struct LeaseKeeper {
    pub(crate) platform: Platform,
    pub(crate) control: Control,
    pub(crate) ttl: u64,
    pub(crate) vm: VmId,
    pub(crate) member: Member,
}

impl LeaseKeeper {
    /// Keeps the lease for ever. A wish says whether the VM is about to
    /// stop, which its entry then tells.
    pub(crate) async fn run(
        mut self,
        mut wishes: mpsc::UnboundedReceiver<bool>,
    ) {
        let every = Duration::from_millis(self.ttl * 1_000 / 3);
        let mut lease = self.acquire().await;
        loop {
            tokio::select! {
                wish = wishes.recv() => {
                    let Some(draining) = wish else { return };
                    self.member.draining = draining;
                    self.put(&mut lease).await;
                }
                () = sleep(every) => self.renew(&mut lease).await,
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

    async fn put(&self, lease: &mut Lease) {
        let (key, value) = self.entry();
        if self.platform.put(&key, &value, lease.id).await.is_err() {
            // The lease may have lapsed; the next renewal finds out.
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
                warn!("lease: it has lapsed; taking out another.");
                self.control.event(Event::LeaseLost);
                *lease = self.acquire().await;
            }
            Err(err) => debug!("lease: {err}."),
        }
    }
}
