//! Workers that were taken for gone, or their leases for lapsed, while they
//! went on: tasks ran on two workers at once.

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
/// The lease of a worker.
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
    let tenure = Term::new(epoch, 1, confirmed, unseen);
    let old = config();
    let mut placer = Placer::new(
        PlacerConfig::default(),
        DC.into(),
        tenure,
        Some(&old),
        Progress::default(),
    );
    placer.apply_config(&old);
    for target in targets {
        placer.add_worker(1, target);
    }
    placer
}

fn to(
    syncs: Vec<(TargetId, SyncRequest)>,
    target: &TargetId,
) -> Option<SyncRequest> {
    syncs.into_iter().find(|(at, _)| at == target).map(|(_, sync)| sync)
}

/// What a worker answers.
fn answer(state: &mut WorkerState, now: u64, sync: &SyncRequest) -> SyncReply {
    state.tick(now);
    state.sync(now, sync).expect("an epoch that is not refused")
}

/// Tasks ran on two workers while a contract changed hands and the platform
/// was down. A VM had claimed the contract alone, and one worker had answered
/// it, once: it ran tasks under the lease of the former holder. The other
/// worker had not been reached yet, so that no lease could be given. Then the
/// first was cut off, the platform came back and confirmed the claim, and the
/// end of a lease that was never given, zero, counted as lapsed.
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
    // The former holder has all tasks run on one worker.
    let mut former = placer(1, true, &both[..1]);
    let mut now = 1_000;
    for _ in 0..20 {
        if let Some(sync) = to(former.step(now), &both[0]) {
            let reply = answer(&mut states[0], now, &sync);
            former.sync_replied(now, &both[0], reply);
        }
        now += 100;
    }
    let ran: Vec<TaskId> = states[0].running().cloned().collect();
    assert!(!ran.is_empty());
    // Another VM claims the contract alone. One worker answers, once.
    let mut heir = placer(2, false, &both);
    let sync = to(heir.step(now), &both[0]).expect("a sync");
    let reply = answer(&mut states[0], now, &sync);
    heir.sync_replied(now, &both[0], reply);
    let heard = now;
    while now < heard + 5_000 {
        now += 100;
        heir.step(now);
    }
    // The platform confirms the claim, and the other worker is reached.
    heir.term.confirmed = true;
    while now < heard + 7_000 {
        now += 100;
        heir.confirm_contract(now);
        if let Some(sync) = to(heir.step(now), &both[1]) {
            let reply = answer(&mut states[1], now, &sync);
            heir.sync_replied(now, &both[1], reply);
        }
        states[0].tick(now);
        let twice = states[1].running().find(|t| ran.contains(t)).cloned();
        let first: Vec<TaskId> = states[0].running().cloned().collect();
        let twice = twice.filter(|task| first.contains(task));
        let after = now - heard;
        assert_eq!(twice, None, "runs twice {after} ms after it was heard");
    }
    assert!(now < heard + LEASE);
}

/// The same in a cell: the former holder reached the worker all the time, and
/// neither the other VM nor the platform; then it was killed.
#[test]
fn a_claim_made_alone_takes_no_lease_for_lapsed_once_it_is_confirmed() {
    let mut cell = Cell::new(FILE);
    for n in 0..2 {
        cell.add_worker(&format!("w{n}"), DC, 8_000);
    }
    let vms = [cell.start("vm0", DC), cell.start("vm1", DC)];
    cell.run_in_order(8_000);
    let holder = cell.holder(DC, Scope::Tasks).expect("a holder");
    let heir = vms.iter().find(|vm| **vm != holder).expect("another VM");
    let busy = cell.workers.iter().find(|(_, w)| w.running().count() > 0);
    let busy = busy.map(|(id, _)| id.clone()).expect("a worker at work");
    let idle = cell.workers.keys().find(|id| **id != busy).cloned();
    let idle = idle.expect("another worker");
    let now = cell.now;
    cell.platform.set_down(true, now);
    cell.cut(holder.as_str(), heir.as_str(), true);
    cell.cut(heir.as_str(), idle.as_str(), true);
    cell.cut_platform(&holder, true);
    let hears = |cell: &Cell| {
        let placer = cell.vms[heir].node.placer();
        let workers = placer.map(|placer| placer.workers());
        workers.is_some_and(|all| all.iter().any(|w| w.ready))
    };
    while !hears(&cell) {
        cell.run_in_order(100);
        assert!(cell.now < now + 60_000, "the claim made alone");
    }
    let heard = cell.now;
    cell.kill(&holder);
    cell.cut(heir.as_str(), busy.as_str(), true);
    cell.run_in_order(5_000);
    let now = cell.now;
    cell.platform.set_down(false, now);
    // Of the leases of members, only that of the former holder has run out.
    cell.platform.renew(heir, now + 600_000);
    cell.platform.lapse(&holder);
    cell.cut(heir.as_str(), idle.as_str(), false);
    cell.run_in_order(3_000);
    assert!(cell.now < heard + LEASE);
    assert!(cell.faults.is_empty(), "{:?}", cell.faults);
}

/// Tasks ran on two workers. One reading of the VM list lacked the worker
/// that ran them; after that the list could not be read for three seconds.
/// The worker was taken for gone for good, as one is that the list has not
/// named for three seconds of readings, though there was one such reading.
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
    cell.tell(&vm, Event::Listed(without));
    for _ in 0..50 {
        cell.pass(100);
        cell.housekeep(&vm);
        for _ in 0..100 {
            let Some(index) = cell.next_useful() else { break };
            cell.deliver(index);
        }
        cell.check();
        assert!(cell.faults.is_empty(), "{:?}", cell.faults);
    }
}

/// An executor ran more calls than it has slots. Its word on what it runs was
/// given before a call arrived there, and came after the connection of that
/// call had been lost. The call was known to run on, unseen; the earlier word
/// did not name it, and its slot was taken for free.
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
    let asked = |cell: &Cell| {
        let mut all = cell.net.iter();
        all.position(|message| matches!(message, Message::Ask(..)))
    };
    while asked(&cell).is_none() {
        deliver_all(&mut cell);
        cell.pass(50);
        cell.housekeep(&vm);
    }
    let index = asked(&cell).expect("a question");
    cell.deliver(index);
    // The answer is on its way while a call begins, and is lost.
    let early = cell.net.pop().expect("an answer");
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
    cell.net.push(early);
    deliver_all(&mut cell);
    call(&mut cell);
    deliver_all(&mut cell);
    cell.check();
    assert!(cell.faults.is_empty(), "{:?}", cell.faults);
}
