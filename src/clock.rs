/*!
The clocks of this VM.

The monotonic clock is Linux's `CLOCK_BOOTTIME`, which goes on while the VM
is suspended. A lease that lapsed during a suspension is then seen to have
lapsed. The core gets times from here only.
*/

use std::time::{SystemTime, UNIX_EPOCH};

use puffinknot_core::ids::Millis;
use puffinknot_core::node::Now;
use rustix::time::{clock_gettime, ClockId};

/// A time, or a time span, in microseconds.
pub type Micros = u64;

/// The monotonic clock, in milliseconds since the VM was started.
pub fn mono() -> Millis {
    mono_micros() / 1_000
}

/// The monotonic clock, in microseconds since the VM was started.
pub fn mono_micros() -> Micros {
    read(ClockId::Boottime)
}

/// The processor time that this thread has had.
pub fn thread_cpu() -> Micros {
    read(ClockId::ThreadCPUTime)
}

fn read(clock: ClockId) -> Micros {
    let time = clock_gettime(clock);
    let micros = time.tv_sec * 1_000_000 + time.tv_nsec / 1_000;
    micros.unsigned_abs()
}

/// The wall clock, in milliseconds since 1970.
pub fn wall() -> Millis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as Millis)
}

/// Both clocks.
pub fn now() -> Now {
    Now { mono: mono(), wall: wall() }
}
