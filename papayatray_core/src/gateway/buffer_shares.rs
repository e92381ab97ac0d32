//! Shares of the memory for bodies that are buffered whole, by who sends them.
//!
//! Load: one endpoint or organisation that sends many large bodies at once, beside others whose bodies
//! must still find room.

use std::collections::BTreeMap;

use displaydoc::Display;

/// Reason why no more memory is granted to a source.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Exhausted {
    /// the bodies from this source take up its share of the buffers
    Share,
    /// the bodies from other sources take up the buffers
    Pool,
}

impl std::error::Error for Exhausted {}

/// Memory in use, by source.
///
/// A source may hold at most as much as remains free after it (the dynamic threshold of switches with
/// a shared buffer). One source alone gets half of the memory, and `n` that want all of it leave one
/// part in `n + 1` to the next one.
#[derive(Clone, Debug)]
pub struct BufferShares<S> {
    capacity: usize,
    used: usize,
    held: BTreeMap<S, usize>,
}

impl<S> BufferShares<S>
where
    S: Clone + Ord,
{
    /// Creates shares of `capacity` bytes, none of which is in use.
    pub const fn new(capacity: usize) -> Self {
        Self {
            capacity,
            used: 0,
            held: BTreeMap::new(),
        }
    }

    /// Returns the number of bytes in use.
    pub const fn used(&self) -> usize {
        self.used
    }

    /// Grants `bytes` more to a source.
    ///
    /// # Errors
    ///
    /// Returns whether the source or the others hold too much already; nothing is granted then.
    pub fn reserve(&mut self, source: &S, bytes: usize) -> Result<(), Exhausted> {
        if bytes == 0 {
            return Ok(());
        }
        let held = self.held.get(source).copied().unwrap_or_default();
        let held = held.saturating_add(bytes);
        let used = self.used.saturating_add(bytes);
        if held > self.capacity.saturating_sub(used) {
            // Every source would get this much if all of them held the same.
            let others = self.held.len() - usize::from(self.held.contains_key(source));
            let even_share = self.capacity / (others + 2);
            return Err(if held > even_share {
                Exhausted::Share
            } else {
                Exhausted::Pool
            });
        }
        self.used = used;
        self.held.insert(source.clone(), held);
        Ok(())
    }

    /// Takes back `bytes` that were granted to a source.
    pub fn release(&mut self, source: &S, bytes: usize) {
        let Some(held) = self.held.get_mut(source) else {
            return;
        };
        let bytes = bytes.min(*held);
        *held -= bytes;
        self.used -= bytes;
        if *held == 0 {
            self.held.remove(source);
        }
    }
}
