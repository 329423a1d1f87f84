//! An allocator that counts the bytes that each thread holds.

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

struct Counting;

#[global_allocator]
static ALLOCATOR: Counting = Counting;

thread_local! {
    static HELD: Cell<isize> = const { Cell::new(0) };
}

fn add(bytes: isize) {
    // A thread that ends still frees memory.
    let _ = HELD.try_with(|held| held.set(held.get() + bytes));
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
