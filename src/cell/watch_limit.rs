/*!
Whether the store may have more changes than it has told.

It tells a bounded number at once, and does not say that there are more. What
it was asked at once after a full answer shows it: another of the same size
was cut as well, and that size is the bound. Until the bound is known, an
answer that has as many changes as any before is tried so now and then.
*/

/// Answers with fewer changes than this are not cut by any store.
const FEWEST: usize = 5;
/// One in so many answers that are as large as any is tried.
const TRY_ONE_IN: u32 = 5;

/// What the sizes of a store's answers have shown.
#[derive(Debug, Default)]
pub struct WatchLimit {
    /// The most changes in one answer so far.
    most: usize,
    /// How many changes a full answer has, once that was shown.
    bound: Option<usize>,
    /// Answers as large as any since the last one that was tried.
    as_large: u32,
    /// The last answer was tried.
    tries: bool,
}

impl WatchLimit {
    /// Takes in how many changes an answer has. Returns whether the store is
    /// to be asked on at once.
    pub fn observe(&mut self, changes: usize) -> bool {
        let tried = std::mem::take(&mut self.tries);
        if changes < FEWEST {
            return false;
        }
        if changes > self.most {
            // No bound is below this.
            self.bound = None;
            self.most = changes;
            return self.try_now();
        }
        if tried && changes == self.most {
            self.bound = Some(changes);
        }
        if let Some(bound) = self.bound {
            return changes >= bound;
        }
        if changes < self.most {
            return false;
        }
        self.as_large += 1;
        self.as_large >= TRY_ONE_IN && self.try_now()
    }

    fn try_now(&mut self) -> bool {
        self.as_large = 0;
        self.tries = true;
        true
    }
}
