//! In-memory part of the log: the entries that were not compacted.

use papayatray_core::id::Term;

use super::Entry;
use super::Index;
use super::Members;
use super::Payload;
use super::Position;

/// Log entries after a base position; the base and all entries before it were compacted.
#[derive(Clone, Debug, Default)]
pub struct Log {
    /// Position of the last compacted entry.
    base: Position,
    /// Members as of `base`.
    base_members: Members,
    entries: Vec<Entry>,
}

impl Log {
    /// Creates a log whose first entry follows `base`, with the members as of `base`.
    pub fn new(base: Position, base_members: Members, entries: Vec<Entry>) -> Self {
        Self {
            base,
            base_members,
            entries,
        }
    }

    /// Returns the position of the last compacted entry, which precedes the first retained one.
    pub const fn base(&self) -> Position {
        self.base
    }

    /// Returns the position of the last entry, or the base if the log is empty.
    pub fn last(&self) -> Position {
        self.entries
            .last()
            .map_or(self.base, |entry| entry.position)
    }

    /// Returns the term of the entry at `index`, if it is retained or is the base.
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.position.term)
    }

    /// Returns the entry at `index`, if it is retained.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the retained entries from `first` to `last`, both included.
    pub fn range(&self, first: Index, last: Index) -> &[Entry] {
        let from = self.offset(first).min(self.entries.len());
        let to = self.offset(last + 1).min(self.entries.len());
        &self.entries[from..to.max(from)]
    }

    fn offset(&self, index: Index) -> usize {
        usize::try_from(index.saturating_sub(self.base.index + 1)).unwrap_or(usize::MAX)
    }

    /// Appends an entry; an entry with the same index and all later ones are removed first.
    pub fn put(&mut self, entry: Entry) {
        self.entries.truncate(self.offset(entry.position.index));
        self.entries.push(entry);
    }

    /// Drops the entries up to `index`, which becomes the base.
    ///
    /// Does nothing if `index` is not in the log.
    pub fn compact(&mut self, index: Index) {
        let Some(term) = self.term(index) else {
            return;
        };
        if index <= self.base.index {
            return;
        }
        self.base_members = self.members_at(index).clone();
        self.entries.drain(..self.offset(index + 1));
        self.base = Position { term, index };
    }

    /// Counts the entries back from the one at `end`, until there are `max_entries` of them or
    /// their commands would exceed `max_bytes`.
    pub fn count_tail(&self, end: Index, max_entries: u64, max_bytes: usize) -> u64 {
        let mut remaining_bytes = max_bytes;
        let mut count = 0;
        let candidates = self.entries[..self.offset(end + 1).min(self.entries.len())].iter();
        for entry in candidates.rev() {
            let size = match &entry.payload {
                Payload::Command(command) => command.len(),
                _ => 0,
            };
            if count >= max_entries || size > remaining_bytes {
                break;
            }
            remaining_bytes -= size;
            count += 1;
        }
        count
    }

    /// Returns the members as of the last entry, committed or not.
    pub fn members(&self) -> &Members {
        self.members_at(self.last().index)
    }

    /// Returns the members as of the entry at `index`.
    pub fn members_at(&self, index: Index) -> &Members {
        let upto = self.offset(index + 1).min(self.entries.len());
        let changes = self.entries[..upto].iter().rev();
        let mut members = changes.filter_map(|entry| match &entry.payload {
            Payload::Members(members) => Some(members),
            _ => None,
        });
        members.next().unwrap_or(&self.base_members)
    }

    /// Returns the index of the last retained entry that changes the members, or 0.
    pub fn last_members_change(&self) -> Index {
        let is_change = |entry: &&Entry| matches!(entry.payload, Payload::Members(_));
        let last = self.entries.iter().rev().find(is_change);
        last.map_or(0, |entry| entry.position.index)
    }
}
