//! Log in memory, from the last compaction on.

use papayatray_core::id::Term;

use super::Entry;
use super::Index;
use super::Members;
use super::Payload;
use super::Position;

/// Entries after a base position.
#[derive(Clone, Debug, Default)]
pub struct Log {
    base: Position,
    base_members: Members,
    entries: Vec<Entry>,
}

impl Log {
    /// Creates a log that goes on after `base`.
    pub fn new(base: Position, base_members: Members, entries: Vec<Entry>) -> Self {
        Self {
            base,
            base_members,
            entries,
        }
    }

    /// Returns the place before the first entry that is held.
    pub const fn base(&self) -> Position {
        self.base
    }

    /// Returns the place of the last entry.
    pub fn last(&self) -> Position {
        self.entries
            .last()
            .map_or(self.base, |entry| entry.position)
    }

    /// Returns the term of the entry `index`, if it is held.
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.position.term)
    }

    /// Returns the entry `index`, if it is held.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let at = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(at).ok()?)
    }

    /// Returns the entries from `first` to `last`, both included.
    pub fn range(&self, first: Index, last: Index) -> &[Entry] {
        let from = self.offset(first).min(self.entries.len());
        let to = self.offset(last + 1).min(self.entries.len());
        &self.entries[from..to.max(from)]
    }

    fn offset(&self, index: Index) -> usize {
        usize::try_from(index.saturating_sub(self.base.index + 1)).unwrap_or(usize::MAX)
    }

    /// Adds an entry; where its number is taken, that entry and all later ones go.
    pub fn put(&mut self, entry: Entry) {
        self.entries.truncate(self.offset(entry.position.index));
        self.entries.push(entry);
    }

    /// Drops the entries up to `index`.
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

    /// Returns how many entries up to `upto` stay within `entries` and `bytes` of commands.
    pub fn count_tail(&self, upto: Index, entries: u64, bytes: usize) -> u64 {
        let mut left = bytes;
        let mut kept = 0;
        let applied = self.entries[..self.offset(upto + 1).min(self.entries.len())].iter();
        for entry in applied.rev() {
            let size = match &entry.payload {
                Payload::Command(command) => command.len(),
                _ => 0,
            };
            if kept >= entries || size > left {
                break;
            }
            left -= size;
            kept += 1;
        }
        kept
    }

    /// Returns the members in force after the last entry.
    pub fn members(&self) -> &Members {
        self.members_at(self.last().index)
    }

    /// Returns the members in force after entry `index`.
    pub fn members_at(&self, index: Index) -> &Members {
        let upto = self.offset(index + 1).min(self.entries.len());
        let changes = self.entries[..upto].iter().rev();
        let mut members = changes.filter_map(|entry| match &entry.payload {
            Payload::Members(members) => Some(members),
            _ => None,
        });
        members.next().unwrap_or(&self.base_members)
    }

    /// Returns the number of the last entry that changes the members, or zero.
    pub fn last_change(&self) -> Index {
        let is_change = |entry: &&Entry| matches!(entry.payload, Payload::Members(_));
        let last = self.entries.iter().rev().find(is_change);
        last.map_or(0, |entry| entry.position.index)
    }
}
