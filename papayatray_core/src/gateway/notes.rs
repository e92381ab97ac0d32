//! Notes: bounded, numbered logs of what processes tell one another, each note once.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::id::Incarnation;
use crate::id::VmId;

/// Notes that follow one another, the last of them with a number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpdateBatch<T> {
    /// Number of the last note.
    pub upto: u64,
    /// The notes in order.
    pub notes: Vec<T>,
}

impl<T> Default for UpdateBatch<T> {
    fn default() -> Self {
        Self {
            upto: 0,
            notes: Vec::new(),
        }
    }
}

impl<T> UpdateBatch<T> {
    /// Returns the notes that are newer than number `seen`.
    pub fn since(&self, seen: u64) -> impl Iterator<Item = &T> {
        self.notes
            .iter()
            .skip(known(self.upto, self.notes.len(), seen))
    }
}

/// Log of the last notes; numbers begin at one.
#[derive(Clone, Debug)]
pub struct UpdateLog<T> {
    kept: VecDeque<T>,
    most: usize,
    upto: u64,
}

impl<T> UpdateLog<T> {
    /// Creates a log that keeps the last `most` notes.
    pub const fn new(most: usize) -> Self {
        Self {
            kept: VecDeque::new(),
            most,
            upto: 0,
        }
    }

    /// Returns the number of the last note, or zero.
    pub const fn upto(&self) -> u64 {
        self.upto
    }

    /// Adds a note; the oldest one makes room.
    pub fn push(&mut self, note: T) {
        if self.kept.len() >= self.most {
            self.kept.pop_front();
        }
        self.kept.push_back(note);
        self.upto += 1;
    }

    /// Returns the notes that are kept and newer than number `seen`, in order.
    pub fn since(&self, seen: u64) -> impl Iterator<Item = &T> {
        self.kept
            .iter()
            .skip(known(self.upto, self.kept.len(), seen))
    }
}

/// Notes of several writers, passed on to each of the others once.
#[derive(Clone, Debug)]
pub struct UpdateRelay<T> {
    notes: UpdateLog<(VmId, T)>,
    /// Number of the last note taken from each writer, and the start that numbered it.
    taken: BTreeMap<VmId, (Incarnation, u64)>,
}

impl<T> UpdateRelay<T>
where
    T: Clone,
{
    /// Creates a board that keeps the last `most` notes of all writers together.
    pub const fn new(most: usize) -> Self {
        Self {
            notes: UpdateLog::new(most),
            taken: BTreeMap::new(),
        }
    }

    /// Takes in a writer's last notes; those that it told before are left aside.
    pub fn take(&mut self, writer: &VmId, start: Incarnation, told: &UpdateBatch<T>) {
        let known = self.taken.get(writer);
        let seen = known.map_or(0, |(own, upto)| if *own == start { *upto } else { 0 });
        for note in told.since(seen) {
            self.notes.push((writer.clone(), note.clone()));
        }
        let upto = told.upto.max(seen);
        self.taken.insert(writer.clone(), (start, upto));
    }

    /// Returns what others wrote after number `seen` of this board.
    pub fn beside(&self, reader: &VmId, seen: u64) -> UpdateBatch<T> {
        let others = self.notes.since(seen).filter(|(vm, _)| vm != reader);
        UpdateBatch {
            upto: self.notes.upto(),
            notes: others.map(|(_, note)| note.clone()).collect(),
        }
    }

    /// Forgets the writers that `is_known` does not tell; their notes stay.
    pub fn retain<F>(&mut self, is_known: F)
    where
        F: Fn(&VmId) -> bool,
    {
        self.taken.retain(|writer, _| is_known(writer));
    }
}

/// Returns how many of the `kept` notes up to number `upto` are not newer than `seen`.
fn known(upto: u64, kept: usize, seen: u64) -> usize {
    let new = usize::try_from(upto.saturating_sub(seen)).unwrap_or(usize::MAX);
    kept.saturating_sub(new)
}
