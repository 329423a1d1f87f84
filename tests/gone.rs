//! Tests that guard against running a task on two workers at once because a
//! live worker is considered gone or its lease expired, and against reusing
//! the slot of a call that still runs.

use puffinknot_core::config::{Config, Resources};
use puffinknot_core::contract::Scope;
use puffinknot_core::ids::{Epoch, TargetId, TaskId, VmId};
use puffinknot_core::node::{Event, ListedTarget};
use puffinknot_core::tasks::{
    Placer, PlacerConfig, Progress, SyncReply, SyncRequest, WorkerInfo,
};
use puffinknot_core::term::Term;
use puffinknot_standin::worker::WorkerState;

use crate::cell::{Cell, Message};

const FILE: &str = include_str!("../testdata/fuzz.toml");
const DC: &str = "goya";
/// The lease of a worker, in milliseconds.
const LEASE: u64 = 10_000;

fn config() -> Config {
    Config::parse(FILE).expect("a file in order")
}

fn worker(n: usize) -> TargetId {
    TargetId(format!("w{n}"))
}

fn placer(number: u64, confirmed: bool, targets: &[TargetId]) -> Placer {
    let epoch = Epoch { number, holder: VmId(format!("vm{number}")) };
    let unseen = targets.iter().cloned().collect();
    let term = Term::new(epoch, 1, confirmed, unseen);
    let old = config();
    let mut placer = Placer::new(
        PlacerConfig::default(),
        DC.into(),
        term,
        Some(&old),
        Progress::default(),
    );
    placer.apply_config(&old);
    for target in targets {
        placer.add_worker(1, target);
    }
    placer
}

fn sync_for(
    syncs: Vec<(TargetId, SyncRequest)>,
    target: &TargetId,
) -> Option<SyncRequest> {
    syncs.into_iter().find(|(at, _)| at == target).map(|(_, sync)| sync)
}

/// Advances a worker to `now` and returns its reply.
fn answer(state: &mut WorkerState, now: u64, sync: &SyncRequest) -> SyncReply {
    state.tick(now);
    state.sync(now, sync).expect("an epoch that is not refused")
}

/// Guards against running tasks on two workers after a takeover during a
/// platform outage. A VM claims the contract without the platform. One worker,
/// which runs tasks under the former holder's lease, answers it once and then
/// becomes unreachable. The VM has granted no lease, since it has not reached
/// the other worker. When the platform confirms the claim, the expiry of the
/// lease that was never granted is zero and must not count as passed.
#[test]
fn a_lease_of_a_former_holder_has_not_lapsed_before_its_time() {
    let both = [worker(0), worker(1)];
    let info = WorkerInfo {
        capacity: Resources {
            cpu_millis: 8_000,
            memory_mb: 32_000,
            accelerators: 0,
        },
        rack: "rack".into(),
        leaving: false,
    };
    let mut states = [WorkerState::new(info.clone()), WorkerState::new(info)];
    // The former holder runs all tasks on one worker.
    let mut former = placer(1, true, &both[..1]);
    let mut now = 1_000;
    for _ in 0..20 {
        if let Some(sync) = sync_for(former.step(now), &both[0]) {
            let reply = answer(&mut states[0], now, &sync);
            former.sync_replied(now, &both[0], reply);
        }
        now += 100;
    }
    let ran: Vec<TaskId> = states[0].running().cloned().collect();
    assert!(!ran.is_empty());
    // Another VM claims the contract without the platform. One worker
    // answers, once.
    let mut successor = placer(2, false, &both);
    let sync = sync_for(successor.step(now), &both[0]).expect("a sync");
    let reply = answer(&mut states[0], now, &sync);
    successor.sync_replied(now, &both[0], reply);
    let heard_at = now;
    while now < heard_at + 5_000 {
        now += 100;
        successor.step(now);
    }
    // The platform confirms the claim, and the VM reaches the other worker.
    successor.term.confirmed = true;
    while now < heard_at + 7_000 {
        now += 100;
        successor.confirm_contract(now);
        if let Some(sync) = sync_for(successor.step(now), &both[1]) {
            let reply = answer(&mut states[1], now, &sync);
            successor.sync_replied(now, &both[1], reply);
        }
        states[0].tick(now);
        let twice = states[1].running().find(|t| ran.contains(t)).cloned();
        let first: Vec<TaskId> = states[0].running().cloned().collect();
        let twice = twice.filter(|task| first.contains(task));
        let after = now - heard_at;
        assert_eq!(
            twice, None,
            "runs twice {after} ms after the first answer"
        );
    }
    assert!(now < heard_at + LEASE);
}

/// The same failure in a whole cell. The former holder always reaches the
/// worker, but neither the other VM nor the platform; then it is killed.
#[test]
fn a_claim_made_alone_takes_no_lease_for_lapsed_once_it_is_confirmed() {
    let mut cell = Cell::new(FILE);
    for n in 0..2 {
        cell.add_worker(&format!("w{n}"), DC, 8_000);
    }
    let vms = [cell.start("vm0", DC), cell.start("vm1", DC)];
    cell.run_in_order(8_000);
    let holder = cell.holder(DC, Scope::Tasks).expect("a holder");
    let successor = vms.iter().find(|vm| **vm != holder).expect("another VM");
    let busy = cell.workers.iter().find(|(_, w)| w.running().count() > 0);
    let busy = busy.map(|(id, _)| id.clone()).expect("a worker at work");
    let idle = cell.workers.keys().find(|id| **id != busy).cloned();
    let idle = idle.expect("another worker");
    let now = cell.now;
    cell.platform.set_down(true, now);
    cell.cut(holder.as_str(), successor.as_str(), true);
    cell.cut(successor.as_str(), idle.as_str(), true);
    cell.cut_platform(&holder, true);
    let hears_worker = |cell: &Cell| {
        let placer = cell.vms[successor].node.placer();
        let workers = placer.map(|placer| placer.workers());
        workers.is_some_and(|all| all.iter().any(|w| w.ready))
    };
    while !hears_worker(&cell) {
        cell.run_in_order(100);
        assert!(
            cell.now < now + 60_000,
            "no worker is ready after a claim without the platform"
        );
    }
    let heard_at = cell.now;
    cell.kill(&holder);
    cell.cut(successor.as_str(), busy.as_str(), true);
    cell.run_in_order(5_000);
    let now = cell.now;
    cell.platform.set_down(false, now);
    // Only the former holder's membership lease has expired.
    cell.platform.renew(successor, now + 600_000);
    cell.platform.lapse(&holder);
    cell.cut(successor.as_str(), idle.as_str(), false);
    cell.run_in_order(3_000);
    assert!(cell.now < heard_at + LEASE);
    assert!(cell.faults.is_empty(), "{:?}", cell.faults);
}

/// Guards against running tasks on two workers after a single reading of the
/// VM list that lacks a worker. A worker counts as gone for good when readings
/// lack it for three seconds; three seconds in which the list can't be read
/// after one such reading must not count.
#[test]
fn one_reading_that_lacks_a_worker_is_no_three_seconds_of_readings() {
    let mut cell = Cell::new(FILE);
    for n in 0..2 {
        cell.add_worker(&format!("w{n}"), DC, 8_000);
    }
    let vm = cell.start("vm0", DC);
    cell.run_in_order(8_000);
    assert!(cell.faults.is_empty(), "{:?}", cell.faults);
    let busy = cell.workers.iter().find(|(_, w)| w.running().count() > 0);
    let busy = busy.map(|(id, _)| id.clone()).expect("a worker at work");
    let without = cell.listed.values().filter(|listed| listed.id != busy);
    let without: Vec<ListedTarget> = without.cloned().collect();
    cell.handle_event(&vm, Event::Listed(without));
    for _ in 0..50 {
        cell.advance_clock(100);
        cell.housekeep(&vm);
        for _ in 0..100 {
            let Some(index) = cell.next_useful() else { break };
            cell.deliver(index);
        }
        cell.check();
        assert!(cell.faults.is_empty(), "{:?}", cell.faults);
    }
}

/// Guards against running more calls on an executor than it has slots. The
/// executor reports what it runs before a call arrives there, and the report
/// is delivered after the connection of that call is lost. The call still
/// runs; the earlier report does not name it and must not free its slot.
#[test]
fn an_earlier_word_of_an_executor_frees_no_slot_of_a_lost_call() {
    let mut cell = Cell::new(FILE);
    cell.add_executor("x0", DC, 1);
    cell.run_ms = 60_000;
    let vm = cell.start("vm0", DC);
    cell.run_in_order(8_000);
    let deliver_all = |cell: &mut Cell| {
        while let Some(index) = cell.next_useful() {
            cell.deliver(index);
        }
    };
    let report_request = |cell: &Cell| {
        let mut all = cell.net.iter();
        all.position(|message| matches!(message, Message::Ask(..)))
    };
    while report_request(&cell).is_none() {
        deliver_all(&mut cell);
        cell.advance_clock(50);
        cell.housekeep(&vm);
    }
    let index = report_request(&cell).expect("a request for a report");
    cell.deliver(index);
    // The report is in transit while a call starts and its connection is
    // lost.
    let early_report = cell.net.pop().expect("a report");
    let call = |cell: &mut Cell| {
        let key = cell.new_key("coop");
        cell.call(&vm, "coop", "vent-check", Some(key))
    };
    call(&mut cell);
    deliver_all(&mut cell);
    let running = cell.executors[&TargetId("x0".into())].running.len();
    assert_eq!(running, 1);
    cell.cut(vm.as_str(), "x0", true);
    deliver_all(&mut cell);
    cell.cut(vm.as_str(), "x0", false);
    cell.net.push(early_report);
    deliver_all(&mut cell);
    call(&mut cell);
    deliver_all(&mut cell);
    cell.check();
    assert!(cell.faults.is_empty(), "{:?}", cell.faults);
}
