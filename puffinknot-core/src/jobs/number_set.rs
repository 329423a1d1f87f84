/*!
Sets of numbers most of which are consecutive.
*/

use std::collections::BTreeMap;
use std::ops::Range;

/// A set of numbers, kept as ranges.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NumberSet {
    /// The exclusive end of each range, by its start. There is a gap between
    /// any two ranges.
    ranges: BTreeMap<u32, u32>,
}

impl NumberSet {
    /// The range that contains a number.
    pub fn range_of(&self, number: u32) -> Option<Range<u32>> {
        let (&start, &end) = self.ranges.range(..=number).next_back()?;
        (number < end).then_some(start..end)
    }

    /// Whether it contains a number.
    pub fn contains(&self, number: u32) -> bool {
        self.range_of(number).is_some()
    }

    /// Adds all numbers of a range.
    pub fn insert(&mut self, added: Range<u32>) {
        if added.is_empty() {
            return;
        }
        let Range { mut start, mut end } = added;
        // A range that ends where this one begins is joined, too.
        while let Some((&s, &e)) = self.ranges.range(..=end).next_back() {
            if e < start {
                break;
            }
            self.ranges.remove(&s);
            start = start.min(s);
            end = end.max(e);
        }
        self.ranges.insert(start, end);
    }

    /// Its ranges, in ascending order.
    pub fn ranges(&self) -> impl Iterator<Item = Range<u32>> + '_ {
        self.ranges.iter().map(|(&start, &end)| start..end)
    }

    /// How many of its numbers are in a range.
    pub fn count_in(&self, range: &Range<u32>) -> u32 {
        let parts = self.ranges().map(|own| {
            let start = own.start.max(range.start);
            own.end.min(range.end).saturating_sub(start)
        });
        parts.sum()
    }
}
