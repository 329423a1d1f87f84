//! Stateful fuzzing of the real nodes in a simulated cell.
//!
//! The oracle in `cell` checks that no target is overcommitted, no task runs
//! in two places, no key runs twice, no call that ran is answered as not run,
//! no node returns to an older configuration, and no leaving executor gets new
//! calls. At the end of each sequence all faults are repaired; then each call
//! has to end, each contract has to be held and settled, and each task has to
//! run.

use proptest::prelude::*;
use proptest::test_runner::{Config as Runner, RngAlgorithm, TestRng};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use puffinknot_core::contract::Scope;
use puffinknot_core::idempotency::IdempotencyKey;
use puffinknot_core::ids::{DcName, Millis, TargetId, VmId};
use puffinknot_core::node::Event;

use crate::cell::Cell;

const FILE: &str = include_str!("../testdata/fuzz.toml");
const DCS: [&str; 2] = ["goya", "concordia"];
const VMS: usize = 3;
const TASKS: usize = 5;

/// A step of a sequence: a fault, its repair, load, or time.
#[derive(Clone, Debug)]
pub enum Step {
    Run(Millis),
    Call { entry: usize, class: usize, resend: Option<usize> },
    Kill(usize),
    Start(usize),
    Pause(usize),
    Resume(usize),
    CutPlatform(usize),
    HealPlatform(usize),
    Platform { down: bool, lapse: bool },
    LoseAnswers(u32),
    CutVms(usize, usize),
    CutTarget(usize, usize),
    HealLinks,
    StartLeaving(usize),
    RemoveTarget(usize),
    Apply(bool),
    Drain(usize),
    DelayMessages(usize),
    ReleaseMessages,
}

fn step() -> impl Strategy<Value = Step> {
    let vm = 0..VMS * DCS.len();
    let target = 0..8_usize;
    let span = prop_oneof![
        Just(50),
        Just(200),
        Just(1_000),
        Just(4_000),
        Just(9_000),
    ];
    prop_oneof![
        8 => span.prop_map(Step::Run),
        10 => (vm.clone(), 0..3_usize, prop::option::of(0..6_usize))
            .prop_map(|(entry, class, resend)| {
                Step::Call { entry, class, resend }
            }),
        2 => vm.clone().prop_map(Step::Kill),
        3 => vm.clone().prop_map(Step::Start),
        3 => vm.clone().prop_map(Step::Pause),
        3 => vm.clone().prop_map(Step::Resume),
        2 => vm.clone().prop_map(Step::CutPlatform),
        2 => vm.clone().prop_map(Step::HealPlatform),
        2 => (any::<bool>(), any::<bool>())
            .prop_map(|(down, lapse)| Step::Platform { down, lapse }),
        1 => (1..3_u32).prop_map(Step::LoseAnswers),
        2 => (vm.clone(), vm.clone()).prop_map(|(a, b)| Step::CutVms(a, b)),
        2 => (vm.clone(), target.clone())
            .prop_map(|(a, b)| Step::CutTarget(a, b)),
        2 => Just(Step::HealLinks),
        1 => target.clone().prop_map(Step::StartLeaving),
        1 => target.prop_map(Step::RemoveTarget),
        1 => any::<bool>().prop_map(Step::Apply),
        1 => vm.clone().prop_map(Step::Drain),
        3 => vm.prop_map(Step::DelayMessages),
        2 => Just(Step::ReleaseMessages),
    ]
}

/// The reference model has no state, since the oracle checks invariants only.
pub struct Reference;

impl ReferenceStateMachine for Reference {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        step().boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// The cell under test.
pub struct Fuzzed {
    cell: Cell,
    /// The running VM at each place, if any.
    places: Vec<Option<VmId>>,
    keys: Vec<IdempotencyKey>,
    /// State of the random generator that chooses the order of messages. It
    /// starts from a fixed value.
    rng_state: u64,
}

impl Fuzzed {
    pub fn new() -> Fuzzed {
        let mut cell = Cell::new(FILE);
        cell.call_scopes = 2;
        for dc in DCS {
            for n in 0..2 {
                cell.add_executor(&format!("{dc}-executor-{n}"), dc, 2);
                cell.add_worker(&format!("{dc}-worker-{n}"), dc, 4_000);
            }
        }
        let mut fuzzed = Fuzzed {
            cell,
            places: Vec::new(),
            keys: Vec::new(),
            rng_state: 1,
        };
        for n in 0..VMS * DCS.len() {
            let vm = fuzzed.start(n);
            fuzzed.places.push(Some(vm));
        }
        fuzzed.run(6_000);
        fuzzed
    }

    fn start(&mut self, place: usize) -> VmId {
        let dc = DCS[place / VMS];
        self.cell.start(&format!("{dc}-{}", place % VMS), dc)
    }

    fn run(&mut self, span: Millis) {
        let mut rng_state = self.rng_state;
        self.cell.run(span, |n| {
            rng_state =
                rng_state.wrapping_mul(6364136223846793005).wrapping_add(1);
            (rng_state >> 33) as usize % n
        });
        self.rng_state = rng_state;
    }

    fn vm(&self, place: usize) -> Option<VmId> {
        self.places[place].clone()
    }

    fn target(&self, n: usize) -> TargetId {
        let all: Vec<&TargetId> = self.cell.listed.keys().collect();
        all[n % all.len()].clone()
    }

    fn call(&mut self, entry: usize, class: usize, resend: Option<usize>) {
        let Some(vm) = self.vm(entry) else { return };
        let (caller, class, keyed) = [
            ("coop", "vent-check", true),
            ("coop", "overnight", false),
            ("karibu", "invitation", true),
        ][class];
        if !keyed {
            self.cell.call(&vm, caller, class, None);
            return;
        }
        let known = resend.and_then(|n| {
            let mine = self.keys.iter().rev();
            let mut mine = mine.filter(|k| k.caller.as_str() == caller);
            mine.nth(n).cloned()
        });
        let key = known.unwrap_or_else(|| self.cell.new_key(caller));
        if !self.keys.contains(&key) {
            self.keys.push(key.clone());
        }
        self.cell.call(&vm, caller, class, Some(key));
    }

    pub fn apply(&mut self, step: &Step) {
        match *step {
            Step::Run(span) => self.run(span),
            Step::Call { entry, class, resend } => {
                self.call(entry, class, resend);
            }
            Step::Kill(place) => {
                if let Some(vm) = self.places[place].take() {
                    self.cell.kill(&vm);
                }
            }
            Step::Start(place) => {
                if self.places[place].is_none() {
                    let vm = self.start(place);
                    self.places[place] = Some(vm);
                }
            }
            Step::Pause(n) => self.with_vm(n, |cell, vm| cell.pause(vm, true)),
            Step::Resume(n) => {
                self.with_vm(n, |cell, vm| cell.pause(vm, false))
            }
            Step::CutPlatform(n) => {
                self.with_vm(n, |cell, vm| cell.cut_platform(vm, true));
            }
            Step::HealPlatform(n) => {
                self.with_vm(n, |cell, vm| cell.cut_platform(vm, false));
            }
            Step::Platform { down, lapse } => {
                let now = self.cell.now;
                self.cell.platform.lapse_when_down = lapse;
                self.cell.platform.set_down(down, now);
                for vm in self.cell.vms.keys().cloned().collect::<Vec<_>>() {
                    let cut = self.cell.vms[&vm].cut;
                    self.cell.cut_platform(&vm, cut);
                }
            }
            Step::LoseAnswers(n) => self.cell.platform.lose_answers = n,
            Step::CutVms(a, b) => {
                if let (Some(a), Some(b)) = (self.vm(a), self.vm(b)) {
                    self.cell.cut(a.as_str(), b.as_str(), true);
                }
            }
            Step::CutTarget(n, target) => {
                let target = self.target(target);
                self.with_vm(n, |cell, vm| {
                    cell.cut(vm.as_str(), target.as_str(), true);
                });
            }
            Step::HealLinks => self.cell.cuts.clear(),
            Step::StartLeaving(n) => self.start_leaving(n),
            Step::RemoveTarget(n) => self.remove_target(n),
            Step::Apply(more) => {
                let file = if more {
                    FILE.replace("tasks = 2", "tasks = 3")
                } else {
                    FILE.to_string()
                };
                self.cell.apply(&file);
            }
            Step::Drain(n) => {
                self.with_vm(n, |cell, vm| {
                    cell.handle_event(vm, Event::Drain)
                });
            }
            Step::DelayMessages(n) => {
                self.with_vm(n, |cell, vm| {
                    cell.delayed.insert(vm.clone());
                });
            }
            Step::ReleaseMessages => self.cell.delayed.clear(),
        }
        self.check();
    }

    fn with_vm(&mut self, place: usize, act: impl Fn(&mut Cell, &VmId)) {
        if let Some(vm) = self.vm(place) {
            act(&mut self.cell, &vm);
        }
    }

    /// Lets an executor start to leave; has no effect on workers.
    fn start_leaving(&mut self, n: usize) {
        let target = self.target(n);
        if let Some(executor) = self.cell.executors.get_mut(&target) {
            if !executor.leaving {
                executor.leaving = true;
                executor.left_at = Some(self.cell.now);
            }
        }
    }

    /// Removes a target and its entry in the VM list, unless it is the last of
    /// its kind in its data centre.
    fn remove_target(&mut self, n: usize) {
        let target = self.target(n);
        let listed = self.cell.listed[&target].clone();
        let same_kind = |l: &&puffinknot_core::node::ListedTarget| {
            l.kind == listed.kind && l.dc == listed.dc
        };
        if self.cell.listed.values().filter(same_kind).count() < 2 {
            return;
        }
        self.cell.listed.remove(&target);
        self.cell.workers.remove(&target);
        self.cell.executors.remove(&target);
    }

    fn check(&self) {
        assert!(self.cell.faults.is_empty(), "{:?}", self.cell.faults);
    }

    /// Repairs all faults and checks that the cell settles.
    pub fn settle(&mut self) {
        self.cell.heal();
        for place in 0..self.places.len() {
            let vm = self.vm(place);
            let draining = vm.as_ref().is_some_and(|vm| {
                self.cell.vms[vm].node.summary(self.cell.clocks()).draining
            });
            if draining || vm.is_none() {
                if let Some(vm) = vm {
                    self.cell.kill(&vm);
                }
                let vm = self.start(place);
                self.places[place] = Some(vm);
            }
        }
        self.run(90_000);
        self.check();
        let waiting = self.cell.waiting();
        assert!(waiting.is_empty(), "no answer for {waiting:?}");
        self.check_contracts();
        let tasks = self.cell.tasks_running();
        assert!(tasks >= TASKS, "only {tasks} tasks run");
    }

    fn check_contracts(&self) {
        let newest = self.cell.platform.read().1;
        let file = newest
            .iter()
            .find(|s| s.key == puffinknot_core::store::Key::Config);
        let revision = file.map_or(0, |stored| stored.revision);
        for (vm, state) in &self.cell.vms {
            let status = state.node.status(self.cell.clocks());
            assert_eq!(
                status.config, revision,
                "{vm} has not applied the latest configuration"
            );
            for home in &status.homes {
                assert!(home.settled, "{vm} has not settled {}", home.scope);
                assert!(home.confirmed, "{vm}: {} not confirmed", home.scope);
            }
        }
        for dc in DCS {
            for scope in [Scope::Calls(0), Scope::Calls(1), Scope::Tasks] {
                let dc = DcName::from(dc);
                let holds = |state: &&crate::cell::Vm| {
                    *state.node.dc() == dc
                        && state
                            .node
                            .status(self.cell.clocks())
                            .homes
                            .iter()
                            .any(|home| home.scope == scope)
                };
                let holders = self.cell.vms.values().filter(holds).count();
                assert_eq!(holders, 1, "holders of {dc} {scope}");
            }
        }
    }
}

/// The state machine test that proptest runs.
struct Test;

impl StateMachineTest for Test {
    type SystemUnderTest = Fuzzed;
    type Reference = Reference;

    fn init_test((): &()) -> Fuzzed {
        Fuzzed::new()
    }

    fn apply(mut fuzzed: Fuzzed, (): &(), step: Step) -> Fuzzed {
        fuzzed.apply(&step);
        fuzzed
    }

    fn teardown(mut fuzzed: Fuzzed, (): ()) {
        fuzzed.settle();
    }
}

/// The default number of sequences; `PUFFINKNOT_FUZZ_CASES` overrides it.
const CASES: u32 = 150;
/// The default seed; `PUFFINKNOT_FUZZ_SEED` overrides it.
const SEED: u64 = 20;

fn setting(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.and_then(|value| value.parse().ok()).unwrap_or(default)
}

#[test]
fn what_must_hold_holds_under_any_sequence_of_faults() {
    let cases = setting("PUFFINKNOT_FUZZ_CASES", CASES.into());
    let seed = setting("PUFFINKNOT_FUZZ_SEED", SEED);
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let config = Runner {
        cases: cases as u32,
        failure_persistence: None,
        max_shrink_iters: 3_000,
        ..Runner::default()
    };
    let mut runner =
        proptest::test_runner::TestRunner::new_with_rng(config.clone(), rng);
    let sequences = Reference::sequential_strategy(5..60);
    let result = runner.run(&sequences, |(state, steps, seen)| {
        Test::test_sequential(config.clone(), state, steps, seen);
        Ok(())
    });
    if let Err(err) = result {
        panic!("{err}");
    }
}
