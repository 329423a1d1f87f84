/*!
Clients that were refused, and when they are to come back.

Each is told a time of its own: when the backlog should have room for it, after
those that were refused before it. One that is refused again keeps its turn.
What comes back is as old as its first attempt, so that it goes before what is
new of its like while its objective can be met. Later it counts as new if it
was not for want of room that it was refused: its client can't help it.

A takeover forgets this. Clients then count as new, once.
*/

use std::collections::{BTreeMap, VecDeque};

use crate::ids::Millis;
use crate::jobs::message::AccountIndex;
use crate::jobs::model::JobId;

/// How long clients go on trying, in milliseconds: four further attempts of up
/// to 3 s each. None is told to come back later than that, and none is
/// remembered for longer after its turn.
const TRIES_FOR: Millis = 12_000;
/// The most clients that are remembered; the ones refused first are forgotten
/// first, and count as new.
const MOST: usize = 20_000;

/// A client that was refused.
#[derive(Clone, Copy, Debug)]
struct Refused {
    /// When it came first.
    first: Millis,
    /// There was no room for it.
    for_room: bool,
    /// When it may come back.
    turn: Millis,
    /// When it may be forgotten.
    until: Millis,
}

/// Jobs that take turns with each other: those of one account and queue.
type Line = (Option<AccountIndex>, String);

/// The clients that were refused.
#[derive(Clone, Debug, Default)]
pub(super) struct Returns {
    jobs: BTreeMap<JobId, Refused>,
    /// When each of them may be forgotten, in the order of refusals.
    until: VecDeque<(Millis, JobId)>,
    /// Until when the room of each line is taken by clients that were told to
    /// come back.
    lines: BTreeMap<Line, Millis>,
}

impl Returns {
    /// When a job was handed in first, if it was refused since, and whether
    /// that was for want of room.
    pub fn first(&self, job: JobId) -> Option<(Millis, bool)> {
        let refused = self.jobs.get(&job)?;
        Some((refused.first, refused.for_room))
    }

    /// A job is refused that was handed in first at `first` and may come back
    /// at `turn`.
    pub fn refused(
        &mut self,
        job: JobId,
        first: Millis,
        for_room: bool,
        turn: Millis,
    ) {
        while self.until.len() >= MOST {
            self.forget_oldest();
        }
        let until = turn + TRIES_FOR;
        self.jobs.insert(job, Refused { first, for_room, turn, until });
        self.until.push_back((until, job));
    }

    /// When a job may come back for which there is room from `from` on at the
    /// earliest, and which then takes the room of its line for `takes`.
    pub fn turn(
        &mut self,
        job: JobId,
        line: Line,
        from: Millis,
        takes: Millis,
        now: Millis,
    ) -> Millis {
        let latest = now + TRIES_FOR;
        if let Some(known) = self.jobs.get(&job) {
            return known.turn.max(from).min(latest);
        }
        let next = self.lines.entry(line).or_default();
        let turn = from.max(*next).min(latest);
        *next = turn + takes;
        turn
    }

    /// The job is accepted.
    pub fn accepted(&mut self, job: JobId) {
        self.jobs.remove(&job);
    }

    /// Forgets who should have come back.
    pub fn forget(&mut self, now: Millis) {
        while self.until.front().is_some_and(|(until, _)| *until <= now) {
            self.forget_oldest();
        }
        self.lines.retain(|_, next| *next > now);
    }

    fn forget_oldest(&mut self) {
        let Some((until, job)) = self.until.pop_front() else { return };
        // One that was refused again since is remembered for longer.
        if self.jobs.get(&job).is_some_and(|known| known.until <= until) {
            self.jobs.remove(&job);
        }
    }
}
