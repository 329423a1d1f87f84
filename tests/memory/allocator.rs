//! An allocator that counts the bytes that each thread holds.

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

struct Counting;

#[global_allocator]
static ALLOCATOR: Counting = Counting;

thread_local! {
    static HELD: Cell<isize> = const { Cell::new(0) };
    static PEAK: Cell<isize> = const { Cell::new(0) };
}

fn add(bytes: isize) {
    // A thread that ends still frees memory.
    let _ = HELD.try_with(|held| {
        held.set(held.get() + bytes);
        let _ = PEAK.try_with(|peak| peak.set(peak.get().max(held.get())));
    });
}

// SAFETY: Every call is passed on unchanged.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        add(layout.size() as isize);
        System.alloc(layout)
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        add(-(layout.size() as isize));
        System.dealloc(pointer, layout)
    }
}

/// The bytes that this thread has allocated and not freed.
fn held() -> isize {
    HELD.with(Cell::get)
}

/// The bytes that a value holds on the heap. The value is dropped.
pub fn heap_bytes<T>(value: T) -> usize {
    let before = held();
    drop(value);
    usize::try_from(before - held()).expect("a value frees what it holds")
}

/// The most bytes that a call holds at a time, and what it returns.
pub fn peak_bytes<T>(call: impl FnOnce() -> T) -> (usize, T) {
    let before = held();
    PEAK.with(|peak| peak.set(before));
    let result = call();
    let peak = PEAK.with(Cell::get) - before;
    (usize::try_from(peak).expect("a peak above the start"), result)
}
