/*!
The clocks of this VM.

The monotonic clock is `CLOCK_BOOTTIME` of Linux, which keeps running while
the VM is suspended, so that a lease that expired during a suspension counts
as expired. All times that the core receives come from this module.
*/

use std::time::{SystemTime, UNIX_EPOCH};

use puffinknot_core::ids::Millis;
use puffinknot_core::node::Now;
use rustix::time::{clock_gettime, ClockId};

/// A time or a duration, in microseconds.
pub type Micros = u64;

/// The monotonic time, in milliseconds since the VM booted.
pub fn mono() -> Millis {
    mono_micros() / 1_000
}

/// The monotonic time, in microseconds since the VM booted.
pub fn mono_micros() -> Micros {
    read_clock(ClockId::Boottime)
}

/// The CPU time that this thread has used.
pub fn thread_cpu() -> Micros {
    read_clock(ClockId::ThreadCPUTime)
}

fn read_clock(clock: ClockId) -> Micros {
    let time = clock_gettime(clock);
    let micros = time.tv_sec * 1_000_000 + time.tv_nsec / 1_000;
    micros.unsigned_abs()
}

/// The wall clock time, in milliseconds since the Unix epoch.
pub fn wall() -> Millis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as Millis)
}

/// The monotonic and the wall clock time.
pub fn now() -> Now {
    Now { mono: mono(), wall: wall() }
}
