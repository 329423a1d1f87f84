//! Model checking: every order of events in a small world, by exhaustive
//! breadth-first search over the real transition functions.
//!
//! A world is as small as its question allows, and its bounds stand beside
//! it. If an invariant fails, the shortest way there is printed.

use std::cell::{Cell, RefCell};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

use pathfinding::directed::bfs::bfs;
use puffinknot_core::config::{Config, Resources};
use puffinknot_core::contract::Scope;
use puffinknot_core::ids::{Epoch, Millis, TargetId, VmId};
use puffinknot_core::node::Event;
use puffinknot_core::tasks::{
    Placer, PlacerConfig, Progress, SyncReply, SyncRequest, WorkerInfo,
};
use puffinknot_core::term::Term;
use puffinknot_standin::worker::{Refusal, WorkerState};

use crate::cell::{Cell as SmallCell, Message};

/// A state of a world, with what led to it.
trait World: Clone + Hash {
    /// Every state that can follow, with what leads there.
    fn successors(&self) -> Vec<(String, Self)>;
    /// What is wrong with this state, if anything.
    fn fault(&self) -> Option<String>;
}

/// A state in the search. It is told from others by a fingerprint of 128
/// bits, so that the state itself can be dropped once it has been looked at.
#[derive(Clone)]
struct Found<W> {
    print: (u64, u64),
    by: Rc<str>,
    fault: Option<Rc<str>>,
    world: Rc<RefCell<Option<W>>>,
}

impl<W: World> Found<W> {
    fn new(by: &str, world: W) -> Found<W> {
        Found {
            print: (print(0, &world), print(1, &world)),
            by: by.into(),
            fault: world.fault().map(Into::into),
            world: Rc::new(RefCell::new(Some(world))),
        }
    }
}

impl<W> PartialEq for Found<W> {
    fn eq(&self, other: &Found<W>) -> bool {
        self.print == other.print
    }
}

impl<W> Eq for Found<W> {}

impl<W> Hash for Found<W> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.print.hash(hasher);
    }
}

fn print<T: Hash>(salt: u64, value: &T) -> u64 {
    let mut hasher = DefaultHasher::new();
    salt.hash(&mut hasher);
    value.hash(&mut hasher);
    hasher.finish()
}

/// Looks at every state that can be reached and returns how many there are.
fn search<W: World>(start: W, most: usize) -> usize {
    let seen = Cell::new(0_usize);
    let way = bfs(
        &Found::new("start", start),
        |found| {
            seen.set(seen.get() + 1);
            assert!(seen.get() <= most, "the bounds are too wide");
            let world = found.world.borrow_mut().take();
            let next = world.map_or(Vec::new(), |w| w.successors());
            next.into_iter().map(|(by, world)| Found::new(&by, world))
        },
        |found| found.fault.is_some(),
    );
    if let Some(way) = way {
        let steps: Vec<&str> = way.iter().map(|found| &*found.by).collect();
        let fault = way.last().and_then(|found| found.fault.clone());
        panic!("{fault:?} after {steps:#?}");
    }
    seen.get()
}

const TASK_FILE: &str = r#"
    cell = "model"
    data_centres = ["goya"]
    [[team]]
    name = "crops"
    quota = { cpu_millis = 64000, memory_mb = 64000 }
    [[service]]
    name = "api"
    team = "crops"
    data_centre = "goya"
    tasks = 1
    need = { cpu_millis = 1000, memory_mb = 1000 }
    [policy]
    task_lease_ms = 1000
"#;

/// The length of a step of time; the lease is four of them.
const STEP: Millis = 400;

/// A message between a holder and a worker.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Letter {
    Sync(usize, usize, Packed<SyncRequest>),
    Reply(usize, usize, u64, Packed<Result<SyncReply, Refusal>>),
}

impl Letter {
    fn is_reply(&self) -> bool {
        matches!(self, Letter::Reply(..))
    }

    fn name(&self) -> String {
        match self {
            Letter::Sync(holder, worker, Packed(request)) => {
                format!("sync {} of {holder} at {worker}", request.seq)
            }
            Letter::Reply(holder, worker, seq, _) => {
                format!("reply {seq} of {worker} at {holder}")
            }
        }
    }
}

/// A value that is ordered by its debug text, so that sets of messages have
/// one form only.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Packed<T>(T);

impl<T: std::fmt::Debug + Eq> PartialOrd for Packed<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T: std::fmt::Debug + Eq> Ord for Packed<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        format!("{:?}", self.0).cmp(&format!("{:?}", other.0))
    }
}

/// Two holders, of which the second may take over at any time without the
/// first knowing, and two workers. Messages may be late, lost, doubled and
/// overtake each other; holders may pause.
#[derive(Clone, Hash)]
struct Tasks {
    now: Millis,
    /// How often time may still pass.
    ticks: u32,
    holders: [Option<Placer>; 2],
    workers: [WorkerState; 2],
    net: Vec<Letter>,
    /// How many messages may still be delivered twice.
    doubles: u32,
}

impl Tasks {
    /// Messages on the way; more than these are lost, the oldest first.
    const NET: usize = 2;

    fn new(ticks: u32, doubles: u32) -> Tasks {
        let info = WorkerInfo {
            capacity: Resources {
                cpu_millis: 4_000,
                memory_mb: 8_000,
                accelerators: 0,
            },
            rack: "rack".into(),
            leaving: false,
        };
        let mut world = Tasks {
            now: 1_000,
            ticks: 100,
            holders: [None, None],
            workers: [WorkerState::new(info.clone()), WorkerState::new(info)],
            net: Vec::new(),
            doubles,
        };
        world.holders[0] = Some(Tasks::placer(1, &[]));
        // The task runs on one of the workers, under the first holder.
        for reach in [Some(0), Some(1), Some(0), Some(1)] {
            world.tick([reach, None]);
            while !world.net.is_empty() {
                world = world.delivered(0, false);
            }
        }
        world.ticks = ticks;
        world
    }

    fn placer(number: u64, unseen: &[TargetId]) -> Placer {
        let config = Config::parse(TASK_FILE).expect("a file in order");
        let epoch = Epoch { number, holder: VmId(format!("vm{number}")) };
        let targets = unseen.iter().cloned().collect();
        let tenure = Term::new(epoch, 1, true, targets);
        let mut placer = Placer::new(
            PlacerConfig::default(),
            "goya".into(),
            tenure,
            Some(&config),
            Progress::default(),
        );
        placer.apply_config(&config);
        for worker in 0..2 {
            placer.add_worker(1, &Tasks::worker(worker));
        }
        placer
    }

    fn worker(n: usize) -> TargetId {
        TargetId(format!("w{n}"))
    }

    /// Time passes. A holder pauses, or does what is due and reaches one of
    /// the workers; what it sends to the other is lost.
    fn tick(&mut self, reach: [Option<usize>; 2]) {
        self.now += STEP;
        self.ticks -= 1;
        for worker in &mut self.workers {
            worker.tick(self.now);
        }
        for (n, holder) in self.holders.iter_mut().enumerate() {
            let (Some(holder), Some(reached)) = (holder, reach[n]) else {
                continue;
            };
            for (target, request) in holder.step(self.now) {
                let worker = usize::from(target == Tasks::worker(1));
                if worker == reached {
                    let letter = Letter::Sync(n, worker, Packed(request));
                    self.net.push(letter);
                }
            }
        }
        while self.net.len() > Tasks::NET {
            self.net.remove(0);
        }
        self.net.sort();
    }

    fn delivered(&self, index: usize, keep: bool) -> Tasks {
        let mut next = self.clone();
        let letter = next.net[index].clone();
        if keep {
            next.doubles -= 1;
        } else {
            next.net.remove(index);
        }
        match letter {
            Letter::Sync(holder, worker, Packed(request)) => {
                let result = next.workers[worker].sync(next.now, &request);
                let reply = Packed(result);
                let letter = Letter::Reply(holder, worker, request.seq, reply);
                next.net.push(letter);
            }
            Letter::Reply(holder, worker, seq, Packed(result)) => {
                let target = Tasks::worker(worker);
                let Some(placer) = &mut next.holders[holder] else {
                    return next;
                };
                match result {
                    Ok(reply) => placer.sync_replied(next.now, &target, reply),
                    Err(Refusal::Old) => placer.sync_failed(&target, seq),
                    // The node drops a placer that was superseded.
                    Err(Refusal::Stale(_)) => next.holders[holder] = None,
                }
            }
        }
        next.net.sort();
        next
    }

    /// The platform confirms the present holder.
    fn confirmed(&self) -> Option<Tasks> {
        let mut next = self.clone();
        let holder = usize::from(self.taken_over());
        let now = self.now;
        next.holders[holder].as_mut()?.confirm_contract(now);
        Some(next)
    }

    fn taken_over(&self) -> bool {
        self.holders[1].is_some()
    }

    fn claimed(&self) -> Tasks {
        let mut next = self.clone();
        let unseen = [Tasks::worker(0), Tasks::worker(1)];
        next.holders[1] = Some(Tasks::placer(2, &unseen));
        next
    }
}

impl World for Tasks {
    fn successors(&self) -> Vec<(String, Tasks)> {
        let mut all = Vec::new();
        for (index, letter) in self.net.iter().enumerate() {
            let name = letter.name();
            let delivered = self.delivered(index, false);
            if let Letter::Sync(..) = letter {
                // The answer comes at once, or is lost.
                let mut lost = delivered.clone();
                let mut answered = delivered;
                let last = answered.net.len() - 1;
                let reply = answered.net.iter().position(Letter::is_reply);
                let reply = reply.unwrap_or(last);
                lost.net.remove(reply);
                answered = answered.delivered(reply, false);
                all.push((format!("{name}, answer lost"), lost));
                all.push((name.clone(), answered));
            }
            if self.doubles > 0 {
                let mut kept = self.delivered(index, true);
                kept.net.retain(|letter| !letter.is_reply());
                all.push((format!("{name}, kept"), kept));
            }
        }
        let confirmed = self.confirmed();
        all.extend(confirmed.map(|next| ("confirm".into(), next)));
        if !self.taken_over() {
            all.push(("claim".into(), self.claimed()));
        }
        if self.ticks > 0 {
            let reaches = [None, Some(0), Some(1)];
            for a in reaches {
                for b in reaches {
                    let mut next = self.clone();
                    next.tick([a, b]);
                    all.push((format!("tick {a:?} {b:?}"), next));
                }
            }
        }
        all
    }

    fn fault(&self) -> Option<String> {
        let [a, b] = &self.workers;
        let both = a.running().find(|id| b.running().any(|o| o == *id));
        both.map(|id| format!("{id} runs in two places"))
    }
}

#[test]
fn no_task_runs_in_two_places_in_any_order_of_events() {
    for (ticks, doubles) in [(3, 0), (2, 1)] {
        let states = search(Tasks::new(ticks, doubles), 900_000);
        println!("{ticks} ticks, {doubles} doubles: {states} states");
        assert!(states > 1_000, "only {states} states: nothing happens");
    }
}

const CALL_FILE: &str = include_str!("../testdata/fuzz.toml");

/// Two entry VMs, two executors of one slot, and one call with a key that
/// is sent once through each VM. The first VM's lease has lapsed without its
/// knowledge. Either VM may pause, and messages come in any order.
#[derive(Clone, Hash)]
struct Calls {
    cell: SmallCell,
    vms: [VmId; 2],
    key: Option<puffinknot_core::idempotency::IdempotencyKey>,
    /// Through which VMs the call may still be sent.
    sends: [bool; 2],
    ticks: u32,
}

impl Calls {
    const TICKS: u32 = 2;
    const STEP: Millis = 1_100;

    fn new(overlap: bool) -> Calls {
        let mut cell = SmallCell::new(CALL_FILE);
        for n in 0..2 {
            cell.add_executor(&format!("x{n}"), "goya", 1);
        }
        cell.run_ms = 1_000;
        let vms = ["vm0", "vm1"].map(|name| cell.start(name, "goya"));
        cell.run_in_order(8_000);
        let home = cell.holder("goya", Scope::Calls(0)).expect("a home");
        let [a, b] = vms;
        let vms = if a == home { [a, b] } else { [b, a] };
        // The home of the key loses its contract and can't hear of it. Each
        // VM reaches one executor; one of them both, if `overlap` says so.
        cell.cut(vms[0].as_str(), vms[1].as_str(), true);
        cell.cut(vms[1].as_str(), "x0", true);
        if !overlap {
            cell.cut(vms[0].as_str(), "x1", true);
        }
        cell.cut_platform(&vms[0], true);
        cell.platform.lapse(&vms[0]);
        // The other VM has taken the contract over and has presented its
        // epoch where it can.
        for _ in 0..4 {
            cell.pass(50);
            cell.housekeep(&vms[1]);
            while let Some(index) = cell.next_useful() {
                cell.deliver(index);
            }
        }
        assert_eq!(
            cell.holder("goya", Scope::Calls(0)).as_ref(),
            Some(&vms[1])
        );
        Calls { cell, vms, key: None, sends: [true, true], ticks: 0 }
    }

    fn sent(&self, through: usize) -> Calls {
        let mut next = self.clone();
        let key = next.key.clone();
        let key = key.unwrap_or_else(|| next.cell.new_key("coop"));
        next.key = Some(key.clone());
        let vm = next.vms[through].clone();
        next.cell.call(&vm, "coop", "vent-check", Some(key));
        next.sends[through] = false;
        next
    }

    /// Delivers at once what the order of events can't matter for: all but
    /// calls on their way, their ends, and epochs that reach an executor.
    fn deliver_at_once(&mut self) {
        let matters = |cell: &SmallCell, message: &Message| match message {
            Message::Ask(vm, target, _) => {
                !cell.is_cut(vm.as_str(), target.as_str())
            }
            Message::Dispatch(..) => true,
            Message::Event(_, event) => {
                matches!(event, Event::Call(..) | Event::AttemptEnded(..))
            }
            _ => false,
        };
        loop {
            let cell = &self.cell;
            let next = (0..cell.net.len()).find(|index| {
                let message = &cell.net[*index];
                cell.useful(message) && !matters(cell, message)
            });
            let Some(index) = next else { return };
            self.cell.deliver(index);
        }
    }

    fn ticked(&self, awake: [bool; 2]) -> Calls {
        let mut next = self.clone();
        next.cell.pass(Calls::STEP);
        for (vm, awake) in next.vms.clone().iter().zip(awake) {
            if awake {
                next.cell.housekeep(vm);
            }
        }
        next.ticks += 1;
        next
    }
}

impl World for Calls {
    fn successors(&self) -> Vec<(String, Calls)> {
        let mut all = Vec::new();
        for index in 0..self.cell.net.len() {
            let message = &self.cell.net[index];
            if !self.cell.useful(message) {
                continue;
            }
            let mut next = self.clone();
            next.cell.deliver(index);
            all.push((format!("deliver {message:?}"), next));
        }
        for through in [0, 1] {
            if self.sends[through] {
                let name = format!("send through {through}");
                all.push((name, self.sent(through)));
            }
        }
        if self.ticks < Calls::TICKS {
            for awake in [[true, true], [true, false], [false, true]] {
                all.push((format!("tick {awake:?}"), self.ticked(awake)));
            }
        }
        for (_, next) in &mut all {
            next.deliver_at_once();
            next.cell.check();
            // The order in which messages were sent is no part of a state.
            next.cell.net.sort_by_cached_key(|m| format!("{m:?}"));
            next.cell.net.dedup();
        }
        all
    }

    fn fault(&self) -> Option<String> {
        self.cell.faults.first().cloned()
    }
}

#[test]
fn no_call_with_a_key_runs_twice_in_any_order_of_events() {
    for overlap in [false, true] {
        let states = search(Calls::new(overlap), 200_000);
        println!("{states} states");
        assert!(states > 1_000, "only {states} states: nothing happens");
    }
}
