//! Bounded, numbered logs of the updates that processes exchange, so that each is sent once.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::id::Incarnation;
use crate::id::VmId;

/// Updates and the number of the last one; the others are numbered consecutively up to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpdateBatch<T> {
    /// Number of the last update.
    #[serde(rename = "upto")]
    pub last_number: u64,
    /// The updates in order.
    #[serde(rename = "notes")]
    pub updates: Vec<T>,
}

impl<T> Default for UpdateBatch<T> {
    fn default() -> Self {
        Self {
            last_number: 0,
            updates: Vec::new(),
        }
    }
}

impl<T> UpdateBatch<T> {
    /// Returns the updates with a number above `seen`.
    pub fn since(&self, seen: u64) -> impl Iterator<Item = &T> {
        self.updates
            .iter()
            .skip(count_seen(self.last_number, self.updates.len(), seen))
    }
}

/// Log of the most recent updates; numbers begin at one.
#[derive(Clone, Debug)]
pub struct UpdateLog<T> {
    /// The last `capacity` updates, oldest first.
    updates: VecDeque<T>,
    capacity: usize,
    last_number: u64,
}

impl<T> UpdateLog<T> {
    /// Creates an empty log that keeps the last `capacity` updates.
    pub const fn new(capacity: usize) -> Self {
        Self {
            updates: VecDeque::new(),
            capacity,
            last_number: 0,
        }
    }

    /// Returns the number of the last update, or zero.
    pub const fn last_number(&self) -> u64 {
        self.last_number
    }

    /// Appends an update; a full log drops its oldest one.
    pub fn push(&mut self, update: T) {
        if self.updates.len() >= self.capacity {
            self.updates.pop_front();
        }
        self.updates.push_back(update);
        self.last_number += 1;
    }

    /// Returns the stored updates with a number above `seen`, in order.
    pub fn since(&self, seen: u64) -> impl Iterator<Item = &T> {
        self.updates
            .iter()
            .skip(count_seen(self.last_number, self.updates.len(), seen))
    }

    /// Returns a copy of the first `limit` stored updates with a number above `seen`.
    ///
    /// A later call with the number of the batch returns those that follow.
    pub fn batch_since(&self, seen: u64, limit: usize) -> UpdateBatch<T>
    where
        T: Clone,
    {
        let pending = self.since(seen).count();
        let left_out = pending.saturating_sub(limit);
        UpdateBatch {
            last_number: self.last_number - left_out as u64,
            updates: self.since(seen).take(limit).cloned().collect(),
        }
    }
}

/// Updates of several writers, relayed once to each of the other processes.
#[derive(Clone, Debug)]
pub struct UpdateRelay<T> {
    updates: UpdateLog<(VmId, T)>,
    /// Number of the last update received from each writer, and the incarnation that numbered it.
    received: BTreeMap<VmId, (Incarnation, u64)>,
}

impl<T> UpdateRelay<T>
where
    T: Clone,
{
    /// Creates a relay that keeps the last `capacity` updates of all writers together.
    pub const fn new(capacity: usize) -> Self {
        Self {
            updates: UpdateLog::new(capacity),
            received: BTreeMap::new(),
        }
    }

    /// Stores a writer's updates; those received before are skipped.
    ///
    /// A new incarnation of the writer numbers its updates from one again.
    pub fn receive(&mut self, writer: &VmId, incarnation: Incarnation, batch: &UpdateBatch<T>) {
        let previous = self.received.get(writer);
        let seen = previous.map_or(0, |(numbered_by, last_number)| {
            if *numbered_by == incarnation {
                *last_number
            } else {
                0
            }
        });
        for update in batch.since(seen) {
            self.updates.push((writer.clone(), update.clone()));
        }
        let last_number = batch.last_number.max(seen);
        self.received
            .insert(writer.clone(), (incarnation, last_number));
    }

    /// Returns the updates of the other writers among the first `limit` after number `seen` of this
    /// relay's log.
    ///
    /// The reader's own updates are left out, so the batch may hold fewer updates than numbers.
    pub fn updates_for(&self, reader: &VmId, seen: u64, limit: usize) -> UpdateBatch<T> {
        let batch = self.updates.batch_since(seen, limit);
        let others = batch.updates.into_iter().filter(|(vm, _)| vm != reader);
        UpdateBatch {
            last_number: batch.last_number,
            updates: others.map(|(_, update)| update).collect(),
        }
    }

    /// Forgets the last numbers of writers for which `is_needed` is false; their updates stay.
    pub fn retain<F>(&mut self, is_needed: F)
    where
        F: Fn(&VmId) -> bool,
    {
        self.received.retain(|writer, _| is_needed(writer));
    }
}

/// Returns how many of `count` consecutive updates, of which the last has number `last_number`,
/// have a number of at most `seen`.
fn count_seen(last_number: u64, count: usize, seen: u64) -> usize {
    let new = usize::try_from(last_number.saturating_sub(seen)).unwrap_or(usize::MAX);
    count.saturating_sub(new)
}
