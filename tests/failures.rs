//! Tests of single failures in a simulated cell, each reproduced step by step.
//!
//! Each test is named after the property it checks. Most fail when one
//! safeguard is removed; docs/PROOFS.md lists which.

use puffinknot_core::calls::CallId;
use puffinknot_core::contract::Scope;
use puffinknot_core::ids::{TargetId, VmId};
use puffinknot_core::node::{Event, ListedTarget, UnreadableEntries};
use puffinknot_core::outcome::{Outcome, Reason};
use puffinknot_core::store::{Key, StoredEntry, Value};

use crate::cell::{Cell, Message};

const FILE: &str = include_str!("../testdata/fuzz.toml");
const DC: &str = "goya";
const CALLS: Scope = Scope::Calls(0);

/// Creates a cell of one data centre and runs it until it is settled.
fn cell(vms: usize, executors: usize, workers: usize) -> (Cell, Vec<VmId>) {
    let mut cell = Cell::new(FILE);
    for n in 0..executors {
        cell.add_executor(&format!("x{n}"), DC, 2);
    }
    for n in 0..workers {
        cell.add_worker(&format!("w{n}"), DC, 4_000);
    }
    let vms = (0..vms).map(|n| cell.start(&format!("vm{n}"), DC)).collect();
    cell.run_in_order(8_000);
    no_faults(&cell);
    (cell, vms)
}

fn no_faults(cell: &Cell) {
    assert!(cell.faults.is_empty(), "{:?}", cell.faults);
}

fn other(vms: &[VmId], than: &VmId) -> VmId {
    vms.iter().find(|vm| *vm != than).cloned().expect("another VM")
}

fn send_vent_check(cell: &mut Cell, entry: &VmId) -> CallId {
    let key = cell.new_key("coop");
    cell.call(entry, "coop", "vent-check", Some(key))
}

fn resend(cell: &mut Cell, entry: &VmId, of: CallId) -> CallId {
    let key = cell.calls[&of].key.clone();
    cell.call(entry, "coop", "vent-check", key)
}

fn reason(cell: &Cell, id: CallId) -> Option<Reason> {
    cell.answer_to(id)?.reason()
}

fn runs(cell: &Cell, id: CallId) -> u32 {
    let key = cell.calls[&id].key.as_ref().expect("a key");
    cell.runs.get(key).copied().unwrap_or(0)
}

/// The worker on which a task runs.
fn worker_of(cell: &Cell, task: &str) -> Option<TargetId> {
    let runs = |worker: &puffinknot_standin::worker::WorkerState| {
        worker.running().any(|id| id.as_str() == task)
    };
    let found = cell.workers.iter().find(|(_, worker)| runs(worker));
    found.map(|(id, _)| id.clone())
}

#[test]
fn a_call_through_a_vm_without_the_contract_is_answered() {
    let (mut cell, vms) = cell(2, 1, 0);
    let holder = cell.holder(DC, CALLS).expect("a holder");
    let entry = other(&vms, &holder);
    let id = send_vent_check(&mut cell, &entry);
    cell.run_in_order(1_000);
    assert_eq!(cell.answer_to(id), Some(&Outcome::Answered));
    assert_eq!(runs(&cell, id), 1);
    no_faults(&cell);
}

#[test]
fn a_slot_is_counted_until_the_late_answer_arrives() {
    let (mut cell, vms) = cell(1, 1, 0);
    cell.run_ms = 5_000;
    let late = send_vent_check(&mut cell, &vms[0]);
    send_vent_check(&mut cell, &vms[0]);
    cell.run_in_order(2_500);
    assert_eq!(reason(&cell, late), Some(Reason::LateAnswer));
    let third = send_vent_check(&mut cell, &vms[0]);
    cell.run_in_order(500);
    assert_eq!(reason(&cell, third), Some(Reason::NoSlot));
    cell.run_in_order(5_000);
    let fourth = send_vent_check(&mut cell, &vms[0]);
    cell.run_in_order(100);
    assert_eq!(cell.calls[&fourth].answers, []);
    no_faults(&cell);
}

#[test]
fn a_new_holder_counts_what_still_runs() {
    let (mut cell, vms) = cell(2, 1, 0);
    let holder = cell.holder(DC, CALLS).expect("a holder");
    let successor = other(&vms, &holder);
    cell.run_ms = 20_000;
    send_vent_check(&mut cell, &holder);
    send_vent_check(&mut cell, &holder);
    cell.run_in_order(500);
    cell.kill(&holder);
    cell.run_in_order(8_000);
    let id = send_vent_check(&mut cell, &successor);
    cell.run_in_order(500);
    assert_eq!(reason(&cell, id), Some(Reason::NoSlot));
    no_faults(&cell);
}

#[test]
fn a_holder_that_wakes_is_refused_by_the_targets() {
    let (mut cell, vms) = cell(2, 1, 0);
    let holder = cell.holder(DC, CALLS).expect("a holder");
    let successor = other(&vms, &holder);
    // The call has been sent, but is delayed in transit.
    cell.delayed.insert(holder.clone());
    let id = send_vent_check(&mut cell, &holder);
    cell.run_in_order(100);
    cell.pause(&holder, true);
    cell.run_in_order(10_000);
    let later = send_vent_check(&mut cell, &successor);
    cell.run_in_order(300);
    assert_eq!(cell.answer_to(later), Some(&Outcome::Answered));
    cell.delayed.clear();
    cell.pause(&holder, false);
    cell.run_in_order(1_000);
    assert_eq!(runs(&cell, id), 0, "the executor took a stale epoch");
    no_faults(&cell);
}

#[test]
fn a_key_runs_once_though_one_executor_has_not_seen_the_new_home() {
    let (mut cell, vms) = cell(2, 2, 0);
    let home = cell.holder(DC, CALLS).expect("a home");
    let successor = other(&vms, &home);
    // The home is isolated from the platform and from its successor. It
    // reaches one executor that the successor does not.
    cell.cut(successor.as_str(), "x0", true);
    cell.cut(home.as_str(), "x1", true);
    cell.cut(home.as_str(), successor.as_str(), true);
    cell.cut_platform(&home, true);
    cell.run_in_order(10_000);
    assert_eq!(cell.holder(DC, CALLS), Some(successor.clone()));
    let id = send_vent_check(&mut cell, &home);
    cell.run_in_order(1_000);
    assert_eq!(runs(&cell, id), 1);
    let again = resend(&mut cell, &successor, id);
    cell.run_in_order(1_000);
    assert_eq!(reason(&cell, again), Some(Reason::BeforeTenure));
    assert_eq!(runs(&cell, id), 1);
    no_faults(&cell);
}

#[test]
fn a_superseded_home_does_not_say_not_run() {
    let (mut cell, vms) = cell(2, 2, 0);
    let home = cell.holder(DC, CALLS).expect("a home");
    let successor = other(&vms, &home);
    cell.cut(home.as_str(), successor.as_str(), true);
    cell.cut(home.as_str(), "x0", true);
    cell.cut(home.as_str(), "x1", true);
    cell.cut_platform(&home, true);
    cell.run_in_order(10_000);
    let id = send_vent_check(&mut cell, &successor);
    cell.run_in_order(1_000);
    assert_eq!(cell.answer_to(id), Some(&Outcome::Answered));
    // The old home has no slot for the call, but the call has run.
    let again = resend(&mut cell, &home, id);
    cell.run_in_order(1_000);
    let answer = cell.answer_to(again).expect("an answer");
    assert!(matches!(answer, Outcome::Unknown { .. }), "{answer:?}");
    no_faults(&cell);
}

#[test]
fn a_call_with_a_key_is_not_sent_again_after_a_lost_connection() {
    let (mut cell, vms) = cell(1, 2, 0);
    cell.run_ms = 500;
    let id = send_vent_check(&mut cell, &vms[0]);
    cell.run_in_order(200);
    cell.cut(vms[0].as_str(), "x0", true);
    cell.cut(vms[0].as_str(), "x1", true);
    cell.cuts.clear();
    cell.run_in_order(1_000);
    assert_eq!(reason(&cell, id), Some(Reason::ConnectionLost));
    let again = resend(&mut cell, &vms[0], id);
    cell.run_in_order(1_000);
    assert_eq!(reason(&cell, again), Some(Reason::StillRunning));
    assert_eq!(runs(&cell, id), 1);
    no_faults(&cell);
}

#[test]
fn a_lost_call_that_may_be_repeated_is_tried_again() {
    let (mut cell, vms) = cell(1, 2, 0);
    cell.run_ms = 500;
    let id = cell.call(&vms[0], "coop", "overnight", None);
    cell.run_in_order(200);
    cell.cut(vms[0].as_str(), "x0", true);
    cell.cut(vms[0].as_str(), "x1", true);
    cell.cuts.clear();
    cell.run_in_order(5_000);
    let answer = cell.answer_to(id).expect("an answer");
    assert!(*answer == Outcome::Answered, "{answer:?}");
    no_faults(&cell);
}

#[test]
fn keys_are_passed_on_at_a_planned_stop() {
    let (mut cell, vms) = cell(2, 1, 0);
    let home = cell.holder(DC, CALLS).expect("a home");
    let successor = other(&vms, &home);
    let id = send_vent_check(&mut cell, &home);
    cell.run_in_order(500);
    cell.handle_event(&home, Event::Drain);
    cell.run_in_order(2_000);
    assert_eq!(cell.holder(DC, CALLS), Some(successor.clone()));
    assert!(cell.vms[&home].node.is_drained());
    let again = resend(&mut cell, &successor, id);
    // The new home serves a new call at once, without a waiting time after
    // the handover.
    let new = send_vent_check(&mut cell, &successor);
    cell.run_in_order(500);
    assert_eq!(reason(&cell, again), Some(Reason::AlreadyRan));
    assert_eq!(cell.answer_to(new), Some(&Outcome::Answered));
    no_faults(&cell);
}

#[test]
fn a_planned_stop_cuts_no_call() {
    let (mut cell, vms) = cell(2, 1, 0);
    let home = cell.holder(DC, CALLS).expect("a home");
    cell.run_ms = 1_500;
    let ids: Vec<CallId> =
        (0..2).map(|_| cell.call(&home, "coop", "overnight", None)).collect();
    let keyed = send_vent_check(&mut cell, &other(&vms, &home));
    cell.run_in_order(300);
    cell.handle_event(&home, Event::Drain);
    assert!(!cell.vms[&home].node.is_drained());
    cell.run_in_order(12_000);
    for id in ids {
        assert_eq!(cell.answer_to(id), Some(&Outcome::Answered));
    }
    assert!(cell.answer_to(keyed).is_some());
    assert!(cell.vms[&home].node.is_drained());
    no_faults(&cell);
}

/// Creates a cell in which the platform is down and three VMs disagree: the
/// holder is isolated, and another VM has claimed its contract without the
/// platform. Returns the cell, the old holder, the claimant and the third VM.
fn cell_with_unconfirmed_claim() -> (Cell, VmId, VmId, VmId) {
    let (mut cell, vms) = cell(3, 1, 0);
    let home = cell.holder(DC, CALLS).expect("a home");
    let now = cell.now;
    cell.platform.set_down(true, now);
    for vm in &vms {
        if *vm != home {
            cell.cut(home.as_str(), vm.as_str(), true);
        }
        // A VM whose watch was interrupted has to read again.
        cell.cut_platform(vm, false);
    }
    cell.cut(home.as_str(), "x0", true);
    cell.run_in_order(12_000);
    let claims = |vm: &&VmId| {
        let status = cell.vms[*vm].node.status(cell.clocks());
        **vm != home && status.homes.iter().any(|h| h.scope == CALLS)
    };
    let claimant = vms.iter().find(claims).cloned().expect("a claimant");
    let third = |vm: &&VmId| **vm != home && **vm != claimant;
    let third = vms.iter().find(third).cloned().expect("a third");
    (cell, home, claimant, third)
}

#[test]
fn a_contract_is_taken_over_while_the_platform_is_down() {
    let (mut cell, _, claimant, third) = cell_with_unconfirmed_claim();
    let id = send_vent_check(&mut cell, &third);
    cell.run_in_order(1_000);
    assert_eq!(cell.answer_to(id), Some(&Outcome::Answered));
    let now = cell.now;
    cell.platform.set_down(false, now);
    cell.cuts.clear();
    cell.run_in_order(10_000);
    let holder = cell.holder(DC, CALLS);
    assert!(holder.is_some());
    let settled = |vm: &VmId| {
        let status = cell.vms[vm].node.status(cell.clocks());
        status.homes.iter().all(|home| home.settled && home.confirmed)
    };
    assert!(settled(&claimant) && settled(&third));
    no_faults(&cell);
}

#[test]
fn keys_passed_on_by_a_home_that_was_overtaken_are_not_trusted() {
    let (mut cell, home, claimant, third) = cell_with_unconfirmed_claim();
    let id = send_vent_check(&mut cell, &claimant);
    cell.run_in_order(1_000);
    assert_eq!(runs(&cell, id), 1);
    cell.kill(&claimant);
    // The platform is available again. The old home, which has not learned of
    // the claim, drains and hands its keys over to the third VM.
    let now = cell.now;
    cell.platform.set_down(false, now);
    cell.cut(home.as_str(), third.as_str(), false);
    cell.handle_event(&home, Event::Drain);
    cell.run_in_order(10_000);
    let again = resend(&mut cell, &third, id);
    cell.run_in_order(1_000);
    assert_eq!(runs(&cell, id), 1, "{:?}", cell.answer_to(again));
    no_faults(&cell);
}

#[test]
fn tasks_go_on_elsewhere_after_a_worker_is_lost() {
    let (mut cell, vms) = cell(1, 0, 2);
    let worker = worker_of(&cell, "api/0").expect("a place");
    cell.cut(vms[0].as_str(), worker.as_str(), true);
    cell.run_in_order(30_000);
    let now = worker_of(&cell, "api/0").expect("a place");
    assert_ne!(now, worker);
    assert_eq!(cell.tasks_running(), 3);
    no_faults(&cell);
}

/// Passes a reading of the VM list to a VM and lets time pass without
/// another reading.
fn read_list(cell: &mut Cell, vm: &VmId, event: Event, span: u64) {
    cell.handle_event(vm, event);
    for _ in 0..span / 100 {
        cell.advance_clock(100);
        cell.housekeep(vm);
        while let Some(index) = cell.next_useful() {
            cell.deliver(index);
        }
        cell.check();
    }
}

/// Whether a VM that places tasks knows a worker.
fn knows_worker(cell: &Cell, vm: &VmId, worker: &TargetId) -> bool {
    let placer = cell.vms[vm].node.placer().expect("a placer");
    placer.worker_ids().any(|id| id == worker)
}

/// A worker counts as gone after successive readings of the VM list lack it.
/// Time in which there was no reading must not count.
#[test]
fn readings_with_a_gap_between_them_end_no_worker() {
    let (mut cell, vms) = cell(1, 0, 2);
    let worker = worker_of(&cell, "api/0").expect("a place");
    let without = cell.listed.values().filter(|l| l.id != worker);
    let without: Vec<ListedTarget> = without.cloned().collect();
    for span in [5_000, 1_000, 5_000, 2_000, 1_000] {
        let event = Event::Listed(without.clone());
        read_list(&mut cell, &vms[0], event, span);
        assert!(knows_worker(&cell, &vms[0], &worker));
        no_faults(&cell);
    }
    read_list(&mut cell, &vms[0], Event::Listed(without), 1_000);
    assert!(!knows_worker(&cell, &vms[0], &worker));
}

/// Guards against considering a worker gone when the VM list has an unreadable
/// entry that is the worker's own, or may be since it has no id.
#[test]
fn a_worker_whose_entry_may_be_unread_is_not_gone() {
    let (mut cell, vms) = cell(1, 0, 2);
    let worker = worker_of(&cell, "api/0").expect("a place");
    let without = cell.listed.values().filter(|l| l.id != worker);
    let without: Vec<ListedTarget> = without.cloned().collect();
    let read = |cell: &mut Cell, unread: &UnreadableEntries| {
        for _ in 0..5 {
            let (listed, unread) = (without.clone(), unread.clone());
            let event = Event::ListedPartially(listed, unread);
            read_list(cell, &vms[0], event, 1_000);
        }
        knows_worker(cell, &vms[0], &worker)
    };
    let unidentified =
        UnreadableEntries { unidentified: 1, ..UnreadableEntries::default() };
    assert!(read(&mut cell, &unidentified));
    let named = [worker.clone()].into();
    assert!(read(
        &mut cell,
        &UnreadableEntries { targets: named, unidentified: 0 }
    ));
    // An unreadable entry of another target does not keep a missing worker.
    let named = [TargetId("other".into())].into();
    no_faults(&cell);
    assert!(!read(
        &mut cell,
        &UnreadableEntries { targets: named, unidentified: 0 }
    ));
}

#[test]
fn tasks_stay_where_they_are_when_their_holder_dies() {
    let (mut cell, vms) = cell(2, 0, 2);
    let holder = cell.holder(DC, Scope::Tasks).expect("a holder");
    let before = worker_of(&cell, "model/0");
    cell.kill(&holder);
    cell.run_in_order(20_000);
    let successor = other(&vms, &holder);
    assert_eq!(cell.holder(DC, Scope::Tasks), Some(successor));
    assert_eq!(worker_of(&cell, "model/0"), before);
    assert_eq!(cell.tasks_running(), 3);
    no_faults(&cell);
}

#[test]
fn a_superseded_holder_takes_no_worker_for_dead() {
    let (mut cell, vms) = cell(2, 0, 2);
    let holder = cell.holder(DC, Scope::Tasks).expect("a holder");
    let successor = other(&vms, &holder);
    // Each holder reaches one worker; the old holder does not learn of the
    // takeover.
    cell.cut(holder.as_str(), successor.as_str(), true);
    cell.cut(holder.as_str(), "w0", true);
    cell.cut(successor.as_str(), "w1", true);
    cell.cut_platform(&holder, true);
    cell.run_in_order(60_000);
    no_faults(&cell);
    cell.heal();
    cell.run_in_order(60_000);
    assert_eq!(cell.tasks_running(), 3);
    no_faults(&cell);
}

#[test]
fn a_claim_made_alone_renews_nothing_before_every_worker_has_seen_it() {
    let (mut cell, vms) = cell(2, 0, 2);
    let holder = cell.holder(DC, Scope::Tasks).expect("a holder");
    let successor = other(&vms, &holder);
    let now = cell.now;
    cell.platform.set_down(true, now);
    for vm in &vms {
        cell.cut_platform(vm, false);
    }
    cell.cut(holder.as_str(), successor.as_str(), true);
    cell.cut(holder.as_str(), "w0", true);
    cell.cut(successor.as_str(), "w1", true);
    cell.run_in_order(14_000);
    // Only the old holder reaches the platform again, which confirms it.
    cell.cut_platform(&successor, true);
    let now = cell.now;
    cell.platform.set_down(false, now);
    cell.platform.renew(&successor, now + 600_000);
    cell.run_in_order(60_000);
    no_faults(&cell);
    cell.heal();
    cell.run_in_order(90_000);
    assert_eq!(cell.tasks_running(), 3);
    no_faults(&cell);
}

#[test]
fn a_start_that_is_held_up_does_nothing_later() {
    let (mut cell, vms) = cell(2, 0, 2);
    let holder = cell.holder(DC, Scope::Tasks).expect("a holder");
    // The configuration asks for one more task; its start is delayed in
    // transit.
    cell.delayed.insert(holder.clone());
    cell.apply(&FILE.replace("tasks = 2", "tasks = 3"));
    cell.run_in_order(1_000);
    cell.pause(&holder, true);
    cell.run_in_order(12_000);
    assert_ne!(cell.holder(DC, Scope::Tasks), Some(holder.clone()));
    cell.delayed.clear();
    cell.run_in_order(5_000);
    cell.pause(&holder, false);
    cell.run_in_order(5_000);
    assert_eq!(cell.tasks_running(), 4);
    let _ = vms;
    no_faults(&cell);
}

#[test]
fn a_leaving_worker_is_emptied_and_gets_nothing_new() {
    let (mut cell, _) = cell(1, 0, 2);
    let worker = worker_of(&cell, "api/0").expect("a place");
    let listed = cell.listed.get_mut(&worker).expect("a listed worker");
    listed.leaving = true;
    cell.run_in_order(10_000);
    assert_eq!(cell.workers[&worker].running().count(), 0);
    assert!(worker_of(&cell, "api/0").is_some());
    no_faults(&cell);
}

#[test]
fn no_task_is_restarted_while_it_may_run_on_a_worker_not_yet_seen() {
    let (mut cell, vms) = cell(2, 0, 2);
    let holder = cell.holder(DC, Scope::Tasks).expect("a holder");
    let successor = other(&vms, &holder);
    let worker = worker_of(&cell, "api/0").expect("a place");
    cell.cut(successor.as_str(), worker.as_str(), true);
    cell.kill(&holder);
    cell.run_in_order(20_000);
    no_faults(&cell);
    cell.heal();
    cell.run_in_order(10_000);
    assert_eq!(cell.tasks_running(), 3);
    no_faults(&cell);
}

#[test]
fn a_late_start_of_a_former_holder_is_refused_by_the_worker() {
    let (mut cell, _) = cell(2, 0, 3);
    let holder = cell.holder(DC, Scope::Tasks).expect("a holder");
    cell.delayed.insert(holder.clone());
    cell.apply(&FILE.replace("tasks = 2", "tasks = 3"));
    cell.run_in_order(500);
    let start = cell.net.iter().find_map(|message| match message {
        Message::Sync(_, target, request) if !request.start.is_empty() => {
            Some(target.clone())
        }
        _ => None,
    });
    let worker = start.expect("a start on its way");
    // The new holder has to choose another worker.
    let listed = cell.listed.get_mut(&worker).expect("a listed worker");
    listed.leaving = true;
    cell.pause(&holder, true);
    cell.platform.lapse(&holder);
    cell.run_in_order(6_000);
    assert_ne!(worker_of(&cell, "api/2"), None);
    cell.delayed.clear();
    cell.run_in_order(1_000);
    no_faults(&cell);
}

#[test]
fn a_slot_stays_counted_when_the_connection_is_lost() {
    let (mut cell, vms) = cell(1, 1, 0);
    cell.run_ms = 5_000;
    send_vent_check(&mut cell, &vms[0]);
    send_vent_check(&mut cell, &vms[0]);
    cell.run_in_order(200);
    cell.cut(vms[0].as_str(), "x0", true);
    cell.cuts.clear();
    while let Some(index) = cell.next_useful() {
        cell.deliver(index);
    }
    let third = send_vent_check(&mut cell, &vms[0]);
    while let Some(index) = cell.next_useful() {
        cell.deliver(index);
    }
    cell.check();
    assert_eq!(reason(&cell, third), Some(Reason::NoSlot));
    no_faults(&cell);
}

#[test]
fn an_older_revision_is_ignored_whoever_sends_it() {
    let (mut cell, vms) = cell(1, 0, 0);
    cell.apply(&FILE.replace("tasks = 2", "tasks = 3"));
    cell.run_in_order(500);
    let before = cell.vms[&vms[0]].node.view().config_revision();
    let old = StoredEntry {
        key: Key::Config,
        value: Value::Config(FILE.to_string()),
        revision: before - 1,
    };
    cell.handle_event(&vms[0], Event::ValuesReceived(vec![old.clone()]));
    let stored = vec![old];
    cell.handle_event(&vms[0], Event::Snapshot { revision: before, stored });
    let after = cell.vms[&vms[0]].node.view().config_revision();
    assert_eq!(after, before);
    no_faults(&cell);
}
